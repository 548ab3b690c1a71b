// Identifiers of execution attempts and of the links that carry them.
#pragma once

#include <compare>
#include <cstdint>

namespace dandelionridge::policy {

// Identifies one attempt of one caller proxy process on one target proxy. The caller proxy numbers
// its links from 1 and the attempts on each link from 1; both numbers only increase.
struct attempt_id {
    std::int64_t link_ = 0;
    std::int64_t sequence_ = 0;

    auto operator<=>(const attempt_id&) const = default;
};

// Status of an attempt that a target proxy reports when queried.
enum class attempt_status {
    // The attempt did not run and never will.
    not_run,
    // The attempt holds a slot or is on its way to the target.
    running,
    // The attempt ran; its response follows, or a failure (answer_lost) if the response was not
    // kept in full.
    done,
    // The attempt may have run.
    unknown,
};

}  // namespace dandelionridge::policy
