// Odd entries and odd requests: whatever another writer of the store or a caller sends, no process
// ends, and the good entries are followed at once.
#include <catch2/catch.hpp>
#include <csignal>

#include "support/plans.h"
#include "support/store_fleet.h"

using namespace dandelionridge::support;

namespace {

constexpr std::size_t host_count = 3;

void put_everywhere(store_fleet& fleet, const std::string& key, const std::string& value) {
    for (std::size_t host = 1; host <= host_count; ++host) {
        fleet.store_of(host).put(key, value);
    }
}

void erase_everywhere(store_fleet& fleet, const std::string& key) {
    for (std::size_t host = 1; host <= host_count; ++host) {
        fleet.store_of(host).erase(key);
    }
}

std::string nested_object(std::size_t depth) {
    std::string text;
    for (std::size_t i = 0; i < depth; ++i) {
        text += R"({"service":[)";
    }
    return text;
}

std::vector<std::string> odd_values() {
    const std::string rest =
        R"(,"zone":"z1","version":"v1","state":"ready","warmupLeftS":0,"seq":1})";
    constexpr std::size_t depth = 100'000;
    return {
        std::string(depth, '[') + std::string(depth, ']'),
        nested_object(depth),
        R"({"service":"orders","address":"127.9.9.9:65536","slots":5)" + rest,
        R"({"service":"orders","address":"127.9.9.9:0","slots":5)" + rest,
        R"({"service":"orders","address":"127.9.9.9:80","slots":1e999)" + rest,
        R"({"service":"orders","address":"127.9.9.9:80","slots":36893488147419103232)" + rest,
        "\xff\xfe not UTF-8",
        std::string(1'000'000, 'x'),
        "",
    };
}

}  // namespace

// Guards against: one odd entry ended the processes that read the list again and again, or stopped
// them from following it.
TEST_CASE("an odd entry is logged and the others are followed", "[odd-entry]") {
    store_fleet fleet({"orders", "orders", "orders"});
    fleet.start_all();
    caller caller;
    int sent = 0;
    const auto read_status = [&] {
        return caller.send(fleet.request_to("orders", 1, "r-" + std::to_string(sent++), "GET"))
            .status_;
    };
    for (const std::string& value : odd_values()) {
        INFO(value.substr(0, 80));
        put_everywhere(fleet, "servers/odd", value);
        const std::int64_t version = fleet.status_number(1, "/configuration/hosts/version");
        fleet.write_entry(2, "draining");
        REQUIRE(wait_for(
            [&] { return fleet.status_number(1, "/configuration/hosts/version") > version; }));
        REQUIRE(wait_for([&] {
            const std::string log = fleet.log_of(1);
            const std::size_t leaving = log.rfind("\"leaving\":\"i-2\"");
            const std::size_t returned = log.rfind("\"returned\":\"i-2\"");
            return leaving != std::string::npos &&
                   (returned == std::string::npos || leaving > returned);
        }));
        const std::size_t runs_before = fleet.target(2).total_runs();
        for (int i = 0; i < 10; ++i) {
            CHECK(read_status() == 200);
        }
        CHECK(fleet.target(2).total_runs() == runs_before);
        fleet.write_entry(2, "ready");
        REQUIRE(wait_for(
            [&] { return read_status() == 200 && fleet.target(2).total_runs() > runs_before; }));
    }
    CHECK(fleet.log_of(1).find("target entry rejected: odd") != std::string::npos);
    erase_everywhere(fleet, "servers/odd");
    for (std::size_t host = 1; host <= host_count; ++host) {
        CHECK_FALSE(fleet.host(host).ended());
        fleet.host(host).send_signal(SIGTERM);
        CHECK(fleet.host(host).wait() == 0);
    }
}

TEST_CASE("a process starts although the list holds odd entries", "[odd-entry]") {
    store_fleet fleet({"orders", "orders", "orders"});
    int number = 0;
    for (const std::string& value : odd_values()) {
        put_everywhere(fleet, "servers/odd-" + std::to_string(number++), value);
    }
    put_everywhere(fleet, "servers/i-1 ", fleet.entry_value(2, "ready"));
    fleet.start_all();
    caller caller;
    for (int i = 0; i < 20; ++i) {
        const std::string id = "r-" + std::to_string(i);
        CHECK(caller.send(fleet.request_to("orders", 1, id, "POST")).status_ == 200);
    }
    CHECK(fleet.target(1).total_runs() + fleet.target(2).total_runs() +
              fleet.target(3).total_runs() ==
          20);
}

// Guards against: a configuration with a deeply nested field ended every process that read it.
TEST_CASE("a deeply nested field of the configuration ends no process", "[odd-entry]") {
    store_fleet fleet({"orders", "orders", "orders"});
    fleet.start_all();
    constexpr std::size_t depth = 200'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    put_everywhere(
        fleet, "op/config",
        R"({"version":"00000002","resources":[{"type":"services","metadata":{"name":"orders",)"
        R"("note":)" +
            deep + R"(},"spec":{"note":)" + deep +
            R"(}},{"type":"routes","metadata":{"name":"new"},"spec":{"host":"new.example",)"
            R"("prefix":"/reads/","kind":"idempotent","service":"orders","public":true}}]})");
    caller caller;
    caller_request request = fleet.request_to("new", 1, "a", "GET");
    REQUIRE(wait_for([&] { return caller.send(request).status_ == 200; }));
    for (std::size_t host = 1; host <= host_count; ++host) {
        CHECK_FALSE(fleet.host(host).ended());
    }
}

// Guards against: a caller's request ID with bytes that are not UTF-8 ended the process that logged
// it.
TEST_CASE("a request ID that is not UTF-8 ends no process", "[odd-entry]") {
    store_fleet fleet({"orders", "orders", "orders"});
    fleet.start_all();
    caller caller;
    caller_request refused = fleet.request_to("nobody", 1, "a", "GET");
    refused.headers_[1] = "X-Request-Id: \xff\xfe";
    CHECK(caller.send(refused).status_ == 404);
    fleet.set_target(1, {.mode_ = target_mode::close_after_run});
    fleet.set_target(2, {.mode_ = target_mode::close_after_run});
    fleet.set_target(3, {.mode_ = target_mode::close_after_run});
    caller_request failing = fleet.request_to("orders", 1, "b", "GET");
    failing.headers_[1] = "X-Request-Id: \xc3(";
    CHECK(caller.send(failing).status_ >= 500);
    CHECK_FALSE(fleet.host(1).ended());
}

// Guards against: the response to a request that cannot be read was lost, because the connection
// was closed while the caller still sent.
TEST_CASE("a caller with too large a head gets its response", "[odd-entry]") {
    store_fleet fleet({"orders"});
    fleet.start_all();
    constexpr std::size_t head_bytes = 400'000;
    for (int i = 0; i < 20; ++i) {
        caller caller;
        caller_request request = fleet.request_to("orders", 1, "a", "GET");
        request.headers_.push_back("X-Large: " + std::string(head_bytes, 'x'));
        const caller_response response = caller.send(request);
        CHECK(response.status_ == 431);
        CHECK(response.complete_);
        CHECK(response.header("connection") == "close");
    }
}
