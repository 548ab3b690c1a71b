// Decides which hosts watch the platform's store.
//
// The store hands out the whole configuration with each change, and what all hosts call and fetch
// counts against what it takes, so that a change would cost the configuration times the fleet. So
// only a few hosts watch the store, with reads that are never old. They ask each other for their
// versions, so that one whose reads fail unnoticed still learns of changes; all other hosts ask
// those of their zone, and those of other zones while their own do not reply.
//
// The platform's list may name hosts where no process runs: they have just failed, or another
// writer left the entry. Such hosts are passed over once they are found absent.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"

namespace dandelionridge::policy {

// Number of watching hosts of a fleet at least, as far as it has as many: two may fail at once.
inline constexpr std::size_t min_fleet_watchers = 3;

// Number of other zones' watching hosts that are asked in a round: one of them may fail as well.
inline constexpr std::size_t other_watchers_asked = 2;

// Time within which a watching host usually replies.
inline constexpr base::duration watcher_reply_time = base::milliseconds(250);

// Returns the number of watching hosts in each of a fleet's zones: at least one.
std::size_t watchers_per_zone(std::size_t zones);

// Returns the hosts of a zone in the order in which they are taken to watch with current reads.
std::vector<std::string> rank_watchers(std::span<const std::string> zone_hosts);

// The watching hosts of a fleet as one host sees them.
struct watcher_view {
    // The host itself, its zone, and the listed hosts of each zone in the order in which they are
    // taken to watch.
    std::string self_;
    std::string own_zone_;
    std::map<std::string, std::vector<std::string>> ranked_;
    // Those of the host's own zone and those of all other zones, without the host itself.
    std::vector<std::string> zone_;
    std::vector<std::string> others_;
    // This host is one of them.
    bool watches_ = false;
    // Turns by which the next host of each list is taken. Hosts start at different ones.
    std::size_t next_zone_ = 0;
    std::size_t next_other_ = 0;
    // A watching host of the zone has shown a recent view since the last round.
    bool zone_replied_ = false;
    // Those of other zones have been asked in this round.
    bool asked_others_ = false;
    // Start of this round.
    base::instant asked_at_{};
};

// Tells whether a host has a link that is up.
using reachable_check = std::function<bool(const std::string& host)>;

// Tells whether a host was found not to respond where the list says that it is.
using absent_check = std::function<bool(const std::string& host)>;

// Sets the listed hosts of each zone, as the host `self` in `zone` sees them.
void set_hosts(watcher_view& view, const std::map<std::string, std::vector<std::string>>& hosts,
               const std::string& zone, const std::string& self, const absent_check& absent);

// Chooses the watching hosts anew: the first of each zone that are not absent. Zones in which all
// hosts are absent do not count.
void choose_watchers(watcher_view& view, const absent_check& absent);

// Returns the hosts that one that does not watch asks in this round: one of its zone, and some of
// other zones unless its zone has replied since the last round. A link may be up to a host that
// learns nothing, so only replies count.
std::vector<std::string> watchers_to_ask(watcher_view& view, const reachable_check& reachable,
                                         base::instant now);

// Returns those of other zones to ask at once because the one of the zone has not replied in time,
// unless they have been asked in this round.
std::vector<std::string> watchers_after_silence(watcher_view& view,
                                                const reachable_check& reachable,
                                                base::instant now);

// Returns the host that a watching host asks in this round: each of the others in turn, because its
// own watch may fail unnoticed. Empty if none can be reached.
std::optional<std::string> next_watcher(watcher_view& view, const reachable_check& reachable);

// Records that a host replied. If it is a watching host of the zone whose view is not recent,
// returns those of other zones to ask at once, unless they have been asked in this round.
std::vector<std::string> record_reply(watcher_view& view, const std::string& host, bool recent,
                                      const reachable_check& reachable);

// Returns true if another host is one that watches.
bool is_watcher(const watcher_view& view, const std::string& host);

}  // namespace dandelionridge::policy
