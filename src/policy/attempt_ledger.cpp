#include "policy/attempt_ledger.h"

#include <algorithm>

namespace dandelionridge::policy {

namespace {

// Returns the record of the attempt's link, and creates it if there is none.
link_record& link_record_for(attempt_ledger& ledger, ledger_key key) {
    return ledger.caller_proxies_[key.caller_proxy_boot_].links_[key.attempt_.link_];
}

// Evicts the record of the attempt that ended first.
void evict_oldest(attempt_ledger& ledger) {
    const ledger_key oldest = ledger.ended_.front();
    ledger.ended_.pop_front();
    if (!ledger.caller_proxies_.contains(oldest.caller_proxy_boot_)) {
        return;
    }
    link_record& link = link_record_for(ledger, oldest);
    link.attempts_.erase(oldest.attempt_.sequence_);
    link.evicted_up_to_ = std::max(link.evicted_up_to_, oldest.attempt_.sequence_);
}

// Records that an attempt has ended or was refused, and evicts the oldest such attempts beyond the
// capacity. No effect if the attempt has no record or was recorded so before.
void set_ended(attempt_ledger& ledger, ledger_key key, attempt_stage stage) {
    link_record& link = link_record_for(ledger, key);
    const auto found = link.attempts_.find(key.attempt_.sequence_);
    if (found == link.attempts_.end() || found->second == attempt_stage::done ||
        found->second == attempt_stage::refused) {
        return;
    }
    found->second = stage;
    ledger.ended_.push_back(key);
    while (ledger.ended_.size() > ledger.capacity_) {
        evict_oldest(ledger);
    }
}

// Returns the status to report for an attempt. A queued attempt counts as not run because
// resolve_link() withdraws the queued attempts of a link before it reports their statuses.
attempt_status status_of_stage(attempt_stage stage) {
    switch (stage) {
        case attempt_stage::queued:
        case attempt_stage::refused:
            return attempt_status::not_run;
        case attempt_stage::running:
            return attempt_status::running;
        case attempt_stage::done:
            return attempt_status::done;
    }
    return attempt_status::unknown;
}

attempt_status find_status(const attempt_ledger& ledger, const link_record& link,
                           std::int64_t sequence) {
    const auto found = link.attempts_.find(sequence);
    if (found != link.attempts_.end()) {
        return status_of_stage(found->second);
    }
    const bool evicted = sequence <= link.evicted_up_to_;
    return evicted && ledger.rules_.keep_ ? attempt_status::unknown : attempt_status::not_run;
}

}  // namespace

bool accept_link(attempt_ledger& ledger, std::int64_t caller_proxy_boot, std::int64_t link) {
    caller_proxy_record& caller_proxy = ledger.caller_proxies_[caller_proxy_boot];
    if (link <= caller_proxy.last_link_) {
        return false;
    }
    caller_proxy.last_link_ = std::max(caller_proxy.last_link_, link);
    caller_proxy.links_[link];
    return true;
}

admission admit_attempt(attempt_ledger& ledger, ledger_key key, std::int64_t expected_boot) {
    if (expected_boot != ledger.boot_ && ledger.rules_.boot_) {
        return admission::wrong_boot;
    }
    link_record& link = link_record_for(ledger, key);
    if (link.barred_ && ledger.rules_.bar_) {
        return admission::barred;
    }
    if (key.attempt_.sequence_ <= link.last_sequence_ && ledger.rules_.once_) {
        return admission::duplicate;
    }
    link.last_sequence_ = std::max(link.last_sequence_, key.attempt_.sequence_);
    link.attempts_[key.attempt_.sequence_] = attempt_stage::queued;
    return admission::accepted;
}

bool start_attempt(attempt_ledger& ledger, ledger_key key) {
    link_record& link = link_record_for(ledger, key);
    const auto found = link.attempts_.find(key.attempt_.sequence_);
    if (found == link.attempts_.end() || found->second != attempt_stage::queued) {
        return false;
    }
    found->second = attempt_stage::running;
    return true;
}

void refuse_attempt(attempt_ledger& ledger, ledger_key key) {
    set_ended(ledger, key, attempt_stage::refused);
}

void end_attempt(attempt_ledger& ledger, ledger_key key) {
    set_ended(ledger, key, attempt_stage::done);
}

void evict_caller_proxy(attempt_ledger& ledger, std::int64_t caller_proxy_boot) {
    ledger.caller_proxies_.erase(caller_proxy_boot);
    if (!ledger.evicted_boots_.insert(caller_proxy_boot).second) {
        return;
    }
    ledger.eviction_order_.push_back(caller_proxy_boot);
    if (ledger.eviction_order_.size() > max_evicted_boots) {
        ledger.evicted_boots_.erase(ledger.eviction_order_.front());
        ledger.eviction_order_.pop_front();
    }
}

link_resolution resolve_link(attempt_ledger& ledger, std::int64_t caller_proxy_boot,
                             std::int64_t link, std::int64_t expected_boot,
                             std::span<const std::int64_t> sequences) {
    link_resolution resolution;
    const bool other_boot = expected_boot != ledger.boot_ && ledger.rules_.boot_;
    if (other_boot || ledger.evicted_boots_.contains(caller_proxy_boot)) {
        for (const std::int64_t sequence : sequences) {
            resolution.statuses_.push_back({sequence, attempt_status::unknown});
        }
        return resolution;
    }
    caller_proxy_record& caller_proxy = ledger.caller_proxies_[caller_proxy_boot];
    caller_proxy.last_link_ = std::max(caller_proxy.last_link_, link);
    link_record& record = caller_proxy.links_[link];
    record.barred_ = true;
    for (auto& [sequence, stage] : record.attempts_) {
        if (stage == attempt_stage::queued && ledger.rules_.withdraw_) {
            resolution.withdrawn_.push_back(sequence);
        }
    }
    for (const std::int64_t sequence : resolution.withdrawn_) {
        refuse_attempt(ledger, {caller_proxy_boot, {link, sequence}});
    }
    for (const std::int64_t sequence : sequences) {
        resolution.statuses_.push_back({sequence, find_status(ledger, record, sequence)});
    }
    return resolution;
}

}  // namespace dandelionridge::policy
