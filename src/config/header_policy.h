// Which headers have a meaning for the fleet, and which pass between callers and targets.
#pragma once

#include <string>

namespace dandelionridge::config {

// Names are lower case; an empty name switches its feature off.
struct header_policy {
    // All end-to-end headers pass; otherwise only those of filter/header_list.
    bool forward_all_ = false;
    // Holds the caller's key. Empty: Authorization, X-Api-Key, or api_key in query or cookie.
    std::string key_;
    // Set on each request to a target: the organisation of the key.
    std::string organisation_ = "x-organisation";
    // Set on each request to a target: the service at whose host the request began.
    std::string caller_service_;
    // Milliseconds that the sender still waits; read from callers, set for targets.
    std::string deadline_ = "x-deadline-ms";
    // Set on each request to a target: the only target that may run it.
    std::string expected_target_;
    // On an answer of success: proof that the target made it.
    std::string response_proof_;
    // On an answer: the target says that it did not run the request.
    std::string not_run_;
    // Retry-After may name fractions of a second.
    bool fractional_retry_after_ = false;
};

}  // namespace dandelionridge::config
