// An organisation's rate and burst over the fleet: which host grants its tokens, and how many.
//
// The hosts are ranked for each organisation by rendezvous hashing. The first host in the ranking
// that can be reached acts as the organisation's owner. A host acts only while it can reach no host
// that ranks before it, and it grants the fraction of the rate that its reachable hosts are of all
// hosts. Thus the sides of a partition together grant no more than the rate. A host that begins to
// act cannot know what was granted before. It starts with a small part of what rate and burst may
// be exceeded by, or without tokens if nothing may exceed them.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "policy/token_bucket.h"

namespace dandelionridge::policy {

// Number of ranked hosts that may act as an organisation's owner. With half of the fleet lost, one
// organisation in 256 has none left.
inline constexpr std::size_t max_ranked_owners = 8;

// Time for which a host that begins to act grants nothing: until all hosts have an open link again,
// another host may still act and receive requests for tokens.
inline constexpr base::duration quota_handover_delay = base::milliseconds(200);

// Fraction of its own share of the rate that a host grants itself while it knows of no owner. It is
// below 1 because other hosts may have found an owner.
inline constexpr double own_share_ratio = 0.5;

// A host's own share that was not used for this long starts with no tokens again.
inline constexpr base::duration own_share_expiry = base::seconds(2);

// Time within which granted tokens must be used, counted from the request for them.
inline constexpr base::duration grant_lifetime = base::milliseconds(300);

// How an organisation's rate and burst are measured, and what may exceed them.
struct quota_tolerance {
    // Rate and burst bound the requests in every window of this length.
    base::duration window_ = base::seconds(5);
    // What may exceed them in a window while hosts cannot agree: a fraction of them, and a number
    // of requests.
    double overage_ = 0;
    double slack_ = 0;
};

struct quota_limit {
    // Tokens per second.
    double rate_ = 0;
    // Tokens that may be used at once in addition to the rate.
    std::int64_t burst_ = 0;
    quota_tolerance tolerance_{};
};

// Returns the maximum number of tokens that accumulate unused. It exceeds the burst by a part of
// the tolerance, because requests come in clumps. The bound on each window holds nevertheless while
// one owner grants; the rest of the tolerance is for two owners that do not know of each other.
std::int64_t max_unused_tokens(const quota_limit& limit);

// Returns the maximum number of tokens that are granted in a window.
double max_tokens_per_window(const quota_limit& limit);

// Which other hosts a host can reach.
struct host_reachability {
    // A host that ranks before this one can be reached.
    bool higher_rank_reachable_ = false;
    // A host that ranks before this one does not reply over an open link. Other hosts may still
    // reach it, and which hosts this one reaches is not yet known either.
    bool higher_rank_silent_ = false;
    // Hosts that can be reached, including this one.
    std::size_t reachable_hosts_ = 1;
    // All hosts, reachable or not.
    std::size_t hosts_ = 1;
};

// Returns how long a request waits for a token before it is refused, so that it can still meet
// its latency objective. `objective` is zero if the route has none.
base::duration quota_max_wait(base::duration objective, base::duration time_left);

// Returns the hosts to ask for an organisation's tokens, highest rank first.
std::vector<std::string> rank_owners(std::string_view organisation,
                                     std::span<const std::string> hosts);

// Returns the fraction of an organisation's rate that a host may grant; 0 if it must not act.
double acting_share(const host_reachability& reachability);

// Tokens granted at one time.
struct granted_tokens {
    base::instant granted_at_{};
    std::int64_t tokens_ = 0;
};

// Tokens that a requester was not granted. It requests them again, and they count only once.
struct unmet_request {
    std::int64_t tokens_ = 0;
    base::instant counted_at_{};
};

// A host's state as the owner, or a possible owner, of one organisation's tokens.
struct quota_owner {
    token_bucket bucket_;
    // Grants within the window, oldest first.
    std::deque<granted_tokens> recent_grants_;
    // Their sum.
    std::int64_t tokens_in_window_ = 0;
    // The host acts as the organisation's owner.
    bool acting_ = false;
    // Nothing is granted before this time.
    base::instant grants_from_{};
    // Last time at which the host began to act with a part of the tolerance.
    std::optional<base::instant> tolerance_used_at_;
    // Tokens requested per second, averaged over about a second.
    double requested_rate_ = 0;
    // Time of the last request for tokens.
    base::instant last_request_at_{};
    // By requester.
    std::unordered_map<std::string, unmet_request> unmet_requests_;
};

// What decided on a request for tokens.
enum class grant_cause {
    // All tokens were granted.
    granted,
    // Fewer tokens than requested had accrued.
    no_token,
    // Rate and burst were granted within the window.
    window_used_up,
    // The host has begun to act and grants nothing yet.
    handover,
    // The host does not act as owner.
    not_acting,
};

// Number of values of grant_cause.
inline constexpr std::size_t grant_cause_count = 5;

std::string_view to_text(grant_cause cause);

// Reply to a request for tokens.
struct quota_grant {
    std::int64_t tokens_ = 0;
    // Time after which another request for tokens may succeed; zero if all tokens were granted.
    base::duration retry_after_{};
    // False if this host does not act, or has begun to act and grants nothing yet.
    bool granting_ = false;
    grant_cause cause_ = grant_cause::granted;
};

// Stops acting after the process was stalled, since another host may have acted meanwhile.
void stop_acting(quota_owner& owner);

// Grants tokens from the share of the rate that falls to a single host. This needs no owner.
quota_grant grant_own_share(quota_owner& owner, const quota_limit& limit, std::size_t hosts,
                            std::int64_t wanted, base::instant now);

// Returns an acting owner that begins to act at `since` and does not know what was granted before.
quota_owner make_owner(const quota_limit& limit, base::instant since);

// Grants up to `wanted` tokens to the host `requester`. Starts or stops acting as `reachability`
// demands.
quota_grant grant_tokens(quota_owner& owner, const quota_limit& limit,
                         const host_reachability& reachability, std::int64_t wanted,
                         base::instant now, const std::string& requester = {});

// Tokens that a caller proxy holds for one organisation.
struct held_tokens {
    std::int64_t tokens_ = 0;
    base::instant expires_at_{};
    // Requests per second, averaged over about a second.
    double request_rate_ = 0;
    // Time of the last request.
    base::instant demand_at_{};
};

// Counts one request towards the demand.
void record_demand(held_tokens& held, base::instant now);

// Uses one token. Returns false if none is held.
bool use_token(held_tokens& held, base::instant now);

// Returns how many tokens to request while `waiting` requests wait for one. Tokens for requests
// still to come are included only where the demand is high.
std::int64_t tokens_to_request(const held_tokens& held, std::int64_t waiting, base::instant now);

// Adds granted tokens that were requested at `requested_at`, after dropping the held tokens if they
// had expired by then. All tokens held now expire grant_lifetime after `requested_at`.
void add_tokens(held_tokens& held, std::int64_t tokens, base::instant requested_at);

}  // namespace dandelionridge::policy
