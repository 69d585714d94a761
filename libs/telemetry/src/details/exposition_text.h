#pragma once

#include <string>
#include <string_view>

#include "telemetry/metrics.h"

namespace radishpulley::telemetry::detail {

// Appends `# HELP` and `# TYPE`.
void append_header(std::string& text, std::string_view name, std::string_view help,
                   std::string_view type);

// Appends `name{labels} value`; braces are left out without labels.
void append_sample(std::string& text, std::string_view name, std::string_view labels, double value);
void append_sample(std::string& text, std::string_view name, std::string_view labels,
                   std::uint64_t value);

// Appends `name="value"` with the value escaped.
void append_label(std::string& labels, std::string_view name, std::string_view value);

// Appends the buckets, the sum and the count of one histogram.
void append_histogram(std::string& text, std::string_view name, const std::string& labels,
                      const histogram_summary& it);

// Appends one gauge a quantile, named `<name>_quantile`.
void append_quantiles(std::string& text, std::string_view name, const std::string& labels,
                      const histogram_summary& it);

}  // namespace radishpulley::telemetry::detail
