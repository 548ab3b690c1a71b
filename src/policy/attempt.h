// Names of execution attempts and of the links that carry them.
#pragma once

#include <compare>
#include <cstdint>

namespace dandelionridge::policy {

// One attempt of one entry process at one guard. Links are numbered by the entry from 1, attempts
// from 1 on each link; both only rise.
struct attempt_id {
    std::int64_t link_ = 0;
    std::int64_t sequence_ = 0;

    auto operator<=>(const attempt_id&) const = default;
};

// What a guard says of an attempt when asked.
enum class attempt_status {
    // It did not run and never will.
    not_run,
    // It holds a slot or is on its way to the target.
    running,
    // It ran; its answer is kept and follows.
    done,
    // It may have run.
    unknown,
};

}  // namespace dandelionridge::policy
