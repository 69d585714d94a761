#include "fault_injector.h"

#include <algorithm>

#include "draw.h"

namespace radishpulley::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds min_fault_interval{200};
constexpr milliseconds max_fault_interval{1'800};
// Long enough to check the time limits before the next fault.
constexpr milliseconds long_fault_interval{6'000};
// Duration of a rolling restart of all VMs.
constexpr milliseconds rolling_time{6'000};
constexpr milliseconds shutdown_grace{8'000};
constexpr milliseconds shutdown_poll{50};

}  // namespace

fault_injector::fault_injector(boost::asio::io_context& loop, const clock& time, edge_fleet& fleet,
                               fault_mix mix, std::uint64_t seed, log_handler log)
    : loop_(loop),
      time_(time),
      fleet_(fleet),
      mix_(mix),
      random_(seed),
      log_(std::move(log)),
      timer_(loop) {}

void fault_injector::start() {
    const bool uses_long_interval = mix_ == fault_mix::silences || random_() % 6 == 0;
    timer_.expires_after(uses_long_interval
                             ? long_fault_interval
                             : random_duration(random_, min_fault_interval, max_fault_interval));
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec && !stopped_) {
            inject_fault();
            start();
        }
    });
}

void fault_injector::inject_fault() {
    const auto all = faults();
    (this->*all[random_() % all.size()])();
}

std::vector<fault_injector::fault> fault_injector::faults() const {
    using it = fault_injector;
    const std::vector<fault> silences = {&it::silence_all_store_connections,
                                         &it::silence_everything, &it::drain_endpoint};
    const std::vector<fault> signals = {&it::suspend_one_vm,  &it::kill_some_vms,
                                        &it::kill_all_vms,    &it::stop_one_vm,
                                        &it::rolling_restart, &it::change_settings};
    const std::vector<fault> store = {&it::silence_all_store_connections,
                                      &it::silence_store_connections_of_one_vm,
                                      &it::reset_store_connections,
                                      &it::partition_vm_from_store,
                                      &it::delay_store_connections,
                                      &it::refuse_store_connections,
                                      &it::make_store_busy,
                                      &it::make_store_silent,
                                      &it::slow_store,
                                      &it::lose_store_writes,
                                      &it::compact_store_history,
                                      &it::delay_store_reads,
                                      &it::drain_endpoint};
    if (mix_ == fault_mix::silences) {
        return silences;
    }
    if (mix_ == fault_mix::directory) {
        return {&it::drain_endpoint, &it::drain_endpoint, &it::delay_store_reads,
                &it::silence_all_store_connections};
    }
    if (mix_ == fault_mix::signals) {
        return signals;
    }
    if (mix_ == fault_mix::limits) {
        return {&it::limit_endpoint};
    }
    if (mix_ == fault_mix::leaving) {
        return {&it::announce_leaving_in_responses, &it::make_store_silent};
    }
    if (mix_ == fault_mix::pauses) {
        return {&it::request_pause};
    }
    if (mix_ == fault_mix::store) {
        return store;
    }
    std::vector<fault> all = {&it::silence_endpoints,
                              &it::silence_everything,
                              &it::reset_endpoint,
                              &it::limit_endpoint,
                              &it::announce_leaving_in_responses,
                              &it::request_pause};
    all.insert(all.end(), signals.begin(), signals.end());
    all.insert(all.end(), store.begin(), store.end());
    return all;
}

void fault_injector::end_after(milliseconds min, milliseconds max, std::function<void()> end) {
    ++active_faults_;
    auto timer =
        std::make_shared<boost::asio::steady_timer>(loop_, random_duration(random_, min, max));
    timer->async_wait([this, timer, end = std::move(end)](const boost::system::error_code& ec) {
        if (!ec) {
            --active_faults_;
            end();
        }
    });
}

edge_vm& fault_injector::pick_vm() {
    return fleet_.vms()[random_() % fleet_.vms().size()];
}

edge_endpoint& fault_injector::pick_endpoint() {
    return fleet_.endpoints()[random_() % fleet_.endpoints().size()];
}

