/// An in-memory store that several daemons of one test share.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gateway/object_collections.h"

namespace radishpulley::edge::testing {

/// Stores objects with revisions. Callbacks run on the loop.
class memory_collections final : public gateway::object_collections {
public:
    explicit memory_collections(boost::asio::io_context& loop) : loop_(loop) {}

    /// While set, reads fail and writes are refused.
    bool is_unavailable = false;
    std::size_t write_count = 0;
    std::size_t list_calls = 0;
    /// While set, list calls get no response.
    bool drop_list_calls = false;
    /// List calls of this kind get their response when release() is called.
    std::string held_back;
    /// Answers the list calls that were held back, and holds back no more.
    void release() {
        held_back.clear();
        for (auto& call : std::exchange(held_calls_, {})) {
            call();
        }
    }
    /// While set, watches report no changes.
    bool withholds_changes = false;

    /// Keeps a copy of all objects.
    void back_up() {
        backup_ = objects_;
        backup_revision_ = revision_;
    }
    /// Comes back from that copy, in a new era.
    void restore() {
        const gateway::store_era era = gateway::era_of(revision_) + 1;
        objects_ = backup_;
        for (auto& [kind, objects] : objects_) {
            for (auto& [name, it] : objects) {
                it.revision = gateway::make_revision(era, gateway::number_of(it.revision));
            }
        }
        revision_ = gateway::make_revision(era, gateway::number_of(backup_revision_));
        history_.clear();
    }

    /// Rewrites each object of a kind unchanged, which raises its revision.
    void rewrite_all(const std::string& kind) {
        const auto all = objects_[kind];
        for (const auto& [name, it] : all) {
            store(kind, name, it.contents);
        }
    }

    void list(const std::string& kind, std::function<void(gateway::list_result)> done) override {
        ++list_calls;
        if (drop_list_calls) {
            return;
        }
        if (!held_back.empty() && kind == held_back) {
            held_calls_.push_back([this, kind, done = std::move(done)] { list(kind, done); });
            return;
        }
        answer([this, kind, done = std::move(done)] {
            if (is_unavailable) {
                done(gateway::read_failure::unavailable);
                return;
            }
            gateway::object_list out;
            out.revision = revision_;
            for (const auto& [name, it] : objects_[kind]) {
                out.objects.push_back(it);
            }
            done(std::move(out));
        });
    }

    void watch(const std::string& kind, gateway::store_revision since,
               const gateway::watch_terms& /*terms*/,
               std::function<void(gateway::changes_result)> done) override {
        // Without a delay, the loop would spin.
        auto timer = std::make_shared<boost::asio::steady_timer>(loop_, watch_delay);
        timer->async_wait([this, kind, since, timer, done = std::move(done)](auto ec) {
            if (ec || is_unavailable) {
                done(gateway::read_failure::unavailable);
                return;
            }
            if (gateway::era_of(since) != gateway::era_of(revision_)) {
                done(gateway::read_failure::history_gone);
                return;
            }
            gateway::object_changes out;
            if (withholds_changes) {
                out.revision = since;
                done(std::move(out));
                return;
            }
            out.revision = revision_;
            for (const recorded_change& it : history_) {
                if (it.kind == kind && it.change.object.revision > since) {
                    out.changes.push_back(it.change);
                }
            }
            done(std::move(out));
        });
    }

    void create(const std::string& kind, const std::string& name, const std::string& contents,
                std::function<void(gateway::write_result)> done) override {
        answer([this, kind, name, contents, done = std::move(done)] {
            if (is_unavailable) {
                done(gateway::write_refused{});
            } else if (objects_[kind].count(name) != 0) {
                done(gateway::write_conflict{objects_[kind][name]});
            } else {
                done(gateway::write_done{store(kind, name, contents)});
            }
        });
    }

    void replace(const std::string& kind, const std::string& name, gateway::store_revision revision,
                 const std::string& contents,
                 std::function<void(gateway::write_result)> done) override {
        answer([this, kind, name, revision, contents, done = std::move(done)] {
            const auto found = objects_[kind].find(name);
            if (is_unavailable) {
                done(gateway::write_refused{});
            } else if (found == objects_[kind].end()) {
                done(gateway::write_conflict{});
            } else if (found->second.revision != revision) {
                done(gateway::write_conflict{found->second});
            } else {
                done(gateway::write_done{store(kind, name, contents)});
            }
        });
    }

    void remove(const std::string& kind, const std::string& name, gateway::store_revision,
                std::function<void(gateway::write_result)> done) override {
        answer([this, kind, name, done = std::move(done)] {
            gateway::stored_object removed = objects_[kind][name];
            objects_[kind].erase(name);
            removed.name = name;
            removed.revision = ++revision_;
            history_.push_back({kind, {removed, true}});
            done(gateway::write_done{});
        });
    }

    /// Returns an object's contents, or an empty string.
    std::string contents(const std::string& kind, const std::string& name) const {
        const auto objects = objects_.find(kind);
        if (objects == objects_.end() || objects->second.count(name) == 0) {
            return {};
        }
        return objects->second.at(name).contents;
    }

    /// Whether an object has held the text at any time since the last restore.
    bool has_held(const std::string& kind, const std::string& name, const std::string& text) const {
        return std::any_of(history_.begin(), history_.end(), [&](const recorded_change& it) {
            return it.kind == kind && it.change.object.name == name &&
                   it.change.object.contents.find(text) != std::string::npos;
        });
    }

private:
    static constexpr std::chrono::milliseconds watch_delay{5};

    struct recorded_change {
        std::string kind;
        gateway::object_change change;
    };

    template <typename Call>
    void answer(Call call) {
        boost::asio::post(loop_, std::move(call));
    }

    gateway::stored_object store(const std::string& kind, const std::string& name,
                                 const std::string& contents) {
        ++write_count;
        gateway::stored_object& it = objects_[kind][name];
        it = {name, ++revision_, contents};
        history_.push_back({kind, {it, false}});
        return it;
    }

    boost::asio::io_context& loop_;
    std::vector<std::function<void()>> held_calls_;
    std::map<std::string, std::map<std::string, gateway::stored_object>> objects_;
    std::map<std::string, std::map<std::string, gateway::stored_object>> backup_;
    gateway::store_revision backup_revision_ = 1;
    std::vector<recorded_change> history_;
    gateway::store_revision revision_ = 1;
};

}  // namespace radishpulley::edge::testing
