#include "details/websocket_engine.h"

#include <algorithm>
#include <stdexcept>

#include "details/listen_address.h"

namespace radishpulley::peer {
namespace {

using std::chrono::milliseconds;

// Frames of the handshake are small; until it is done nothing larger is taken from a stranger.
constexpr std::size_t max_handshake_frame = 4096;

// Connections that are not authenticated yet.
constexpr std::size_t max_pending_sessions = 256;

// Bytes handed to a connection at a time; the rest stays in its queue, where heartbeats can go.
constexpr std::size_t send_window = 262'144;

constexpr auto pump_interval = milliseconds(5);
constexpr auto min_tick = milliseconds(5);
constexpr auto max_tick = milliseconds(100);

long to_milliseconds(duration value) {
    return std::chrono::duration_cast<milliseconds>(value).count();
}

template <typename Endpoint>
void make_quiet(Endpoint& endpoint) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
}

peer_fault fault_of(const detail::websocket_connection& connection) {
    const auto ec = connection.get_ec();
    if (ec == boost::asio::error::connection_refused) {
        return peer_fault::connection_refused;
    }
    if (ec == boost::asio::error::timed_out || ec == websocketpp::transport::error::timeout) {
        return peer_fault::timed_out;
    }
    return peer_fault::closed;
}

// Returns what to count where this side closed because of what it received.
std::uint64_t transport_counters::*counter_of(websocketpp::close::status::value local_close) {
    switch (local_close) {
        case websocketpp::close::status::message_too_big:
            return &transport_counters::oversize_frames;
        case websocketpp::close::status::protocol_error:
        case websocketpp::close::status::invalid_payload:
        case websocketpp::close::status::unsupported_data:
            return &transport_counters::malformed_frames;
        default:
            return nullptr;
    }
}

std::uint64_t transport_counters::*counter_of(decode_failure failure) {
    switch (failure) {
        case decode_failure::oversize:
            return &transport_counters::oversize_frames;
        case decode_failure::malformed:
            return &transport_counters::malformed_frames;
        case decode_failure::wrong_version:
            return &transport_counters::wrong_versions;
    }
    return nullptr;
}

}  // namespace

websocket_transport::engine::engine(const clock& time, websocket_transport_options options)
    : time_(time), options_(std::move(options)), random_(options_.jitter_seed) {}

websocket_transport::engine::~engine() {
    stop();
}

void websocket_transport::engine::start(transport_handlers handlers) {
    handlers_ = std::move(handlers);
    open_endpoints();
    listen();
    arm_tick();
    is_running_ = true;
    thread_ = std::thread([this] { io_.run(); });
}

void websocket_transport::engine::open_endpoints() {
    make_quiet(server_);
    make_quiet(client_);
    server_.init_asio(&io_);
    client_.init_asio(&io_);
    const auto set_common = [this](auto& endpoint) {
        endpoint.set_open_handshake_timeout(to_milliseconds(options_.heartbeat_deadline));
        endpoint.set_max_message_size(max_handshake_frame);
        endpoint.set_close_handler([this](const handle& hdl) { on_closed(hdl); });
        endpoint.set_message_handler(
            [this](const handle& hdl, const detail::websocket_server::message_ptr& frame) {
                on_frame(hdl, frame);
            });
        endpoint.set_tcp_post_init_handler([&endpoint](const handle& hdl) {
            boost::system::error_code ec;
            const boost::asio::ip::tcp::no_delay option(true);
            endpoint.get_con_from_hdl(hdl)->get_raw_socket().set_option(option, ec);
        });
    };
    set_common(server_);
    set_common(client_);
    server_.set_open_handler([this](const handle& hdl) { on_server_open(hdl); });
    server_.set_fail_handler([this](const handle& hdl) { on_server_fail(hdl); });
    client_.set_open_handler([this](const handle& hdl) { on_client_open(hdl); });
    client_.set_fail_handler([this](const handle& hdl) { on_client_fail(hdl); });
}

