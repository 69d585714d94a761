#include "software_recorder.h"

#include <algorithm>
#include <iterator>

#include <nlohmann/json.hpp>

#include "routing/rendezvous.h"
#include "telemetry/event_log.h"

namespace radishpulley::edge {
namespace {

using nlohmann::json;
using telemetry::severity;

constexpr const char* record_kind = "serving-software";
constexpr const char* record_name = "recent";
constexpr std::chrono::milliseconds retry_delay{500};
// Time that a VM gives those before it to write the record.
constexpr duration turn_time = std::chrono::seconds(1);
// Number of VMs that write it if those before them have not.
constexpr std::size_t writer_count = 4;

json to_json(const std::set<routing::software>& all) {
    json list = json::array();
    for (const routing::software& it : all) {
        list.push_back({it.service.str(), it.version});
    }
    return {{"software", std::move(list)}};
}

// Returns what can be read of the record.
std::set<routing::software> read_record(const std::string& contents) {
    std::set<routing::software> out;
    const json in = json::parse(contents, nullptr, false);
    const auto list = in.is_object() ? in.find("software") : in.end();
    if (!in.is_object() || list == in.end() || !list->is_array()) {
        telemetry::log_event(severity::warning, "software_record_unreadable",
                             {{"bytes", contents.size()}});
        return out;
    }
    for (const json& it : *list) {
        const bool is_pair =
            it.is_array() && it.size() == 2 && it.at(0).is_string() && it.at(1).is_string();
        if (is_pair) {
            out.insert({service_id(it.at(0).get<std::string>()), it.at(1).get<std::string>()});
        }
    }
    return out;
}

bool includes(const std::set<routing::software>& all, const std::set<routing::software>& part) {
    return std::includes(all.begin(), all.end(), part.begin(), part.end());
}

}  // namespace

software_recorder::software_recorder(boost::asio::io_context& loop, const clock& time,
                                     gateway::object_collections& store,
                                     gateway::gateway& data_path, const vm_id& self)
    : time_(time), store_(store), data_path_(data_path), self_(self), retry_timer_(loop) {}

void software_recorder::start() {
    read();
}

void software_recorder::on_store_restored() {
    if (is_read_) {
        read();
    }
}

void software_recorder::read() {
    if (is_call_in_flight_) {
        return;
    }
    is_call_in_flight_ = true;
    store_.list(record_kind, [this](const gateway::list_result& result) {
        is_call_in_flight_ = false;
        if (const auto* list = std::get_if<gateway::object_list>(&result)) {
            on_list(*list);
        } else {
            read_later();
        }
    });
}

void software_recorder::read_later() {
    retry_timer_.expires_after(retry_delay);
    retry_timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) {
            read();
        }
    });
}

void software_recorder::on_list(const gateway::object_list& it) {
    is_reread_ = true;
    const auto found = std::find_if(it.objects.begin(), it.objects.end(),
                                    [](const auto& object) { return object.name == record_name; });
    if (found != it.objects.end()) {
        take(*found);
        return;
    }
    recorded_.clear();
    revision_ = 0;
    is_read_ = true;
    data_path_.on_software_record({});
}

void software_recorder::take(const gateway::stored_object& it) {
    is_read_ = true;
    revision_ = it.revision;
    recorded_ = read_record(it.contents);
    data_path_.on_software_record({recorded_.begin(), recorded_.end()});
}

software_recorder::software_set software_recorder::serving_software() const {
    software_set out;
    for (const routing::endpoint* it : data_path_.directory().all()) {
        out.insert(routing::software_of(*it));
    }
    return out;
}

software_recorder::software_set software_recorder::recent_software() const {
    const auto recent = data_path_.software().recent(time_.now());
    return {recent.begin(), recent.end()};
}

bool software_recorder::is_outdated() const {
    return !includes(recorded_, serving_software()) || !includes(recent_software(), recorded_);
}

void software_recorder::update(const std::vector<vm_id>& serving) {
    if (!is_read_ || is_call_in_flight_) {
        return;
    }
    if (!is_outdated()) {
        outdated_since_.reset();
        is_reread_ = false;
        return;
    }
    const time_point now = time_.now();
    if (!outdated_since_) {
        outdated_since_ = now;
        is_reread_ = false;
    }
    const std::size_t rank = routing::rendezvous_rank(record_name, self_, serving);
    const bool is_due = rank < writer_count && now - *outdated_since_ >= turn_time * rank;
    if (is_due && rank > 0 && !is_reread_) {
        read();
    } else if (is_due) {
        write();
    }
}

void software_recorder::write() {
    software_set wanted = serving_software();
    const software_set recent = recent_software();
    std::set_intersection(recorded_.begin(), recorded_.end(), recent.begin(), recent.end(),
                          std::inserter(wanted, wanted.end()));
    const std::string contents = to_json(wanted).dump();
    is_call_in_flight_ = true;
    const auto done = [this](const gateway::write_result& it) { on_written(it); };
    if (revision_ == 0) {
        store_.create(record_kind, record_name, contents, done);
    } else {
        store_.replace(record_kind, record_name, revision_, contents, done);
    }
}

void software_recorder::on_written(const gateway::write_result& it) {
    is_call_in_flight_ = false;
    const auto* conflict = std::get_if<gateway::write_conflict>(&it);
    if (const auto* done = std::get_if<gateway::write_done>(&it)) {
        telemetry::log_event(severity::info, "software_recorded",
                             {{"software", done->object.contents}});
        take(done->object);
    } else if (conflict != nullptr && conflict->current) {
        take(*conflict->current);
    } else {
        read_later();
    }
}

}  // namespace radishpulley::edge
