// Learns how long a target keeps an idle connection.
//
// Pattern: adaptive keep-alive. A target may drop idle connections without notice and sooner than
// it says; the next request on such a connection is lost. One loss shortens the time after which
// connections to that target are reused, for a while.
#pragma once

#include <optional>

#include "base/clock.h"

namespace dandelionridge::policy {

struct idle_connection_limit {
    // Longest idle time after which a connection is reused; empty if no loss is known.
    std::optional<base::duration> limit_;
    base::instant learned_at_{};
};

// Returns true if a request that was lost on a connection that had been idle for `idle_time` was
// lost because the target had dropped the connection, and not because the target fails requests.
bool was_dropped_while_idle(base::duration idle_time);

// Records that a connection was found dropped after it had been idle for `idle_time`.
void record_dropped(idle_connection_limit& limit, base::duration idle_time, base::instant now);

// Returns the longest idle time after which a connection may be reused, at most `usual`.
base::duration reusable_idle_time(const idle_connection_limit& limit, base::duration usual,
                                  base::instant now);

}  // namespace dandelionridge::policy
