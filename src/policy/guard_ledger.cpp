#include "policy/guard_ledger.h"

#include <algorithm>

namespace dandelionridge::policy {

namespace {

link_record& link_of(guard_ledger& ledger, ledger_key key) {
    return ledger.entries_[key.entry_boot_].links_[key.attempt_.link_];
}

void evict_oldest(guard_ledger& ledger) {
    const ledger_key oldest = ledger.ended_.front();
    ledger.ended_.pop_front();
    if (!ledger.entries_.contains(oldest.entry_boot_)) {
        return;
    }
    link_record& link = link_of(ledger, oldest);
    link.attempts_.erase(oldest.attempt_.sequence_);
    link.evicted_up_to_ = std::max(link.evicted_up_to_, oldest.attempt_.sequence_);
}

// Marks an attempt as over and forgets the oldest such ones beyond the capacity.
void set_ended(guard_ledger& ledger, ledger_key key, attempt_stage stage) {
    link_record& link = link_of(ledger, key);
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

attempt_fate fate_of_recorded(attempt_stage stage) {
    switch (stage) {
        case attempt_stage::queued:
        case attempt_stage::refused:
            return attempt_fate::not_run;
        case attempt_stage::running:
            return attempt_fate::running;
        case attempt_stage::done:
            return attempt_fate::done;
    }
    return attempt_fate::unknown;
}

attempt_fate find_fate(const guard_ledger& ledger, const link_record& link, std::int64_t sequence) {
    const auto found = link.attempts_.find(sequence);
    if (found != link.attempts_.end()) {
        return fate_of_recorded(found->second);
    }
    const bool evicted = sequence <= link.evicted_up_to_;
    return evicted && ledger.rules_.keep_ ? attempt_fate::unknown : attempt_fate::not_run;
}

}  // namespace

bool accept_link(guard_ledger& ledger, std::int64_t entry_boot, std::int64_t link) {
    entry_record& entry = ledger.entries_[entry_boot];
    if (link <= entry.last_link_) {
        return false;
    }
    entry.last_link_ = std::max(entry.last_link_, link);
    entry.links_[link];
    return true;
}

admission admit_attempt(guard_ledger& ledger, ledger_key key, std::int64_t named_boot) {
    if (named_boot != ledger.boot_ && ledger.rules_.boot_) {
        return admission::wrong_boot;
    }
    link_record& link = link_of(ledger, key);
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

bool start_attempt(guard_ledger& ledger, ledger_key key) {
    link_record& link = link_of(ledger, key);
    const auto found = link.attempts_.find(key.attempt_.sequence_);
    if (found == link.attempts_.end() || found->second != attempt_stage::queued) {
        return false;
    }
    found->second = attempt_stage::running;
    return true;
}

void refuse_attempt(guard_ledger& ledger, ledger_key key) {
    set_ended(ledger, key, attempt_stage::refused);
}

void end_attempt(guard_ledger& ledger, ledger_key key) {
    set_ended(ledger, key, attempt_stage::done);
}

void forget_entry(guard_ledger& ledger, std::int64_t entry_boot) {
    ledger.entries_.erase(entry_boot);
    if (!ledger.forgotten_.insert(entry_boot).second) {
        return;
    }
    ledger.forgotten_order_.push_back(entry_boot);
    if (ledger.forgotten_order_.size() > most_forgotten) {
        ledger.forgotten_.erase(ledger.forgotten_order_.front());
        ledger.forgotten_order_.pop_front();
    }
}

link_resolution resolve_link(guard_ledger& ledger, std::int64_t entry_boot, std::int64_t link,
                             std::int64_t named_boot, std::span<const std::int64_t> sequences) {
    link_resolution resolution;
    const bool other_boot = named_boot != ledger.boot_ && ledger.rules_.boot_;
    if (other_boot || ledger.forgotten_.contains(entry_boot)) {
        for (const std::int64_t sequence : sequences) {
            resolution.fates_.push_back({sequence, attempt_fate::unknown});
        }
        return resolution;
    }
    entry_record& entry = ledger.entries_[entry_boot];
    entry.last_link_ = std::max(entry.last_link_, link);
    link_record& record = entry.links_[link];
    record.barred_ = true;
    for (auto& [sequence, stage] : record.attempts_) {
        if (stage == attempt_stage::queued && ledger.rules_.withdraw_) {
            resolution.withdrawn_.push_back(sequence);
        }
    }
    for (const std::int64_t sequence : resolution.withdrawn_) {
        refuse_attempt(ledger, {entry_boot, {link, sequence}});
    }
    for (const std::int64_t sequence : sequences) {
        resolution.fates_.push_back({sequence, find_fate(ledger, record, sequence)});
    }
    return resolution;
}

}  // namespace dandelionridge::policy
