#include "details/exposition_text.h"

#include <array>
#include <cstdio>

namespace radishpulley::telemetry::detail {
namespace {

constexpr std::array<const char*, 3> quantile_names = {"0.5", "0.95", "0.99"};

std::string number_text(double value) {
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.9g", value);
    return buf.data();
}

void append_line(std::string& text, std::string_view name, std::string_view labels,
                 std::string_view value) {
    text += name;
    if (!labels.empty()) {
        text += '{';
        text += labels;
        text += '}';
    }
    text += ' ';
    text += value;
    text += '\n';
}

}  // namespace

void append_header(std::string& text, std::string_view name, std::string_view help,
                   std::string_view type) {
    text.append("# HELP ").append(name).append(" ").append(help).append("\n");
    text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void append_sample(std::string& text, std::string_view name, std::string_view labels,
                   double value) {
    append_line(text, name, labels, number_text(value));
}

void append_sample(std::string& text, std::string_view name, std::string_view labels,
                   std::uint64_t value) {
    append_line(text, name, labels, std::to_string(value));
}

void append_label(std::string& labels, std::string_view name, std::string_view value) {
    if (!labels.empty()) {
        labels += ',';
    }
    labels.append(name).append("=\"");
    for (const char c : value) {
        if (c == '\n') {
            labels += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            labels += '\\';
        }
        labels += c;
    }
    labels += '"';
}

void append_histogram(std::string& text, std::string_view name, const std::string& labels,
                      const histogram_summary& it) {
    const std::string family(name);
    const auto& bounds = bucket_bounds();
    for (std::size_t i = 0; i < it.buckets.size(); ++i) {
        std::string bucket_labels = labels;
        append_label(bucket_labels, "le", i < bounds.size() ? number_text(bounds[i]) : "+Inf");
        append_sample(text, family + "_bucket", bucket_labels, it.buckets[i]);
    }
    append_sample(text, family + "_sum", labels, it.sum_seconds);
    append_sample(text, family + "_count", labels, it.count);
}

void append_quantiles(std::string& text, std::string_view name, const std::string& labels,
                      const histogram_summary& it) {
    for (std::size_t i = 0; i < it.quantiles.size(); ++i) {
        std::string quantile_labels = labels;
        append_label(quantile_labels, "quantile", quantile_names.at(i));
        append_sample(text, std::string(name) + "_quantile", quantile_labels, it.quantiles[i]);
    }
}

}  // namespace radishpulley::telemetry::detail
