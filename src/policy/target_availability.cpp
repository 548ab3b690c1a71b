#include "policy/target_availability.h"

#include <cmath>
#include <numeric>

namespace dandelionridge::policy {

std::string_view to_text(target_availability availability) {
    switch (availability) {
        case target_availability::excluded:
            return "excluded";
        case target_availability::tried:
            return "tried";
        case target_availability::unreachable:
            return "unreachable";
        case target_availability::reconnecting:
            return "reconnecting";
        case target_availability::ejected:
            return "ejected";
        case target_availability::on_trial:
            return "on_trial";
        case target_availability::stopping:
            return "stopping";
        case target_availability::busy:
            return "busy";
        case target_availability::available:
            break;
    }
    return "available";
}

target_availability availability_of(const candidate& target) {
    if (target.excluded_ || target.disallowed_) {
        return target_availability::excluded;
    }
    if (target.tried_) {
        return target_availability::tried;
    }
    if (target.unreachable_) {
        return target_availability::unreachable;
    }
    if (target.disconnected_) {
        return target_availability::reconnecting;
    }
    if (target.ejected_) {
        return target_availability::ejected;
    }
    if (target.on_trial_) {
        return target_availability::on_trial;
    }
    if (target.stopping_) {
        return target_availability::stopping;
    }
    return has_free_slot(target) ? target_availability::available : target_availability::busy;
}

availability_counts count_availability(std::span<const candidate> candidates) {
    availability_counts counts{};
    for (const candidate& target : candidates) {
        ++counts.at(static_cast<std::size_t>(availability_of(target)));
    }
    return counts;
}

std::uint64_t count_of(const availability_counts& counts, target_availability availability) {
    return counts.at(static_cast<std::size_t>(availability));
}

bool is_short(const availability_counts& counts, double min_share) {
    const std::uint64_t listed = std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
    const std::uint64_t in_use = listed - count_of(counts, target_availability::excluded);
    const std::uint64_t usable = count_of(counts, target_availability::available) +
                                 count_of(counts, target_availability::busy);
    return static_cast<double>(usable) < std::ceil(min_share * static_cast<double>(in_use));
}

}  // namespace dandelionridge::policy
