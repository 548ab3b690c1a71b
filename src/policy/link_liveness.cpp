#include "policy/link_liveness.h"

namespace dandelionridge::policy {

namespace {

constexpr std::int64_t max_unanswered_pings = 2;

}  // namespace

std::int64_t record_ping(link_liveness& liveness, std::uint64_t received_bytes) {
    liveness.received_bytes_ = received_bytes;
    return ++liveness.last_ping_;
}

void record_pong(link_liveness& liveness, std::int64_t nonce) {
    liveness.last_pong_ = nonce;
}

bool awaits_pong(const link_liveness& liveness) {
    return liveness.last_ping_ != liveness.last_pong_;
}

bool is_silent(const link_liveness& liveness, std::uint64_t received_bytes) {
    const bool unanswered = liveness.last_ping_ - liveness.last_pong_ >= max_unanswered_pings;
    return unanswered && received_bytes == liveness.received_bytes_;
}

}  // namespace dandelionridge::policy
