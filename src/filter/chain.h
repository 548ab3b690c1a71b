// The filters that a request passes before a target is chosen, in their order.
#pragma once

#include "filter/request_context.h"

namespace dandelionridge::filter {

// Finds the organisation of the key that the request presents, and strips the key and headers that
// only the fleet may set.
filter_result authenticate(request_context& context);

// Finds the route and its service; refuses keyed routes to callers without a valid key.
filter_result route(request_context& context);

// Runs the filters above until one refuses.
filter_result run_chain(request_context& context);

}  // namespace dandelionridge::filter
