#include "routing/configuration.h"

#include <algorithm>
#include <cctype>

namespace radishpulley::routing {

std::string lower_case(std::string_view text) {
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

configuration::configuration(configuration_content content) : content_(std::move(content)) {
    for (const route& it : content_.routes) {
        routes_by_host_[lower_case(it.host)].push_back(&it);
    }
    for (auto& [host, routes] : routes_by_host_) {
        std::stable_sort(routes.begin(), routes.end(), [](const route* a, const route* b) {
            return a->path_prefix.size() > b->path_prefix.size();
        });
    }
    for (const client_account& account : content_.accounts) {
        accounts_by_id_.emplace(account.id, &account);
        for (const std::string& key : account.keys) {
            accounts_by_key_.emplace(key, &account);
        }
    }
    for (const service& it : content_.services) {
        services_by_id_.emplace(it.id, &it);
    }
}

const route* configuration::find_route(std::string_view host, std::string_view path) const {
    const auto found = routes_by_host_.find(lower_case(host.substr(0, host.find(':'))));
    if (found == routes_by_host_.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    for (const route* it : found->second) {
        if (path.compare(0, it->path_prefix.size(), it->path_prefix) == 0) {
            return it;
        }
    }
    return nullptr;
}

const client_account* configuration::find_account(std::string_view key) const {
    const auto found = accounts_by_key_.find(std::string(key));
    return found == accounts_by_key_.end() ? nullptr : found->second;
}

const client_account* configuration::find_account(const client_account_id& id) const {
    const auto found = accounts_by_id_.find(id);
    return found == accounts_by_id_.end() ? nullptr : found->second;
}

const service* configuration::find_service(const service_id& id) const {
    const auto found = services_by_id_.find(id);
    return found == services_by_id_.end() ? nullptr : found->second;
}

std::set<service_id> services_of_split_streams(const configuration& all) {
    std::set<service_id> out;
    for (const route& it : all.routes()) {
        if (!it.resumable || it.services.size() < 2) {
            continue;
        }
        for (const weighted_service& each : it.services) {
            out.insert(each.service);
        }
    }
    return out;
}

bool allows(const route& it, const service_id& service) {
    return std::any_of(it.services.begin(), it.services.end(), [&](const weighted_service& each) {
        return each.weight > 0 && each.service == service;
    });
}

const service_id* pick_service(const route& it, double point) {
    if (it.services.empty()) {
        return nullptr;
    }
    double total = 0;
    for (const weighted_service& each : it.services) {
        total += each.weight;
    }
    double left = point * total;
    for (const weighted_service& each : it.services) {
        left -= each.weight;
        if (left < 0) {
            return &each.service;
        }
    }
    return &it.services.back().service;
}

}  // namespace radishpulley::routing
