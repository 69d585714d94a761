// A server with places and a queue. It may be brittle: then it says so in all its answers, lets
// fewer wait, and falls over if it has to turn too many away in a second.
#pragma once

#include <random>

#include "plain.h"

namespace bed {

class room_server {
public:
    struct shape {
        int places = 6;
        int queue = 24;
        int brittle_queue = 4;
        int brittle_rejections = 4;
        long work_ms = 150;
        double contact_s = 3;
        double down_s = 3;
    };

    room_server(std::string id, std::string service, std::string zone, const std::string& address,
                shape it)
        : id_(std::move(id)),
          service_(std::move(service)),
          zone_(std::move(zone)),
          shape_(it),
          random_(std::hash<std::string>()(id_)),
          listener_(address, [this](auto c) { serve(std::move(c)); }) {
        std::lock_guard<std::mutex> lock(mutex_);
        born_ = wall_ms();
    }

    const std::string& id() const { return id_; }
    json entry() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return {{"service", service_},    {"address", listener_.address()},
                {"zone", zone_},          {"version", "v1"},
                {"slots", shape_.places}, {"state", "ready"},
                {"coldRemainingMs", 0},   {"sequence", 1},
                {"born", born_}};
    }
    void set_brittle(bool it) {
        const std::lock_guard<std::mutex> lock(mutex_);
        brittle_since_ = it ? now_s() : -1;
    }
    struct fall {
        double at;
        int lost;
        int rejected;
    };
    std::vector<fall> falls() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return falls_;
    }
    int rejected() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return rejected_;
    }
    int runs() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return runs_;
    }
    /// Runs that a fall has cut, by attempt.
    std::set<std::string> cut() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return cut_;
    }

private:
    static std::int64_t wall_ms() {
        return std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    bool is_brittle_for_contact() const {
        return brittle_since_ >= 0 && now_s() >= brittle_since_ + shape_.contact_s;
    }

    void serve(std::shared_ptr<connection> it) {
        std::uint64_t incarnation = 0;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            incarnation = incarnation_;
        }
        while (auto request = it->read(steady::now() + std::chrono::seconds(20))) {
            const std::string attempt = request->header("Radishpulley-Attempt-Id");
            std::vector<std::pair<std::string, std::string>> headers;
            if (!attempt.empty()) {
                headers.push_back({"Radishpulley-Attempt-Id", attempt});
            }
            std::unique_lock<std::mutex> lock(mutex_);
            if (incarnation != incarnation_) {
                it->reset();
                return;
            }
            if (brittle_since_ >= 0) {
                headers.push_back({"Server-Brittle", std::to_string(shape_.brittle_rejections)});
            }
            if (request->header("Radishpulley-Expected-Instance") != id_) {
                headers.push_back({"Radishpulley-Instance-Id", id_});
                lock.unlock();
                it->write(response(421, "Misdirected Request", headers, ""));
                continue;
            }
            const int room =
                shape_.places + (is_brittle_for_contact() ? shape_.brittle_queue : shape_.queue);
            if (running_ + waiting_ >= room) {
                ++rejected_;
                headers.push_back({"Radishpulley-Not-Executed", "1"});
                const double now = now_s();
                rejections_.push_back(now);
                while (rejections_.front() < now - 1) {
                    rejections_.pop_front();
                }
                const bool falls = is_brittle_for_contact() &&
                                   static_cast<int>(rejections_.size()) > shape_.brittle_rejections;
                if (falls) {
                    fall_over(lock);
                    return;
                }
                lock.unlock();
                if (!it->write(response(503, "Service Unavailable", headers, ""))) {
                    return;
                }
                continue;
            }
            ++waiting_;
            while (running_ >= shape_.places && incarnation == incarnation_) {
                freed_.wait_for(lock, ms(20));
                if (it->has_ended()) {
                    break;
                }
            }
            if (incarnation != incarnation_) {
                it->reset();
                return;
            }
            --waiting_;
            if (it->has_ended()) {
                return;
            }
            ++running_;
            ++runs_;
            active_.insert(attempt);
            const long work = std::uniform_int_distribution<long>(shape_.work_ms / 2,
                                                                  shape_.work_ms * 3 / 2)(random_);
            lock.unlock();
            sleep_ms(work);
            lock.lock();
            if (incarnation != incarnation_) {
                it->reset();
                return;
            }
            --running_;
            active_.erase(attempt);
            freed_.notify_one();
            lock.unlock();
            headers.push_back({"Radishpulley-Response-Signature", "3e1b." + id_});
            if (!it->write(response(200, "OK", headers, "ran " + attempt))) {
                return;
            }
        }
    }

    void fall_over(std::unique_lock<std::mutex>& lock) {
        falls_.push_back({now_s(), running_ + waiting_, static_cast<int>(rejections_.size())});
        cut_.insert(active_.begin(), active_.end());
        active_.clear();
        record().line("%s falls over: %zu turned away within a second, %d cut in work, %d waiting",
                      id_.c_str(), rejections_.size(), running_, waiting_);
        ++incarnation_;
        running_ = 0;
        waiting_ = 0;
        rejections_.clear();
        freed_.notify_all();
        lock.unlock();
        listener_.stop();
        std::thread([this] {
            sleep_ms(static_cast<long>(shape_.down_s * 1000));
            {
                const std::lock_guard<std::mutex> held(mutex_);
                born_ = wall_ms();
            }
            listener_.open();
            record().line("%s is back", id_.c_str());
            on_back();
        }).detach();
    }

public:
    /// Called when the server is back, to register it again.
    std::function<void()> on_back = [] {};

private:
    std::string id_;
    std::string service_;
    std::string zone_;
    shape shape_;
    std::mutex mutex_;
    std::condition_variable freed_;
    std::mt19937_64 random_;
    std::int64_t born_ = 0;
    std::uint64_t incarnation_ = 0;
    int running_ = 0;
    int waiting_ = 0;
    int rejected_ = 0;
    int runs_ = 0;
    double brittle_since_ = -1;
    std::deque<double> rejections_;
    std::set<std::string> active_;
    std::set<std::string> cut_;
    std::vector<fall> falls_;
    listener listener_;
};

}  // namespace bed
