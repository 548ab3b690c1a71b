// Order in which requests of one organisation get its tokens at a host, and which of them no token
// will reach in time.
//
// The most urgent requests get tokens first, those of one priority by arrival. Once the owner has
// granted fewer tokens than were requested, at most the rate follows, so that requests behind more
// urgent ones that use it up can be refused at once, the least urgent ones first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "policy/quota.h"

namespace dandelionridge::policy {

// A request that waits for a token of its organisation.
struct token_waiter {
    // A request with a lower value gets a token first.
    int priority_ = 0;
    base::instant queued_at_{};
    // The request is refused if it has no token by then.
    base::instant wait_deadline_{};
};

// Returns true if `first`, which waits, gets a token before a request of that priority that arrives
// now.
bool precedes_arrival(const token_waiter& first, int arriving_priority);

// What a host knows of the tokens that it will get for one organisation.
struct token_supply {
    // Last time at which the owner had fewer tokens than were requested; not set if its last grant
    // was whole, or if another host may act as owner since.
    std::optional<base::instant> short_at_;
};

// Records the owner's reply to a request for tokens.
void record_grant(token_supply& supply, std::int64_t requested, std::int64_t granted,
                  base::instant now);

// Forgets a shortage: an owner that takes over may have tokens.
void reset_shortage(token_supply& supply);

// Returns true if the owner is known to be short of tokens.
bool is_short(const token_supply& supply, base::instant now);

// Returns the highest number of tokens that will reach this host until `until`, or nothing if the
// owner is not known to be short of tokens.
std::optional<std::int64_t> max_tokens_until(const token_supply& supply, const quota_limit& limit,
                                             base::instant until, base::instant now);

// Returns true if no token will reach a request, behind `ahead` others, before its deadline.
bool is_out_of_reach(const token_waiter& request, std::size_t ahead, const token_supply& supply,
                     const quota_limit& limit, base::instant now);

// Returns the time after which a request that `ahead` others precede may get a token at the
// organisation's rate.
base::duration token_wait(std::size_t ahead, const quota_limit& limit);

}  // namespace dandelionridge::policy
