// Forgets the targets' reports of leaving that a host list shows to be outdated.
#pragma once

#include "base/clock.h"
#include "config/host_list.h"
#include "policy/departures.h"

namespace dandelionridge::node {

void expire_departures(policy::departures& known, const config::host_list& hosts,
                       base::instant now);

}  // namespace dandelionridge::node
