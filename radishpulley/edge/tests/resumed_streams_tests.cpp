// What VMs know of the software at which streams began: from each other and from the store.
#include <boost/test/unit_test.hpp>

#include <boost/asio/ip/udp.hpp>

#include "../src/software_recorder.h"
#include "../src/stream_keepers.h"
#include "edge/fleet_member.h"
#include "memory_collections.h"
#include "null_codec.h"

namespace radishpulley::edge::testing {
namespace {

const service_id service("s");
const routing::software v1{service, "v1"};
const routing::software v2{service, "v2"};

std::string unused_address(boost::asio::io_context& loop) {
    boost::asio::ip::udp::socket probe(loop, {boost::asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

// A daemon without callers.
struct test_vm {
    test_vm(boost::asio::io_context& loop, memory_collections& store, const std::string& name)
        : id(name),
          data_path(loop, time, codec, metrics, {}),
          member(loop, time, store, settings(loop, name),
                 [this](const routing::hint_message& it) { on_hint(it); }),
          archive(loop, time, store, id,
                  [this](const auto& it) { data_path.on_streams_announced(it); }),
          streams(loop, id, member, data_path, archive),
          recorder(loop, time, store, data_path, id) {
        data_path.set_stream_peers(streams);
        member.start();
        recorder.start();
        archive.start();
    }

    static member_settings settings(boost::asio::io_context& loop, const std::string& name) {
        member_settings out;
        out.vm = vm_id(name);
        out.address = unused_address(loop);
        return out;
    }

    void on_hint(const routing::hint_message& it) {
        ++hints;
        if (const auto* begun = std::get_if<routing::stream_announcement>(&it.body)) {
            streams.on_hint(*begun);
        } else if (const auto* query = std::get_if<routing::stream_query>(&it.body)) {
            streams.on_hint(it.from.vm, *query);
        } else if (const auto* reply = std::get_if<routing::stream_reply>(&it.body)) {
            ++replies;
            streams.on_hint(*reply);
        }
    }

    void add_endpoint(const std::string& endpoint, const routing::software& runs) {
        routing::endpoint entry;
        entry.id = endpoint_id(endpoint);
        entry.service = runs.service;
        entry.software_version = runs.version;
        data_path.on_endpoint(entry);
    }

    void remove_endpoint(const std::string& endpoint) {
        data_path.directory().on_removed(endpoint_id(endpoint), time.now());
    }

    std::size_t software_count() const {
        return data_path.software().recent(service, time.now()).size();
    }

    vm_id id;
    jumping_clock time;
    null_codec codec;
    telemetry::registry metrics;
    gateway::gateway data_path;
    int hints = 0;
    int replies = 0;
    fleet_member member;
    stream_archive archive;
    stream_keepers streams;
    software_recorder recorder;
};

struct fixture {
    fixture() : store(loop) {}

    test_vm& add(const std::string& name) {
        vms.push_back(std::make_unique<test_vm>(loop, store, name));
        return *vms.back();
    }

    // Runs the loop until `done()`, while all VMs do what is periodic.
    void run_until(const std::function<bool()>& done) {
        constexpr int max_steps = 2'000;
        for (int i = 0; i < max_steps && !done(); ++i) {
            step();
        }
        BOOST_REQUIRE(done());
    }

    void step() {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(3));
        std::vector<vm_id> serving;
        for (const auto& it : vms) {
            serving.push_back(it->id);
        }
        for (const auto& it : vms) {
            it->member.broadcast(routing::vm_status{});
            it->streams.set_serving(serving);
            it->data_path.sweep();
            it->recorder.update(serving);
        }
    }

    void let_pass(duration time) {
        for (const auto& it : vms) {
            it->time.jump(time);
        }
        step();
    }

    void add_many(int count) {
        for (int i = 0; i < count; ++i) {
            add("vm" + std::to_string(i));
        }
        run_until([&] {
            return std::all_of(vms.begin(), vms.end(),
                               [count](const auto& it) { return it->hints > count * 2; });
        });
    }

    // Number of VMs that know where the stream began.
    std::ptrdiff_t count_knowing(routing::stream_key stream) const {
        return std::count_if(vms.begin(), vms.end(), [stream](const auto& it) {
            return it->data_path.origin_of(stream).has_value();
        });
    }

    // Whether the first VM has archived something with the text.
    bool is_archived(const std::string& text) {
        for (int number = 0; number < 10; ++number) {
            const std::string name = "vm0-" + std::to_string(number);
            if (store.contents("stream-origins", name).find(text) != std::string::npos) {
                return true;
            }
        }
        return false;
    }

    bool is_recorded(const std::string& text) {
        return store.contents("serving-software", "recent").find(text) != std::string::npos;
    }

    boost::asio::io_context loop;
    memory_collections store;
    std::vector<std::unique_ptr<test_vm>> vms;
    // They do nothing any more, but the store may still call them.
    std::vector<std::unique_ptr<test_vm>> stopped;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(resumed_streams_tests)

// Guards against streams that nobody knows any more after the VM that relayed them has failed.
BOOST_FIXTURE_TEST_CASE(streams_are_known_at_other_vms_while_software_is_mixed, fixture) {
    constexpr routing::stream_key early = 1;
    constexpr routing::stream_key late = 2;
    add_many(6);
    for (const auto& it : vms) {
        it->add_endpoint("e1", v1);
    }
    test_vm& first = *vms[0];
    first.data_path.note_stream(early, v1);
    for (int i = 0; i < 20; ++i) {
        step();
    }
    BOOST_TEST(count_knowing(early) == 1);
    // Another version comes: streams that began before are told too.
    first.add_endpoint("e2", v2);
    first.data_path.note_stream(late, v2);
    run_until([&] { return count_knowing(early) >= 3 && count_knowing(late) >= 3; });
    BOOST_TEST(count_knowing(late) <= 4);
    for (std::size_t i = 1; i < vms.size(); ++i) {
        test_vm& it = *vms[i];
        const auto known = it.data_path.origin_of(late);
        if (known) {
            BOOST_TEST((*known == v2));
            continue;
        }
        BOOST_TEST(it.streams.ask(late) >= 2U);
        run_until([&] { return it.data_path.origin_of(late).has_value(); });
        BOOST_TEST((*it.data_path.origin_of(late) == v2));
    }
}

// Guards against streams that nobody knows while the store is out of reach: no VM can tell then
// that one software alone began them.
BOOST_FIXTURE_TEST_CASE(streams_are_known_at_other_vms_while_the_store_is_silent, fixture) {
    constexpr routing::stream_key stream = 1;
    add_many(6);
    duration age{};
    gateway::gateway_settings settings;
    settings.max_endpoints_age = std::chrono::seconds(2);
    for (const auto& it : vms) {
        it->add_endpoint("e1", v1);
        it->data_path.reconfigure(settings);
        it->data_path.set_endpoints_age([&age] { return age; });
    }
    vms[0]->data_path.note_stream(stream, v1);
    for (int i = 0; i < 20; ++i) {
        step();
    }
    BOOST_TEST(count_knowing(stream) == 1);
    age = std::chrono::seconds(3);
    vms[0]->data_path.note_stream(stream + 1, v1);
    run_until([&] { return count_knowing(stream) >= 3 && count_knowing(stream + 1) >= 3; });
    BOOST_TEST(!is_archived("v1"));
}

// Guards against streams that nobody knows after a failure of all VMs.
BOOST_FIXTURE_TEST_CASE(streams_are_known_after_all_vms_have_failed, fixture) {
    constexpr routing::stream_key count = 700;
    add_many(3);
    for (const auto& it : vms) {
        it->add_endpoint("e1", v1);
        it->add_endpoint("e2", v2);
    }
    for (routing::stream_key stream = 0; stream < count; ++stream) {
        vms[stream % 3]->data_path.note_stream(stream, stream % 2 == 0 ? v1 : v2);
    }
    for (int i = 0; i < 500; ++i) {
        step();
    }
    const std::size_t writes = store.write_count;
    for (int i = 0; i < 150; ++i) {
        step();
    }
    // Nothing is written while no stream begins.
    BOOST_TEST(store.write_count == writes);
    stopped = std::move(vms);
    vms.clear();
    test_vm& started = add("vm0");
    run_until([&] { return started.archive.is_read(); });
    for (routing::stream_key stream = 0; stream < count; ++stream) {
        const auto known = started.data_path.origin_of(stream);
        BOOST_REQUIRE_MESSAGE(known.has_value(), "stream " << stream << " is unknown");
        BOOST_TEST((*known == (stream % 2 == 0 ? v1 : v2)));
    }
}

// Guards against objects that are written over while their streams can still be resumed, and
// against ever more of them.
BOOST_FIXTURE_TEST_CASE(the_archive_reuses_objects_of_old_streams_only, fixture) {
    test_vm& it = add("vm0");
    run_until([&] { return it.archive.is_read(); });
    for (routing::stream_key round = 0; round < 10; ++round) {
        routing::stream_group group{v1, {}};
        // One object is full, and one begun.
        for (routing::stream_key i = 0; i < 256; ++i) {
            group.streams.push_back(1'000 + round * 256 + i);
        }
        it.archive.add(group);
        const std::string first = std::to_string(group.streams.front());
        const std::string last = std::to_string(group.streams.back());
        run_until([&] { return is_archived(first) && is_archived(last); });
        if (round >= 2) {
            BOOST_TEST(is_archived(std::to_string(group.streams.front() - 2 * 256)));
        }
        let_pass(std::chrono::seconds(25));
    }
    for (int number = 0; number < 10; ++number) {
        const std::string name = "vm0-" + std::to_string(number);
        const bool is_used = !store.contents("stream-origins", name).empty();
        BOOST_TEST(is_used == (number < 3));
    }
}

// Guards against waiting for an answer that nobody can give.
BOOST_FIXTURE_TEST_CASE(vms_reply_that_they_do_not_know_a_stream, fixture) {
    add_many(4);
    test_vm& asking = *vms[0];
    const std::size_t asked = asking.streams.ask(7);
    BOOST_TEST(asked >= 2U);
    run_until([&] { return asking.replies == static_cast<int>(asked); });
    BOOST_TEST(!asking.data_path.origin_of(7).has_value());
}

// Guards against a keeper that has started again and replies that it does not know a stream before
// it has read the archive that knows it.
BOOST_FIXTURE_TEST_CASE(a_keeper_replies_once_it_has_read_the_archive, fixture) {
    constexpr routing::stream_key stream = 7;
    add_many(2);
    for (const auto& it : vms) {
        it->add_endpoint("e1", v1);
        it->add_endpoint("e2", v2);
    }
    vms[1]->data_path.note_stream(stream, v2);
    run_until([&] { return is_archived("7"); });
    stopped = std::move(vms);
    vms.clear();
    store.held_back = "stream-origins";
    add_many(2);
    test_vm& asking = *vms[0];
    BOOST_TEST((asking.streams.knowledge() == gateway::origin_knowledge::incomplete));
    BOOST_TEST(asking.streams.ask(stream) == 1U);
    for (int i = 0; i < 100; ++i) {
        step();
    }
    BOOST_TEST(asking.replies == 0);
    store.release();
    run_until([&] { return asking.replies == 1; });
    BOOST_TEST((asking.streams.knowledge() == gateway::origin_knowledge::complete));
    BOOST_TEST((asking.data_path.origin_of(stream) == v2));
}

// Guards against keepers that never reply while the store does not answer.
BOOST_FIXTURE_TEST_CASE(a_keeper_replies_without_the_archive_once_the_store_fails, fixture) {
    store.held_back = "stream-origins";
    add_many(2);
    test_vm& asking = *vms[0];
    BOOST_TEST(asking.streams.ask(7) == 1U);
    store.is_unavailable = true;
    store.release();
    run_until([&] { return asking.replies == 1; });
    BOOST_TEST((asking.streams.knowledge() == gateway::origin_knowledge::unavailable));
    BOOST_TEST(asking.streams.ask(8) == 1U);
    run_until([&] { return asking.replies == 2; });
}

// Guards against streams that are joined by VMs that start after the older software has left, as
// all that had seen it were killed.
BOOST_FIXTURE_TEST_CASE(a_vm_that_starts_learns_which_software_served_before, fixture) {
    add_many(3);
    for (const auto& it : vms) {
        it->add_endpoint("e1", v1);
        it->add_endpoint("e2", v2);
    }
    run_until([&] { return is_recorded("v1") && is_recorded("v2"); });
    for (const auto& it : vms) {
        it->remove_endpoint("e1");
    }
    let_pass(std::chrono::seconds(2));
    stopped = std::move(vms);
    vms.clear();
    test_vm& started = add("vm9");
    started.add_endpoint("e2", v2);
    BOOST_TEST(!started.data_path.software().knows_past());
    run_until([&] { return started.data_path.software().knows_past(); });
    BOOST_TEST(started.software_count() == 2U);
}

// Guards against a record that makes streams ambiguous for ever, and against one that is written
// again and again.
BOOST_FIXTURE_TEST_CASE(software_that_left_long_ago_is_taken_off_the_record, fixture) {
    add_many(3);
    for (const auto& it : vms) {
        it->add_endpoint("e1", v1);
        it->add_endpoint("e2", v2);
    }
    run_until([&] { return is_recorded("v1") && is_recorded("v2"); });
    for (const auto& it : vms) {
        it->remove_endpoint("e1");
    }
    for (int i = 0; i < 320; ++i) {
        let_pass(std::chrono::seconds(1));
    }
    run_until([&] { return !is_recorded("v1"); });
    BOOST_TEST(is_recorded("v2"));
    const std::size_t writes = store.write_count;
    for (int i = 0; i < 50; ++i) {
        let_pass(std::chrono::seconds(1));
    }
    BOOST_TEST(store.write_count == writes);
}

// Guards against a VM that takes software for the only one because the store does not answer.
BOOST_FIXTURE_TEST_CASE(without_the_record_the_past_is_not_known, fixture) {
    store.is_unavailable = true;
    test_vm& it = add("vm0");
    it.add_endpoint("e1", v1);
    for (int i = 0; i < 20; ++i) {
        step();
    }
    BOOST_TEST(!it.data_path.software().knows_past());
    store.is_unavailable = false;
    run_until([&] { return it.data_path.software().knows_past(); });
    run_until([&] { return is_recorded("v1"); });
}

// Guards against a record that stays lost after the store came back from an older copy.
BOOST_FIXTURE_TEST_CASE(the_record_is_written_again_after_a_restore, fixture) {
    add_many(2);
    store.back_up();
    for (const auto& it : vms) {
        it->add_endpoint("e1", v1);
    }
    run_until([&] { return is_recorded("v1"); });
    store.restore();
    BOOST_TEST(!is_recorded("v1"));
    for (const auto& it : vms) {
        it->recorder.on_store_restored();
    }
    run_until([&] { return is_recorded("v1"); });
}

// Guards against streams, most of which last less than half a second, that all VMs forget in a
// failure because a small fleet archives as seldom as a large one.
BOOST_AUTO_TEST_CASE(a_small_fleet_archives_streams_sooner_than_a_large_one) {
    using std::chrono::milliseconds;
    constexpr std::size_t writers_of_9_vms = 2;
    constexpr std::size_t writers_of_380_vms = 24;
    constexpr int most_writes_per_second = 100;
    BOOST_TEST((archive_delay(writers_of_9_vms) <= milliseconds(50)));
    for (std::size_t writers = 1; writers <= writers_of_380_vms; ++writers) {
        const auto per_second = static_cast<int>(writers) * 1'000 / archive_delay(writers).count();
        BOOST_TEST(per_second <= most_writes_per_second);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::edge::testing
