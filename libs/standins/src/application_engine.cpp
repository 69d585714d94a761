#include "standins/application_engine.h"

#include <map>
#include <mutex>
#include <utility>

#include "http/server.h"

namespace radishpulley::standins {

struct application_engine::details {
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t> runs;
    bool lose_next = false;
    std::unique_ptr<http::server> listener;

    void take(const http::request& it, const std::shared_ptr<http::responder>& answer) {
        std::uint64_t n = 0;
        bool lose = false;
        {
            const std::lock_guard<std::mutex> lock(mutex);
            n = ++runs[it.body];
            lose = std::exchange(lose_next, false);
        }
        if (lose) {
            answer->start({201, {{"Content-Type", "application/json"}}, {}});
            answer->abort();
            return;
        }
        answer->send(http::json_response(201, R"({"runs":)" + std::to_string(n) + "}"));
    }
};

application_engine::application_engine(std::string address)
    : details_(std::make_unique<details>()) {
    details* state = details_.get();
    details_->listener = std::make_unique<http::server>(
        std::move(address),
        [state](const http::request& it, const auto& answer) { state->take(it, answer); });
}

application_engine::~application_engine() {
    details_->listener.reset();
}

const std::string& application_engine::address() const {
    return details_->listener->address();
}

std::uint64_t application_engine::runs_of(const std::string& body) const {
    const std::lock_guard<std::mutex> lock(details_->mutex);
    const auto it = details_->runs.find(body);
    return it == details_->runs.end() ? 0 : it->second;
}

void application_engine::lose_next_answer() {
    const std::lock_guard<std::mutex> lock(details_->mutex);
    details_->lose_next = true;
}

}  // namespace radishpulley::standins
