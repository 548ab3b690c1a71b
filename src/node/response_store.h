// Ended attempts whose answers are kept for entries that may have lost their link.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>

#include "node/target_proxy_attempt.h"
#include "policy/attempt_ledger.h"

namespace dandelionridge::node {

// Bounded in bytes and in number; the oldest go first.
class response_store {
public:
    // True if the attempt's answer is one that may be asked for again and is short enough.
    static bool should_keep(const target_proxy_attempt& attempt);

    void add(std::unique_ptr<target_proxy_attempt> attempt);

    // The attempt of that name, or null.
    target_proxy_attempt* find(const policy::ledger_key& key) const;

private:
    void evict_oldest();

    std::map<policy::ledger_key, std::unique_ptr<target_proxy_attempt>> attempts_;
    std::deque<policy::ledger_key> order_;
    std::size_t bytes_ = 0;
};

}  // namespace dandelionridge::node
