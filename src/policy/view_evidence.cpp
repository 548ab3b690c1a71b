#include "policy/view_evidence.h"

#include <algorithm>

namespace dandelionridge::policy {

namespace {

// Replies of a few seconds.
constexpr std::size_t max_pending_evidence = 16;

// Returns true for one check in `fleet / own_readers_per_check`, and for each in a small fleet.
bool is_drawn(std::size_t fleet, base::random_engine& random) {
    constexpr std::uint64_t resolution = 1'000'000;
    const double share =
        own_readers_per_check / static_cast<double>(std::max<std::size_t>(1, fleet));
    return static_cast<double>(base::random_below(random, resolution)) <
           share * static_cast<double>(resolution);
}

}  // namespace

void merge(evidence_times& known, const evidence_times& other) {
    known.rules_ = std::max(known.rules_, other.rules_);
    known.hosts_ = std::max(known.hosts_, other.hosts_);
}

base::instant oldest(const evidence_times& times) {
    return std::min(times.rules_, times.hosts_);
}

evidence_times newest(const view_evidence& evidence) {
    evidence_times times = evidence.own_;
    merge(times, evidence.by_peers_);
    return times;
}

bool lacks_evidence(const view_evidence& evidence) {
    return evidence.checks_without_ >= checks_before_own_reads;
}

void record_pending(std::vector<pending_evidence>& pending, std::int64_t version,
                    base::instant as_of) {
    if (pending.size() == max_pending_evidence) {
        pending.erase(pending.begin());
    }
    pending.push_back({version, as_of});
}

base::instant take_evidence(std::vector<pending_evidence>& pending, std::int64_t version) {
    base::instant best{};
    std::erase_if(pending, [&](const pending_evidence& entry) {
        if (entry.version_ > version) {
            return false;
        }
        best = std::max(best, entry.as_of_);
        return true;
    });
    return best;
}

void check_evidence(view_evidence& evidence, base::instant asked_at, std::size_t fleet,
                    base::random_engine& random) {
    // Its own reads are no reason to end them.
    const evidence_times times = evidence.reads_currently_ ? evidence.by_peers_ : newest(evidence);
    if (asked_at - oldest(times) <= evidence_allowance) {
        skip_check(evidence);
        return;
    }
    ++evidence.checks_without_;
    if (!evidence.reads_currently_ && lacks_evidence(evidence)) {
        evidence.reads_currently_ = is_drawn(fleet, random);
    }
}

void skip_check(view_evidence& evidence) {
    evidence.checks_without_ = 0;
    evidence.reads_currently_ = false;
}

}  // namespace dandelionridge::policy
