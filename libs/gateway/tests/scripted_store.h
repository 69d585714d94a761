/// A store whose responses a test sends one by one, and a follower of it on a virtual clock.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway/collection_follower.h"

namespace radishpulley::gateway::testing {

/// Records calls until the test responds to them.
class scripted_store final : public object_collections {
public:
    struct watch_call {
        store_revision since = 0;
        watch_terms terms;
        std::function<void(changes_result)> done;
    };

    void list(const std::string&, std::function<void(list_result)> done) override {
        lists.push_back(std::move(done));
    }
    void watch(const std::string&, store_revision since, const watch_terms& terms,
               std::function<void(changes_result)> done) override {
        watches.push_back({since, terms, std::move(done)});
    }
    void create(const std::string&, const std::string&, const std::string&,
                std::function<void(write_result)>) override {}
    void replace(const std::string&, const std::string&, store_revision, const std::string&,
                 std::function<void(write_result)>) override {}
    void remove(const std::string&, const std::string&, store_revision,
                std::function<void(write_result)>) override {}

    std::vector<std::function<void(list_result)>> lists;
    std::vector<watch_call> watches;
};

/// A follower of the scripted store; `received_changes` collects the contents of all reported
/// changes.
struct scripted_fixture {
    void start(store_revision revision) {
        follower.start();
        object_list all;
        all.revision = revision;
        store.lists.back()(all);
    }
    /// Responds to a watch with one change.
    void send_change(std::size_t watch, store_revision revision, const std::string& contents) {
        object_changes out;
        out.revision = revision;
        out.changes.push_back({{"main", revision, contents}, false});
        store.watches.at(watch).done(out);
    }
    /// Runs the loop until `done`, including timers on the real clock.
    void run_until(const std::function<bool()>& done) {
        constexpr int max_steps = 500;
        for (int i = 0; i < max_steps && !done(); ++i) {
            loop.restart();
            loop.run_one_for(milliseconds(10));
        }
        BOOST_REQUIRE(done());
    }
    void run_until_watches(std::size_t n) {
        run_until([&] { return store.watches.size() >= n; });
    }

    void run_until_lists(std::size_t n) {
        run_until([&] { return store.lists.size() >= n; });
    }

    using milliseconds = std::chrono::milliseconds;

    boost::asio::io_context loop;
    virtual_clock time;
    scripted_store store;
    follower_settings settings;
    std::vector<std::string> received_changes;
    std::vector<bool> reachable;
    int outages = 0;
    collection_follower follower{
        loop,
        time,
        store,
        "things",
        settings,
        {[](const object_list&) {},
         [this](const object_change& it) { received_changes.push_back(it.object.contents); },
         [this](bool it) { reachable.push_back(it); }, [this] { ++outages; }}};
};

}  // namespace radishpulley::gateway::testing
