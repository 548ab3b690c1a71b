// Conversions between attempts as the wire format and as the policies represent them.
#pragma once

#include "policy/attempt.h"
#include "policy/run_estimate.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

wire::attempt_ref to_wire(policy::attempt_id attempt);

policy::attempt_id from_wire(const wire::attempt_ref& ref);

// Returns the kind of run that an attempt requests.
policy::run_kind kind_of(const wire::attempt_begin& begin);

// Returns a frame that reports that an attempt may have run and has no complete response.
wire::frame make_failure(policy::attempt_id attempt, wire::failure_reason reason);

}  // namespace dandelionridge::node
