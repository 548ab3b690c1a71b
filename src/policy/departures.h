// Targets that have reported in their responses that they are leaving.
//
// A target that leaves serves for a while, and says so in each response, possibly long before the
// platform's list shows it or while the list cannot be read. A target of the same name that was
// started later is another one, to which the report does not apply.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace dandelionridge::policy {

// Time for which a report is kept after its target is no longer listed.
inline constexpr base::duration departure_retention = base::seconds(600);

struct departure {
    // Start of the target in milliseconds since 1970; 0 if unknown.
    std::int64_t started_ms_ = 0;
    base::instant reported_at_{};
};

struct departures {
    // By the name of the target.
    std::map<std::string, departure, std::less<>> by_target_;
};

// The platform's entry of a target.
struct listed_target {
    // As departure::started_ms_.
    std::int64_t started_ms_ = 0;
    // The list shows the target as leaving.
    bool leaving_ = false;
};

// Records that a target reported that it is leaving. Returns false if that was known.
bool record_departure(departures& known, std::string_view target, std::int64_t started_ms,
                      base::instant now);

// Returns true if the target of that name and start reported that it is leaving.
bool is_departing(const departures& known, std::string_view target, std::int64_t started_ms);

// Forgets the reports that no longer apply: those of targets that were started again, and those of
// targets that were last reported long ago and are not listed. Where the start is unknown, a target
// that is unlisted or listed as leaving is forgotten, so that it may return under its name.
// `find_listed` returns the entry of a target, or nothing if it is not listed.
void expire_departures(
    departures& known,
    const std::function<std::optional<listed_target>(std::string_view target)>& find_listed,
    base::instant now);

}  // namespace dandelionridge::policy
