#include "policy/lost_link.h"

#include <algorithm>

namespace dandelionridge::policy {

base::instant give_up_at(const lost_link& link) {
    const base::instant latest = link.lost_at_ + max_reconnect_wait;
    return link.replaced_at_ ? std::min(latest, *link.replaced_at_ + max_resolve_wait) : latest;
}

}  // namespace dandelionridge::policy
