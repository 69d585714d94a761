// Stand-in of a model engine: holds adapters, carries out orders and runs requests.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include "platform_standins/loopback_service.h"

namespace review {

using radishpulley::gateway::caller_request;
using radishpulley::gateway::caller_response;
using radishpulley::gateway::find_header;
using radishpulley::gateway::request_work;
using radishpulley::gateway::response_writer;
using radishpulley::platform_adapter::standins::loopback_service;
using radishpulley::platform_adapter::standins::pending_response;

/// An engine with one model and places for adapters. All members run on the loop's thread.
class model_engine final : public loopback_service {
public:
    model_engine(boost::asio::io_context& loop, const radishpulley::clock& time, std::string id)
        : loopback_service(loop, time), id_(std::move(id)) {}

    const std::string& id() const { return id_; }
    std::size_t orders() const { return orders_; }

    /// The engine's entry in the platform's store.
    nlohmann::json entry(const std::string& zone) const {
        return {{"service", "assist"}, {"address", address()}, {"zone", zone},  {"version", "1"},
                {"slots", slots},      {"state", "ready"},     {"sequence", 1}, {"born", born},
                {"phase", "both"},     {"models", models()}};
    }

private:
    static constexpr int slots = 32;
    static constexpr std::size_t max_adapters = 8;
    static constexpr std::int64_t born = 1'700'000'000'000;
    static constexpr std::chrono::milliseconds adapter_load_time{250};
    static constexpr std::chrono::milliseconds run_time{50};

    nlohmann::json models() const {
        nlohmann::json held = nlohmann::json::array();
        for (const std::string& it : adapters_) {
            held.push_back(it + "@1");
        }
        return {{{"name", "m0"}, {"version", 1}, {"adapters", held}}};
    }

    std::shared_ptr<request_work> start(caller_request request, response_writer& out) override {
        auto work = std::make_shared<pending_response>(loop_, out);
        caller_response head;
        head.status = 200;
        if (find_header(request.headers, "Radishpulley-Expected-Instance") != id_) {
            head.status = 421;
            head.headers.push_back({"Radishpulley-Not-Executed", "1"});
            work->send(head, "");
            return work;
        }
        if (request.target == "/v1/report") {
            const nlohmann::json report = {{"phase", "both"},
                                           {"models", models()},
                                           {"busy", false},
                                           {"sequence", sequence_},
                                           {"queued", 0},
                                           {"active", 0},
                                           {"kvUsage", 0},
                                           {"kvLimit", 90'000},
                                           {"handles", 0},
                                           {"born", born},
                                           {"pending", nlohmann::json::array()}};
            work->send(head, report.dump());
            return work;
        }
        if (request.target == "/v1/order") {
            head.status = carry_out(nlohmann::json::parse(request.body));
            work->send(head, "");
            return work;
        }
        run(request, head, work);
        return work;
    }

    unsigned carry_out(const nlohmann::json& order) {
        ++orders_;
        if (order.value("precondition", sequence_) != sequence_) {
            return 409;
        }
        const std::string adapter = order.value("adapter", "");
        const auto found = std::find(adapters_.begin(), adapters_.end(), adapter);
        const bool holds = found != adapters_.end();
        if (order["operation"] == "unloading") {
            if (holds) {
                adapters_.erase(found);
                ++sequence_;
            }
            return 200;
        }
        if (adapter.empty() || holds) {
            return 200;
        }
        ++sequence_;
        auto timer = std::make_shared<boost::asio::steady_timer>(loop_, adapter_load_time);
        timer->async_wait([this, timer, adapter, alive = alive_](auto ec) {
            if (!ec && *alive) {
                adapters_.push_back(adapter);
            }
        });
        return 202;
    }

    void run(const caller_request& request, caller_response head,
             const std::shared_ptr<pending_response>& work) {
        head.headers.push_back(
            {"Radishpulley-Attempt-Id",
             std::string(find_header(request.headers, "Radishpulley-Attempt-Id"))});
        const std::string target(find_header(request.headers, "Radishpulley-Model"));
        const std::string adapter = target.substr(std::min(target.size(), target.find('/') + 1));
        if (std::find(adapters_.begin(), adapters_.end(), adapter) == adapters_.end()) {
            head.status = 421;
            head.headers.push_back({"Radishpulley-Not-Executed", "1"});
            work->send(head, "");
            return;
        }
        head.headers.push_back({"Radishpulley-Response-Signature", "stand-in"});
        head.headers.push_back({"Content-Type", "text/event-stream"});
        work->timer.expires_after(run_time);
        work->timer.async_wait([work, head](auto ec) {
            if (!ec) {
                work->send(head, "id: 1\ndata: text\n\n");
            }
        });
    }

    std::string id_;
    std::vector<std::string> adapters_;
    std::uint64_t sequence_ = 0;
    std::size_t orders_ = 0;
};

}  // namespace review
