#include "policy/pipelining.h"

#include <algorithm>

namespace dandelionridge::policy {

bool may_read_next(const pipeline_limits& limits, const pipeline_state& state) {
    return state.requests_ == 0 ||
           (state.requests_ < limits.requests_ && may_start_ahead(limits, state));
}

bool may_start_ahead(const pipeline_limits& limits, const pipeline_state& state) {
    return !state.closing_ && state.process_has_room_ && state.held_bytes_ < limits.bytes_;
}

bool may_run_ahead(const pipelined_request& request) {
    return request.known_route_ && request.idempotent_ && !request.has_body_ &&
           !request.expects_continue_;
}

std::size_t waiting_response_bytes(const pipeline_limits& limits) {
    return limits.bytes_ / std::max<std::size_t>(1, limits.requests_);
}

}  // namespace dandelionridge::policy
