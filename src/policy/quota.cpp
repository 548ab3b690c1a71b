#include "policy/quota.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace dandelionridge::policy {

namespace {

// Demand is prefetched for this time ahead.
constexpr double prefetch_s = 0.1;
constexpr double demand_memory_s = 1.0;
// A host that must not act tells askers to look elsewhere for this long.
constexpr base::duration not_acting_pause = base::milliseconds(50);

// How long a request may wait for its organisation's rate: that part of its objective, or this long
// where it has none; never more than half of the time that its caller still waits.
constexpr int objective_part = 3;
constexpr base::duration wait_without_objective = base::milliseconds(500);

double seconds_of(base::duration value) {
    return std::chrono::duration<double>(value).count();
}

void note_asked(quota_owner& owner, std::int64_t wanted, base::instant now) {
    const double gap = seconds_of(now - owner.requested_at_);
    owner.requested_rate_ = owner.requested_rate_ * std::exp(-gap / demand_memory_s) +
                            static_cast<double>(wanted) / demand_memory_s;
    owner.requested_at_ = now;
}

// Where far more is asked for than flows in, asking again soon helps nobody.
base::duration overload_pause(const quota_owner& owner) {
    constexpr double tolerated = 1.3;
    constexpr double longest_pause_s = 2;
    const double rate = std::max(owner.bucket_.rate_, 0.001);
    const double excess = owner.requested_rate_ / rate;
    if (excess <= tolerated) {
        return {};
    }
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(std::min(longest_pause_s, excess / 2)));
}

}  // namespace

base::duration quota_max_wait(base::duration objective, base::duration time_left) {
    const base::duration longest =
        objective > base::duration::zero() ? objective / objective_part : wait_without_objective;
    return std::min(longest, time_left / 2);
}

std::vector<std::string> rank_owners(std::string_view organisation,
                                     std::span<const std::string> hosts) {
    std::vector<std::string> ranked;
    for (const std::size_t index : base::rendezvous_top(organisation, hosts, max_ranked_owners)) {
        ranked.push_back(hosts[index]);
    }
    return ranked;
}

double acting_share(const host_reachability& standing) {
    if (standing.higher_rank_reachable_ || standing.hosts_ == 0) {
        return 0;
    }
    return std::min(
        1.0, static_cast<double>(standing.reachable_hosts_) / static_cast<double>(standing.hosts_));
}

quota_owner make_owner(const quota_limit& limit, base::instant since) {
    quota_owner owner;
    owner.bucket_ = make_bucket(limit.rate_, limit.burst_, since);
    owner.bucket_.tokens_ = 0;
    owner.grants_from_ = since + quota_handover_delay;
    owner.acting_ = true;
    return owner;
}

quota_grant grant_tokens(quota_owner& owner, const quota_limit& limit,
                         const host_reachability& standing, std::int64_t wanted,
                         base::instant now) {
    const double share = acting_share(standing);
    quota_grant grant;
    if (share <= 0) {
        owner.acting_ = false;
        grant.retry_after_ = not_acting_pause;
        return grant;
    }
    if (!owner.acting_) {
        owner = make_owner(limit, now);
    }
    refill(owner.bucket_, static_cast<double>(owner.bucket_.burst_), now);
    owner.bucket_.rate_ = limit.rate_ * share;
    owner.bucket_.burst_ = std::max<std::int64_t>(
        1, std::llround(std::floor(static_cast<double>(limit.burst_) * share)));
    note_asked(owner, wanted, now);
    if (now < owner.grants_from_) {
        grant.retry_after_ = owner.grants_from_ - now;
        return grant;
    }
    grant.acting_ = true;
    grant.tokens_ = take(owner.bucket_, wanted, now);
    if (grant.tokens_ < wanted) {
        grant.retry_after_ = std::max(wait_for_token(owner.bucket_), overload_pause(owner));
    }
    return grant;
}

void stop_acting(quota_owner& owner) {
    owner.acting_ = false;
}

quota_grant grant_own_share(quota_owner& owner, const quota_limit& limit, std::size_t hosts,
                            std::int64_t wanted, base::instant now) {
    if (now - owner.requested_at_ > own_share_expiry) {
        owner = make_owner(limit, now);
    }
    owner.grants_from_ = now;
    const quota_limit part{limit.rate_ * own_share_ratio, limit.burst_ / 2};
    return grant_tokens(owner, part, {false, 1, hosts}, wanted, now);
}

void record_demand(held_tokens& held, base::instant now) {
    const double gap = seconds_of(now - held.demand_at_);
    held.demand_ = held.demand_ * std::exp(-gap / demand_memory_s) + 1 / demand_memory_s;
    held.demand_at_ = now;
}

bool use_token(held_tokens& held, base::instant now) {
    if (held.tokens_ <= 0 || now > held.expires_at_) {
        held.tokens_ = 0;
        return false;
    }
    --held.tokens_;
    return true;
}

std::int64_t tokens_to_request(const held_tokens& held, std::int64_t waiting, base::instant now) {
    const std::int64_t usable = now > held.expires_at_ ? 0 : held.tokens_;
    const double demand =
        held.demand_ * std::exp(-seconds_of(now - held.demand_at_) / demand_memory_s);
    const auto ahead = static_cast<std::int64_t>(demand * prefetch_s);
    return std::max<std::int64_t>(0, waiting + ahead - usable);
}

void add_tokens(held_tokens& held, std::int64_t tokens, base::instant requested_at) {
    if (requested_at > held.expires_at_) {
        held.tokens_ = 0;
    }
    held.tokens_ += tokens;
    held.expires_at_ = requested_at + grant_lifetime;
}

}  // namespace dandelionridge::policy
