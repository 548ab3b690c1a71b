// Zones to whose targets nothing may be sent, as asked for by the operator.
//
// A platform that came back from a copy shows the evacuations of an earlier time. Until the restore
// is over, what was known before stays in force, but for changes that the platform shows since.
#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace dandelionridge::policy {

using zone_set = std::set<std::string>;

struct evacuations {
    // Zones whose evacuation is in force.
    zone_set in_force_;
    // Those of the newest list.
    zone_set listed_;
    // In force although the list lacks them: the platform's copy is older than they are.
    zone_set held_;
    // Listed but not in force: they had been withdrawn before the platform came back from a copy.
    zone_set outdated_;
    // Withdrawn since the process started and not asked for again.
    zone_set withdrawn_;
    // Number of times that the platform had come back from a copy before the newest list; -1
    // without a list.
    std::int64_t restores_ = -1;
};

// Applies the evacuations of a newer list.
void apply_list(evacuations& known, const zone_set& listed, std::int64_t restores);

// Ends the time in which the platform may show an earlier state: its list is in force.
void end_restore(evacuations& known);

// Returns true if the evacuations in force are those of the newest list.
bool follows_list(const evacuations& known);

// What changed between two sets of evacuated zones, for the log.
struct evacuation_changes {
    zone_set started_;
    zone_set withdrawn_;
};

evacuation_changes changes_between(const zone_set& before, const zone_set& after);

}  // namespace dandelionridge::policy
