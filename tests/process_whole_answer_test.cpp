// A caller receives the whole answer to its own request, or sees that it does not.
#include <catch2/catch.hpp>
#include <csignal>

#include "support/plans.h"

using namespace dandelionridge::support;

namespace {

constexpr std::uint64_t download_size = 3'000'000;

caller_request download(const fleet& fleet, const std::string& id) {
    caller_request request = order_request(fleet, "h1", id, "GET");
    request.url_ += "?bytes=" + std::to_string(download_size);
    request.discard_body_ = true;
    return request;
}

std::string digest_of_download(const std::string& id) {
    const std::string path = "/orders/" + id + "?bytes=" + std::to_string(download_size);
    return sha256_of(download_bytes(path, 0, download_size));
}

// t1 on h2 in the caller's zone, t2 on h3 in another.
fleet_plan near_and_far() {
    return orders_plan({"z1", "z1", "z2"}, {"h2", "h3"}, "slots=5 timeout=5s");
}

}  // namespace

TEST_CASE("a download that breaks off is continued from another target", "[promise-whole-answer]") {
    fleet fleet(near_and_far());
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::truncated_body});
    caller caller;
    const auto answer = caller.send(download(fleet, "d"));
    CHECK(answer.complete_);
    CHECK(answer.status_ == 200);
    CHECK(answer.body_bytes_ == download_size);
    CHECK(answer.body_sha256_ == digest_of_download("d"));
    CHECK(fleet.target("t1").total_runs() == 1);
    CHECK(fleet.target("t2").total_runs() == 1);
}

TEST_CASE("a download is continued when its guard is killed", "[promise-whole-answer]") {
    fleet_plan plan = near_and_far();
    plan.relayed_hosts_ = {"h2"};
    fleet fleet(plan);
    fleet.start_all();
    caller caller;
    REQUIRE(caller.send(order_request(fleet, "h1", "warm", "GET")).status_ == 200);
    fleet.target("t1").set({.delay_ = std::chrono::milliseconds(300)});
    auto answer = send_in_background(download(fleet, "d"));
    REQUIRE(wait_for([&] { return fleet.runs_of("d") == 1; }));
    fleet.kill("h2");
    const auto got = answer.get();
    CHECK(got.complete_);
    CHECK(got.body_sha256_ == digest_of_download("d"));
}

namespace {

// Nothing of t1's cut answer passes as whole: the connection broke, the fleet says that the outcome
// is unknown, or the other target answered.
bool is_honest(const caller_response& answer) {
    const bool by_other = answer.status_ == 200 && answer.body_.starts_with("t2 ");
    return !answer.complete_ || answer.outcome() == "unknown" || by_other;
}

}  // namespace

TEST_CASE("an answer that breaks off and cannot be continued is broken visibly",
          "[promise-whole-answer]") {
    const target_mode modes[] = {target_mode::truncated_body, target_mode::truncated_chunked_body};
    for (const target_mode mode : modes) {
        fleet fleet(near_and_far());
        fleet.start_all();
        fleet.target("t1").set({.mode_ = mode});
        caller caller;
        // A short answer is collected before it is passed on, and what breaks off becomes a failure
        // or a retry; without a strong ETag, or without a length, the rest of a long one cannot be
        // told from another answer.
        if (mode == target_mode::truncated_chunked_body) {
            CHECK_FALSE(caller.send(download(fleet, "c")).complete_);
        }
        CHECK(is_honest(caller.send(order_request(fleet, "h1", "a", "POST"))));
        CHECK(is_honest(caller.send(order_request(fleet, "h1", "b", "GET"))));
        CHECK(fleet.runs_of("a") == 1);
    }
}

TEST_CASE("surplus bytes of a target reach no caller", "[promise-whole-answer]") {
    fleet fleet(orders_plan({"z1"}, {"h1"}, "slots=5 timeout=5s"));
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::trailing_bytes});
    caller caller;
    for (int i = 0; i < 20; ++i) {
        const std::string id = "s" + std::to_string(i);
        const auto answer = caller.send(order_request(fleet, "h1", id, "GET"));
        CHECK(answer.complete_);
        CHECK(answer.body_.starts_with("t1 GET /orders/" + id + " "));
        CHECK(answer.body_.find("stray") == std::string::npos);
    }
}

TEST_CASE("chunked answers pass whole", "[promise-whole-answer]") {
    fleet fleet(orders_plan({"z1"}, {"h1"}, "slots=5 timeout=5s"));
    fleet.start_all();
    fleet.target("t1").set({.chunked_ = true});
    caller caller;
    const auto answer = caller.send(download(fleet, "d"));
    CHECK(answer.complete_);
    CHECK(answer.body_sha256_ == digest_of_download("d"));
}

TEST_CASE("an answer that comes after its caller's deadline reaches nobody else",
          "[promise-whole-answer]") {
    fleet fleet(orders_plan({"z1", "z2"}, {"h2"}, "slots=5 timeout=500ms"));
    fleet.start_all();
    caller caller;
    REQUIRE(caller.send(order_request(fleet, "h1", "warm", "GET")).status_ == 200);
    fleet.target("t1").set({.delay_ = std::chrono::milliseconds(900)});
    CHECK(caller.send(order_request(fleet, "h1", "late", "POST")).outcome() == "unknown");
    fleet.target("t1").set({});
    for (int i = 0; i < 50; ++i) {
        const std::string id = "n" + std::to_string(i);
        const auto answer = caller.send(order_request(fleet, "h1", id, "GET"));
        CHECK(answer.body_.starts_with("t1 GET /orders/" + id + " "));
    }
}

TEST_CASE("an order's answer whose guard is lost midway is broken off, not left hanging",
          "[promise-whole-answer]") {
    fleet fleet(orders_plan({"z1", "z2"}, {"h2"}, "slots=5 timeout=3s"));
    fleet.start_all();
    caller_request request = order_request(fleet, "h1", "o", "POST");
    // Long enough that the freeze comes in the middle.
    request.url_ += "?bytes=2000000000";
    request.discard_body_ = true;
    auto answer = send_in_background(request);
    REQUIRE(wait_for([&] { return request.response_began_->load(); }));
    fleet.host("h2").send_signal(SIGSTOP);
    const auto got = answer.get();
    CHECK(got.status_ == 200);
    CHECK_FALSE(got.complete_);
    CHECK_FALSE(got.timed_out_);
    fleet.host("h2").send_signal(SIGCONT);
}
