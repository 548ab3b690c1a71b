// How a process's memory for responses is shared between targets.
#include <catch2/catch.hpp>
#include <list>
#include <numeric>
#include <vector>

#include "policy/response_memory.h"

using namespace dandelionridge::policy;

namespace {

constexpr std::size_t limit = 64 * 1024 * 1024;

// Lets as many responses of a target as wish take a window, and returns the bytes that they hold.
std::size_t take_windows(response_memory& memory, std::list<memory_claim>& claims,
                         const std::string& target, int responses) {
    const std::size_t before = memory.held_;
    for (int i = 0; i < responses; ++i) {
        const std::size_t window = response_window(memory, target);
        claims.emplace_back(memory).set(target, window);
    }
    return memory.held_ - before;
}

}  // namespace

// Guards against: one target that sends without end at many requests at once takes all memory of
// the processes that call it.
TEST_CASE("one target takes at most half of the memory for responses", "[policy]") {
    response_memory memory{limit};
    std::list<memory_claim> claims;
    constexpr int responses = 400;
    const std::size_t held = take_windows(memory, claims, "faulty", responses);
    CHECK(held <= limit / 2 + responses * min_response_bytes);
    CHECK(response_window(memory, "faulty") == min_response_bytes);
    CHECK(response_window(memory, "sound") == max_response_window_bytes);
}

TEST_CASE("many faulty targets leave memory for one more", "[policy]") {
    response_memory memory{limit};
    std::list<memory_claim> claims;
    constexpr int responses = 100;
    for (const char* target : {"a", "b", "c"}) {
        take_windows(memory, claims, target, responses);
    }
    CHECK(memory.held_ <= limit + 3 * responses * min_response_bytes);
    CHECK(available_to(memory, "sound") > 0);
}

TEST_CASE("memory is given back when a response ends or moves to another target", "[policy]") {
    response_memory memory{limit};
    {
        memory_claim claim(memory);
        claim.set("a", 1000);
        claim.set("a", 3000);
        CHECK(memory.held_ == 3000);
        claim.set("b", 500);
        CHECK(memory.held_ == 500);
        CHECK(memory.held_by_target_.count("a") == 0);
        CHECK(available_to(memory, "b") == limit - 1000);
    }
    CHECK(memory.held_ == 0);
    CHECK(memory.held_by_target_.empty());
}

TEST_CASE("a target that holds more than is left gets no more", "[policy]") {
    response_memory memory{1000};
    memory_claim claim(memory);
    claim.set("a", 600);
    CHECK(available_to(memory, "a") == 0);
    CHECK(available_to(memory, "b") == 400);
    CHECK(response_window(memory, "b") == min_response_bytes);
}
