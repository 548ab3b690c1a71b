#include "policy/membership.h"

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

using base::milliseconds;

constexpr boot_tag boot = 7;
const base::instant start{base::seconds(100)};

// Returns what a process knows that has opened links to all its peers.
membership make_fleet(std::size_t peers) {
    membership known;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < peers; ++i) {
        names.push_back("h" + std::to_string(i));
        record_heard(known, names.back(), boot, {}, start);
    }
    set_peers(known, names);
    return known;
}

report_outcome report(membership& known, const std::string& reporter, milliseconds age,
                      base::instant now) {
    return record_report(known, "h0", boot, age, reporter, now).outcome_;
}

}  // namespace

// Guards against: one host with a bad link has others taken out of use.
TEST_CASE("membership: one report makes a host suspected, a second host's makes it silent") {
    membership known = make_fleet(10);
    report(known, "h1", milliseconds(300), start);
    CHECK(state_of(known, "h0") == member_state::suspected);
    report(known, "h1", milliseconds(400), start + milliseconds(100));
    CHECK(state_of(known, "h0") == member_state::suspected);
    report(known, "h2", milliseconds(300), start + milliseconds(100));
    CHECK(state_of(known, "h0") == member_state::silent);
}

// Guards against: what others report and what this process finds are kept apart.
TEST_CASE("membership: a report and an own unanswered ping make a host silent") {
    membership known = make_fleet(10);
    report(known, "h1", milliseconds(300), start);
    const auto change = record_unanswered(known, "h0", start, false, start + milliseconds(300));
    REQUIRE(change);
    CHECK(change->to_ == member_state::silent);
    CHECK(change->silent_for_ == milliseconds(600));
}

// Guards against: a host that answers this process is taken out of use because it does not answer
// others.
TEST_CASE("membership: a host that was heard after the reported silence began is not suspected") {
    membership known = make_fleet(10);
    record_heard(known, "h0", boot, start, start);
    CHECK(report(known, "h1", milliseconds(300), start + milliseconds(200)) ==
          report_outcome::refuted);
    CHECK(state_of(known, "h0") == member_state::alive);
    CHECK(report(known, "h1", milliseconds(300), start + milliseconds(400)) ==
          report_outcome::accepted);
    record_heard(known, "h0", boot, start + milliseconds(410), start + milliseconds(410));
    CHECK(state_of(known, "h0") == member_state::alive);
}

// Guards against: a frame that waited in a buffer counts as a sign of life after the silence.
TEST_CASE("membership: a frame from before the unanswered ping does not refute it") {
    membership known = make_fleet(10);
    record_unanswered(known, "h0", start, true, start + milliseconds(600));
    record_heard(known, "h0", boot, start - milliseconds(1), start + milliseconds(600));
    CHECK(state_of(known, "h0") == member_state::silent);
    record_heard(known, "h0", boot, start + milliseconds(700), start + milliseconds(700));
    CHECK(state_of(known, "h0") == member_state::alive);
}

// Guards against: a restarted host is suspected for what its earlier process did.
TEST_CASE("membership: a report about an earlier boot is outdated") {
    membership known = make_fleet(10);
    record_heard(known, "h0", boot + 1, start - base::seconds(1), start);
    CHECK(report(known, "h1", milliseconds(300), start) == report_outcome::outdated);
    CHECK(state_of(known, "h0") == member_state::alive);
}

TEST_CASE("membership: a report expires") {
    membership known = make_fleet(10);
    report(known, "h1", milliseconds(300), start);
    CHECK(expire_evidence(known, start + base::seconds(2)).empty());
    const auto changes = expire_evidence(known, start + milliseconds(2001));
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().second.to_ == member_state::alive);
}

// Guards against: one finding travels through several hosts and counts for several.
TEST_CASE("membership: a report is passed on in the name of its reporter") {
    membership known = make_fleet(10);
    report(known, "h1", milliseconds(300), start);
    const std::vector<member_notice> sent = take_notices(known, 10, start + milliseconds(100));
    REQUIRE(sent.size() == 1);
    CHECK(sent.front().reporter_ == "h1");
    CHECK(sent.front().age_ == milliseconds(400));

    membership other = make_fleet(10);
    report(other, "h1", milliseconds(400), start);
    report(other, sent.front().reporter_, milliseconds(400), start);
    CHECK(state_of(other, "h0") == member_state::suspected);
}

