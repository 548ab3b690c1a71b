// Keeps ended attempts with their responses for caller proxies that may have lost their link.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>

#include "node/target_proxy_attempt.h"
#include "policy/attempt_ledger.h"

namespace dandelionridge::node {

// Bounded in bytes and in number of attempts; the oldest are evicted first.
class response_store {
public:
    // `max_bytes` bounds the total size of the kept bodies.
    explicit response_store(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    // Returns true if the attempt's response has ended, was short enough not to be streamed, and
    // may be requested again, which happens only for non-idempotent attempts.
    static bool should_keep(const target_proxy_attempt& attempt);

    // Adds an attempt, and evicts the oldest attempts beyond the bounds.
    void add(std::unique_ptr<target_proxy_attempt> attempt);

    // Returns the attempt with that key, or null.
    target_proxy_attempt* find(const policy::ledger_key& key) const;

private:
    void evict_oldest();

    std::map<policy::ledger_key, std::unique_ptr<target_proxy_attempt>> attempts_;
    // Keys of the kept attempts, oldest first.
    std::deque<policy::ledger_key> insertion_order_;
    // Total size in bytes of the kept bodies, and its bound.
    std::size_t bytes_ = 0;
    std::size_t max_bytes_ = 0;
};

}  // namespace dandelionridge::node
