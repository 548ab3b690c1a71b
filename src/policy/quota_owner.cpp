#include "policy/quota_owner.h"

#include <algorithm>

namespace dandelionridge::policy {

namespace {

// Forgets leases that have surely ended at their entries.
void end_leases(quota_owner& owner, base::instant now) {
    while (!owner.leases_.empty() && owner.leases_.front().ends_at_ <= now) {
        owner.out_ -= owner.leases_.front().tokens_;
        owner.leases_.pop_front();
    }
}

void settle(quota_owner& owner, const quota_rules& rules, base::instant now) {
    end_leases(owner, now);
    const std::int64_t reserved = rules.reserve_ ? owner.out_ : 0;
    refill(owner.bucket_, static_cast<double>(owner.share_.burst_ - reserved), now);
}

}  // namespace

base::duration takeover_wait(const quota_times& times) {
    return times.view_bound_ + times.lease_ + times.drift_;
}

base::duration longest_tenure_gap(const quota_times& times) {
    return times.lease_ + times.drift_ - times.view_bound_;
}

void update_tenure(tenure& standing, const quota_times& times, base::instant agreed_at,
                   base::instant now) {
    if (now - agreed_at > times.view_bound_) {
        return;
    }
    const bool unbroken =
        standing.since_ && agreed_at - standing.agreed_at_ < longest_tenure_gap(times);
    if (!unbroken) {
        standing.since_ = now;
    }
    standing.agreed_at_ = std::max(standing.agreed_at_, agreed_at);
}

quota_owner make_owner(const quota_times& times, const quota_rules& rules, quota_share share,
                       base::instant owned_since) {
    quota_owner owner;
    owner.times_ = times;
    owner.share_ = share;
    owner.bucket_ = make_bucket(share.rate_, share.burst_, owned_since);
    if (rules.wait_) {
        owner.bucket_.filled_at_ = owned_since + takeover_wait(times);
        owner.bucket_.tokens_ = 0;
    }
    owner.owned_since_ = owned_since;
    return owner;
}

void change_share(quota_owner& owner, quota_share share, base::instant now) {
    settle(owner, {}, now);
    owner.share_ = share;
    owner.bucket_.rate_ = share.rate_;
    owner.bucket_.burst_ = share.burst_;
}

bool may_grant(const quota_owner& owner, const tenure& standing, const quota_rules& rules,
               base::instant now) {
    const bool agreed = standing.since_ && now - standing.agreed_at_ <= owner.times_.view_bound_;
    if (rules.majority_ && !agreed) {
        return false;
    }
    if (!rules.wait_) {
        return true;
    }
    const base::instant begun = rules.majority_ && standing.since_
                                    ? std::max(owner.owned_since_, *standing.since_)
                                    : owner.owned_since_;
    return now - begun >= takeover_wait(owner.times_);
}

lease_offer grant_lease(quota_owner& owner, const tenure& standing, const quota_rules& rules,
                        std::int64_t wanted, base::instant now) {
    if (!may_grant(owner, standing, rules, now)) {
        // Nothing that was gathered while others may have granted is handed out.
        owner.bucket_.tokens_ = 0;
        owner.bucket_.filled_at_ = now;
        return {0, 0, base::milliseconds(200)};
    }
    settle(owner, rules, now);
    const std::int64_t granted = take(owner.bucket_, wanted, now);
    if (granted == 0) {
        return {0, 0,
                std::max<base::duration>(wait_for_token(owner.bucket_), base::milliseconds(1))};
    }
    owner.out_ += granted;
    const lease_record lease{owner.next_lease_++, granted,
                             now + owner.times_.lease_ + owner.times_.drift_};
    owner.leases_.push_back(lease);
    return {lease.id_, granted, {}};
}

void return_lease(quota_owner& owner, std::int64_t lease, std::int64_t tokens, base::instant now) {
    end_leases(owner, now);
    const auto found = std::find_if(owner.leases_.begin(), owner.leases_.end(),
                                    [&](const lease_record& one) { return one.id_ == lease; });
    if (found == owner.leases_.end()) {
        return;
    }
    owner.out_ -= found->tokens_;
    const std::int64_t returned = std::clamp<std::int64_t>(tokens, 0, found->tokens_);
    owner.bucket_.tokens_ += static_cast<double>(returned);
    owner.leases_.erase(found);
}

}  // namespace dandelionridge::policy
