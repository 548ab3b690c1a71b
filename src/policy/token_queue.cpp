#include "policy/token_queue.h"

#include <algorithm>

namespace dandelionridge::policy {

namespace {

// A shortage is known for this time after the last short grant. The lifetime of granted tokens
// bounds how old the knowledge of any grant may be.
constexpr base::duration shortage_lifetime = grant_lifetime;

double to_seconds(base::duration value) {
    return std::chrono::duration<double>(value).count();
}

}  // namespace

bool precedes_arrival(const token_waiter& first, int arriving_priority) {
    return first.priority_ <= arriving_priority;
}

void record_grant(token_supply& supply, std::int64_t requested, std::int64_t granted,
                  base::instant now) {
    if (granted >= requested) {
        supply.short_at_.reset();
        return;
    }
    supply.short_at_ = now;
}

void reset_shortage(token_supply& supply) {
    supply.short_at_.reset();
}

bool is_short(const token_supply& supply, base::instant now) {
    return supply.short_at_ && now - *supply.short_at_ <= shortage_lifetime;
}

std::optional<std::int64_t> max_tokens_until(const token_supply& supply, const quota_limit& limit,
                                             base::instant until, base::instant now) {
    if (!is_short(supply, now)) {
        return std::nullopt;
    }
    // Tokens kept beyond the burst may be withheld by the bound on a window, and come at once.
    const std::int64_t withheld =
        std::max<std::int64_t>(0, max_unused_tokens(limit) - limit.burst_);
    const double time_s = std::max(0.0, to_seconds(until - *supply.short_at_));
    return static_cast<std::int64_t>(limit.rate_ * time_s + 1) + withheld;
}

bool is_out_of_reach(const token_waiter& request, std::size_t ahead, const token_supply& supply,
                     const quota_limit& limit, base::instant now) {
    const auto tokens = max_tokens_until(supply, limit, request.wait_deadline_, now);
    return tokens && static_cast<std::int64_t>(ahead) >= *tokens;
}

base::duration token_wait(std::size_t ahead, const quota_limit& limit) {
    if (limit.rate_ <= 0) {
        return {};
    }
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(static_cast<double>(ahead + 1) / limit.rate_));
}

}  // namespace dandelionridge::policy
