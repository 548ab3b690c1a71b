// Says why a target of a service is, or is not, available to a request, for logs and metrics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "policy/balance.h"

namespace dandelionridge::policy {

// Availability of a target to one request. Of several reasons against a target the first in this
// order counts.
enum class target_availability {
    // The target or its host is leaving, closed or disabled.
    excluded,
    // The request was sent to the target already, or refused by it.
    tried,
    // More than once in a row, the link to the target's host was lost or could not be opened.
    unreachable,
    // The link to the target's host was lost or is being opened, or a ping on it is unanswered.
    reconnecting,
    ejected,
    on_trial,
    stopping,
    // All slots are taken.
    busy,
    available,
};
inline constexpr std::size_t target_availability_count = 9;

// Number of targets by availability, indexed by it.
using availability_counts = std::array<std::uint64_t, target_availability_count>;

std::string_view to_text(target_availability availability);

target_availability availability_of(const candidate& target);

availability_counts count_availability(std::span<const candidate> candidates);

std::uint64_t count_of(const availability_counts& counts, target_availability availability);

// Returns true if fewer than the minimum share of the targets that are in use at all are available.
// Targets that are excluded do not count; those whose slots are all taken count as available.
bool is_short(const availability_counts& counts, double min_share);

}  // namespace dandelionridge::policy
