// Requests whose body is larger than what a caller proxy buffers wait for a slot like all others.
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <sstream>
#include <thread>
#include <vector>

#include "support/local.h"
#include "support/plans.h"
#include "support/raw_caller.h"

using namespace dandelionridge::support;

namespace {

constexpr std::size_t large_body_bytes = 200'000;
constexpr int requests_of_each_kind = 20;

std::string large_body() {
    return std::string(large_body_bytes, 'x');
}

caller_request large_order(const fleet& fleet, const std::string& id, const std::string& method) {
    caller_request order = order_request(fleet, "h1", id, method);
    order.body_ = large_body();
    return order;
}

// Returns the head of a request to h1 whose body follows in chunks.
std::string chunked_head(const std::string& id) {
    return "POST /orders/" + id + " HTTP/1.1\r\nHost: orders\r\n" + bends_authorization +
           "\r\nX-Request-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk_of(const std::string& bytes) {
    std::ostringstream size;
    size << std::hex << bytes.size();
    return size.str() + "\r\n" + bytes + "\r\n";
}

// A fleet with one slot.
fleet_plan one_slot_plan() {
    return orders_plan({"z1", "z1"}, {"h2"}, "slots=1 timeout=30s");
}

// Sends a request that holds the slot for a second, and waits until it does.
std::future<caller_response> occupy_slot(fleet& fleet) {
    fleet.target("t1").set({.delay_ = std::chrono::seconds(1)});
    auto response = send_in_background(order_request(fleet, "h1", "first", "POST"));
    REQUIRE(wait_for([&] { return fleet.target("t1").in_flight() == 1; }));
    return response;
}

}  // namespace

// Guards against: orders with a body over the request window were refused as overload at once
// while no slot was free, and small reads beside them got all slots.
TEST_CASE("large orders wait for a slot beside small reads", "[large-body]") {
    fleet fleet(one_slot_plan());
    fleet.start_all();
    fleet.target("t1").set({.delay_ = std::chrono::milliseconds(50)});
    std::vector<std::future<caller_response>> responses;
    responses.reserve(2 * requests_of_each_kind);
    for (int i = 0; i < requests_of_each_kind; ++i) {
        const std::string number = std::to_string(i);
        responses.push_back(send_in_background(large_order(fleet, "large-" + number, "POST")));
        responses.push_back(
            send_in_background(order_request(fleet, "h1", "small-" + number, "GET")));
    }
    for (auto& response : responses) {
        CHECK(response.get().status_ == 200);
    }
    for (int i = 0; i < requests_of_each_kind; ++i) {
        CHECK(fleet.runs_of("large-" + std::to_string(i)) == 1);
    }
}

TEST_CASE("an idempotent request with a large body waits for a slot", "[large-body]") {
    fleet fleet(one_slot_plan());
    fleet.start_all();
    fleet.target("t1").set({.delay_ = std::chrono::milliseconds(50)});
    std::vector<std::future<caller_response>> responses;
    responses.reserve(requests_of_each_kind);
    for (int i = 0; i < requests_of_each_kind; ++i) {
        responses.push_back(send_in_background(large_order(fleet, "r" + std::to_string(i), "PUT")));
    }
    for (auto& response : responses) {
        CHECK(response.get().status_ == 200);
    }
}

TEST_CASE("a body of unknown length that grows large waits for a slot", "[large-body]") {
    fleet fleet(one_slot_plan());
    fleet.start_all();
    auto first = occupy_slot(fleet);
    const raw_caller caller(fleet.caller_address_of("h1"),
                            chunked_head("chunked") + chunk_of(large_body()) + "0\r\n\r\n");
    CHECK(caller.receive(12).substr(9, 3) == "200");
    CHECK(first.get().status_ == 200);
    CHECK(fleet.runs_of("chunked") == 1);
}

// Guards against: a caller that leaves while its body is held back keeps a place or a slot.
TEST_CASE("a caller that leaves in its large body leaves nothing behind", "[large-body]") {
    fleet fleet(one_slot_plan());
    fleet.start_all();
    auto first = occupy_slot(fleet);
    for (int i = 0; i < requests_of_each_kind; ++i) {
        const raw_caller leaving(fleet.caller_address_of("h1"),
                                 chunked_head("left-" + std::to_string(i)) +
                                     chunk_of(std::string(large_body_bytes / 2, 'x')));
    }
    CHECK(first.get().status_ == 200);
    fleet.target("t1").set({});
    caller caller;
    CHECK(caller.send(large_order(fleet, "next", "POST")).status_ == 200);
    CHECK(wait_for([&] { return fleet.status_number("h2", "/guard/open") == 0; }));
    for (int i = 0; i < requests_of_each_kind; ++i) {
        CHECK(fleet.runs_of("left-" + std::to_string(i)) == 0);
    }
}