// Guards against: peers drop a notice without a boot, with a line in their logs.
TEST_CASE("membership: a host whose boot is unknown is in no notice") {
    membership known;
    set_peers(known, std::array<std::string, 4>{"h0", "h1", "h2", "h3"});
    record_unanswered(known, "h0", start, false, start);
    CHECK(state_of(known, "h0") == member_state::suspected);
    CHECK(take_notices(known, 10, start).empty());
}

// Guards against: a fleet in which all hosts have the notices keeps sending them.
TEST_CASE("membership: a finding is sent a bounded number of times, less if others send it") {
    membership known = make_fleet(233);
    record_unanswered(known, "h0", start, false, start);
    int sent = 0;
    while (!take_notices(known, 10, start).empty()) {
        ++sent;
    }
    CHECK(sent == 10);

    membership repeated = make_fleet(233);
    record_unanswered(repeated, "h0", start, false, start);
    for (int i = 0; i < 5; ++i) {
        report(repeated, "h" + std::to_string(i + 1), milliseconds(0), start + milliseconds(1));
    }
    sent = 0;
    while (!take_notices(repeated, 10, start).empty()) {
        ++sent;
    }
    CHECK(sent == 5);
}

// Guards against: a host whose own link is cut, or that stood still, has all others suspected.
TEST_CASE("membership: a process that finds more than half of its peers silent reports none") {
    membership known = make_fleet(10);
    for (int i = 0; i < 5; ++i) {
        record_unanswered(known, "h" + std::to_string(i), start, false, start);
    }
    CHECK(is_healthy(known, start));
    record_unanswered(known, "h5", start, false, start);
    CHECK_FALSE(is_healthy(known, start));
    CHECK(take_notices(known, 10, start).empty());
    // Its own finding is no second source beside a report.
    record_report(known, "h6", boot, milliseconds(300), "h7", start);
    record_unanswered(known, "h6", start, false, start);
    CHECK(state_of(known, "h6") == member_state::suspected);
}

// Guards against: a process that wakes believes and spreads what its stall has made untrue.
TEST_CASE("membership: a stall voids all evidence, and that of the time just after it") {
    membership known = make_fleet(10);
    report(known, "h1", milliseconds(300), start);
    record_unanswered(known, "h3", start, true, start);
    record_stall(known, start + base::seconds(3));
    CHECK(state_of(known, "h0") == member_state::alive);
    CHECK(state_of(known, "h3") == member_state::alive);
    const base::instant woken = start + base::seconds(3) + milliseconds(100);
    CHECK(report(known, "h1", milliseconds(0), woken) == report_outcome::outdated);
    CHECK_FALSE(record_unanswered(known, "h0", start, false, woken));
    CHECK(take_notices(known, 10, woken).empty());
    CHECK(report(known, "h1", milliseconds(0), woken + base::seconds(1)) ==
          report_outcome::accepted);
}

// Guards against: hosts that were sent a false report keep it until it expires.
TEST_CASE("membership: a refuted report is withdrawn from those it was sent to") {
    membership known = make_fleet(10);
    record_heard(known, "h0", boot, start - base::seconds(1), start);
    record_unanswered(known, "h0", start, false, start + milliseconds(300));
    REQUIRE(take_notices(known, 10, start + milliseconds(300)).size() == 1);
    record_heard(known, "h0", boot, start + milliseconds(400), start + milliseconds(400));
    const std::vector<member_notice> sent = take_notices(known, 10, start + milliseconds(410));
    REQUIRE(sent.size() == 1);
    CHECK(sent.front().state_ == member_state::alive);

    membership other = make_fleet(10);
    record_heard(other, "h0", boot, start - base::seconds(1), start);
    report(other, "h1", milliseconds(300), start + milliseconds(300));
    record_refutation(other, "h0", boot, sent.front().age_, start + milliseconds(411));
    CHECK(state_of(other, "h0") == member_state::alive);
}

// Guards against: findings about hosts that have left count against this process's health.
TEST_CASE("membership: hosts that leave the fleet are forgotten") {
    membership known = make_fleet(10);
    record_unanswered(known, "h0", start, false, start);
    set_peers(known, std::array<std::string, 2>{"h1", "h2"});
    CHECK(state_of(known, "h0") == member_state::alive);
    CHECK(take_notices(known, 10, start).empty());
    CHECK(known.unanswered_count_ == 0);
}
