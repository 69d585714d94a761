/// The store in memory, for several daemons of one test.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gateway/object_collections.h"

namespace radishpulley::edge::testing {

/// Keeps objects with revisions; answers come from the loop.
class memory_collections final : public gateway::object_collections {
public:
    explicit memory_collections(boost::asio::io_context& loop) : loop_(loop) {}

    /// While it is away, reads fail and writes do nothing.
    bool away = false;
    std::size_t writes = 0;
    std::size_t lists = 0;
    /// While it is set, lists are not answered.
    bool hold_lists = false;

    /// Writes each object of a kind again as it is.
    void touch_all(const std::string& kind) {
        const auto all = objects_[kind];
        for (const auto& [name, it] : all) {
            store(kind, name, it.contents);
        }
    }

    void list(const std::string& kind, std::function<void(gateway::list_result)> done) override {
        ++lists;
        if (hold_lists) {
            return;
        }
        answer([this, kind, done = std::move(done)] {
            if (away) {
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
        // A short wait, so that the loop does not spin.
        auto timer = std::make_shared<boost::asio::steady_timer>(loop_, watch_pause);
        timer->async_wait([this, kind, since, timer, done = std::move(done)](auto ec) {
            if (ec || away) {
                done(gateway::read_failure::unavailable);
                return;
            }
            gateway::object_changes out;
            out.revision = revision_;
            for (const past& it : history_) {
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
            if (away) {
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
            if (away) {
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
            objects_[kind].erase(name);
            done(gateway::write_done{});
        });
    }

    /// Returns the contents, or an empty text.
    std::string contents(const std::string& kind, const std::string& name) {
        return objects_[kind][name].contents;
    }

private:
    static constexpr std::chrono::milliseconds watch_pause{5};

    struct past {
        std::string kind;
        gateway::object_change change;
    };

    template <typename Call>
    void answer(Call call) {
        boost::asio::post(loop_, std::move(call));
    }

    gateway::stored_object store(const std::string& kind, const std::string& name,
                                 const std::string& contents) {
        ++writes;
        gateway::stored_object& it = objects_[kind][name];
        it = {name, ++revision_, contents};
        history_.push_back({kind, {it, false}});
        return it;
    }

    boost::asio::io_context& loop_;
    std::map<std::string, std::map<std::string, gateway::stored_object>> objects_;
    std::vector<past> history_;
    gateway::store_revision revision_ = 1;
};

}  // namespace radishpulley::edge::testing
