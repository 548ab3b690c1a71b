// Shares a process's memory for the bodies of responses between the targets that send them.
//
// Pattern: dynamic thresholds, as in switches with a shared buffer. A target may hold as much as is
// still free, so one that sends without end takes at most half of the memory, the next one half of
// the rest, and some is always left for the others.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace dandelionridge::policy {

// Part of a process's memory that bodies of responses may fill.
inline constexpr std::size_t response_memory_divisor = 4;

// Each response may hold this many bytes whatever its target holds, so that none stands still.
inline constexpr std::size_t min_response_bytes = 16 * 1024;

// Maximum number of bytes of one response body that may be in flight to the caller proxy.
inline constexpr std::size_t max_response_window_bytes = 256 * 1024;

struct response_memory {
    // Bytes that the responses of all targets may hold together.
    std::size_t limit_ = 0;
    std::size_t held_ = 0;
    // Bytes held by the responses of each target, by name. Targets that hold none are absent.
    std::unordered_map<std::string, std::size_t> held_by_target_{};
};

// Returns the number of bytes by which a target may hold more than it does; 0 if there are none.
std::size_t available_to(const response_memory& memory, const std::string& target);

// Returns how many bytes of a response that is about to be requested from a target may be in flight
// to the caller proxy. The less memory is left, the smaller it is.
std::size_t response_window(const response_memory& memory, const std::string& target);

// The bytes that one response holds. Gives them back when it is destroyed.
class memory_claim {
public:
    // `memory` must outlive the claim.
    explicit memory_claim(response_memory& memory) : memory_(memory) {}
    memory_claim(const memory_claim&) = delete;
    memory_claim& operator=(const memory_claim&) = delete;
    ~memory_claim();

    // Sets the bytes that the response of a target holds, in place of those held so far.
    void set(const std::string& target, std::size_t bytes);

    std::size_t bytes() const { return bytes_; }

private:
    response_memory& memory_;
    std::string target_;
    std::size_t bytes_ = 0;
};

}  // namespace dandelionridge::policy
