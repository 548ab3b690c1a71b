// What one process knows of the other hosts of its zone, by exchanges that it began itself.
//
// An exchange is a question and its answer; it is dated at the time of the question, so that an
// answer that was long on its way counts as old.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace dandelionridge::policy {

struct peer_exchange {
    base::instant requested_at_{};
    // Version of the host list that the peer named.
    std::int64_t hosts_version_ = 0;
};

struct zone_view {
    std::string self_;
    std::int64_t hosts_version_ = 0;
    // All hosts of the zone in that version, this one among them.
    std::vector<std::string> members_;
    std::unordered_map<std::string, peer_exchange> exchanges_;
    // Highest version of the host list that any peer named.
    std::int64_t newest_seen_ = 0;
};

// A new host list is in force.
void set_members(zone_view& view, std::int64_t hosts_version, std::vector<std::string> members);

// A peer has answered a question that was asked at that time.
void record_exchange(zone_view& view, const std::string& peer, peer_exchange exchange);

// A peer named that version of the host list, at an unknown time.
void observe_version(zone_view& view, std::int64_t hosts_version);

// The latest time at or after which more than half of the zone, this host included, has answered;
// the clock's zero point if that was never so.
base::instant latest_majority_contact(const zone_view& view, base::instant now);

// The same, counting only peers that have this version of the host list or a newer one, and none
// at all while a peer is known to have a newer one.
base::instant latest_majority_agreement(const zone_view& view, base::instant now);

}  // namespace dandelionridge::policy