void websocket_transport::engine::listen() {
    const auto address = detail::parse_listen_address(options_.listen).value();
    boost::system::error_code ec;
    const auto host = boost::asio::ip::make_address(address.host, ec);
    if (ec) {
        throw std::runtime_error(options_.listen + " does not name an IP number");
    }
    server_.set_reuse_addr(true);
    server_.listen(boost::asio::ip::tcp::endpoint(host, address.port), ec);
    if (ec) {
        throw std::runtime_error("cannot listen on " + options_.listen + ": " + ec.message());
    }
    listen_port_ = server_.get_local_endpoint(ec).port();
    server_.start_accept();
}

void websocket_transport::engine::set_peers(std::vector<peer_address> peers) {
    boost::asio::post(io_, [this, peers = std::move(peers)] {
        std::map<vm_id, dial_target> targets;
        for (const peer_address& it : peers) {
            if (it.vm == options_.self.vm) {
                continue;
            }
            const auto old = targets_.find(it.vm);
            if (old != targets_.end() && old->second.address == it.address) {
                targets.emplace(it.vm, old->second);
                continue;
            }
            targets.emplace(
                it.vm,
                dial_target{it.address, {options_.min_backoff, options_.max_backoff}, time_.now()});
        }
        std::vector<session_ptr> unwanted;
        for (const auto& [connection, it] : sessions_) {
            if (!it->is_dialer()) {
                continue;
            }
            const auto kept = targets.find(it->dialed);
            const auto old = targets_.find(it->dialed);
            const bool is_same = kept != targets.end() && old != targets_.end() &&
                                 kept->second.address == old->second.address;
            if (!is_same) {
                unwanted.push_back(it);
            }
        }
        targets_ = std::move(targets);
        for (const session_ptr& it : unwanted) {
            drop(it, peer_fault::closed);
        }
        dial_due_targets(time_.now());
    });
}

send_result websocket_transport::engine::send(const vm_id& vm, const outgoing_message& message) {
    std::string frame = make_frame(message);
    if (frame.size() > max_frame_size) {
        return send_result::too_large;
    }
    session_ptr target;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = active_.find(vm);
        if (it == active_.end()) {
            return send_result::not_connected;
        }
        target = it->second;
        const auto pushed = target->queue.push(std::move(frame), false);
        counters_.heartbeats_dropped += pushed.heartbeats_dropped;
        if (!pushed.is_queued) {
            ++counters_.messages_refused;
            return send_result::queue_full;
        }
    }
    boost::asio::post(io_, [this, target] { pump(target); });
    return send_result::queued;
}

std::vector<vm_incarnation> websocket_transport::engine::connected() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<vm_incarnation> peers;
    for (const auto& [vm, it] : active_) {
        peers.push_back(*it->peer);
    }
    return peers;
}

transport_counters websocket_transport::engine::counters() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return counters_;
}

void websocket_transport::engine::stop() {
    if (!is_running_) {
        return;
    }
    is_running_ = false;
    boost::asio::post(io_, [this] { close_all(); });
    thread_.join();
    const std::lock_guard<std::mutex> lock(mutex_);
    active_.clear();
}

void websocket_transport::engine::close_all() {
    boost::system::error_code ec;
    server_.stop_listening(ec);
    for (const auto& [connection, it] : sessions_) {
        it->connection->get_raw_socket().close(ec);
    }
    sessions_.clear();
    io_.stop();
}

void websocket_transport::engine::arm_tick() {
    const auto step = std::clamp<duration>(options_.heartbeat_interval / 4, min_tick, max_tick);
    tick_.expires_after(step);
    tick_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) {
            on_tick();
        }
    });
}

void websocket_transport::engine::on_tick() {
    const time_point now = time_.now();
    std::vector<session_ptr> all;
    for (const auto& [connection, it] : sessions_) {
        all.push_back(it);
    }
    for (const session_ptr& it : all) {
        check_session(it, now);
    }
    dial_due_targets(now);
    arm_tick();
}

