#include "policy/quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.h"

namespace dandelionridge::policy {

namespace {

// Tokens are requested in advance for the demand expected within this time.
constexpr double prefetch_horizon_s = 0.1;
// Time constant of the averages of demand and requested tokens.
constexpr double demand_averaging_s = 1.0;
// Retry delay in the reply of a host that must not act as owner. In the meantime, tokens should be
// requested from other hosts.
constexpr base::duration not_acting_retry_delay = base::milliseconds(50);

// A request may wait for its organisation's rate for this fraction (one in objective_divisor) of
// its objective, or for a fixed time if it has none, but never for more than half of the time that
// its caller still waits.
constexpr int objective_divisor = 3;
constexpr base::duration max_wait_without_objective = base::milliseconds(500);

double to_seconds(base::duration value) {
    return std::chrono::duration<double>(value).count();
}

// Tokens that a requester still lacks count as requested again after this time: by then other
// requests wait for them.
constexpr base::duration unmet_request_expiry = base::milliseconds(300);

// Adds the tokens to the requested rate, except for those that the requester was refused shortly
// before and requests again.
void record_requested(quota_owner& owner, const std::string& requester, std::int64_t wanted,
                      base::instant now) {
    unmet_request& unmet = owner.unmet_requests_[requester];
    if (now - unmet.counted_at_ > unmet_request_expiry) {
        unmet = {0, now};
    }
    const std::int64_t added = std::max<std::int64_t>(0, wanted - unmet.tokens_);
    unmet.tokens_ = wanted;
    const double elapsed_s = to_seconds(now - owner.last_request_at_);
    owner.requested_rate_ = owner.requested_rate_ * std::exp(-elapsed_s / demand_averaging_s) +
                            static_cast<double>(added) / demand_averaging_s;
    owner.last_request_at_ = now;
}

// Share of the tolerance that unused tokens may use up.
constexpr double unused_tolerance_share = 0.5;

// Share of the tolerance with which a host begins to act: requests have waited for an owner.
constexpr double takeover_tolerance_share = 0.25;

// Part of its share that a host grants while an owner that ranks before it is silent but not yet
// known to be lost.
constexpr double silent_owner_share_ratio = 0.75;

// Time for which requests wait until a host has taken over from a lost owner.
constexpr double takeover_wait_s = 1;

// Tokens requested per second below which an organisation's demand is too low to tell from chance.
constexpr double min_overload_rate = 5;

void expire_grants(quota_owner& owner, base::duration window, base::instant now) {
    while (!owner.recent_grants_.empty() &&
           now - owner.recent_grants_.front().granted_at_ >= window) {
        owner.tokens_in_window_ -= owner.recent_grants_.front().tokens_;
        owner.recent_grants_.pop_front();
    }
}

// Returns the delay after which to request tokens again. It is zero unless far more tokens are
// requested than the rate allows; requesting again soon would then only add load. Requests
// that waited for the owner to take over are no such demand.
base::duration overload_retry_delay(const quota_owner& owner, base::instant now) {
    constexpr double max_excess = 1.3;
    constexpr double max_delay_s = 2;
    const double rate = std::max(owner.bucket_.rate_, min_overload_rate);
    const double waited = rate * takeover_wait_s / demand_averaging_s *
                          std::exp(-to_seconds(now - owner.grants_from_) / demand_averaging_s);
    const double excess = (owner.requested_rate_ - waited) / rate;
    if (excess <= max_excess) {
        return {};
    }
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(std::min(max_delay_s, excess / 2)));
}

}  // namespace

std::string_view to_text(grant_cause cause) {
    switch (cause) {
        case grant_cause::granted:
            return "granted";
        case grant_cause::no_token:
            return "no_token";
        case grant_cause::window_used_up:
            return "window_used_up";
        case grant_cause::handover:
            return "handover";
        case grant_cause::not_acting:
            return "not_acting";
    }
    return "";
}

double max_tokens_per_window(const quota_limit& limit) {
    return limit.rate_ * to_seconds(limit.tolerance_.window_) + static_cast<double>(limit.burst_);
}

// Returns the number of tokens that may exceed rate and burst in a window.
double tolerated_excess(const quota_limit& limit) {
    return limit.tolerance_.overage_ * max_tokens_per_window(limit) + limit.tolerance_.slack_;
}

std::int64_t max_unused_tokens(const quota_limit& limit) {
    return limit.burst_ +
           std::llround(std::floor(unused_tolerance_share * tolerated_excess(limit)));
}

base::duration quota_max_wait(base::duration objective, base::duration time_left) {
    const base::duration max_wait = objective > base::duration::zero()
                                        ? objective / objective_divisor
                                        : max_wait_without_objective;
    return std::min(max_wait, time_left / 2);
}

std::vector<std::string> rank_owners(std::string_view organisation,
                                     std::span<const std::string> hosts) {
    std::vector<std::string> ranked;
    for (const std::size_t index : base::rendezvous_top(organisation, hosts, max_ranked_owners)) {
        ranked.push_back(hosts[index]);
    }
    return ranked;
}

double acting_share(const host_reachability& reachability) {
    if (reachability.higher_rank_reachable_ || reachability.hosts_ == 0) {
        return 0;
    }
    const double share = std::min(1.0, static_cast<double>(reachability.reachable_hosts_) /
                                           static_cast<double>(reachability.hosts_));
    return reachability.higher_rank_silent_ ? share * silent_owner_share_ratio : share;
}

