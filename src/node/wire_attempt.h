// Names of attempts on the wire and in the policies.
#pragma once

#include "policy/attempt.h"
#include "policy/run_estimate.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

wire::attempt_ref to_wire(policy::attempt_id attempt);

policy::attempt_id from_wire(const wire::attempt_ref& ref);

// The kind of run that an attempt asks for.
policy::run_kind kind_of(const wire::attempt_begin& begin);

// Says that an attempt may have run and gave no answer.
wire::frame make_failure(policy::attempt_id attempt, wire::failure_reason reason);

}  // namespace dandelionridge::node