void fault_injector::silence_all_store_connections() {
    log_("all connections to the store go silent");
    for (edge_vm& it : fleet_.vms()) {
        it.store_proxy->silence_open();
        it.record_disturbance(time_.now());
    }
}

void fault_injector::silence_store_connections_of_one_vm() {
    edge_vm& it = pick_vm();
    log_("connections of " + it.name + " to the store go silent");
    it.store_proxy->silence_open();
    it.record_disturbance(time_.now());
}

void fault_injector::silence_endpoints() {
    log_("all connections to endpoints go silent");
    for (edge_endpoint& it : fleet_.endpoints()) {
        it.proxy->silence_open();
    }
    fleet_.endpoint_disturbances().record(time_.now());
}

void fault_injector::silence_everything() {
    silence_all_store_connections();
    silence_endpoints();
}

void fault_injector::reset_store_connections() {
    log_("connections to the store are reset");
    for (edge_vm& it : fleet_.vms()) {
        if (random_() % 2 == 0) {
            it.store_proxy->reset_open();
            it.record_disturbance(time_.now());
        }
    }
}

void fault_injector::partition_vm_from_store() {
    edge_vm& it = pick_vm();
    const auto kind = random_() % 3;
    const bool up = kind != 0;
    const bool down = kind != 1;
    log_("connections of " + it.name + " to the store are blocked" + (up ? " upstream" : "") +
         (down ? " downstream" : ""));
    it.begin_disturbance();
    const auto set_held_directions = [&it, up, down](bool held) {
        if (up) {
            it.store_proxy->set_held(proxy_direction::to_target, held);
        }
        if (down) {
            it.store_proxy->set_held(proxy_direction::from_target, held);
        }
    };
    set_held_directions(true);
    end_after(milliseconds(500), milliseconds(6'000), [this, &it, set_held_directions] {
        log_("connections of " + it.name + " to the store are unblocked");
        set_held_directions(false);
        it.end_disturbance(time_.now());
    });
}

void fault_injector::delay_store_connections() {
    edge_vm& it = pick_vm();
    const milliseconds delay = random_duration(random_, milliseconds(20), milliseconds(150));
    log_("connections of " + it.name + " to the store are delayed by " +
         std::to_string(delay.count()) + " ms");
    it.begin_disturbance();
    it.store_proxy->set_delay(delay);
    end_after(milliseconds(500), milliseconds(5'000), [this, &it] {
        it.store_proxy->set_delay(milliseconds(0));
        it.end_disturbance(time_.now());
    });
}

void fault_injector::refuse_store_connections() {
    edge_vm& it = pick_vm();
    log_("the store refuses " + it.name + "'s connections");
    it.begin_disturbance();
    it.store_proxy->set_refusing(true);
    end_after(milliseconds(500), milliseconds(6'000), [this, &it] {
        log_("the store accepts " + it.name + "'s connections again");
        it.store_proxy->set_refusing(false);
        it.end_disturbance(time_.now());
    });
}

void fault_injector::reset_endpoint() {
    edge_endpoint& it = pick_endpoint();
    log_("connections to " + it.standin->id() + " are reset");
    it.proxy->reset_open();
    fleet_.endpoint_disturbances().record(time_.now());
}

// At least one endpoint of each service stays ready.
void fault_injector::drain_endpoint() {
    edge_endpoint& it = pick_endpoint();
    const bool others_stay = std::any_of(
        fleet_.endpoints().begin(), fleet_.endpoints().end(), [&](const edge_endpoint& other) {
            return &other != &it && other.service == it.service && !other.leaving_since;
        });
    if (it.leaving_since || !others_stay) {
        return;
    }
    if (random_() % 2 == 0) {
        log_(it.standin->id() + " is leaving");
        fleet_.publish_leaving(it);
    } else {
        log_("the entry of " + it.standin->id() + " is removed");
        fleet_.remove_entry(it);
    }
    end_after(milliseconds(4'000), milliseconds(9'000), [this, &it] {
        log_(it.standin->id() + " is ready again");
        fleet_.publish_ready(it);
    });
}

