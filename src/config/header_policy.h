// The headers that the fleet interprets, and which headers it forwards between callers and targets.
#pragma once

#include <string>

namespace dandelionridge::config {

// Names are lower case; an empty name disables its feature.
struct header_policy {
    // True: all end-to-end headers are forwarded. False: only those of filter/forwarded_headers.
    bool forward_all_ = false;
    // Request header that carries the caller's key. Empty: the key is taken from Authorization,
    // X-Api-Key, or api_key in the query or a cookie.
    std::string key_;
    // Set on each request to a target: the organisation of the key.
    std::string organisation_ = "x-organisation";
    // Set on each request to a target: the service on whose host the request originated.
    std::string caller_service_;
    // Milliseconds that the sender will still wait; read from callers' requests and set on requests
    // to targets.
    std::string deadline_ = "x-deadline-ms";
    // Set on each request to a target: the only target that may run it.
    std::string expected_target_;
    // Response header that proves that a successful response was made by the target.
    std::string response_proof_;
    // Response header by which the target reports that it did not run the request.
    std::string not_run_;
    // Response header by which the target reports, with the value "1", that it is leaving.
    std::string leaving_ = "x-target-leaving";
    // Response header by which the target names the number of requests per second, a decimal
    // number, that it takes from the whole fleet. Applies until a response lacks it.
    std::string rate_limit_ = "x-target-rate-limit";
    // Targets repeat the x-request-id of a request in their response. A response without it belongs
    // to no request.
    bool echoes_request_id_ = false;
    // Retry-After may contain fractions of a second; otherwise it is rounded up to whole seconds.
    bool fractional_retry_after_ = false;
};

}  // namespace dandelionridge::config
