// How old the evidence is that a host's configuration is current, and when a host whose evidence is
// too old reads the platform by itself.
//
// Most hosts do not watch the platform. A host's configuration is current only as of the time at
// which some host was listening to the platform with current reads: this host itself, or one whose
// reply passed on what it has. The times are kept for each value, because a host may have a value
// that it does not pass on.
//
// Most hosts rely on the few that listen. These may all be lost at once, so a host that is without
// recent evidence for some time reads currently until one of them replies again. In a large fleet
// only a random part of the hosts does so at a time: the others learn from these, and the platform
// is not called by all hosts at once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

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

// Evidence counts as a reply to a question if it is at most this much older than the question:
// hosts that listen pause briefly between two watches.
inline constexpr base::duration evidence_allowance = base::milliseconds(400);

// Number of checks in a row that find a question without evidence in reply before a host reads
// currently by itself. They are counted, not timed: a process that gets little processor time reads
// its replies late.
inline constexpr int checks_before_own_reads = 10;

// Mean number of hosts of a fleet that begin to read currently in one check: below what a platform
// takes from all hosts in a second, also if the checks of several seconds find no evidence.
inline constexpr double own_readers_per_check = 80;

// A version that a peer passes on and this host does not have yet, and its evidence for it.
struct pending_evidence {
    std::int64_t version_ = 0;
    base::instant as_of_{};
};

struct view_evidence {
    // From this host's own reads, and from the replies of others.
    evidence_times own_;
    evidence_times by_peers_;
    // Evidence that holds once this host has the version, oldest first.
    std::vector<pending_evidence> pending_rules_;
    std::vector<pending_evidence> pending_hosts_;
    // Checks in a row that found no evidence.
    int checks_without_ = 0;
    // The host reads currently although it is not one of those that always do.
    bool reads_currently_ = false;
};

// Returns the best evidence for each value.
evidence_times newest(const view_evidence& evidence);

// Records a peer's evidence for a version of a value, which holds here once this host has that
// version.
void record_pending(std::vector<pending_evidence>& pending, std::int64_t version,
                    base::instant as_of);

// Returns the best evidence for versions up to `version`, which this host has, and forgets what it
// replaces. The clock's zero point if there is none.
base::instant take_evidence(std::vector<pending_evidence>& pending, std::int64_t version);

// Returns true if a host that has been without evidence looks for it at other hosts than those that
// it usually asks.
bool lacks_evidence(const view_evidence& evidence);

// Checks whether the question of `asked_at` has brought evidence, and decides whether the host
// reads currently by itself: from a lack of evidence until others show some. `fleet` is the number
// of hosts.
void check_evidence(view_evidence& evidence, base::instant asked_at, std::size_t fleet,
                    base::random_engine& random);

// Records that the replies of others do not matter to this host, for example because it always
// reads currently.
void skip_check(view_evidence& evidence);

}  // namespace dandelionridge::policy
