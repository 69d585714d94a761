#include "stream_archive.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

#include "telemetry/event_log.h"

namespace radishpulley::edge {
namespace {

using nlohmann::json;
using telemetry::severity;

constexpr const char* archive_kind = "stream-origins";
constexpr std::chrono::milliseconds retry_delay{500};
// Streams in one object; each write sends the whole object.
constexpr std::size_t max_streams = 256;

std::string name_of(const vm_id& vm, std::size_t number) {
    return vm.str() + "-" + std::to_string(number);
}

// Format: {"streams":[[SERVICE, VERSION, [KEY, ...]], ...]}
std::string to_text(const std::map<routing::software, std::vector<routing::stream_key>>& all) {
    json list = json::array();
    for (const auto& [at, streams] : all) {
        list.push_back(json::array({at.service.str(), at.version, streams}));
    }
    return json{{"streams", std::move(list)}}.dump();
}

std::vector<routing::stream_group> read_groups(const gateway::stored_object& from) {
    std::vector<routing::stream_group> out;
    try {
        const json in = json::parse(from.contents);
        for (const json& it : in.at("streams")) {
            out.push_back({{service_id(it.at(0).get<std::string>()), it.at(1).get<std::string>()},
                           it.at(2).get<std::vector<routing::stream_key>>()});
        }
    } catch (const json::exception& e) {
        telemetry::log_event(severity::warning, "stream_archive_unreadable",
                             {{"object", from.name}, {"reason", std::string_view(e.what())}});
    }
    return out;
}

}  // namespace

stream_archive::stream_archive(boost::asio::io_context& loop, const clock& time,
                               gateway::object_collections& store, vm_id self,
                               stream_handler on_read)
    : time_(time),
      store_(store),
      self_(std::move(self)),
      on_read_(std::move(on_read)),
      retry_timer_(loop),
      flush_(loop, archive_delay(1), [this] { flush(); }) {}

void stream_archive::start() {
    read();
}

void stream_archive::read() {
    store_.list(archive_kind, [this](const gateway::list_result& result) {
        if (const auto* list = std::get_if<gateway::object_list>(&result)) {
            on_list(*list);
            return;
        }
        is_unavailable_ = true;
        on_settled_();
        retry_timer_.expires_after(retry_delay);
        retry_timer_.async_wait([this](const boost::system::error_code& ec) {
            if (!ec) {
                read();
            }
        });
    });
}

void stream_archive::on_list(const gateway::object_list& it) {
    std::size_t streams = 0;
    for (const gateway::stored_object& object : it.objects) {
        for (const routing::stream_group& group : read_groups(object)) {
            streams += group.streams.size();
            on_read_(group);
        }
        adopt(object);
    }
    is_read_ = true;
    is_unavailable_ = false;
    on_settled_();
    telemetry::log_event(severity::info, "stream_archive_read",
                         {{"objects", it.objects.size()}, {"streams", streams}});
    if (!pending_.empty()) {
        flush_.request();
    }
}

void stream_archive::adopt(const gateway::stored_object& it) {
    const std::string prefix = self_.str() + "-";
    if (it.name.compare(0, prefix.size(), prefix) != 0) {
        return;
    }
    slot known;
    const char* const begin = it.name.data() + prefix.size();
    const char* const end = it.name.data() + it.name.size();
    const auto [last, ec] = std::from_chars(begin, end, known.number);
    if (ec != std::errc() || last != end) {
        return;
    }
    known.revision = it.revision;
    known.last_written = time_.now();
    known.count = max_streams;
    slots_.push_back(std::move(known));
}

void stream_archive::add(const routing::stream_group& it) {
    auto& streams = pending_[it.at];
    streams.insert(streams.end(), it.streams.begin(), it.streams.end());
    flush_.request();
}

stream_archive::slot& stream_archive::open_slot() {
    if (!slots_.empty() && slots_.back().count < max_streams) {
        return slots_.back();
    }
    const bool is_reusable =
        !slots_.empty() && time_.now() - slots_.front().last_written > routing::stream_lifetime;
    slot next;
    if (is_reusable) {
        next.number = slots_.front().number;
        next.revision = slots_.front().revision;
        slots_.pop_front();
    } else {
        for (const slot& it : slots_) {
            next.number = std::max(next.number, it.number + 1);
        }
    }
    slots_.push_back(std::move(next));
    return slots_.back();
}

void stream_archive::flush() {
    if (!is_read_ || is_write_in_flight_) {
        return;
    }
    if (!is_dirty_ && pending_.empty()) {
        return;
    }
    slot& it = is_dirty_ ? slots_.back() : open_slot();
    move_pending(it);
    write(it);
}

void stream_archive::move_pending(slot& to) {
    while (!pending_.empty() && to.count < max_streams) {
        const auto group = pending_.begin();
        std::vector<routing::stream_key>& from = group->second;
        const std::size_t n = std::min(from.size(), max_streams - to.count);
        const auto first = from.end() - static_cast<std::ptrdiff_t>(n);
        auto& kept = to.streams[group->first];
        kept.insert(kept.end(), first, from.end());
        to.count += n;
        from.erase(first, from.end());
        if (from.empty()) {
            pending_.erase(group);
        }
    }
}

void stream_archive::write(slot& it) {
    is_write_in_flight_ = true;
    is_dirty_ = true;
    const std::string name = name_of(self_, it.number);
    const auto done = [this](const gateway::write_result& result) { on_written(result); };
    if (it.revision == 0) {
        store_.create(archive_kind, name, to_text(it.streams), done);
    } else {
        store_.replace(archive_kind, name, it.revision, to_text(it.streams), done);
    }
}

void stream_archive::on_written(const gateway::write_result& result) {
    is_write_in_flight_ = false;
    slot& it = slots_.back();
    if (const auto* done = std::get_if<gateway::write_done>(&result)) {
        it.revision = done->object.revision;
        it.last_written = time_.now();
        is_dirty_ = false;
        if (it.count >= max_streams) {
            // The store holds them.
            it.streams.clear();
        }
    } else if (const auto* conflict = std::get_if<gateway::write_conflict>(&result)) {
        it.revision = conflict->current ? conflict->current->revision : 0;
    }
    if (is_dirty_ || !pending_.empty()) {
        flush_.request();
    }
}

}  // namespace radishpulley::edge
