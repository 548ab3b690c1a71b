// Names of attempts on the wire and in the policies.
#pragma once

#include "policy/attempt.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

wire::attempt_ref to_wire(policy::attempt_id attempt);

policy::attempt_id from_wire(const wire::attempt_ref& ref);

}  // namespace dandelionridge::node
