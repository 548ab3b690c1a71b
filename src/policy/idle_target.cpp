#include "policy/idle_target.h"

namespace dandelionridge::policy {

namespace {

constexpr base::duration idle_bound = base::milliseconds(800);
constexpr base::duration ask_interval = base::milliseconds(400);

}  // namespace

bool needs_probe(const idle_target& target, int free_slots, base::instant now) {
    return free_slots > 0 && now - target.last_run_at_ > idle_bound &&
           now - target.requested_at_ > ask_interval;
}

}  // namespace dandelionridge::policy
