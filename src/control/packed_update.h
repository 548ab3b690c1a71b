// Compressed lines in updates of the configuration: configurations are large and repeat themselves.
#pragma once

#include "base/error.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::control {

// Replaces the lines of an update by packed ones if they are large enough to gain from it.
void pack_lines(wire::config_update& update);

// Replaces packed lines, if the update has any, by the lines. Returns a protocol error if they
// cannot be read or are too large.
base::result<void> unpack_lines(wire::config_update& update);

}  // namespace dandelionridge::control
