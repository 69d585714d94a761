#include "edge_fleet.h"

#include <csignal>
#include <fstream>
#include <stdexcept>

#include "http/free_port.h"
#include "platform_adapter/decoders.h"

namespace radishpulley::soak {
namespace {

using platform_adapter::standins::service_standin;

constexpr int default_retry_reserve = 54;

std::string free_loopback_address() {
    return "127.0.0.1:" + std::to_string(http::free_port());
}

std::string zone_of(std::size_t n) {
    return "zone-" + std::to_string(n % 3);
}

}  // namespace

void edge_vm::begin_disturbance() {
    ++epoch;
    disturbances.begin();
    unplanned_disturbances.begin();
}

void edge_vm::end_disturbance(time_point now) {
    disturbances.end(now);
    unplanned_disturbances.end(now);
}

void edge_vm::record_disturbance(time_point now) {
    disturbances.record(now);
    unplanned_disturbances.record(now);
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
            it.proxy = std::make_unique<loopback_proxy>(loop, it.standin->endpoint());
            it.zone = zone_of(n);
            publish_ready(it);
            endpoints_.push_back(std::move(it));
        }
    }
    for (std::size_t n = 0; n < settings_.vms; ++n) {
        edge_vm it;
        it.name = "edge-" + std::to_string(n);
        it.zone = zone_of(n);
        it.callers_address = free_loopback_address();
        it.readiness_address = free_loopback_address();
        it.peers_address = free_loopback_address();
        it.metrics_address = free_loopback_address();
        it.store_proxy = std::make_unique<loopback_proxy>(loop, store_.endpoint());
        write_settings(it, default_retry_reserve);
        vms_.push_back(std::move(it));
    }
}

std::string edge_fleet::log_file(const edge_vm& it) const {
    return settings_.directory + "/" + it.name + ".log";
}

void edge_fleet::write_settings(const edge_vm& it, int retry_reserve) const {
    std::ofstream out(settings_.directory + "/" + it.name + ".toml");
    out << "[vm]\nid = \"" << it.name << "\"\navailability_zone = \"" << it.zone
        << "\"\nregion = \"r\"\n[regions]\nzone-0 = \"r\"\nzone-1 = \"r\"\nzone-2 = \"r\"\n"
        << "[listen]\ncallers = \"" << it.callers_address << "\"\nreadiness = \""
        << it.readiness_address << "\"\npeers = \"" << it.peers_address << "\"\nmetrics = \""
        << it.metrics_address << "\"\n[store]\naddress = \"" << it.store_proxy->address()
        << "\"\n[bounds]\nshutdown_grace_s = 8\nretry_ratio = 0.2\nretry_reserve = "
        << retry_reserve << "\nlimit_reserve = 0\nconfiguration_apply_ms = " << apply_bound.count()
        << "\ndrain_ms = " << drain_bound.count() << "\nendpoints_check_fencing = true\n"
        << settings_.more_daemon_settings;
    if (!out.flush()) {
        throw std::runtime_error("cannot write the settings of " + it.name);
    }
}

void edge_fleet::start(edge_vm& it) {
    it.process = std::make_unique<standins::child_process>(
        std::vector<std::string>{settings_.daemon_program, "--edge",
                                 "--settings=" + settings_.directory + "/" + it.name + ".toml"},
        log_file(it));
    ++it.incarnation;
    ++it.epoch;
    it.suspended = false;
    it.stopping = false;
    it.record_disturbance(time_.now());
}

void edge_fleet::kill(edge_vm& it) {
    if (it.process) {
        it.process->signal(SIGKILL);
        it.process->signal(SIGCONT);
        it.process->wait();
        it.process.reset();
    }
    if (it.suspended) {
        it.suspended = false;
        it.end_disturbance(time_.now());
    }
    it.record_disturbance(time_.now());
}

void edge_fleet::request_stop(edge_vm& it) {
    if (it.process) {
        it.process->signal(SIGTERM);
        it.stopping = true;
        it.disturbances.record(time_.now());
    }
}

void edge_fleet::suspend(edge_vm& it) {
    if (it.process && !it.suspended) {
        it.process->signal(SIGSTOP);
        it.suspended = true;
        it.begin_disturbance();
    }
}

void edge_fleet::resume(edge_vm& it) {
    if (it.process && it.suspended) {
        it.process->signal(SIGCONT);
        it.suspended = false;
        it.end_disturbance(time_.now());
    }
}

void edge_fleet::publish_ready(edge_endpoint& it) {
    store_.put(platform_adapter::endpoints_kind, it.standin->id(),
               it.standin->entry(it.proxy->address(), it.zone, false));
    it.leaving_since.reset();
}

void edge_fleet::publish_leaving(edge_endpoint& it) {
    store_.put(platform_adapter::endpoints_kind, it.standin->id(),
               it.standin->entry(it.proxy->address(), it.zone, true));
    it.leaving_since = time_.now();
}

void edge_fleet::remove_entry(edge_endpoint& it) {
    store_.erase(platform_adapter::endpoints_kind, it.standin->id());
    it.leaving_since = time_.now();
}

void edge_fleet::change_settings(edge_vm& it, int retry_reserve) {
    write_settings(it, retry_reserve);
    if (it.process) {
        it.process->signal(SIGHUP);
    }
}

}  // namespace radishpulley::soak
