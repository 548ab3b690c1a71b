// When a caller whose request was refused should come back.
#pragma once

#include "base/clock.h"
#include "base/random.h"

namespace dandelionridge::policy {

// The time at which the backlog of `wait` will have drained, spread so that callers that were
// refused together do not return together. Callers wait a third of what they have left at most.
base::duration retry_after_delay(base::duration wait, base::duration time_left,
                                 base::random_engine& random);

}  // namespace dandelionridge::policy
