// The filters that a request passes, in this order, before a target is chosen.
#pragma once

#include "filter/request_context.h"

namespace dandelionridge::filter {

// Looks up the organisation of the key that the request presents, and removes the key and the
// headers that only the fleet may set. Refuses the request if its path or host contains the key,
// unless the key has a header of its own (header_policy::key_).
filter_result authenticate(request_context& context);

// Finds the route and its service, and determines priority and idempotence. Refuses requests
// without a route, and keyed routes to callers without a valid key.
filter_result route(request_context& context);

// Runs the filters above until one refuses.
filter_result run_chain(request_context& context);

// Looks up the organisation and the id of the key that the request presented.
void identify(request_context& context);

// Resolves a request that has passed the chain again, under other rules.
filter_result resolve_again(request_context& context, config::rules_ptr rules);

}  // namespace dandelionridge::filter
