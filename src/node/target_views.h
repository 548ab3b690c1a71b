// What an entry knows of the targets of the fleet, from their guards' reports and from the
// attempts that it has under way.
#pragma once

#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

struct target_view {
    wire::target_report report_;
    base::instant reported_at_{};
    // Attempts of this entry, now and when the report was made.
    int in_flight_ = 0;
    int in_flight_at_report_ = 0;
};

class target_views {
public:
    // A guard has told how its target is.
    void record(const wire::target_report& report, base::instant now);

    void begin_attempt(const std::string& target);
    void end_attempt(const std::string& target);

    // The view of a target, or null if nothing is known.
    const target_view* find(const std::string& target) const;

    // Requests that run or wait at a target: what others had there at the report counts less the
    // older the report is.
    double load_of(const std::string& target, base::instant now) const;

    // Forgets targets that told nothing for long.
    void expire_stale(base::instant now);

private:
    std::unordered_map<std::string, target_view> views_;
};

}  // namespace dandelionridge::node
