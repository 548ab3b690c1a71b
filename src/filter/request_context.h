// What the filters of the request chain read and write.
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

// Whether a request that got no answer from a target may have run.
enum class outcome { not_run, unknown };

// Why a request got no answer from a target.
enum class reason {
    path_names_key,
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

// A truthful answer of the fleet itself.
struct refusal {
    int status_ = 0;
    outcome outcome_ = outcome::not_run;
    reason reason_ = reason::no_target;
    // Time after which a repeat may succeed; zero if nobody can say.
    base::duration retry_after_{};
};

// The state of one request on its way through the chain.
struct request_context {
    config::rules_ptr rules_;
    net::http_request request_;
    const config::header_policy* headers_ = nullptr;
    // In [0, 1): which part of a route's traffic the request belongs to.
    double draw_ = 0;
    // Age of the newest evidence that the rules are current.
    base::duration confirmed_age_{};
    base::duration freshness_bound_{};

    // Set by authenticate.
    std::string organisation_;
    std::string key_id_;
    // The key as the caller sent it, until it is stripped.
    std::string presented_key_;

    // Set by route. Point into rules_.
    const config::route_rule* route_ = nullptr;
    const config::service_rule* service_ = nullptr;
    bool idempotent_ = false;
    // 0 is served first.
    int priority_ = 0;
};

// Nothing if the request may go on.
using filter_result = std::optional<refusal>;

std::string_view to_text(outcome value);
std::string_view to_text(reason value);

// What the caller can do about it.
std::string_view remedy_of(reason value);

}  // namespace dandelionridge::filter
