#include "policy/quota_entry.h"

#include <algorithm>
#include <cmath>

namespace dandelionridge::policy {

namespace {

constexpr double demand_memory_s = 1.0;

double decayed_demand(const quota_entry& entry, base::instant now) {
    const std::chrono::duration<double> passed = now - entry.demand_at_;
    return entry.demand_ * std::exp(-passed.count() / demand_memory_s);
}

}  // namespace

void note_demand(quota_entry& entry, base::instant now) {
    entry.demand_ = decayed_demand(entry, now) + 1.0 / demand_memory_s;
    entry.demand_at_ = now;
}

bool use_token(quota_entry& entry, base::instant now) {
    for (held_lease& lease : entry.leases_) {
        if (lease.tokens_ > 0 && now < lease.ends_at_) {
            --lease.tokens_;
            lease.return_at_ = now + idle_return_time;
            return true;
        }
    }
    return false;
}

std::int64_t tokens_held(const quota_entry& entry, base::instant now) {
    std::int64_t held = 0;
    for (const held_lease& lease : entry.leases_) {
        held += now < lease.ends_at_ ? lease.tokens_ : 0;
    }
    return held;
}

std::int64_t tokens_to_ask(const quota_entry& entry, std::int64_t waiting, base::instant now) {
    const std::chrono::duration<double> ahead = prefetch_time;
    const auto soon = static_cast<std::int64_t>(decayed_demand(entry, now) * ahead.count());
    return std::max<std::int64_t>(0, waiting + soon - tokens_held(entry, now));
}

void add_lease(quota_entry& entry, const std::string& owner, std::int64_t id, std::int64_t tokens,
               base::instant ends_at, base::instant now) {
    if (tokens <= 0 || now >= ends_at) {
        return;
    }
    entry.leases_.push_back({owner, id, tokens, ends_at, now + idle_return_time});
}

std::vector<std::int64_t> take_finished(quota_entry& entry, const std::string& owner) {
    std::vector<std::int64_t> finished;
    std::erase_if(entry.leases_, [&](const held_lease& lease) {
        const bool over = lease.tokens_ == 0 && lease.owner_ == owner;
        if (over) {
            finished.push_back(lease.id_);
        }
        return over;
    });
    return finished;
}

std::deque<held_lease> take_idle(quota_entry& entry, base::instant now) {
    std::deque<held_lease> idle;
    std::deque<held_lease> kept;
    for (held_lease& lease : entry.leases_) {
        const bool over = now >= lease.ends_at_;
        if (!over && now >= lease.return_at_) {
            idle.push_back(std::move(lease));
        } else if (!over) {
            kept.push_back(std::move(lease));
        }
    }
    entry.leases_ = std::move(kept);
    return idle;
}

}  // namespace dandelionridge::policy
