// Admission of requests within their organisation's rate and burst.
#pragma once

#include <string>

#include "base/clock.h"

namespace dandelionridge::control {

// Receives the decision on one request. Only one of its functions is called, at most once.
class quota_listener {
public:
    virtual ~quota_listener() = default;

    virtual void on_admitted() = 0;

    // No token of the organisation becomes available for this request in time. A retry may succeed
    // after `retry_after`.
    virtual void on_over_rate(base::duration retry_after) = 0;
};

// Decides for each request whether it is within its organisation's rate and burst.
class quota_gate {
public:
    virtual ~quota_gate() = default;

    // Decides on one request, immediately or within `max_wait`. Requests with a lower `priority`
    // get tokens first. The listener must outlive the decision or be cancelled, and may be called
    // from within this call, as may those of less urgent requests.
    virtual void admit(const std::string& organisation, int priority, base::duration max_wait,
                       quota_listener& listener) = 0;

    // Withdraws a waiting listener: it is not called any more.
    virtual void cancel(quota_listener& listener) = 0;
};

}  // namespace dandelionridge::control