quota_owner make_owner(const quota_limit& limit, base::instant since) {
    quota_owner owner;
    owner.bucket_ = make_bucket(limit.rate_, max_unused_tokens(limit), since);
    owner.bucket_.tokens_ = 0;
    owner.grants_from_ = since + quota_handover_delay;
    owner.acting_ = true;
    return owner;
}

// Begins to act with a part of the tolerance. A host that acts anew within the window has used that
// part, and what it granted still counts: otherwise each interruption would add tokens.
void begin_to_act(quota_owner& owner, const quota_limit& limit, double share, base::instant now) {
    quota_owner before = std::exchange(owner, make_owner(limit, now));
    owner.recent_grants_ = std::move(before.recent_grants_);
    owner.tokens_in_window_ = before.tokens_in_window_;
    owner.tolerance_used_at_ = before.tolerance_used_at_;
    if (!owner.tolerance_used_at_ || now - *owner.tolerance_used_at_ >= limit.tolerance_.window_) {
        owner.bucket_.tokens_ = takeover_tolerance_share * share * tolerated_excess(limit);
        owner.tolerance_used_at_ = now;
    }
}

quota_grant grant_tokens(quota_owner& owner, const quota_limit& limit,
                         const host_reachability& reachability, std::int64_t wanted,
                         base::instant now, const std::string& requester) {
    const double share = acting_share(reachability);
    quota_grant grant;
    if (share <= 0) {
        owner.acting_ = false;
        grant.retry_after_ = not_acting_retry_delay;
        grant.cause_ = grant_cause::not_acting;
        return grant;
    }
    if (!owner.acting_) {
        begin_to_act(owner, limit, share, now);
    }
    refill(owner.bucket_, static_cast<double>(owner.bucket_.burst_), now);
    owner.bucket_.rate_ = limit.rate_ * share;
    owner.bucket_.burst_ = std::max<std::int64_t>(
        1, std::llround(std::floor(static_cast<double>(max_unused_tokens(limit)) * share)));
    expire_grants(owner, limit.tolerance_.window_, now);
    if (now < owner.grants_from_) {
        grant.retry_after_ = owner.grants_from_ - now;
        grant.cause_ = grant_cause::handover;
        return grant;
    }
    record_requested(owner, requester, wanted, now);
    const auto window_limit =
        std::max<std::int64_t>(1, std::llround(std::floor(max_tokens_per_window(limit) * share)));
    const std::int64_t left_in_window =
        std::max<std::int64_t>(0, window_limit - owner.tokens_in_window_);
    grant.granting_ = true;
    grant.tokens_ = take(owner.bucket_, std::min(wanted, left_in_window), now);
    unmet_request& unmet = owner.unmet_requests_[requester];
    unmet.tokens_ -= grant.tokens_;
    if (unmet.tokens_ <= 0) {
        owner.unmet_requests_.erase(requester);
    }
    if (grant.tokens_ > 0) {
        owner.recent_grants_.push_back({now, grant.tokens_});
        owner.tokens_in_window_ += grant.tokens_;
    }
    if (grant.tokens_ < wanted) {
        const bool left = left_in_window > grant.tokens_;
        grant.cause_ = left ? grant_cause::no_token : grant_cause::window_used_up;
        const base::duration window_wait =
            left || owner.recent_grants_.empty()
                ? base::duration::zero()
                : owner.recent_grants_.front().granted_at_ + limit.tolerance_.window_ - now;
        grant.retry_after_ = std::max(
            {wait_for_token(owner.bucket_), overload_retry_delay(owner, now), window_wait});
    }
    return grant;
}

void stop_acting(quota_owner& owner) {
    owner.acting_ = false;
}

quota_grant grant_own_share(quota_owner& owner, const quota_limit& limit, std::size_t hosts,
                            std::int64_t wanted, base::instant now) {
    if (now - owner.last_request_at_ > own_share_expiry) {
        owner = make_owner(limit, now);
    }
    owner.grants_from_ = now;
    quota_limit own_limit = limit;
    own_limit.rate_ *= own_share_ratio;
    own_limit.burst_ /= 2;
    return grant_tokens(owner, own_limit, {.reachable_hosts_ = 1, .hosts_ = hosts}, wanted, now);
}

void record_demand(held_tokens& held, base::instant now) {
    const double elapsed_s = to_seconds(now - held.demand_at_);
    held.request_rate_ =
        held.request_rate_ * std::exp(-elapsed_s / demand_averaging_s) + 1 / demand_averaging_s;
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
        held.request_rate_ * std::exp(-to_seconds(now - held.demand_at_) / demand_averaging_s);
    const auto tokens_ahead = static_cast<std::int64_t>(demand * prefetch_horizon_s);
    return std::max<std::int64_t>(0, waiting + tokens_ahead - usable);
}

void add_tokens(held_tokens& held, std::int64_t tokens, base::instant requested_at) {
    if (requested_at > held.expires_at_) {
        held.tokens_ = 0;
    }
    held.tokens_ += tokens;
    held.expires_at_ = requested_at + grant_lifetime;
}

}  // namespace dandelionridge::policy
