// Decides what follows when a host refuses a request under rules that the caller proxy did not use.
//
// Two hosts may have different versions of the rules for a moment. A refusal that callers take as
// final, such as 401, must come from the newest rules that the caller proxy itself has.
#pragma once

#include <cstdint>

#include "base/clock.h"

namespace dandelionridge::policy {

// Time between two looks at the rules in force while a request waits for newer ones.
inline constexpr base::duration rules_poll_interval = base::milliseconds(20);

struct rules_refusal {
    // Version under which the caller proxy resolved the request.
    std::int64_t resolved_version_ = 0;
    // Version under which the other host refused it; 0 if unknown.
    std::int64_t refusing_version_ = 0;
    // Version that the caller proxy has in force.
    std::int64_t newest_version_ = 0;
    // The request may still wait for newer rules.
    bool may_wait_ = false;
};

enum class rules_refusal_step {
    // Resolve the request again under the newest rules, which decide.
    resolve_again,
    // Newer rules are on their way to the caller proxy.
    wait,
    // Tell the caller to retry: the request did not run, and the rules in force allow it.
    refuse_for_now,
};

rules_refusal_step decide_after_refusal(const rules_refusal& refusal);

// Returns how long a request may wait for newer rules. The rest of its time is for a run.
base::duration max_rules_wait(base::duration time_left);

}  // namespace dandelionridge::policy
