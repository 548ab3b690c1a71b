// The time that the refusal of a request needs to reach the caller.
#pragma once

#include <algorithm>

#include "base/clock.h"

namespace dandelionridge::policy {

// A refusal that a target proxy sends this long before the deadline reaches the caller in time,
// also between regions. A shorter one is lost, and the request's outcome is then unknown to the
// caller.
inline constexpr base::duration max_refusal_margin = base::milliseconds(100);

// The margin takes at most this part of the time in which the request is to be served.
inline constexpr int refusal_margin_divisor = 4;

// Returns how long before its deadline a request must be refused, if the deadline is `total` after
// its arrival.
constexpr base::duration refusal_margin(base::duration total) {
    return std::min<base::duration>(max_refusal_margin, total / refusal_margin_divisor);
}

}  // namespace dandelionridge::policy
