// A bucket of whole tokens that fills at a steady rate.
#pragma once

#include <cstdint>

#include "base/clock.h"

namespace dandelionridge::policy {

struct token_bucket {
    // Tokens per second.
    double rate_ = 0;
    std::int64_t burst_ = 0;
    double tokens_ = 0;
    base::instant filled_at_{};
};

// A full bucket.
token_bucket make_bucket(double rate, std::int64_t burst, base::instant now);

// Adds what has flowed in since the last call, up to `most` tokens.
void refill(token_bucket& bucket, double max_tokens, base::instant now);

// Takes up to `wanted` whole tokens and returns how many.
std::int64_t take(token_bucket& bucket, std::int64_t wanted, base::instant now);

// Time until one whole token is there.
base::duration wait_for_token(const token_bucket& bucket);

}  // namespace dandelionridge::policy