void websocket_transport::engine::check_session(const session_ptr& it, time_point now) {
    if (!it->peer) {
        if (now - it->started > options_.heartbeat_deadline) {
            drop(it, peer_fault::timed_out);
        }
        return;
    }
    if (now - it->last_received > options_.heartbeat_deadline) {
        count(&transport_counters::silent_connections);
        drop(it, peer_fault::silent);
        return;
    }
    if (now - it->last_heartbeat >= options_.heartbeat_interval) {
        send_heartbeat(it, now);
    }
}

void websocket_transport::engine::dial_due_targets(time_point now) {
    for (auto& [vm, target] : targets_) {
        if (now >= target.next_attempt && !has_session(vm)) {
            dial(vm, target);
        }
    }
}

bool websocket_transport::engine::has_session(const vm_id& vm) const {
    return std::any_of(sessions_.begin(), sessions_.end(), [&](const auto& entry) {
        const detail::session& it = *entry.second;
        return it.dialed == vm || (it.peer && it.peer->vm == vm);
    });
}

void websocket_transport::engine::dial(const vm_id& vm, dial_target& target) {
    const time_point now = time_.now();
    target.next_attempt = now + target.wait.next(random_);
    websocketpp::lib::error_code ec;
    const auto connection = client_.get_connection(target.address, ec);
    if (ec) {
        handlers_.on_dial_failed({vm, peer_fault::malformed});
        return;
    }
    auto auth = detail::handshake::for_dialer(options_.self, options_.secret, vm);
    const auto it = std::make_shared<detail::session>(connection, std::move(auth), now);
    it->dialed = vm;
    sessions_.emplace(connection.get(), it);
    client_.connect(connection);
}

void websocket_transport::engine::on_server_open(const handle& hdl) {
    const auto connection = server_.get_con_from_hdl(hdl);
    const auto is_pending = [](const auto& entry) { return !entry.second->peer; };
    const auto pending = std::count_if(sessions_.begin(), sessions_.end(), is_pending);
    if (static_cast<std::size_t>(pending) >= max_pending_sessions) {
        connection->terminate(websocketpp::lib::error_code());
        return;
    }
    auto auth = detail::handshake::for_listener(options_.self, options_.secret);
    sessions_.emplace(connection.get(),
                      std::make_shared<detail::session>(connection, std::move(auth), time_.now()));
}

void websocket_transport::engine::on_client_open(const handle& hdl) {
    if (const session_ptr it = find_session(hdl)) {
        send_now(it, it->auth.hello());
    }
}

void websocket_transport::engine::on_closed(const handle& hdl) {
    const session_ptr it = find_session(hdl);
    if (!it) {
        return;
    }
    const auto fault_counter = counter_of(it->connection->get_local_close_code());
    if (fault_counter != nullptr) {
        count(fault_counter);
    }
    drop(it, fault_counter == nullptr ? peer_fault::closed : peer_fault::malformed);
}

void websocket_transport::engine::on_server_fail(const handle&) {
    count(&transport_counters::malformed_frames);
}

void websocket_transport::engine::on_client_fail(const handle& hdl) {
    const session_ptr it = find_session(hdl);
    if (!it) {
        return;
    }
    const peer_fault fault = fault_of(*it->connection);
    if (fault == peer_fault::connection_refused) {
        count(&transport_counters::refused_connections);
    }
    drop(it, fault);
}

websocket_transport::engine::session_ptr websocket_transport::engine::find_session(
    const handle& hdl) const {
    const auto connection = std::static_pointer_cast<detail::websocket_connection>(hdl.lock());
    const auto it = sessions_.find(connection.get());
    return it == sessions_.end() ? nullptr : it->second;
}

