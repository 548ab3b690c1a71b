#include "policy/overload_refusals.h"

#include <algorithm>

namespace dandelionridge::policy {

void record_overload(overload_refusals& refusals, bool queue_full, base::duration wait,
                     base::duration run, base::duration time_left) {
    if (wait <= base::duration::zero()) {
        return;
    }
    refusals.shortest_ = std::min(refusals.shortest_, wait + run);
    if (queue_full && wait + run > time_left) {
        ++refusals.out_of_time_;
    }
}

bool is_known_failure(const overload_refusals& refusals, base::duration time_left) {
    return refusals.out_of_time_ >= min_overloaded_targets && refusals.shortest_ > time_left;
}

}  // namespace dandelionridge::policy