bool fault_injector::can_be_impaired(const edge_endpoint& it) {
    const auto is_healthy = [](const edge_endpoint& endpoint) {
        const auto& standin = *endpoint.standin;
        return !endpoint.leaving_since && !standin.announces_leaving && !standin.rate_limit &&
               !standin.pause;
    };
    return is_healthy(it) && std::any_of(fleet_.endpoints().begin(), fleet_.endpoints().end(),
                                         [&](const edge_endpoint& other) {
                                             return &other != &it && other.service == it.service &&
                                                    is_healthy(other);
                                         });
}

void fault_injector::restart_later(edge_endpoint& it) {
    end_after(milliseconds(6'000), milliseconds(9'000), [this, &it] {
        log_(it.standin->id() + " restarts");
        it.standin->restart();
        it.proxy->reset_open();
        fleet_.endpoint_disturbances().record(time_.now());
        fleet_.publish_ready(it);
        on_announcement_(it);
    });
}

void fault_injector::limit_endpoint() {
    edge_endpoint& it = pick_endpoint();
    if (!can_be_impaired(it)) {
        return;
    }
    const double rate = random_() % 2 == 0 ? 1 : 4;
    log_(it.standin->id() + " announces a limit of " + std::to_string(rate) +
         " requests per second");
    it.standin->rate_limit = rate;
    on_announcement_(it);
    if (random_() % 2 == 0) {
        restart_later(it);
        return;
    }
    end_after(milliseconds(6'000), milliseconds(9'000), [this, &it] {
        log_(it.standin->id() + " no longer announces a limit");
        it.standin->rate_limit.reset();
        on_announcement_(it);
    });
}

