#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "forwarder.h"
#include "peer/websocket_transport.h"
#include "peer_standins/memory_transport.h"

namespace radishpulley::peer_standins {

constexpr auto wait_bound = std::chrono::seconds(30);
const std::string fleet_secret = "the secret of the fleet";

// How one daemon reaches another. Only a breakable route can be silenced.
enum class route { direct, breakable };

// What one daemon's transport reported, as lines such as `lost vm-b/2 silent`.
class event_recorder {
public:
    peer::transport_handlers handlers();
    std::size_t count(const std::string& line) const;

    // Waits for the next line, at most for a short time, and returns in any case.
    void wait_briefly();

private:
    void add(std::string line);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> lines_;
};

// Returns an address within 127.0.0.0/8 that depends on the process.
std::string own_loopback_address();

// A few daemons of one test, on either kind of transport. Each is named by its VM.
class fleet {
public:
    virtual ~fleet() = default;

    void start(const std::string& vm, incarnation_number incarnation,
               const std::string& secret = fleet_secret);
    void stop(const std::string& vm) { transports_.erase(vm); }
    virtual void connect(const std::string& from, const std::string& to,
                         route by = route::direct) = 0;
    // Makes the present connection silent in both directions for good; new ones work.
    virtual void silence(const std::string& from, const std::string& to) = 0;

    peer::peer_transport& at(const std::string& vm) { return *transports_.at(vm); }
    bool sees(const std::string& vm, const std::string& line, std::size_t times = 1);

    template <typename Condition>
    bool wait(const std::string& vm, Condition condition) {
        const auto end = std::chrono::steady_clock::now() + wait_bound;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            step(recorders_[vm]);
        }
        return true;
    }

protected:
    virtual std::unique_ptr<peer::peer_transport> make(const vm_incarnation& self,
                                                       const std::string& secret) = 0;
    virtual void on_started(const std::string&, peer::peer_transport&) {}
    virtual void step(event_recorder& recorder) = 0;

private:
    // Recorders outlive the transports that report to them.
    std::map<std::string, event_recorder> recorders_;

protected:
    std::map<std::string, std::unique_ptr<peer::peer_transport>> transports_;
};

class memory_fleet final : public fleet {
public:
    ~memory_fleet() override { transports_.clear(); }
    void connect(const std::string& from, const std::string& to, route by) override;
    void silence(const std::string& from, const std::string& to) override;

protected:
    std::unique_ptr<peer::peer_transport> make(const vm_incarnation& self,
                                               const std::string& secret) override;
    void step(event_recorder& recorder) override;

private:
    memory_network network_;
};

class websocket_fleet final : public fleet {
public:
    explicit websocket_fleet(duration heartbeat_deadline) : deadline_(heartbeat_deadline) {}
    ~websocket_fleet() override { transports_.clear(); }
    void connect(const std::string& from, const std::string& to, route by) override;
    void silence(const std::string& from, const std::string& to) override;
    const std::string& host() const { return host_; }
    std::uint16_t port(const std::string& vm) const { return ports_.at(vm); }

protected:
    std::unique_ptr<peer::peer_transport> make(const vm_incarnation& self,
                                               const std::string& secret) override;
    void on_started(const std::string& vm, peer::peer_transport& it) override;
    void step(event_recorder& recorder) override { recorder.wait_briefly(); }

private:
    duration deadline_;
    system_clock clock_;
    // An address of this process alone, so that a stopped daemon's port is still free at its
    // restart.
    const std::string host_ = own_loopback_address();
    // Chosen by the operating system at a VM's first start.
    std::map<std::string, std::uint16_t> ports_;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<forwarder>> forwarders_;
};

}  // namespace radishpulley::peer_standins
