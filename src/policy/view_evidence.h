// How old the evidence is that a host's configuration is current.
//
// A relaxed read may show the platform as it was seconds ago. So a host's configuration is current
// only as of the time at which some host was listening to the platform with current reads: this
// host itself, or one whose reply passed on what it has. The times are kept for each value, because
// a host may have a value that it does not pass on.
#pragma once

#include "base/clock.h"

namespace dandelionridge::policy {

// The time as of which each configuration value is known to be current. The clock's zero point if
// there is no evidence.
struct evidence_times {
    base::instant rules_{};
    base::instant hosts_{};

    bool operator==(const evidence_times&) const = default;
};

// Raises each time to that of `other` if that is later.
void merge(evidence_times& known, const evidence_times& other);

// Returns the earlier of the two times.
base::instant oldest(const evidence_times& times);

struct view_evidence {
    // From this host's own reads, and from the replies of others.
    evidence_times own_;
    evidence_times by_peers_;
};

// Returns the best evidence for each value.
evidence_times newest(const view_evidence& evidence);

}  // namespace dandelionridge::policy
