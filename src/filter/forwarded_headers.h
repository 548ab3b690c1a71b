// Which headers pass between callers and targets. All others are dropped.
#pragma once

#include <string>
#include <vector>

#include "config/rules.h"

namespace dandelionridge::filter {

// Request headers, lower case, that pass to a target of any service.
const std::vector<std::string>& request_headers();

// Answer headers, lower case, that pass to a caller from any service.
const std::vector<std::string>& response_headers();

// Answer headers that pass for a service: the usual ones and those of its rule.
std::vector<std::string> response_headers_for(const config::service_rule& service);

}  // namespace dandelionridge::filter
