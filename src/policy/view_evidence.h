// How old the evidence is that a host's configuration is current, and when a host whose evidence is
// too old reads the platform by itself.
//
// A relaxed read may show the platform as it was seconds ago. So a host's configuration is current
// only as of the time at which some host was listening to the platform with current reads: this
// host itself, or one whose reply passed on what it has. The times are kept for each value, because
// a host may have a value that it does not pass on.
//
// Most hosts rely on the few that listen. These may all be lost at once, so a host that is without
// recent evidence for some time reads currently until one of them replies again. In a large fleet
// only a random part of the hosts does so at a time: the others learn from these, and the platform
// is not called by all hosts at once.
#pragma once

#include <cstddef>
#include <optional>

#include "base/clock.h"
#include "base/random.h"

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

// Evidence may be older than the interval between two questions by this and still be recent.
inline constexpr base::duration reply_allowance = base::milliseconds(250);

// Number of checks in a row that find no recent evidence before a host reads currently by itself.
// They are counted, not timed: a process that gets little processor time reads its replies late.
inline constexpr int checks_before_own_reads = 5;

// Mean number of hosts of a fleet that begin to read currently in one check: below what a platform
// takes from all hosts in a second, also if the checks of several seconds find no evidence.
inline constexpr double own_readers_per_check = 80;

struct view_evidence {
    // From this host's own reads, and from the replies of others.
    evidence_times own_;
    evidence_times by_peers_;
    // Checks in a row that found no recent evidence.
    int checks_without_ = 0;
    // The host reads currently although it is not one of those that always do.
    bool reads_currently_ = false;
};

// Returns the best evidence for each value.
evidence_times newest(const view_evidence& evidence);

// Returns true if a host that has been without recent evidence looks for it at other hosts than
// those that it usually asks.
bool lacks_evidence(const view_evidence& evidence);

// Checks the evidence, for which the host asks others at this interval, and decides whether it
// reads currently by itself: from a lack of evidence until others show some. `fleet` is the number
// of hosts; `nobody_asked`: no host that listens could be asked, so that waiting for a reply is of
// no use.
void check_evidence(view_evidence& evidence, base::duration interval, std::size_t fleet,
                    bool nobody_asked, base::random_engine& random, base::instant now);

// Records that the replies of others do not matter to this host, for example because it always
// reads currently.
void skip_check(view_evidence& evidence);

}  // namespace dandelionridge::policy
