// Ended attempts whose answers are kept for entries that may have lost their link.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>

#include "node/guard_attempt.h"
#include "policy/guard_ledger.h"

namespace dandelionridge::node {

// Bounded in bytes and in number; the oldest go first.
class answer_store {
public:
    // True if the attempt's answer is one that may be asked for again and is short enough.
    static bool keeps(const guard_attempt& attempt);

    void add(std::unique_ptr<guard_attempt> attempt);

    // The attempt of that name, or null.
    guard_attempt* find(const policy::ledger_key& key) const;

private:
    void drop_oldest();

    std::map<policy::ledger_key, std::unique_ptr<guard_attempt>> attempts_;
    std::deque<policy::ledger_key> order_;
    std::size_t bytes_ = 0;
};

}  // namespace dandelionridge::node
