#include "daemon/application_pool.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace radishpulley::daemon {
namespace {

constexpr duration failed_time = std::chrono::seconds(3);

}  // namespace

application_pool::application_pool(std::chrono::milliseconds silence_limit)
    : silence_limit_(silence_limit) {}

void application_pool::configure(const model::configuration& now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::map<endpoint_id, entry> next;
    for (const model::resource* held : now.list(model::resource_kind::endpoint)) {
        const auto& it = std::get<model::endpoint>(*held);
        entry known = endpoints_.count(it.id) != 0 ? endpoints_[it.id] : entry();
        known.configured = it;
        next.emplace(it.id, std::move(known));
    }
    endpoints_ = std::move(next);
}

std::optional<chosen_endpoint> application_pool::choose(const service_id& service,
                                                        const std::vector<endpoint_id>& avoid,
                                                        time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    entry* best = nullptr;
    std::tuple<bool, bool, std::size_t> best_cost;
    for (auto& [id, it] : endpoints_) {
        if (it.configured.service != service || it.configured.draining ||
            it.running >= it.configured.concurrency) {
            continue;
        }
        const bool avoided = std::find(avoid.begin(), avoid.end(), id) != avoid.end();
        const std::tuple<bool, bool, std::size_t> cost(avoided, it.failed_until > now, it.running);
        if (best == nullptr || cost < best_cost) {
            best = &it;
            best_cost = cost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    ++best->running;
    return chosen_endpoint{best->configured.id, best->configured.address};
}

void application_pool::ended(const endpoint_id& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(id);
    if (it != endpoints_.end() && it->second.running > 0) {
        --it->second.running;
    }
}

void application_pool::failed(const endpoint_id& id, time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(id);
    if (it != endpoints_.end()) {
        it->second.failed_until = now + failed_time;
    }
}

bool application_pool::may_start(const endpoint_id& id) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(id);
    return it != endpoints_.end() && !it->second.configured.draining;
}

std::optional<std::string> application_pool::address_of(const endpoint_id& id) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(id);
    if (it == endpoints_.end()) {
        return std::nullopt;
    }
    return it->second.configured.address;
}

std::shared_ptr<http::client> application_pool::client_for(const std::string& address,
                                                           http::connection_reuse reuse) {
    if (reuse == http::connection_reuse::one_per_call) {
        return std::make_shared<http::client>(address, silence_limit_, reuse);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    std::shared_ptr<http::client>& it = clients_[address];
    if (!it) {
        it = std::make_shared<http::client>(address, silence_limit_, reuse);
    }
    return it;
}

}  // namespace radishpulley::daemon
