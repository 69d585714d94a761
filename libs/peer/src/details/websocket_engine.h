#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "details/backoff.h"
#include "details/session.h"
#include "peer/codec.h"
#include "peer/websocket_transport.h"

namespace radishpulley::peer {

// All connections of one daemon. One thread runs the handlers, the timers and every change of the
// sessions; the mutex guards only what send(), connected() and counters() look at.
class websocket_transport::engine {
public:
    engine(const clock& time, websocket_transport_options options);
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    void start(transport_handlers handlers);
    void set_peers(std::vector<peer_address> peers);
    send_result send(const vm_id& vm, const outgoing_message& message);
    std::vector<vm_incarnation> connected() const;
    transport_counters counters() const;
    void stop();
    std::uint16_t listen_port() const { return listen_port_; }

private:
    using session_ptr = detail::session_ptr;
    using handle = detail::connection_handle;

    // A peer that this daemon connects to.
    struct dial_target {
        std::string address;
        detail::backoff wait;
        time_point next_attempt;
    };

    void open_endpoints();
    void listen();
    void close_all();

    void on_tick();
    void arm_tick();
    void check_session(const session_ptr& it, time_point now);
    void dial_due_targets(time_point now);
    void dial(const vm_id& vm, dial_target& target);
    bool has_session(const vm_id& vm) const;

    void on_server_open(const handle& hdl);
    void on_client_open(const handle& hdl);
    void on_closed(const handle& hdl);
    void on_server_fail(const handle& hdl);
    void on_client_fail(const handle& hdl);
    void on_frame(const handle& hdl, const detail::websocket_server::message_ptr& frame);
    session_ptr find_session(const handle& hdl) const;

    void on_undecodable(const session_ptr& it, decode_failure failure);
    void on_handshake(const session_ptr& it, const peer_message& message);
    void on_authenticated(const session_ptr& it, const detail::handshake_step& step);
    void on_peer_message(const session_ptr& it, const peer_message& message);
    void establish(const session_ptr& it, const vm_incarnation& peer);
    void drop_older(const vm_incarnation& peer);
    void drop_same_direction(const session_ptr& kept);
    void reject(const session_ptr& it, peer_fault reported, peer_fault told);
    void drop(const session_ptr& it, peer_fault fault);
    void forget(const session_ptr& it);
    bool release_active(const session_ptr& it);

    std::string make_frame(const outgoing_message& message);
    void send_now(const session_ptr& it, const outgoing_message& message);
    void send_heartbeat(const session_ptr& it, time_point now);
    void pump(const session_ptr& it);
    void pump_later(const session_ptr& it);
    void count(std::uint64_t transport_counters::*which, std::uint64_t n = 1);

    const clock& time_;
    const websocket_transport_options options_;
    transport_handlers handlers_;
    std::uint16_t listen_port_ = 0;
    bool is_running_ = false;
    std::atomic<std::uint64_t> sequence_{0};

    boost::asio::io_context io_;
    boost::asio::steady_timer tick_{io_};
    detail::websocket_server server_;
    detail::websocket_client client_;
    std::mt19937_64 random_;
    std::map<const detail::websocket_connection*, session_ptr> sessions_;
    std::map<vm_id, dial_target> targets_;
    std::map<vm_id, incarnation_number> newest_;

    mutable std::mutex mutex_;
    std::map<vm_id, session_ptr> active_;
    transport_counters counters_;

    std::thread thread_;
};

}  // namespace radishpulley::peer
