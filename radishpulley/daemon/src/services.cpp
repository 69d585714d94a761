#include "daemon/services.h"

#include "daemon/request_session.h"

namespace radishpulley::daemon {

void session_table::add(const std::shared_ptr<request_session>& it) {
    const std::lock_guard<std::mutex> lock(mutex_);
    sessions_[it->id()] = it;
}

void session_table::remove(const request_id& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = sessions_.find(id);
    if (it != sessions_.end()) {
        sessions_.erase(it);
    }
}

std::vector<std::shared_ptr<request_session>> session_table::list() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::shared_ptr<request_session>> all;
    all.reserve(sessions_.size());
    for (const auto& it : sessions_) {
        all.push_back(it.second);
    }
    return all;
}

std::size_t session_table::size() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return sessions_.size();
}

retry_budgets::retry_budgets(requests::retry_limits limits, std::uint64_t seed)
    : limits_(limits), seed_(seed) {}

requests::retry_budget& retry_budgets::budget_of(const service_id& service) {
    return budgets_.try_emplace(service, limits_, seed_).first->second;
}

void retry_budgets::count_request(const service_id& service) {
    const std::lock_guard<std::mutex> lock(mutex_);
    budget_of(service).count_request();
}

std::optional<duration> retry_budgets::try_spend(const service_id& service,
                                                 const request_id& request,
                                                 requests::attempt_number failed_attempt) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return budget_of(service).try_spend(request, failed_attempt);
}

}  // namespace radishpulley::daemon
