#include "policy/retry_after.h"

#include <algorithm>

namespace dandelionridge::policy {

namespace {

constexpr base::duration soonest = base::milliseconds(150);
constexpr int part_of_time_left = 3;
// In percent of the time.
constexpr int least_spread = 75;
constexpr int spread_width = 50;

}  // namespace

base::duration retry_after_delay(base::duration wait, base::duration time_left,
                                 base::random_engine& random) {
    const auto percent =
        least_spread + static_cast<int>(base::random_below(random, spread_width + 1));
    const base::duration spread = std::max(wait, soonest) * percent / 100;
    const base::duration most = time_left / part_of_time_left;
    return most > soonest ? std::min(spread, most) : spread;
}

}  // namespace dandelionridge::policy
