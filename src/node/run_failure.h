// A run that counts as a failure of its target, as evidence for the target's ejection.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace dandelionridge::node {

enum class run_failure_cause {
    server_error,
    invalid_response,
    // The run ended far later than expected: at its deadline, or because its caller gave it up.
    ended_overdue,
    // The run takes far longer than expected and is still in progress.
    overdue,
};

std::string_view to_text(run_failure_cause cause);

struct run_failure {
    std::string request_id_;
    run_failure_cause cause_ = run_failure_cause::server_error;
    base::duration run_duration_{};
    // Time from the last failure of a call that a target of this host made; `duration::max()` if
    // none has failed.
    base::duration since_failed_call_ = base::duration::max();
};

// The last failed runs of one target.
class run_failures {
public:
    void add(run_failure failure);
    void clear() { failures_.clear(); }

    // Returns the failures as text, the oldest first.
    std::string to_text() const;

private:
    std::deque<run_failure> failures_;
};

}  // namespace dandelionridge::node
