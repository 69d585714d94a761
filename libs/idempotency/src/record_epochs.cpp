#include "idempotency/record_epochs.h"

#include <charconv>
#include <string>
#include <string_view>
#include <variant>

namespace radishpulley::idempotency {

using namespace object_api;

namespace {

constexpr std::string_view epoch_name = "idempotency-epoch";
constexpr epoch_number first_epoch = 1;

std::optional<epoch_number> parse_epoch(std::string_view text) {
    epoch_number number = 0;
    const char* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, number);
    if (ec != std::errc() || end != last) {
        return std::nullopt;
    }
    return number;
}

}  // namespace

bool is_expired(epoch_number created, epoch_number current) {
    return current >= created + retention_epochs + epoch_margin;
}

void record_epochs::poll(time_point now) {
    const get_result found = store_.get(epoch_name);
    if (std::holds_alternative<not_found>(found)) {
        store_.put(epoch_name, std::to_string(first_epoch), 0);
        return;
    }
    const auto* epoch_object = std::get_if<object>(&found);
    const std::optional<epoch_number> number =
        epoch_object == nullptr ? std::nullopt : parse_epoch(epoch_object->value);
    if (!number) {
        return;
    }
    record_reading(*number, epoch_object->version, now);
    reading it;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        it = *reading_;
    }
    if (now - it.first_seen >= epoch_length) {
        // The next poll reads the result of this update.
        store_.put(epoch_name, std::to_string(it.number + 1), it.version);
    }
}

void record_epochs::record_reading(epoch_number number, object_version version, time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool is_same = reading_ && reading_->number == number && reading_->version == version;
    if (!is_same) {
        reading_ = reading{number, version, now, now};
    }
    reading_->last_seen = now;
}

std::optional<epoch_number> record_epochs::current(time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!reading_ || now - reading_->last_seen > epoch_length) {
        return std::nullopt;
    }
    return reading_->number;
}

}  // namespace radishpulley::idempotency
