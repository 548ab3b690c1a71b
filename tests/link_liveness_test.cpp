#include "policy/link_liveness.h"

#include <catch2/catch.hpp>

using namespace dandelionridge::policy;

namespace {

// Returns true if the link counts as silent when the next ping is due.
bool silent_with(link_liveness& liveness, std::uint64_t received_bytes) {
    record_received(liveness, received_bytes);
    return is_silent(liveness);
}

}  // namespace

TEST_CASE("a link on which nothing arrives is silent after two pings") {
    link_liveness liveness;
    record_ping(liveness, 100);
    CHECK_FALSE(silent_with(liveness, 100));
    record_ping(liveness, 100);
    CHECK(silent_with(liveness, 100));
}

TEST_CASE("a link whose pings are answered is not silent") {
    link_liveness liveness;
    for (std::uint64_t received = 0; received < 10; ++received) {
        record_pong(liveness, record_ping(liveness, received));
        CHECK_FALSE(awaits_pong(liveness));
        CHECK_FALSE(silent_with(liveness, received));
    }
}

// Guards against a host that is given up while its pongs wait behind a long message.
TEST_CASE("a link on which bytes arrive is not silent, until they end") {
    link_liveness liveness;
    std::uint64_t received = 0;
    for (int ping = 0; ping < 10; ++ping) {
        record_ping(liveness, received);
        received += 1000;
        CHECK_FALSE(silent_with(liveness, received));
    }
    // A pong that was held up does not count against the later bytes.
    record_pong(liveness, 1);
    record_ping(liveness, received);
    CHECK_FALSE(silent_with(liveness, received));
    record_ping(liveness, received);
    CHECK(silent_with(liveness, received));
}

// Guards against: a link whose pings are lost is never found silent, because the peer asks for
// probes of its idle target on it.
TEST_CASE("a link on which only unasked reports of the peer arrive is silent after two pings") {
    link_liveness liveness;
    std::uint64_t received = 100;
    record_ping(liveness, received);
    received += 200;
    disregard_received(liveness, received);
    CHECK_FALSE(silent_with(liveness, received));
    record_ping(liveness, received);
    received += 200;
    disregard_received(liveness, received);
    CHECK(silent_with(liveness, received));
}

// Guards against: requests go to a host that leaves pings unanswered until its link is given up, or
// a ping whose answer is still on its way counts against its peer.
TEST_CASE("a peer is suspected once a ping was unanswered for a whole interval") {
    link_liveness liveness;
    record_ping(liveness, 100);
    CHECK_FALSE(is_suspected(liveness, 100));
    record_ping(liveness, 100);
    CHECK(is_suspected(liveness, 100));
    // Whatever arrives clears the peer, be it the late answer or anything else.
    CHECK_FALSE(is_suspected(liveness, 101));
    record_pong(liveness, 1);
    CHECK_FALSE(is_suspected(liveness, 100));
}
