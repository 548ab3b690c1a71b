#include "policy/view_evidence.h"

#include <algorithm>

namespace dandelionridge::policy {

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

}  // namespace dandelionridge::policy
