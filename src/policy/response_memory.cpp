#include "policy/response_memory.h"

#include <algorithm>
#include <cassert>

namespace dandelionridge::policy {

namespace {

// Part of the memory available to a target that one more response may claim.
constexpr std::size_t window_divisor = 16;

std::size_t held_by(const response_memory& memory, const std::string& target) {
    const auto found = memory.held_by_target_.find(target);
    return found == memory.held_by_target_.end() ? 0 : found->second;
}

void hold(response_memory& memory, const std::string& target, std::size_t bytes) {
    if (bytes > 0) {
        memory.held_ += bytes;
        memory.held_by_target_[target] += bytes;
    }
}

void release(response_memory& memory, const std::string& target, std::size_t bytes) {
    if (bytes == 0) {
        return;
    }
    const auto found = memory.held_by_target_.find(target);
    assert(found != memory.held_by_target_.end() && found->second >= bytes);
    memory.held_ -= bytes;
    found->second -= bytes;
    if (found->second == 0) {
        memory.held_by_target_.erase(found);
    }
}

}  // namespace

std::size_t available_to(const response_memory& memory, const std::string& target) {
    const std::size_t taken = memory.held_ + held_by(memory, target);
    return memory.limit_ - std::min(memory.limit_, taken);
}

std::size_t response_window(const response_memory& memory, const std::string& target) {
    return std::clamp(available_to(memory, target) / window_divisor, min_response_bytes,
                      max_response_window_bytes);
}

memory_claim::~memory_claim() {
    release(memory_, target_, bytes_);
}

void memory_claim::set(const std::string& target, std::size_t bytes) {
    release(memory_, target_, bytes_);
    if (target_ != target) {
        target_ = target;
    }
    bytes_ = bytes;
    hold(memory_, target_, bytes_);
}

}  // namespace dandelionridge::policy
