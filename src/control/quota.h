// Admission of requests within their organisation's rate and burst.
#pragma once

#include <string>

#include "base/clock.h"

namespace dandelionridge::control {

// Hears the decision on one request; called at most once.
class quota_listener {
public:
    virtual ~quota_listener() = default;

    virtual void on_admitted() = 0;

    // The organisation has no token left for this request in time.
    virtual void on_over_rate(base::duration retry_after) = 0;
};

class quota_gate {
public:
    virtual ~quota_gate() = default;

    // Decides on one request, at once or within `patience`. The listener must outlive the decision
    // or be withdrawn, and may be called from within this call.
    virtual void admit(const std::string& organisation, base::duration max_wait,
                       quota_listener& listener) = 0;

    // The listener waits no longer.
    virtual void cancel(quota_listener& listener) = 0;
};

}  // namespace dandelionridge::control
