// The state of a request in the filter chain, and the refusals that filters return.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "config/header_policy.h"
#include "config/rules.h"
#include "net/http_types.h"

namespace dandelionridge::filter {

// Whether a request that got no response from a target may have run.
enum class outcome { not_run, unknown };

// Why a request got no response from a target.
enum class reason {
    // The path or the host contains the key.
    key_in_path,
    key_missing,
    key_invalid,
    no_route,
    over_rate,
    configuration_stale,
    starting,
    stopping,
    no_target,
    overload,
    deadline,
    target_failed,
    response_lost,
};

// A response by the fleet itself instead of a target. Its outcome must be true: not_run only if the
// request surely did not run.
struct refusal {
    // HTTP status.
    int status_ = 0;
    outcome outcome_ = outcome::not_run;
    reason reason_ = reason::no_target;
    // Time after which a retry may succeed; zero if unknown.
    base::duration retry_after_{};
};

// The state of one request on its way through the chain.
struct request_context {
    // The rules under which the request was resolved last.
    config::rules_ptr rules_;
    net::http_request request_;
    const config::header_policy* headers_ = nullptr;
    // Random number in [0, 1) that selects one of the route's services by weight.
    double service_draw_ = 0;
    // Age of the newest evidence that the rules are current; zero if the settings do not require
    // strict freshness.
    base::duration confirmed_age_{};
    // Keyed routes are refused if confirmed_age_ is above this.
    base::duration freshness_bound_{};

    // Set by authenticate. Empty if the key is missing or not in force; cleared by route if the
    // route is open.
    std::string organisation_;
    std::string key_id_;
    // The key as the caller sent it, before it was removed from request_; empty if there was none.
    std::string presented_key_;

    // Set by route. Point into rules_.
    const config::route_rule* route_ = nullptr;
    const config::service_rule* service_ = nullptr;
    bool idempotent_ = false;
    // Lower numbers are served first; 0 is the highest priority.
    int priority_ = 0;
};

// The refusal, or nullopt if the request may proceed.
using filter_result = std::optional<refusal>;

// Returns the name that is sent to callers.
std::string_view to_text(outcome value);
std::string_view to_text(reason value);

// Returns what the caller can do about a refusal; sent to the caller.
std::string_view remedy_of(outcome value, reason cause);

}  // namespace dandelionridge::filter
