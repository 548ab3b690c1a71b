#include "policy/idle_connection.h"

#include <algorithm>

namespace dandelionridge::policy {

namespace {

// A connection that was idle for less is not taken for dropped.
constexpr base::duration min_dropped_idle_time = base::milliseconds(100);
// A loss says nothing about the target's present behaviour after this time.
constexpr base::duration limit_validity = base::seconds(10);
// The connection may have been dropped long before it was found to be.
constexpr int limit_divisor = 2;

bool is_valid(const idle_connection_limit& limit, base::instant now) {
    return limit.limit_ && now - limit.learned_at_ < limit_validity;
}

}  // namespace

bool was_dropped_while_idle(base::duration idle_time) {
    return idle_time >= min_dropped_idle_time;
}

void record_dropped(idle_connection_limit& limit, base::duration idle_time, base::instant now) {
    const base::duration shorter = idle_time / limit_divisor;
    limit.limit_ = is_valid(limit, now) ? std::min(*limit.limit_, shorter) : shorter;
    limit.learned_at_ = now;
}

base::duration reusable_idle_time(const idle_connection_limit& limit, base::duration usual,
                                  base::instant now) {
    return is_valid(limit, now) ? std::min(*limit.limit_, usual) : usual;
}

}  // namespace dandelionridge::policy
