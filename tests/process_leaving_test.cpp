// Targets that leave, on the users' platform: every way in which a process learns of it, and every
// place that still holds work for the target.
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "support/store_fleet.h"

using namespace dandelionridge::support;

namespace {

// Sends reads through one caller proxy, one after the other, until it is destroyed.
class reader_thread {
public:
    reader_thread(const store_fleet& fleet, std::size_t caller_proxy)
        : thread_([this, &fleet, caller_proxy] {
              caller caller;
              while (!stopped_) {
                  const std::string id = "read-" + std::to_string(sent_);
                  static_cast<void>(
                      caller.send(fleet.request_to("orders", caller_proxy, id, "GET")));
                  ++sent_;
              }
          }) {}
    reader_thread(const reader_thread&) = delete;
    reader_thread& operator=(const reader_thread&) = delete;
    ~reader_thread() {
        stopped_ = true;
        thread_.join();
    }

    std::uint64_t sent() const { return sent_; }

private:
    std::atomic<bool> stopped_ = false;
    std::atomic<std::uint64_t> sent_ = 0;
    std::thread thread_;
};

// Makes a host's store unavailable and waits until the host treats that as an outage.
void begin_outage(store_fleet& fleet, std::size_t host) {
    constexpr std::size_t outage_calls = 4;
    const std::size_t calls_before = fleet.store_of(host).calls().size();
    fleet.store_of(host).set_fault(store_fault::unavailable);
    REQUIRE(wait_for(
        [&] { return fleet.store_of(host).calls().size() >= calls_before + outage_calls; }));
}

}  // namespace

// Guards against: a target that had left got requests again, because a host that had lost the store
// passed on its list with the entries that it keeps after an outage.
TEST_CASE("a target that left does not come back with the list of a host that lost the store",
          "[promise-leaving]") {
    store_fleet fleet({"orders", "orders", "orders"});
    fleet.start_all();
    begin_outage(fleet, 3);
    fleet.remove_entry(2);
    REQUIRE(
        wait_for([&] { return fleet.log_of(1).find("\"removed\":\"i-2\"") != std::string::npos; }));
    const std::size_t log_at_removal = fleet.log_of(1).find("\"removed\":\"i-2\"");
    const std::size_t runs_at_removal = fleet.target(2).total_runs();
    // The store of host 3 has one revision more than that of host 1.
    fleet.store_of(3).put("op/note", "changes no target");
    const std::int64_t version = fleet.status_number(1, "/configuration/hosts/version");
    reader_thread reads(fleet, 1);
    fleet.store_of(3).set_fault(store_fault::none);
    REQUIRE(
        wait_for([&] { return fleet.status_number(1, "/configuration/hosts/version") > version; }));
    const std::uint64_t sent = reads.sent();
    REQUIRE(wait_for([&] { return reads.sent() >= sent + 100; }));
    CHECK(fleet.log_of(1).find("\"added\":\"i-2\"", log_at_removal) == std::string::npos);
    CHECK(fleet.target(2).total_runs() == runs_at_removal);
}
