// Computes when a caller whose request was refused should try again.
#pragma once

#include "base/clock.h"
#include "base/random.h"

namespace dandelionridge::policy {

// Returns the time after which the caller should retry: `wait`, which is the time until the backlog
// will have drained, or 150 ms if that is longer, times a random factor from 0.75 to 1.25 so that
// callers that were refused together do not retry together. The result is at most a third of
// `time_left`, unless no time is left, and is spread below that bound as well.
base::duration retry_after_delay(base::duration wait, base::duration time_left,
                                 base::random_engine& random);

}  // namespace dandelionridge::policy
