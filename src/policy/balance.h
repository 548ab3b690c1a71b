// Which target gets a request.
//
// Pattern: least expected finish. Targets that fail are passed over, but never so many that less
// than a set share of a service's targets is in use. Whether a target has recovered is found out by
// requests that lose nothing but time if it has not: idempotent ones with another attempt to spare.
#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "base/clock.h"
#include "base/random.h"
#include "policy/run_estimate.h"

namespace dandelionridge::policy {

enum class distance { same_zone, same_region, other_region };

// A target as an entry sees it.
struct candidate {
    distance distance_ = distance::same_zone;
    // Requests that run or wait at it, as far as this entry can tell.
    double load_ = 0;
    int slots_ = 1;
    // Time that a run of the request's kind takes there; zero if nobody has told.
    base::duration run_duration_{};
    // Since that was told.
    base::duration run_age_{};
    // It was started a short while ago.
    bool warming_ = false;
    // The path to it is not open at present.
    bool disconnected_ = false;
    // The path could not be opened more than once.
    bool unreachable_ = false;
    // Its guard says that it fails its requests.
    bool ejected_ = false;
    // It takes single idempotent requests until one succeeds.
    bool on_trial_ = false;
    // Probability that it is failing.
    double suspicion_ = 0;
    // It asks for a request that shows how it is.
    bool needs_probe_ = false;
    // Nobody has told of any run there.
    bool untried_ = false;
    // It must not get the request: it leaves, or was tried.
    bool excluded_ = false;
};

struct choice_criteria {
    bool idempotent_ = false;
    // If the target fails the request, another one may still get it.
    bool can_retry_ = true;
    // Large answers: near targets are worth more.
    bool download_ = false;
    run_kind kind_ = run_kind::non_idempotent;
    // Share of the targets that is always in use.
    double min_share_ = 0;
};

struct target_choice {
    std::size_t index_ = 0;
    // It is ejected, and needed all the same.
    bool allow_ejected_ = false;
};

// Time from now on until an answer may be expected from there.
base::duration expected_finish(const candidate& target, const choice_criteria& criteria,
                               base::duration usual_run);

// The best target, or nothing if all are excluded.
std::optional<target_choice> choose_target(std::span<const candidate> candidates,
                                           const choice_criteria& criteria,
                                           base::random_engine& random);

}  // namespace dandelionridge::policy
