// What one process knows of the other hosts of its zone, from exchanges that it started itself.
//
// An exchange is a query and its reply. It is dated at the time of the query, so that a reply that
// was delayed counts as old.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace dandelionridge::policy {

struct peer_exchange {
    // Time of the query.
    base::instant requested_at_{};
    // Version of the host list that the peer reported.
    std::int64_t hosts_version_ = 0;
};

struct zone_view {
    // Name of this host.
    std::string self_;
    // Version of the host list in force on this host.
    std::int64_t hosts_version_ = 0;
    // All hosts of the zone in that version, including this one.
    std::vector<std::string> members_;
    // The latest exchange with each peer.
    std::unordered_map<std::string, peer_exchange> exchanges_;
    // Highest version of the host list that was in force here or that any peer has reported.
    std::int64_t newest_seen_ = 0;
};

// Records that a new host list is in force, and removes the exchanges with hosts not on it.
void set_members(zone_view& view, std::int64_t hosts_version, std::vector<std::string> members);

// Records a peer's reply. It is ignored if a later exchange with the peer is known, except for its
// version of the host list.
void record_exchange(zone_view& view, const std::string& peer, peer_exchange exchange);

// Records a version of the host list that a peer reported at an unknown time.
void observe_version(zone_view& view, std::int64_t hosts_version);

// Returns the latest time such that more than half of the zone's hosts, including this one, have
// replied to queries sent at or after it; the clock's zero point if there is none.
base::instant latest_majority_contact(const zone_view& view, base::instant now);

// The same, counting only peers that have this version of the host list or a newer one. Returns the
// clock's zero point while a peer is known to have a newer one.
base::instant latest_majority_agreement(const zone_view& view, base::instant now);

}  // namespace dandelionridge::policy
