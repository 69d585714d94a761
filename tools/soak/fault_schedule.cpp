#include "fault_schedule.h"

#include <algorithm>

#include "draw.h"

namespace radishpulley::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds least_gap{200};
constexpr milliseconds most_gap{1'800};
// Long enough for the bounds to be checked before the next fault.
constexpr milliseconds quiet_gap{6'000};
// Time over which all VMs are asked to stop, one after the other.
constexpr milliseconds rolling_time{6'000};
constexpr milliseconds shutdown_grace{8'000};
constexpr milliseconds shutdown_poll{50};

}  // namespace

fault_schedule::fault_schedule(boost::asio::io_context& loop, const clock& time, edge_fleet& fleet,
                               fault_mix mix, std::uint64_t seed, note_handler note)
    : loop_(loop),
      time_(time),
      fleet_(fleet),
      mix_(mix),
      random_(seed),
      note_(std::move(note)),
      timer_(loop) {}

void fault_schedule::start() {
    const bool leaves_quiet = mix_ == fault_mix::silences || random_() % 6 == 0;
    timer_.expires_after(leaves_quiet ? quiet_gap : draw_time(random_, least_gap, most_gap));
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec && !stopped_) {
            next();
            start();
        }
    });
}

void fault_schedule::next() {
    const auto all = faults();
    (this->*all[random_() % all.size()])();
}

std::vector<fault_schedule::fault> fault_schedule::faults() const {
    using it = fault_schedule;
    const std::vector<fault> silences = {&it::silence_all_ways, &it::silence_everything,
                                         &it::drain_endpoint};
    const std::vector<fault> signals = {&it::freeze_one, &it::kill_some,    &it::kill_all,
                                        &it::stop_one,   &it::stop_in_turn, &it::change_settings};
    const std::vector<fault> store = {
        &it::silence_all_ways, &it::silence_one_way,    &it::reset_ways,    &it::hold_way,
        &it::delay_way,        &it::refuse_way,         &it::store_busy,    &it::store_silent,
        &it::store_slow,       &it::store_loses_writes, &it::store_forgets, &it::store_lags,
        &it::drain_endpoint};
    if (mix_ == fault_mix::silences) {
        return silences;
    }
    if (mix_ == fault_mix::directory) {
        return {&it::drain_endpoint, &it::drain_endpoint, &it::store_lags, &it::silence_all_ways};
    }
    if (mix_ == fault_mix::signals) {
        return signals;
    }
    if (mix_ == fault_mix::limits) {
        return {&it::limit_endpoint};
    }
    if (mix_ == fault_mix::leaving) {
        return {&it::leave_by_answers, &it::store_silent};
    }
    if (mix_ == fault_mix::pauses) {
        return {&it::pause_endpoint};
    }
    if (mix_ == fault_mix::store) {
        return store;
    }
    std::vector<fault> all = {&it::silence_endpoints, &it::silence_everything, &it::reset_endpoint,
                              &it::limit_endpoint,    &it::leave_by_answers,   &it::pause_endpoint};
    all.insert(all.end(), signals.begin(), signals.end());
    all.insert(all.end(), store.begin(), store.end());
    return all;
}

void fault_schedule::until(milliseconds least, milliseconds most, std::function<void()> end) {
    ++under_way_;
    auto timer =
        std::make_shared<boost::asio::steady_timer>(loop_, draw_time(random_, least, most));
    timer->async_wait([this, timer, end = std::move(end)](const boost::system::error_code& ec) {
        if (!ec) {
            --under_way_;
            end();
        }
    });
}

edge_vm& fault_schedule::any_vm() {
    return fleet_.vms()[random_() % fleet_.vms().size()];
}

edge_endpoint& fault_schedule::any_endpoint() {
    return fleet_.endpoints()[random_() % fleet_.endpoints().size()];
}

void fault_schedule::silence_all_ways() {
    note_("all connections to the store go silent");
    for (edge_vm& it : fleet_.vms()) {
        it.way_to_store->silence_open();
        it.touch(time_.now());
    }
}

void fault_schedule::silence_one_way() {
    edge_vm& it = any_vm();
    note_("connections of " + it.name + " to the store go silent");
    it.way_to_store->silence_open();
    it.touch(time_.now());
}

void fault_schedule::silence_endpoints() {
    note_("all connections to endpoints go silent");
    for (edge_endpoint& it : fleet_.endpoints()) {
        it.way->silence_open();
    }
    fleet_.endpoints_calm().touch(time_.now());
}

void fault_schedule::silence_everything() {
    silence_all_ways();
    silence_endpoints();
}

void fault_schedule::reset_ways() {
    note_("connections to the store are reset");
    for (edge_vm& it : fleet_.vms()) {
        if (random_() % 2 == 0) {
            it.way_to_store->reset_open();
            it.touch(time_.now());
        }
    }
}

