#include <boost/test/unit_test.hpp>

#include "base/findings.h"
#include "fleet.h"
#include "peer/codec.h"
#include "raw_peer.h"

using namespace radishpulley;
using namespace radishpulley::peer_standins;

namespace {

const vm_incarnation raw_id{vm_id("vm-r"), 1};

// One daemon named vm-a, and a client below the transport.
struct daemon_and_raw_peer {
    websocket_fleet fleet{std::chrono::seconds(20)};
    std::unique_ptr<raw_peer> raw;

    daemon_and_raw_peer() {
        fleet.start("vm-a", 1);
        raw = std::make_unique<raw_peer>(fleet.host(), fleet.port("vm-a"));
    }
    bool authenticate() { return raw->authenticate(raw_id, vm_id("vm-a"), fleet_secret); }
    bool counts(std::uint64_t peer::transport_counters::*which) {
        return fleet.wait("vm-a", [&] { return fleet.at("vm-a").counters().*which >= 1; });
    }
};

using counters = peer::transport_counters;

}  // namespace

BOOST_AUTO_TEST_CASE(faulty_frames_before_the_handshake_are_counted_and_end_the_connection) {
    struct row {
        const char* what;
        std::string payload;
        std::uint64_t counters::*counted;
    };
    const nlohmann::json later_hello = {{"v", 2}, {"vm", "vm-r"}, {"inc", 1}, {"seq", 1}};
    std::string later_version;
    nlohmann::json::to_cbor(later_hello, later_version);
    const row rows[] = {
        {"garbage", "\xff\xff garbage", &counters::malformed_frames},
        {"a later version", later_version, &counters::wrong_versions},
        {"a message of a stranger", frame_of(raw_id, {"quota.loan", 5}), nullptr},
        {"a frame larger than the handshake's", std::string(8000, 'x'), &counters::oversize_frames},
    };
    for (const row& it : rows) {
        BOOST_TEST_CONTEXT(it.what) {
            daemon_and_raw_peer both;
            both.raw->upgrade();
            both.raw->send_frame(it.payload);
            BOOST_CHECK_THROW(
                while (true) { both.raw->read_frame(); }, boost::system::system_error);
            BOOST_TEST((it.counted == nullptr || both.counts(it.counted)));
            BOOST_TEST(both.fleet.at("vm-a").connected().empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_websocket_are_counted) {
    daemon_and_raw_peer both;
    both.raw->write("no request at all\r\n\r\n");
    BOOST_TEST(both.counts(&counters::malformed_frames));
}

BOOST_AUTO_TEST_CASE(a_broken_frame_header_is_counted) {
    daemon_and_raw_peer both;
    both.raw->upgrade();
    const std::string reserved_opcode = "\x83\x80";
    both.raw->write(reserved_opcode + std::string(4, '\0'));
    BOOST_CHECK_THROW(
        while (true) { both.raw->read_frame(); }, boost::system::system_error);
    BOOST_TEST(both.counts(&counters::malformed_frames));
}

BOOST_AUTO_TEST_CASE(faulty_frames_of_a_peer_are_skipped_and_counted) {
    struct row {
        const char* what;
        std::string payload;
        std::uint64_t counters::*counted;
    };
    const row rows[] = {
        {"garbage", "\xff\xff garbage", &counters::malformed_frames},
        {"another sender", frame_of({vm_id("vm-x"), 1}, {"t", 1}), &counters::wrong_senders},
        {"another incarnation", frame_of({vm_id("vm-r"), 2}, {"t", 1}), &counters::wrong_senders},
    };
    for (const row& it : rows) {
        BOOST_TEST_CONTEXT(it.what) {
            daemon_and_raw_peer both;
            BOOST_REQUIRE(both.authenticate());
            both.raw->send_frame(it.payload);
            both.raw->send_frame(frame_of(raw_id, {"t", 9}));
            BOOST_TEST(both.fleet.sees("vm-a", "message vm-r/1 t 9"));
            BOOST_TEST(both.counts(it.counted));
            BOOST_TEST(both.fleet.at("vm-a").connected().size() == 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_oversize_frame_ends_the_connection_before_its_bytes_arrive) {
    daemon_and_raw_peer both;
    BOOST_REQUIRE(both.authenticate());
    both.raw->send_frame_header(peer::max_frame_size + 1);
    BOOST_TEST(both.counts(&counters::oversize_frames));
    BOOST_TEST(both.fleet.sees("vm-a", "lost vm-r/1 malformed"));
}

BOOST_AUTO_TEST_CASE(a_newer_incarnation_replaces_an_older_one) {
    daemon_and_raw_peer both;
    BOOST_REQUIRE(both.authenticate());
    raw_peer newer(both.fleet.host(), both.fleet.port("vm-a"));
    BOOST_REQUIRE(newer.authenticate({raw_id.vm, 2}, vm_id("vm-a"), fleet_secret));
    BOOST_TEST(both.fleet.sees("vm-a", "lost vm-r/1 replaced"));
    BOOST_TEST(both.fleet.sees("vm-a", "connected vm-r/2"));
    raw_peer older(both.fleet.host(), both.fleet.port("vm-a"));
    BOOST_TEST(!older.authenticate(raw_id, vm_id("vm-a"), fleet_secret));
    BOOST_TEST(both.counts(&counters::old_incarnations));
}

BOOST_AUTO_TEST_CASE(a_peer_that_saw_a_newer_incarnation_of_this_vm_says_so) {
    daemon_and_raw_peer both;
    BOOST_REQUIRE(both.authenticate());
    const auto told = peer::detail::handshake::rejection(peer::peer_fault::superseded);
    both.raw->send_frame(frame_of(raw_id, told));
    BOOST_TEST(both.fleet.sees("vm-a", "lost vm-r/1 superseded"));
}

BOOST_AUTO_TEST_CASE(a_second_connection_of_one_incarnation_takes_over) {
    daemon_and_raw_peer both;
    BOOST_REQUIRE(both.authenticate());
    raw_peer second(both.fleet.host(), both.fleet.port("vm-a"));
    BOOST_REQUIRE(second.authenticate(raw_id, vm_id("vm-a"), fleet_secret));
    second.send_frame(frame_of(raw_id, {"t", 2}));
    BOOST_TEST(both.fleet.sees("vm-a", "message vm-r/1 t 2"));
    BOOST_TEST(both.fleet.at("vm-a").connected().size() == 1);
    BOOST_CHECK_THROW(
        while (true) { both.raw->read_frame(); }, boost::system::system_error);
}

BOOST_AUTO_TEST_CASE(a_dialer_of_another_version_is_refused) {
    websocket_fleet fleet(std::chrono::seconds(20));
    fleet.start("vm-a", 1);
    const system_clock clock;
    event_recorder recorder;
    auto later = peer::websocket_transport_builder(clock)
                     .self({vm_id("vm-l"), 1})
                     .secret(fleet_secret)
                     .listen("ws://" + fleet.host() + ":0")
                     .version(peer::protocol_version + 1)
                     .build();
    later->start(recorder.handlers());
    const std::string address = "ws://" + fleet.host() + ":" + std::to_string(fleet.port("vm-a"));
    const std::vector<peer::peer_address> peers = {{vm_id("vm-a"), address}};
    later->set_peers(peers);
    BOOST_TEST(
        fleet.wait("vm-a", [&] { return recorder.count("dial_failed vm-a wrong_version") >= 1; }));
    BOOST_TEST(fleet.at("vm-a").counters().wrong_versions >= 1);
    later->stop();
}

BOOST_AUTO_TEST_CASE(wrong_options_are_reported_together) {
    const system_clock clock;
    const auto second = std::chrono::seconds(1);
    try {
        peer::websocket_transport_builder(clock)
            .secret("short")
            .listen("http://127.0.0.1")
            .heartbeat(second, second)
            .build();
        BOOST_ERROR("nothing was reported");
    } catch (const invalid_input& e) {
        BOOST_TEST(e.found().list().size() == 4, e.found().to_string());
    }
}