// The endpoint's entry in the directory still says that it is ready, as if the store were updated
// late.
void fault_injector::announce_leaving_in_responses() {
    edge_endpoint& it = pick_endpoint();
    if (!can_be_impaired(it)) {
        return;
    }
    log_(it.standin->id() + " announces in its responses that it is leaving");
    it.standin->announces_leaving = true;
    end_after(milliseconds(200), milliseconds(1'000), [this, &it] { fleet_.publish_ready(it); });
    restart_later(it);
}

void fault_injector::request_pause() {
    edge_endpoint& it = pick_endpoint();
    if (!can_be_impaired(it)) {
        return;
    }
    const milliseconds pause = random_duration(random_, milliseconds(1'000), milliseconds(3'000));
    log_(it.standin->id() + " requests a pause of " + std::to_string(pause.count()) + " ms");
    it.standin->pause = pause;
    end_after(milliseconds(500), milliseconds(2'000), [&it] { it.standin->pause.reset(); });
}

void fault_injector::suspend_one_vm() {
    edge_vm& it = pick_vm();
    if (!it.process || it.suspended || it.stopping) {
        return;
    }
    log_(it.name + " is suspended");
    fleet_.suspend(it);
    end_after(milliseconds(200), milliseconds(6'000), [this, &it, start = it.incarnation] {
        if (it.incarnation == start) {
            log_(it.name + " resumes");
            fleet_.resume(it);
        }
    });
}

void fault_injector::restart_after(edge_vm& it, milliseconds min, milliseconds max) {
    end_after(min, max, [this, &it] {
        if (!it.process) {
            log_(it.name + " starts");
            fleet_.start(it);
        }
    });
}

void fault_injector::kill_some_vms() {
    const std::size_t n = 1 + random_() % 2;
    for (std::size_t i = 0; i < n; ++i) {
        edge_vm& it = pick_vm();
        log_(it.name + " is killed");
        fleet_.kill(it);
        restart_after(it, milliseconds(100), milliseconds(2'000));
    }
}

void fault_injector::kill_all_vms() {
    if (random_() % 3 == 0) {
        power_off_all();
    }
}

void fault_injector::power_off_all() {
    log_("all VMs lose power");
    for (edge_vm& it : fleet_.vms()) {
        fleet_.kill(it);
        restart_after(it, milliseconds(100), milliseconds(1'000));
    }
}

void fault_injector::restart_gracefully(edge_vm& it) {
    if (!it.process || it.stopping || it.suspended) {
        return;
    }
    log_(it.name + " receives SIGTERM");
    fleet_.request_stop(it);
    ++active_faults_;
    const time_point deadline = time_.now() + shutdown_grace;
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_);
    auto poll = std::make_shared<std::function<void()>>();
    *poll = [this, &it, timer, deadline, weak = std::weak_ptr<std::function<void()>>(poll),
             start = it.incarnation] {
        const bool replaced = it.incarnation != start || !it.process;
        const bool ended = !replaced && it.process->has_ended();
        if (!replaced && !ended && time_.now() < deadline) {
            timer->expires_after(shutdown_poll);
            timer->async_wait([again = weak.lock()](const boost::system::error_code& ec) {
                if (!ec && again) {
                    (*again)();
                }
            });
            return;
        }
        --active_faults_;
        if (replaced) {
            return;
        }
        if (!ended) {
            log_(it.name + " did not stop in time");
            ++overdue_stops_;
        }
        fleet_.kill(it);
        restart_after(it, milliseconds(50), milliseconds(1'000));
    };
    (*poll)();
}

void fault_injector::stop_one_vm() {
    restart_gracefully(pick_vm());
}

void fault_injector::rolling_restart() {
    std::size_t n = 0;
    for (edge_vm& it : fleet_.vms()) {
        const milliseconds wait = rolling_time / fleet_.vms().size() * n++;
        end_after(wait, wait, [this, &it] { restart_gracefully(it); });
    }
}

void fault_injector::change_settings() {
    for (edge_vm& it : fleet_.vms()) {
        if (random_() % 2 == 0) {
            fleet_.change_settings(it, static_cast<int>(40 + random_() % 40));
        }
    }
    log_("settings of some VMs change");
}

void fault_injector::make_store_busy() {
    make_store_unavailable(store_fault::busy, "the store is busy");
}

void fault_injector::make_store_silent() {
    make_store_unavailable(store_fault::silent, "the store does not respond");
}

void fault_injector::make_store_unavailable(store_fault how, const std::string& text) {
    log_(text);
    fleet_.store_disturbances().begin();
    fleet_.store().active_fault = how;
    end_after(milliseconds(500), milliseconds(6'000), [this] {
        log_("the store responds again");
        fleet_.store().active_fault = store_fault::none;
        fleet_.store_disturbances().end(time_.now());
    });
}

void fault_injector::slow_store() {
    log_("the store is slow");
    fleet_.store_disturbances().begin();
    fleet_.store().response_delay = random_duration(random_, milliseconds(50), milliseconds(400));
    end_after(milliseconds(1'000), milliseconds(6'000), [this] {
        fleet_.store().response_delay = milliseconds(0);
        fleet_.store_disturbances().end(time_.now());
    });
}

void fault_injector::lose_store_writes() {
    log_("the store loses responses to writes");
    fleet_.store_disturbances().begin();
    fleet_.store().lost_write_ratio = 0.4;
    fleet_.store().late_write_ratio = random_() % 2 == 0 ? 0.5 : 0;
    end_after(milliseconds(1'000), milliseconds(6'000), [this] {
        fleet_.store().lost_write_ratio = 0;
        fleet_.store_disturbances().end(time_.now());
    });
}

void fault_injector::compact_store_history() {
    log_("the store compacts its history");
    fleet_.store().compact();
    fleet_.store_disturbances().record(time_.now());
}

void fault_injector::delay_store_reads() {
    log_("store reads that may be stale lag");
    fleet_.store().read_lag = random_duration(random_, milliseconds(1'500), milliseconds(3'500));
    end_after(milliseconds(2'000), milliseconds(6'000),
              [this] { fleet_.store().read_lag = milliseconds(0); });
}

}  // namespace radishpulley::soak