void websocket_transport::engine::on_frame(const handle& hdl,
                                           const detail::websocket_server::message_ptr& frame) {
    const session_ptr it = find_session(hdl);
    if (!it) {
        return;
    }
    const std::string& payload = frame->get_payload();
    it->last_received = time_.now();
    count(&transport_counters::frames_received);
    count(&transport_counters::bytes_received, payload.size());
    const decode_result decoded = decode(payload, it->peer ? max_frame_size : max_handshake_frame);
    if (const auto* failure = std::get_if<decode_failure>(&decoded)) {
        on_undecodable(it, *failure);
        return;
    }
    const auto& message = std::get<peer_message>(decoded);
    if (it->peer) {
        on_peer_message(it, message);
    } else {
        on_handshake(it, message);
    }
}

void websocket_transport::engine::on_undecodable(const session_ptr& it, decode_failure failure) {
    const bool is_version = failure == decode_failure::wrong_version;
    count(counter_of(failure));
    if (!it->peer) {
        const peer_fault fault = is_version ? peer_fault::wrong_version : peer_fault::malformed;
        reject(it, fault, fault);
    }
}

void websocket_transport::engine::on_handshake(const session_ptr& it, const peer_message& message) {
    const detail::handshake_step step = it->auth.receive(message);
    if (step.fault) {
        if (*step.fault == peer_fault::authentication_failed) {
            count(&transport_counters::authentication_failures);
        }
        reject(it, *step.fault, *step.fault);
        return;
    }
    if (step.authenticated) {
        on_authenticated(it, step);
        return;
    }
    if (step.reply) {
        send_now(it, *step.reply);
    }
}

void websocket_transport::engine::on_authenticated(const session_ptr& it,
                                                   const detail::handshake_step& step) {
    const vm_incarnation& peer = *step.authenticated;
    const auto newest = newest_.find(peer.vm);
    if (newest != newest_.end() && peer.incarnation < newest->second) {
        count(&transport_counters::old_incarnations);
        reject(it, peer_fault::old_incarnation, peer_fault::superseded);
        return;
    }
    if (step.reply) {
        send_now(it, *step.reply);
    }
    establish(it, peer);
}

void websocket_transport::engine::on_peer_message(const session_ptr& it,
                                                  const peer_message& message) {
    if (message.sender != *it->peer) {
        count(&transport_counters::wrong_senders);
        return;
    }
    if (message.type == heartbeat_type && message.body.is_null()) {
        return;
    }
    if (const auto fault = detail::handshake::told_fault(message)) {
        drop(it, *fault);
        return;
    }
    handlers_.on_message(message);
}

void websocket_transport::engine::establish(const session_ptr& it, const vm_incarnation& peer) {
    newest_[peer.vm] = peer.incarnation;
    drop_older(peer);
    it->peer = peer;
    it->connection->set_max_message_size(max_frame_size);
    if (const auto target = targets_.find(peer.vm); target != targets_.end()) {
        target->second.wait.reset();
    }
    bool is_new = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_new = active_.count(peer.vm) == 0;
        active_[peer.vm] = it;
    }
    drop_same_direction(it);
    if (is_new) {
        handlers_.on_connected(peer);
    }
}

void websocket_transport::engine::drop_older(const vm_incarnation& peer) {
    std::vector<session_ptr> older;
    for (const auto& [connection, it] : sessions_) {
        if (it->peer && it->peer->vm == peer.vm && it->peer->incarnation < peer.incarnation) {
            older.push_back(it);
        }
    }
    for (const session_ptr& it : older) {
        drop(it, peer_fault::replaced);
    }
}

void websocket_transport::engine::drop_same_direction(const session_ptr& kept) {
    std::vector<session_ptr> others;
    for (const auto& [connection, it] : sessions_) {
        if (it != kept && it->peer == kept->peer && it->is_dialer() == kept->is_dialer()) {
            others.push_back(it);
        }
    }
    for (const session_ptr& it : others) {
        drop(it, peer_fault::replaced);
    }
}

