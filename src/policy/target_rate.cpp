#include "policy/target_rate.h"

#include <algorithm>
#include <cmath>

namespace dandelionridge::policy {

namespace {

double seconds_of(base::duration value) {
    return std::chrono::duration<double>(value).count();
}

std::int64_t burst_of(double limit) {
    const double tokens = limit * seconds_of(target_rate_burst_time);
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(tokens));
}

bool apply_limit(target_rate& rate, std::optional<double> limit, base::instant now) {
    if (limit) {
        limit = std::max(*limit, min_target_rate);
    }
    if (limit == rate.limit_) {
        return false;
    }
    const bool first_limit = rate.bucket_.burst_ == 0;
    rate.limit_ = limit;
    if (!limit) {
        return true;
    }
    const std::int64_t burst = burst_of(*limit);
    if (first_limit) {
        rate.bucket_ = make_bucket(*limit, burst, now);
        return true;
    }
    // Tokens that were used under an earlier limit stay used, so that a limit that comes and goes
    // gives no further burst.
    refill(rate.bucket_, static_cast<double>(burst), now);
    rate.bucket_.rate_ = *limit;
    rate.bucket_.burst_ = burst;
    return true;
}

}  // namespace

bool apply_response(target_rate& rate, std::optional<double> limit, base::instant now) {
    rate.response_received_ = true;
    return apply_limit(rate, limit, now);
}

bool apply_hint(target_rate& rate, double limit, base::instant now) {
    return !rate.response_received_ && apply_limit(rate, limit, now);
}

bool may_send(target_rate& rate, base::instant now) {
    if (!rate.limit_) {
        return true;
    }
    refill(rate.bucket_, static_cast<double>(rate.bucket_.burst_), now);
    return rate.bucket_.tokens_ >= 1;
}

void record_sent(target_rate& rate, base::instant now) {
    if (rate.limit_) {
        take(rate.bucket_, 1, now);
    }
}

base::duration rate_wait(target_rate& rate, std::size_t ahead, base::instant now) {
    if (!rate.limit_) {
        return base::duration::zero();
    }
    refill(rate.bucket_, static_cast<double>(rate.bucket_.burst_), now);
    const double missing = static_cast<double>(ahead) + 1 - rate.bucket_.tokens_;
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(std::max(0.0, missing) / *rate.limit_));
}

int usable_slots(std::optional<double> limit, int slots, base::duration run) {
    if (!limit || run == base::duration::zero()) {
        return slots;
    }
    const double busy_slots = std::round(*limit * seconds_of(run));
    return std::clamp(static_cast<int>(std::min<double>(busy_slots, slots)), 1, std::max(1, slots));
}

}  // namespace dandelionridge::policy
