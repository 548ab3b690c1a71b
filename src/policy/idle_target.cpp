#include "policy/idle_target.h"

namespace dandelionridge::policy {

namespace {

constexpr base::duration min_idle_duration = base::milliseconds(800);
constexpr base::duration min_probe_interval = base::milliseconds(400);

}  // namespace

bool needs_probe(const idle_target& target, int free_slots, base::instant now) {
    return free_slots > 0 && now - target.last_run_at_ > min_idle_duration &&
           now - target.requested_at_ > min_probe_interval;
}

}  // namespace dandelionridge::policy
