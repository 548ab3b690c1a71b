// A bucket of whole tokens that is refilled at a constant rate.
#pragma once

#include <cstdint>

#include "base/clock.h"

namespace dandelionridge::policy {

struct token_bucket {
    // Tokens per second.
    double rate_ = 0;
    // Maximum number of tokens that take() lets accumulate.
    std::int64_t burst_ = 0;
    double tokens_ = 0;
    // Time of the last refill.
    base::instant filled_at_{};
};

// Returns a full bucket.
token_bucket make_bucket(double rate, std::int64_t burst, base::instant now);

// Adds the tokens that have accrued since the last call, and caps the bucket at `max_tokens`.
void refill(token_bucket& bucket, double max_tokens, base::instant now);

// Takes up to `wanted` whole tokens and returns how many.
std::int64_t take(token_bucket& bucket, std::int64_t wanted, base::instant now);

// Takes `amount` tokens if the bucket holds at least one, also when it then owes some. Returns
// whether it did.
bool overdraw(token_bucket& bucket, double amount, base::instant now);

// Returns the time until the bucket holds a whole token; zero if it holds one or its rate is zero.
base::duration wait_for_token(const token_bucket& bucket);

}  // namespace dandelionridge::policy
