#pragma once

#include <chrono>
#include <string_view>

#include "settings/settings.h"

namespace radishpulley::settings::detail {

struct name_rule {};

struct text_rule {
    bool required = false;
};

struct digest_rule {};

// `schemes` is a list such as "http https".
struct address_rule {
    std::string_view schemes;
    bool required = false;
};

template <typename Value>
struct range_rule {
    Value low;
    Value high;
};

struct level_rule {};

constexpr bool is_required(name_rule) {
    return true;
}
constexpr bool is_required(text_rule rule) {
    return rule.required;
}
constexpr bool is_required(const address_rule& rule) {
    return rule.required;
}
template <typename Rule>
constexpr bool is_required(const Rule&) {
    return false;
}

// Calls visit(name, member, rule) for each setting. This is the only list of the settings' names:
// reading, listing and finding unknown keys all go through it.
template <typename Settings, typename Visitor>
void visit_settings(Settings& it, Visitor&& visit) {
    using std::chrono::hours;
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;
    using durations = range_rule<duration>;
    using counts = range_rule<std::uint64_t>;
    constexpr std::uint64_t max_bytes = 1'073'741'824;

    visit("vm.id", it.vm.id, name_rule{});
    visit("vm.availability_zone", it.vm.availability_zone, name_rule{});
    visit("vm.region", it.vm.region, name_rule{});

    visit("callers.listen", it.callers.listen, address_rule{"http https"});
    visit("callers.max_header_bytes", it.callers.max_header_bytes, counts{1024, 1'048'576});
    visit("callers.max_body_bytes", it.callers.max_body_bytes, counts{1024, max_bytes});
    visit("callers.max_stream_bytes", it.callers.max_stream_bytes, counts{1024, max_bytes});
    visit("callers.request_timeout", it.callers.request_timeout,
          durations{milliseconds(100), hours(24)});
    visit("callers.tls.certificate_file", it.callers.tls.certificate_file, text_rule{});
    visit("callers.tls.key_file", it.callers.tls.key_file, text_rule{});

    visit("administration.listen", it.administration.listen, address_rule{"http https"});
    visit("administration.token_file", it.administration.token_file, text_rule{});
    visit("administration.token_digest", it.administration.token_digest, digest_rule{});
    visit("administration.tls.certificate_file", it.administration.tls.certificate_file,
          text_rule{});
    visit("administration.tls.key_file", it.administration.tls.key_file, text_rule{});

    visit("peers.listen", it.peers.listen, address_rule{"ws"});
    visit("peers.advertise", it.peers.advertise, address_rule{"ws"});
    visit("peers.secret_file", it.peers.secret_file, text_rule{true});
    visit("peers.heartbeat_interval", it.peers.heartbeat_interval,
          durations{milliseconds(10), minutes(1)});
    visit("peers.heartbeat_deadline", it.peers.heartbeat_deadline,
          durations{milliseconds(20), minutes(5)});

    visit("platform.object_api", it.platform.object_api, address_rule{"http https", true});
    visit("platform.vm_list", it.platform.vm_list, address_rule{"http https", true});
    visit("platform.ca_file", it.platform.ca_file, text_rule{});
    visit("platform.timeout", it.platform.timeout, durations{milliseconds(10), minutes(1)});
    visit("platform.watch_wait", it.platform.watch_wait, durations{milliseconds(10), minutes(5)});

    visit("keys.secret_file", it.keys.secret_file, text_rule{true});
    visit("keys.freshness_limit", it.keys.freshness_limit,
          durations{milliseconds(100), minutes(1)});

    visit("limits.max_queue_per_account", it.limits.max_queue_per_account, counts{1, 1'000'000});
    visit("limits.shutdown_grace", it.limits.shutdown_grace, durations{milliseconds(0), hours(24)});
    visit("limits.balancer_notice", it.limits.balancer_notice,
          durations{milliseconds(0), minutes(10)});
    visit("limits.retry_budget_ratio", it.limits.retry_budget_ratio, range_rule<double>{0, 1});
    visit("limits.attempts_per_request", it.limits.attempts_per_request, counts{1, 10});

    visit("log.level", it.log.level, level_rule{});
}

}  // namespace radishpulley::settings::detail
