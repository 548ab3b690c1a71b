// The headers that are forwarded between callers and targets. All others are dropped, unless
// config::header_policy forwards all.
#pragma once

#include <string>
#include <vector>

#include "config/rules.h"

namespace dandelionridge::filter {

// Returns the request headers, lower case, that are forwarded to targets of any service.
const std::vector<std::string>& request_headers();

// Returns the response headers, lower case, that are forwarded to callers from any service.
const std::vector<std::string>& response_headers();

// Returns the response headers that are forwarded for a service: response_headers() and those of
// the service's rule.
std::vector<std::string> response_headers_for(const config::service_rule& service);

}  // namespace dandelionridge::filter