void fault_schedule::hold_way() {
    edge_vm& it = any_vm();
    const auto kind = random_() % 3;
    const bool up = kind != 0;
    const bool down = kind != 1;
    note_("the way of " + it.name + " to the store is cut" + (up ? " up" : "") +
          (down ? " down" : ""));
    it.begin_harm();
    const auto set = [&it, up, down](bool held) {
        if (up) {
            it.way_to_store->set_held(proxy_direction::to_target, held);
        }
        if (down) {
            it.way_to_store->set_held(proxy_direction::from_target, held);
        }
    };
    set(true);
    until(milliseconds(500), milliseconds(6'000), [this, &it, set] {
        note_("the way of " + it.name + " to the store heals");
        set(false);
        it.end_harm(time_.now());
    });
}

void fault_schedule::delay_way() {
    edge_vm& it = any_vm();
    const milliseconds delay = draw_time(random_, milliseconds(20), milliseconds(150));
    note_("the way of " + it.name + " to the store takes " + std::to_string(delay.count()) +
          " ms longer");
    it.begin_harm();
    it.way_to_store->set_delay(delay);
    until(milliseconds(500), milliseconds(5'000), [this, &it] {
        it.way_to_store->set_delay(milliseconds(0));
        it.end_harm(time_.now());
    });
}

void fault_schedule::refuse_way() {
    edge_vm& it = any_vm();
    note_("the store turns " + it.name + " away");
    it.begin_harm();
    it.way_to_store->set_refusing(true);
    until(milliseconds(500), milliseconds(6'000), [this, &it] {
        note_("the store takes " + it.name + " again");
        it.way_to_store->set_refusing(false);
        it.end_harm(time_.now());
    });
}

void fault_schedule::reset_endpoint() {
    edge_endpoint& it = any_endpoint();
    note_("connections to " + it.standin->id() + " are reset");
    it.way->reset_open();
    fleet_.endpoints_calm().touch(time_.now());
}

// An endpoint of each service stays.
void fault_schedule::drain_endpoint() {
    edge_endpoint& it = any_endpoint();
    const bool others_stay = std::any_of(
        fleet_.endpoints().begin(), fleet_.endpoints().end(), [&](const edge_endpoint& other) {
            return &other != &it && other.service == it.service && !other.leaving_since;
        });
    if (it.leaving_since || !others_stay) {
        return;
    }
    if (random_() % 2 == 0) {
        note_(it.standin->id() + " is leaving");
        fleet_.announce_leaving(it);
    } else {
        note_("the entry of " + it.standin->id() + " is gone");
        fleet_.take_entry_away(it);
    }
    until(milliseconds(4'000), milliseconds(9'000), [this, &it] {
        note_(it.standin->id() + " is ready again");
        fleet_.announce(it);
    });
}

bool fault_schedule::may_fall_out(const edge_endpoint& it) {
    const auto is_sound = [](const edge_endpoint& each) {
        const auto& says = *each.standin;
        return !each.leaving_since && !says.announces_leaving && !says.rate_limit && !says.pause;
    };
    return is_sound(it) && std::any_of(fleet_.endpoints().begin(), fleet_.endpoints().end(),
                                       [&](const edge_endpoint& other) {
                                           return &other != &it && other.service == it.service &&
                                                  is_sound(other);
                                       });
}

void fault_schedule::restart_later(edge_endpoint& it) {
    until(milliseconds(6'000), milliseconds(9'000), [this, &it] {
        note_(it.standin->id() + " begins anew");
        it.standin->restart();
        it.way->reset_open();
        fleet_.endpoints_calm().touch(time_.now());
        fleet_.announce(it);
        on_notice_(it);
    });
}

void fault_schedule::limit_endpoint() {
    edge_endpoint& it = any_endpoint();
    if (!may_fall_out(it)) {
        return;
    }
    const double rate = random_() % 2 == 0 ? 1 : 4;
    note_(it.standin->id() + " takes " + std::to_string(rate) + " a second");
    it.standin->rate_limit = rate;
    on_notice_(it);
    if (random_() % 2 == 0) {
        restart_later(it);
        return;
    }
    until(milliseconds(6'000), milliseconds(9'000), [this, &it] {
        note_(it.standin->id() + " names no limit any more");
        it.standin->rate_limit.reset();
        on_notice_(it);
    });
}