void websocket_transport::engine::reject(const session_ptr& it, peer_fault reported,
                                         peer_fault told) {
    send_now(it, detail::handshake::rejection(told));
    websocketpp::lib::error_code ec;
    it->connection->close(websocketpp::close::status::policy_violation, "", ec);
    forget(it);
    if (it->is_dialer()) {
        handlers_.on_dial_failed({it->dialed, reported});
    }
}

void websocket_transport::engine::drop(const session_ptr& it, peer_fault fault) {
    if (sessions_.count(it->connection.get()) == 0) {
        return;
    }
    forget(it);
    it->connection->terminate(websocketpp::lib::error_code());
    if (it->peer) {
        if (release_active(it)) {
            handlers_.on_lost({*it->peer, fault});
        }
    } else if (it->is_dialer()) {
        handlers_.on_dial_failed({it->dialed, fault});
    }
}

void websocket_transport::engine::forget(const session_ptr& it) {
    sessions_.erase(it->connection.get());
    const vm_id& vm = it->peer ? it->peer->vm : it->dialed;
    const auto target = targets_.find(vm);
    if (target != targets_.end()) {
        target->second.next_attempt = time_.now() + target->second.wait.next(random_);
    }
}

bool websocket_transport::engine::release_active(const session_ptr& it) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto active = active_.find(it->peer->vm);
    if (active == active_.end() || active->second != it) {
        return false;
    }
    const auto other = std::find_if(sessions_.begin(), sessions_.end(), [&](const auto& entry) {
        return entry.second->peer == it->peer;
    });
    if (other != sessions_.end()) {
        active->second = other->second;
        return false;
    }
    active_.erase(active);
    return true;
}

std::string websocket_transport::engine::make_frame(const outgoing_message& message) {
    return encode({options_.version, options_.self, ++sequence_, message.type, message.body});
}

void websocket_transport::engine::send_now(const session_ptr& it, const outgoing_message& message) {
    const std::string frame = make_frame(message);
    it->connection->send(frame.data(), frame.size(), websocketpp::frame::opcode::binary);
    count(&transport_counters::frames_sent);
    count(&transport_counters::bytes_sent, frame.size());
}

void websocket_transport::engine::send_heartbeat(const session_ptr& it, time_point now) {
    it->last_heartbeat = now;
    outgoing_message message{heartbeat_type, nullptr};
    if (handlers_.heartbeat_body) {
        message.body = handlers_.heartbeat_body();
    }
    std::string frame = make_frame(message);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto pushed = it->queue.push(std::move(frame), true);
        counters_.heartbeats_dropped += pushed.heartbeats_dropped + (pushed.is_queued ? 0 : 1);
    }
    pump(it);
}

void websocket_transport::engine::pump(const session_ptr& it) {
    if (sessions_.count(it->connection.get()) == 0) {
        return;
    }
    while (it->connection->get_buffered_amount() < send_window) {
        std::optional<std::string> frame;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            frame = it->queue.pop();
        }
        if (!frame) {
            return;
        }
        it->connection->send(frame->data(), frame->size(), websocketpp::frame::opcode::binary);
        count(&transport_counters::frames_sent);
        count(&transport_counters::bytes_sent, frame->size());
    }
    pump_later(it);
}

void websocket_transport::engine::pump_later(const session_ptr& it) {
    if (it->is_pump_waiting) {
        return;
    }
    it->is_pump_waiting = true;
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_, pump_interval);
    timer->async_wait([this, it, timer](const boost::system::error_code& ec) {
        it->is_pump_waiting = false;
        if (!ec) {
            pump(it);
        }
    });
}

void websocket_transport::engine::count(std::uint64_t transport_counters::*which, std::uint64_t n) {
    const std::lock_guard<std::mutex> lock(mutex_);
    counters_.*which += n;
}

}  // namespace radishpulley::peer
