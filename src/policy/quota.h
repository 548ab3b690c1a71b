// An organisation's rate and burst over the fleet: who grants its tokens, and how many.
//
// The hosts are ranked for each organisation by rendezvous hashing. The first one that can be
// reached acts as its owner. A host acts only while it can reach none that ranks before it, and it
// grants the share of the rate that the hosts it can reach are of all hosts: sides of a partition
// then grant no more than the rate together. A host that begins to act starts empty, since it
// cannot know what was granted before.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "policy/token_bucket.h"

namespace dandelionridge::policy {

// Hosts that are asked for an organisation's tokens before a host helps itself.
inline constexpr std::size_t max_ranked_owners = 3;

// A host that begins to act grants nothing for this long: another may still act, and be asked,
// until all have an open link again.
inline constexpr base::duration quota_handover_delay = base::milliseconds(200);

// Part of its share of the rate that a host grants itself while it knows of no owner: others may
// have found one.
inline constexpr double own_share_ratio = 0.5;

// A host's own share that was not used for this long starts empty.
inline constexpr base::duration own_share_expiry = base::seconds(2);

// Tokens that were granted must be used within this time.
inline constexpr base::duration grant_lifetime = base::milliseconds(300);

struct quota_limit {
    // Tokens per second.
    double rate_ = 0;
    std::int64_t burst_ = 0;
};

// What a host sees of the others.
struct host_reachability {
    // Some host that ranks before this one can be reached.
    bool higher_rank_reachable_ = false;
    // Hosts that can be reached, this one included, and all hosts.
    std::size_t reachable_hosts_ = 1;
    std::size_t hosts_ = 1;
};

// How long a request waits for a token before it is refused: as long as it can still meet its
// objective (zero: the route has none).
base::duration quota_max_wait(base::duration objective, base::duration time_left);

// The hosts to ask for an organisation's tokens, best first.
std::vector<std::string> rank_owners(std::string_view organisation,
                                     std::span<const std::string> hosts);

// Share of an organisation's rate that a host may grant; 0 if it must not act.
double acting_share(const host_reachability& standing);

struct quota_owner {
    token_bucket bucket_;
    bool acting_ = false;
    // Grants before this time are withheld.
    base::instant grants_from_{};
    // Tokens asked for a second, averaged over about a second.
    double requested_rate_ = 0;
    base::instant requested_at_{};
};

struct quota_grant {
    std::int64_t tokens_ = 0;
    // Time until asking again can help.
    base::duration retry_after_{};
    // False if this host does not act.
    bool acting_ = false;
};

// The process stood still: another host may have acted meanwhile.
void stop_acting(quota_owner& owner);

// Grants from the share of a single host, which needs nobody's leave.
quota_grant grant_own_share(quota_owner& owner, const quota_limit& limit, std::size_t hosts,
                            std::int64_t wanted, base::instant now);

// An owner that knows nothing of what was granted before `since`.
quota_owner make_owner(const quota_limit& limit, base::instant since);

// Grants up to `wanted` tokens.
quota_grant grant_tokens(quota_owner& owner, const quota_limit& limit,
                         const host_reachability& standing, std::int64_t wanted, base::instant now);

// Tokens that an entry holds for one organisation.
struct held_tokens {
    std::int64_t tokens_ = 0;
    base::instant expires_at_{};
    // Requests a second, averaged over about a second.
    double demand_ = 0;
    base::instant demand_at_{};
};

void record_demand(held_tokens& held, base::instant now);

// Uses one token. False if none is held.
bool use_token(held_tokens& held, base::instant now);

// Tokens to ask for when that many requests wait: prefetched only where the demand is high.
std::int64_t tokens_to_request(const held_tokens& held, std::int64_t waiting, base::instant now);

// Takes tokens that were asked for at that time.
void add_tokens(held_tokens& held, std::int64_t tokens, base::instant requested_at);

}  // namespace dandelionridge::policy
