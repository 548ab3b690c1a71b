#include "policy/rules_refusal.h"

#include <algorithm>

namespace dandelionridge::policy {

namespace {

// Rules reach all hosts within this time unless the store or a link fails.
constexpr base::duration usual_rules_delay = base::seconds(1);

}  // namespace

rules_refusal_step decide_after_refusal(const rules_refusal& refusal) {
    const bool newer_than_used = refusal.newest_version_ > refusal.resolved_version_;
    const bool as_new_as_refusing = refusal.newest_version_ >= refusal.refusing_version_;
    if (newer_than_used && as_new_as_refusing) {
        return rules_refusal_step::resolve_again;
    }
    return refusal.may_wait_ ? rules_refusal_step::wait : rules_refusal_step::refuse_for_now;
}

base::duration max_rules_wait(base::duration time_left) {
    return std::clamp<base::duration>(time_left / 3, base::duration::zero(), usual_rules_delay);
}

}  // namespace dandelionridge::policy
