#include "policy/warmup.h"

#include <algorithm>
#include <cmath>

namespace dandelionridge::policy {

namespace {

// Requests that are not sent although the bound allows them, for those whose delays differ by more
// than the window allows for.
constexpr double bound_margin = 2;

// Time over which a cold target's unused tokens accumulate. At least one token does.
constexpr double cold_burst_s = 0.25;

// The target gets its first request once the rate has allowed it.
void become_cold(warmup& target, base::instant now) {
    const double tokens = target.limits_.rate_ * cold_burst_s;
    const std::int64_t burst = std::max<std::int64_t>(1, static_cast<std::int64_t>(tokens));
    target.bucket_ = {target.limits_.rate_, burst, 0, now};
}

void drop_old(warmup& target, base::instant now) {
    while (!target.sent_.empty() && now - target.sent_.front() >= warmup_window) {
        target.sent_.pop_front();
    }
}

bool same_rate(const warmup_limits& left, const warmup_limits& right) {
    return left.rate_ >= right.rate_ && left.rate_ <= right.rate_;
}

// Returns until when an entry that was not known before says that its target is cold.
base::instant cold_until(const warmup& target, const warmup_entry& entry, base::instant now) {
    const bool evacuation_ended = target.entry_.evacuated_ && !entry.evacuated_;
    if (!entry.listed_ || evacuation_ended) {
        return now + std::max(target.limits_.time_, entry.warmup_left_);
    }
    return now + entry.warmup_left_;
}

bool is_same(const warmup_entry& left, const warmup_entry& right) {
    return left.listed_ == right.listed_ && left.started_ms_ == right.started_ms_ &&
           left.sequence_ == right.sequence_ && left.warmup_left_ == right.warmup_left_ &&
           left.evacuated_ == right.evacuated_;
}

}  // namespace

warmup make_warmup(base::instant process_started_at) {
    warmup target;
    target.blocked_until_ = process_started_at + warmup_window;
    return target;
}

std::size_t window_bound(const warmup_limits& limits) {
    const double allowed = std::floor(limits.rate_ * limits.overage_ + limits.slack_);
    return static_cast<std::size_t>(std::max(1.0, allowed - bound_margin));
}

void apply_entry(warmup& target, const warmup_limits& limits, const warmup_entry& entry,
                 base::instant now) {
    const bool rate_changed = !same_rate(target.limits_, limits);
    const bool was_cold = now < target.cold_until_;
    target.limits_ = limits;
    const bool first = target.cold_until_ == base::instant{};
    if (first || !is_same(target.entry_, entry)) {
        const bool restarted = entry.started_ms_ != target.entry_.started_ms_;
        target.cold_until_ = cold_until(target, entry, now);
        target.entry_ = entry;
        if (now < target.cold_until_ && (!was_cold || restarted)) {
            become_cold(target, now);
        }
    }
    if (rate_changed) {
        become_cold(target, now);
    }
}

bool is_cold(const warmup& target, base::instant now) {
    return target.limits_.rate_ > 0 && now < target.cold_until_;
}

bool may_send(warmup& target, base::instant now) {
    return warmup_wait(target, 0, now) <= base::duration::zero();
}

void record_sent(warmup& target, base::instant now) {
    if (target.limits_.rate_ <= 0) {
        return;
    }
    drop_old(target, now);
    target.sent_.push_back(now);
    if (now < target.cold_until_) {
        take(target.bucket_, 1, now);
    }
}

base::duration warmup_wait(warmup& target, std::size_t ahead, base::instant now) {
    if (target.limits_.rate_ <= 0) {
        return base::duration::zero();
    }
    base::duration wait =
        std::max<base::duration>(target.blocked_until_ - now, base::duration::zero());
    if (now < target.cold_until_) {
        refill(target.bucket_, static_cast<double>(target.bucket_.burst_), now);
        const double missing = static_cast<double>(ahead) + 1 - target.bucket_.tokens_;
        wait =
            std::max(wait, std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(
                               std::max(0.0, missing) / target.limits_.rate_)));
    }
    drop_old(target, now);
    const std::size_t bound = window_bound(target.limits_);
    if (target.sent_.size() + ahead >= bound) {
        // The request can be sent once this one has left the window; the requests ahead that are
        // not sent yet leave it a window later.
        const std::size_t blocking = target.sent_.size() + ahead - bound;
        const base::instant leaves_at =
            blocking < target.sent_.size()
                ? target.sent_[blocking] + warmup_window
                : now + warmup_window *
                            static_cast<std::int64_t>(2 + (blocking - target.sent_.size()) / bound);
        wait = std::max<base::duration>(wait, leaves_at - now);
    }
    return wait;
}

}  // namespace dandelionridge::policy