// Its entry in the directory goes on saying that it is ready, as where the store hears it late.
void fault_schedule::leave_by_answers() {
    edge_endpoint& it = any_endpoint();
    if (!may_fall_out(it)) {
        return;
    }
    note_(it.standin->id() + " says in its answers that it is leaving");
    it.standin->announces_leaving = true;
    until(milliseconds(200), milliseconds(1'000), [this, &it] { fleet_.announce(it); });
    restart_later(it);
}

void fault_schedule::pause_endpoint() {
    edge_endpoint& it = any_endpoint();
    if (!may_fall_out(it)) {
        return;
    }
    const milliseconds pause = draw_time(random_, milliseconds(1'000), milliseconds(3'000));
    note_(it.standin->id() + " wants nothing for " + std::to_string(pause.count()) + " ms");
    it.standin->pause = pause;
    until(milliseconds(500), milliseconds(2'000), [&it] { it.standin->pause.reset(); });
}

void fault_schedule::freeze_one() {
    edge_vm& it = any_vm();
    if (!it.process || it.frozen || it.stopping) {
        return;
    }
    note_(it.name + " freezes");
    fleet_.freeze(it);
    until(milliseconds(200), milliseconds(6'000), [this, &it, start = it.incarnation] {
        if (it.incarnation == start) {
            note_(it.name + " goes on");
            fleet_.thaw(it);
        }
    });
}

void fault_schedule::restart_after(edge_vm& it, milliseconds least, milliseconds most) {
    until(least, most, [this, &it] {
        if (!it.process) {
            note_(it.name + " starts");
            fleet_.start(it);
        }
    });
}

void fault_schedule::kill_some() {
    const std::size_t n = 1 + random_() % 2;
    for (std::size_t i = 0; i < n; ++i) {
        edge_vm& it = any_vm();
        note_(it.name + " is killed");
        fleet_.kill(it);
        restart_after(it, milliseconds(100), milliseconds(2'000));
    }
}

void fault_schedule::kill_all() {
    if (random_() % 3 == 0) {
        lose_power_everywhere();
    }
}

void fault_schedule::lose_power_everywhere() {
    note_("all VMs lose power");
    for (edge_vm& it : fleet_.vms()) {
        fleet_.kill(it);
        restart_after(it, milliseconds(100), milliseconds(1'000));
    }
}

void fault_schedule::stop_and_start(edge_vm& it) {
    if (!it.process || it.stopping || it.frozen) {
        return;
    }
    note_(it.name + " is asked to stop");
    fleet_.ask_to_stop(it);
    ++under_way_;
    const time_point limit = time_.now() + shutdown_grace;
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_);
    auto poll = std::make_shared<std::function<void()>>();
    *poll = [this, &it, timer, limit, weak = std::weak_ptr<std::function<void()>>(poll),
             start = it.incarnation] {
        const bool replaced = it.incarnation != start || !it.process;
        const bool ended = !replaced && it.process->has_ended();
        if (!replaced && !ended && time_.now() < limit) {
            timer->expires_after(shutdown_poll);
            timer->async_wait([again = weak.lock()](const boost::system::error_code& ec) {
                if (!ec && again) {
                    (*again)();
                }
            });
            return;
        }
        --under_way_;
        if (replaced) {
            return;
        }
        if (!ended) {
            note_(it.name + " did not stop in time");
            ++overdue_stops_;
        }
        fleet_.kill(it);
        restart_after(it, milliseconds(50), milliseconds(1'000));
    };
    (*poll)();
}

void fault_schedule::stop_one() {
    stop_and_start(any_vm());
}

void fault_schedule::stop_in_turn() {
    std::size_t n = 0;
    for (edge_vm& it : fleet_.vms()) {
        const milliseconds wait = rolling_time / fleet_.vms().size() * n++;
        until(wait, wait, [this, &it] { stop_and_start(it); });
    }
}

void fault_schedule::change_settings() {
    for (edge_vm& it : fleet_.vms()) {
        if (random_() % 2 == 0) {
            fleet_.change_settings(it, static_cast<int>(40 + random_() % 40));
        }
    }
    note_("settings change");
}

void fault_schedule::store_busy() {
    take_store_away(store_fault::busy, "the store is busy");
}

void fault_schedule::store_silent() {
    take_store_away(store_fault::silent, "the store says nothing");
}

void fault_schedule::take_store_away(store_fault how, const std::string& text) {
    note_(text);
    fleet_.store_calm().begin();
    fleet_.store().active_fault = how;
    until(milliseconds(500), milliseconds(6'000), [this] {
        note_("the store answers again");
        fleet_.store().active_fault = store_fault::none;
        fleet_.store_calm().end(time_.now());
    });
}

void fault_schedule::store_slow() {
    note_("the store is slow");
    fleet_.store_calm().begin();
    fleet_.store().response_delay = draw_time(random_, milliseconds(50), milliseconds(400));
    until(milliseconds(1'000), milliseconds(6'000), [this] {
        fleet_.store().response_delay = milliseconds(0);
        fleet_.store_calm().end(time_.now());
    });
}

void fault_schedule::store_loses_writes() {
    note_("the store loses answers");
    fleet_.store_calm().begin();
    fleet_.store().lost_write_ratio = 0.4;
    fleet_.store().late_write_ratio = random_() % 2 == 0 ? 0.5 : 0;
    until(milliseconds(1'000), milliseconds(6'000), [this] {
        fleet_.store().lost_write_ratio = 0;
        fleet_.store_calm().end(time_.now());
    });
}

void fault_schedule::store_forgets() {
    note_("the store forgets its history");
    fleet_.store().compact();
    fleet_.store_calm().touch(time_.now());
}

void fault_schedule::store_lags() {
    note_("answers that may lag do so");
    fleet_.store().read_lag = draw_time(random_, milliseconds(1'500), milliseconds(3'500));
    until(milliseconds(2'000), milliseconds(6'000),
          [this] { fleet_.store().read_lag = milliseconds(0); });
}

}  // namespace radishpulley::soak
