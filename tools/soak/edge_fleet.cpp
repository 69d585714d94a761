#include "edge_fleet.h"

#include <csignal>
#include <fstream>
#include <stdexcept>

#include "http/free_port.h"

namespace radishpulley::soak {
namespace {

using platform_adapter::standins::service_standin;

constexpr int usual_retry_reserve = 54;

std::string free_loopback_address() {
    return "127.0.0.1:" + std::to_string(http::free_port());
}

std::string zone_of(std::size_t n) {
    return "zone-" + std::to_string(n % 3);
}

}  // namespace

void edge_vm::begin_harm() {
    ++period;
    calm.begin();
    calm_but_for_stops.begin();
}

void edge_vm::end_harm(time_point now) {
    calm.end(now);
    calm_but_for_stops.end(now);
}

void edge_vm::touch(time_point now) {
    calm.touch(now);
    calm_but_for_stops.touch(now);
}

edge_fleet::edge_fleet(boost::asio::io_context& loop, const clock& time, fleet_settings settings)
    : time_(time), settings_(std::move(settings)), store_(loop, time) {
    store_.page_size = 500;
    for (const std::string service : {"a", "b"}) {
        for (std::size_t n = 0; n < settings_.endpoints_per_service; ++n) {
            edge_endpoint it;
            it.service = service;
            const std::string id = "i-" + service + std::to_string(n);
            it.standin = std::make_unique<service_standin>(loop, time, id, service, runs_);
            it.way = std::make_unique<loopback_proxy>(loop, it.standin->endpoint());
            it.zone = zone_of(n);
            announce(it);
            endpoints_.push_back(std::move(it));
        }
    }
    for (std::size_t n = 0; n < settings_.vms; ++n) {
        edge_vm it;
        it.name = "edge-" + std::to_string(n);
        it.zone = zone_of(n);
        it.callers = free_loopback_address();
        it.readiness = free_loopback_address();
        it.peers = free_loopback_address();
        it.metrics = free_loopback_address();
        it.way_to_store = std::make_unique<loopback_proxy>(loop, store_.endpoint());
        write_settings(it, usual_retry_reserve);
        vms_.push_back(std::move(it));
    }
}

std::string edge_fleet::log_file(const edge_vm& it) const {
    return settings_.folder + "/" + it.name + ".log";
}

void edge_fleet::write_settings(const edge_vm& it, int retry_reserve) const {
    std::ofstream out(settings_.folder + "/" + it.name + ".toml");
    out << "[vm]\nid = \"" << it.name << "\"\navailability_zone = \"" << it.zone
        << "\"\nregion = \"r\"\n[regions]\nzone-0 = \"r\"\nzone-1 = \"r\"\nzone-2 = \"r\"\n"
        << "[listen]\ncallers = \"" << it.callers << "\"\nreadiness = \"" << it.readiness
        << "\"\npeers = \"" << it.peers << "\"\nmetrics = \"" << it.metrics
        << "\"\n[store]\naddress = \"" << it.way_to_store->address()
        << "\"\n[bounds]\nshutdown_grace_s = 8\nretry_ratio = 0.2\nretry_reserve = "
        << retry_reserve << "\nlimit_reserve = 0\nconfiguration_apply_ms = " << apply_bound.count()
        << "\ndrain_ms = " << drain_bound.count() << "\nendpoints_check_fencing = true\n";
    if (!out.flush()) {
        throw std::runtime_error("cannot write the settings of " + it.name);
    }
}

void edge_fleet::start(edge_vm& it) {
    it.process = std::make_unique<standins::child_process>(
        std::vector<std::string>{settings_.daemon_program, "--edge",
                                 "--settings=" + settings_.folder + "/" + it.name + ".toml"},
        log_file(it));
    ++it.incarnation;
    ++it.period;
    it.frozen = false;
    it.stopping = false;
    it.touch(time_.now());
}

void edge_fleet::kill(edge_vm& it) {
    if (it.process) {
        it.process->signal(SIGKILL);
        it.process->signal(SIGCONT);
        it.process->wait();
        it.process.reset();
    }
    if (it.frozen) {
        it.frozen = false;
        it.end_harm(time_.now());
    }
    it.touch(time_.now());
}

void edge_fleet::ask_to_stop(edge_vm& it) {
    if (it.process) {
        it.process->signal(SIGTERM);
        it.stopping = true;
        it.calm.touch(time_.now());
    }
}

void edge_fleet::freeze(edge_vm& it) {
    if (it.process && !it.frozen) {
        it.process->signal(SIGSTOP);
        it.frozen = true;
        it.begin_harm();
    }
}

void edge_fleet::thaw(edge_vm& it) {
    if (it.process && it.frozen) {
        it.process->signal(SIGCONT);
        it.frozen = false;
        it.end_harm(time_.now());
    }
}

void edge_fleet::announce(edge_endpoint& it) {
    store_.put("servers", it.standin->id(), it.standin->entry(it.way->address(), it.zone, false));
    it.leaving_since.reset();
}

void edge_fleet::announce_leaving(edge_endpoint& it) {
    store_.put("servers", it.standin->id(), it.standin->entry(it.way->address(), it.zone, true));
    it.leaving_since = time_.now();
}

void edge_fleet::take_entry_away(edge_endpoint& it) {
    store_.erase("servers", it.standin->id());
    it.leaving_since = time_.now();
}

void edge_fleet::change_settings(edge_vm& it, int retry_reserve) {
    write_settings(it, retry_reserve);
    if (it.process) {
        it.process->signal(SIGHUP);
    }
}

}  // namespace radishpulley::soak
