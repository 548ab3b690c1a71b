// Keeps ended attempts with their responses for caller proxies that may have lost their link.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>

#include "base/clock.h"
#include "node/target_proxy_attempt.h"
#include "policy/attempt_ledger.h"

namespace dandelionridge::node {

// Bounded in bytes, in number of attempts and in age; the oldest are evicted first.
class response_store {
public:
    // `max_bytes` bounds the total size of the kept bodies, `max_age` the time that each is kept.
    response_store(std::size_t max_bytes, base::duration max_age)
        : max_bytes_(max_bytes), max_age_(max_age) {}

    // Returns true if the attempt's response has ended and was short enough not to be streamed, so
    // that it may be sent again.
    static bool should_keep(const target_proxy_attempt& attempt);

    // Adds an attempt, and evicts the oldest attempts beyond the bounds.
    void add(std::unique_ptr<target_proxy_attempt> attempt, base::instant now);

    // Returns the attempt with that key, or null.
    target_proxy_attempt* find(const policy::ledger_key& key) const;

private:
    struct kept_key {
        policy::ledger_key key_;
        base::instant added_at_{};
    };

    bool exceeds_bounds(base::instant now) const;
    void evict_oldest();

    std::map<policy::ledger_key, std::unique_ptr<target_proxy_attempt>> attempts_;
    // Keys of the kept attempts, oldest first.
    std::deque<kept_key> insertion_order_;
    // Total size in bytes of the kept bodies, and its bound.
    std::size_t bytes_ = 0;
    std::size_t max_bytes_ = 0;
    base::duration max_age_{};
};

}  // namespace dandelionridge::node
