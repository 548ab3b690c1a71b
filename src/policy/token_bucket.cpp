#include "policy/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace dandelionridge::policy {

token_bucket make_bucket(double rate, std::int64_t burst, base::instant now) {
    return {rate, burst, static_cast<double>(burst), now};
}

void refill(token_bucket& bucket, double max_tokens, base::instant now) {
    if (now > bucket.filled_at_) {
        const std::chrono::duration<double> elapsed = now - bucket.filled_at_;
        bucket.tokens_ += bucket.rate_ * elapsed.count();
        bucket.filled_at_ = now;
    }
    bucket.tokens_ = std::min(bucket.tokens_, std::max(0.0, max_tokens));
}

std::int64_t take(token_bucket& bucket, std::int64_t wanted, base::instant now) {
    refill(bucket, static_cast<double>(bucket.burst_), now);
    const auto whole_tokens = static_cast<std::int64_t>(std::floor(bucket.tokens_));
    const std::int64_t taken = std::clamp<std::int64_t>(wanted, 0, whole_tokens);
    bucket.tokens_ -= static_cast<double>(taken);
    return taken;
}

bool overdraw(token_bucket& bucket, double amount, base::instant now) {
    refill(bucket, static_cast<double>(bucket.burst_), now);
    if (bucket.tokens_ < 1) {
        return false;
    }
    bucket.tokens_ -= amount;
    return true;
}

base::duration wait_for_token(const token_bucket& bucket) {
    const double missing = 1.0 - bucket.tokens_;
    if (missing <= 0 || bucket.rate_ <= 0) {
        return base::duration::zero();
    }
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(missing / bucket.rate_));
}

}  // namespace dandelionridge::policy
