#include "policy/retry_after.h"

#include <algorithm>

namespace dandelionridge::policy {

namespace {

// Minimum delay before the spread is applied.
constexpr base::duration min_delay = base::milliseconds(150);
constexpr int time_left_divisor = 3;
// The spread factor is drawn from 75 % to 125 % of the delay.
constexpr int min_spread_percent = 75;
constexpr int spread_width_percent = 50;

}  // namespace

base::duration retry_after_delay(base::duration wait, base::duration time_left,
                                 base::random_engine& random) {
    const auto percent =
        min_spread_percent + static_cast<int>(base::random_below(random, spread_width_percent + 1));
    base::duration delay = std::max(wait, min_delay);
    const base::duration max_delay = time_left / time_left_divisor;
    if (max_delay > base::duration::zero()) {
        // The bound comes before the spread: else all delays above it would be the same.
        constexpr int max_spread_percent = min_spread_percent + spread_width_percent;
        delay = std::min(delay, max_delay * 100 / max_spread_percent);
    }
    return delay * percent / 100;
}

}  // namespace dandelionridge::policy
