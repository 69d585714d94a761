#include "telemetry/metrics.h"

#include <stdexcept>

#include "details/exposition_text.h"

namespace radishpulley::telemetry {
namespace {

// Cannot occur in UTF-8, so that joined values stay apart.
constexpr char key_separator = '\xff';

// Reuses one buffer a thread, so that finding a known series allocates nothing.
const std::string& join_key(std::initializer_list<std::string_view> values) {
    thread_local std::string buf;
    buf.clear();
    for (const std::string_view value : values) {
        buf += value;
        buf += key_separator;
    }
    return buf;
}

const char* type_name(const counter*) {
    return "counter";
}
const char* type_name(const gauge*) {
    return "gauge";
}
const char* type_name(const histogram*) {
    return "histogram";
}

template <typename Series>
void append_all(std::string& text, const std::string& name, const Series& all) {
    for (const auto& it : all) {
        detail::append_sample(text, name, it.labels, it.metric.value());
    }
}

template <typename Series>
void append_all_histograms(std::string& text, const std::string& name, const Series& all) {
    std::string quantiles;
    for (const auto& it : all) {
        const histogram_summary summary = it.metric.summary();
        detail::append_histogram(text, name, it.labels, summary);
        detail::append_quantiles(quantiles, name, it.labels, summary);
    }
    if (!quantiles.empty()) {
        detail::append_header(text, name + "_quantile", "Estimate since the start of the daemon.",
                              "gauge");
        text += quantiles;
    }
}

bool is_name(std::string_view name) {
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz_0123456789";
    return !name.empty() && name.find_first_not_of(letters) == std::string_view::npos;
}

}  // namespace

template <typename Metric>
metric_family<Metric>::metric_family(std::string name, std::string help,
                                     std::vector<std::string> label_names)
    : name_(std::move(name)),
      help_(std::move(help)),
      label_names_(std::move(label_names)),
      values_seen_(label_names_.size()) {}

template <typename Metric>
Metric& metric_family<Metric>::with(label_values values) {
    const std::string& key = join_key(values);
    {
        const std::shared_lock<std::shared_mutex> lock(mutex_);
        const auto it = by_key_.find(key);
        if (it != by_key_.end()) {
            return *it->second;
        }
    }
    return add(values);
}

template <typename Metric>
Metric& metric_family<Metric>::add(label_values values) {
    if (values.size() != label_names_.size()) {
        throw std::logic_error(name_ + " has " + std::to_string(label_names_.size()) + " labels");
    }
    const std::unique_lock<std::shared_mutex> lock(mutex_);
    std::string key;
    std::string labels;
    std::size_t i = 0;
    for (const std::string_view value : values) {
        const std::string bounded = bound_value(i, value);
        detail::append_label(labels, label_names_[i], bounded);
        key += bounded;
        key += key_separator;
        ++i;
    }
    const auto it = by_key_.find(key);
    if (it != by_key_.end()) {
        return *it->second;
    }
    series_.emplace_back();
    series_.back().labels = std::move(labels);
    by_key_.emplace(std::move(key), &series_.back().metric);
    return series_.back().metric;
}

template <typename Metric>
std::string metric_family<Metric>::bound_value(std::size_t label, std::string_view value) {
    auto& seen = values_seen_[label];
    if (seen.find(value) != seen.end()) {
        return std::string(value);
    }
    if (seen.size() >= max_label_values) {
        return std::string(other_label_value);
    }
    return *seen.emplace(value).first;
}

template <typename Metric>
void metric_family<Metric>::append_to(std::string& text) const {
    const std::shared_lock<std::shared_mutex> lock(mutex_);
    const auto* kind = static_cast<const Metric*>(nullptr);
    detail::append_header(text, name_, help_, type_name(kind));
    if constexpr (std::is_same_v<Metric, histogram>) {
        append_all_histograms(text, name_, series_);
    } else {
        append_all(text, name_, series_);
    }
}

template class metric_family<counter>;
template class metric_family<gauge>;
template class metric_family<histogram>;

counter_family& registry::add_counters(std::string_view name, std::string_view help,
                                       std::vector<std::string> label_names) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return counters_.emplace_back(take_name(name), std::string(help), std::move(label_names));
}

gauge_family& registry::add_gauges(std::string_view name, std::string_view help,
                                   std::vector<std::string> label_names) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return gauges_.emplace_back(take_name(name), std::string(help), std::move(label_names));
}

histogram_family& registry::add_histograms(std::string_view name, std::string_view help,
                                           std::vector<std::string> label_names) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return histograms_.emplace_back(take_name(name), std::string(help), std::move(label_names));
}

std::string registry::to_text() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string text;
    for (const counter_family& it : counters_) {
        it.append_to(text);
    }
    for (const gauge_family& it : gauges_) {
        it.append_to(text);
    }
    for (const histogram_family& it : histograms_) {
        it.append_to(text);
    }
    return text;
}

std::string registry::take_name(std::string_view name) {
    if (!is_name(name)) {
        throw std::logic_error("metric name " + std::string(name) + " is malformed");
    }
    if (!names_.emplace(name).second) {
        throw std::logic_error("metric " + std::string(name) + " exists already");
    }
    return std::string(metric_prefix) + std::string(name);
}

}  // namespace radishpulley::telemetry
