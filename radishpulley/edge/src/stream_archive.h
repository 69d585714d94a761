/// Keeps in the store where streams began, so that it is known after a failure of all VMs.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "delayed_call.h"
#include "gateway/object_collections.h"
#include "routing/stream_origins.h"

namespace radishpulley::edge {

/// Returns for how long a VM collects streams before it writes them, where `writers` VMs do so:
/// streams that began within this time before all VMs fail are lost. All VMs together write no more
/// often than the store bears in a large fleet, and one in a small fleet no more often than pays.
constexpr std::chrono::milliseconds archive_delay(std::size_t writers) {
    constexpr std::chrono::milliseconds delay_per_writer{10};
    constexpr std::chrono::milliseconds least{50};
    constexpr std::chrono::milliseconds most{250};
    constexpr auto writers_at_most = static_cast<std::size_t>(most / delay_per_writer);
    const auto n = static_cast<std::chrono::milliseconds::rep>(std::min(writers, writers_at_most));
    return std::max(least, delay_per_writer * n);
}

/// Reads the archive of all VMs at the start, and writes the streams that this VM is told to keep.
///
/// A VM writes a few objects in turn. Each is rewritten until it is full, and then again once its
/// streams are too old to be resumed.
class stream_archive {
public:
    using stream_handler = std::function<void(const routing::stream_group&)>;

    /// `on_read` receives what the store holds.
    stream_archive(boost::asio::io_context& loop, const clock& time,
                   gateway::object_collections& store, vm_id self, stream_handler on_read);

    void start();
    /// Whether the archive was read.
    bool is_read() const { return is_read_; }
    /// Whether the last attempt to read it failed, so that nobody can say when it will be read.
    bool is_unavailable() const { return is_unavailable_; }
    /// Sets the callback invoked when it was read, and after each attempt that failed.
    void set_on_settled(std::function<void()> call) { on_settled_ = std::move(call); }
    /// Sets the number of VMs that write.
    void set_writers(std::size_t count) { flush_.set_delay(archive_delay(count)); }
    /// Writes streams soon.
    void add(const routing::stream_group& it);

private:
    using streams_by_software = std::map<routing::software, std::vector<routing::stream_key>>;

    /// An object of this VM.
    struct slot {
        std::size_t number = 0;
        /// 0 if the object does not exist.
        gateway::store_revision revision = 0;
        time_point last_written{};
        streams_by_software streams;
        std::size_t count = 0;
    };

    void read();
    void on_list(const gateway::object_list& it);
    /// Takes an object of this VM that an earlier process wrote.
    void adopt(const gateway::stored_object& it);
    void flush();
    /// Returns the object that takes more streams.
    slot& open_slot();
    /// Moves as many streams to the object as it takes.
    void move_pending(slot& to);
    void write(slot& it);
    void on_written(const gateway::write_result& result);

    const clock& time_;
    gateway::object_collections& store_;
    vm_id self_;
    stream_handler on_read_;
    boost::asio::steady_timer retry_timer_;
    delayed_call flush_;
    bool is_read_ = false;
    bool is_unavailable_ = false;
    std::function<void()> on_settled_ = [] {};
    bool is_write_in_flight_ = false;
    streams_by_software pending_;
    /// The one that was begun last is the last.
    std::deque<slot> slots_;
    /// Whether the last object holds streams that the store does not.
    bool is_dirty_ = false;
};

}  // namespace radishpulley::edge
