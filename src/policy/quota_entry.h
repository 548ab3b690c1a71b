// An entry's tokens of one organisation: what it holds on lease, and how much to ask for.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/clock.h"

namespace dandelionridge::policy {

struct held_lease {
    // Host that granted it, and its name there.
    std::string owner_;
    std::int64_t id_ = 0;
    std::int64_t tokens_ = 0;
    // When this entry must stop using it, and when unused tokens go back.
    base::instant ends_at_{};
    base::instant return_at_{};
};

// Unused tokens go back after this time without use.
inline constexpr base::duration idle_return_time = base::milliseconds(500);

// Demand is prefetched for this time ahead.
inline constexpr base::duration prefetch_time = base::milliseconds(100);

struct quota_entry {
    std::deque<held_lease> leases_;
    // Requests per second, averaged over about a second.
    double demand_ = 0;
    base::instant demand_at_{};
};

// A request has come: counts it towards the demand.
void note_demand(quota_entry& entry, base::instant now);

// Uses one token. False if none is held.
bool use_token(quota_entry& entry, base::instant now);

std::int64_t tokens_held(const quota_entry& entry, base::instant now);

// Tokens to ask for when `waiting` requests wait.
std::int64_t tokens_to_ask(const quota_entry& entry, std::int64_t waiting, base::instant now);

// A lease has come that this entry must stop using at `ends_at`. One that has ended is dropped.
void add_lease(quota_entry& entry, const std::string& owner, std::int64_t id, std::int64_t tokens,
               base::instant ends_at, base::instant now);

// Takes out the leases of an owner that are used up, and returns their names there.
std::vector<std::int64_t> take_finished(quota_entry& entry, const std::string& owner);

// Takes out the leases that ended or that should go back, with what is left of them; the caller
// sends the latter back.
std::deque<held_lease> take_idle(quota_entry& entry, base::instant now);

}  // namespace dandelionridge::policy
