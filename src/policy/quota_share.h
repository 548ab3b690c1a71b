// How an organisation's rate and burst are divided over the zones, and who owns each share.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace dandelionridge::policy {

struct quota_share {
    // Tokens per second.
    double rate_ = 0;
    // Whole tokens; the shares of all zones add up to the organisation's burst.
    std::int64_t burst_ = 0;
};

// A zone's share. The zones are those of the rules, so that every process divides alike. Where the
// burst is smaller than the number of zones, zones chosen by rendezvous hashing hold one token each
// and share the rate; the others hold nothing.
quota_share share_of_zone(std::string_view organisation, double rate, std::int64_t burst,
                          std::span<const std::string> zones, std::string_view zone);

// A host list of the zone and the time since which it has been in force here.
struct list_epoch {
    base::instant since_{};
    std::vector<std::string> hosts_;
};

// Since when this host has owned an organisation's share without a break, as far back as the
// epochs reach, which are in order of time; nothing if it does not own it now.
std::optional<base::instant> owned_since(std::string_view organisation, std::string_view self,
                                         std::span<const list_epoch> epochs);

// The host that owns an organisation's share among the hosts of a zone; empty if there is none.
std::string owner_of_share(std::string_view organisation, std::span<const std::string> hosts);

}  // namespace dandelionridge::policy
