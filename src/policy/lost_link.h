// Decides how long the idempotent runs of a lost link go on if their caller proxy does not ask for
// them.
#pragma once

#include <optional>

#include "base/clock.h"

namespace dandelionridge::policy {

// Within this time a caller proxy that has lost its link has most likely opened a new one and asked
// for the replies that it lacks. After it, it has given up its idempotent attempts.
inline constexpr base::duration max_reconnect_wait = base::seconds(2);

// A caller proxy asks for its attempts as soon as a later link is open. This is time for the way
// there and back, and for a busy process.
inline constexpr base::duration max_resolve_wait = base::milliseconds(250);

// A lost link with idempotent runs that its caller proxy has not asked for since.
struct lost_link {
    base::instant lost_at_{};
    // When the caller proxy opened the later link that is open now; not set if none is.
    std::optional<base::instant> replaced_at_;
};

// Returns when the runs must be cancelled unless the caller proxy asks for them before.
base::instant give_up_at(const lost_link& link);

}  // namespace dandelionridge::policy
