// What a caller proxy knows of the targets of the fleet, from the reports of their target proxies
// and from its own attempts in progress.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

// What is known of one target.
struct target_view {
    // The latest report, and when it was received.
    wire::target_report report_;
    base::instant reported_at_{};
    // Number of this caller proxy's attempts in progress on the target, now and when the report was
    // received.
    int in_flight_ = 0;
    int in_flight_at_report_ = 0;
};

class target_views {
public:
    // Records a target proxy's report on its target. A report that names no target is ignored.
    void record(const wire::target_report& report, base::instant now);

    // Counts an attempt as in progress. The target does not count as idle until its next report.
    void begin_attempt(const std::string& target);
    void end_attempt(const std::string& target);

    // Returns the view of a target, or null if nothing is known of it.
    const target_view* find(const std::string& target) const;

    // Returns the estimated number of requests queued or running on a target: this caller proxy's
    // own, and those of others at the time of the report, which count less the older the report is.
    double load_of(const std::string& target, base::instant now) const;

    // The same without the decay; nothing if the target has not been reported on.
    std::optional<double> reported_load_of(const std::string& target) const;

    // Removes targets that have no attempt in progress and whose last report is too old.
    void expire_stale(base::instant now);

private:
    std::unordered_map<std::string, target_view> views_;
};

}  // namespace dandelionridge::node
