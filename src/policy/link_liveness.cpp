#include "policy/link_liveness.h"

#include <algorithm>

namespace dandelionridge::policy {

namespace {

constexpr std::int64_t max_unanswered_pings = 2;

}  // namespace

std::int64_t record_ping(link_liveness& liveness, std::uint64_t received_bytes) {
    liveness.received_bytes_ = received_bytes;
    return ++liveness.last_ping_;
}

void record_pong(link_liveness& liveness, std::int64_t nonce) {
    liveness.last_pong_ = std::max(liveness.last_pong_, nonce);
}

bool awaits_pong(const link_liveness& liveness) {
    return liveness.last_ping_ != liveness.last_pong_;
}

void record_received(link_liveness& liveness, std::uint64_t received_bytes) {
    if (received_bytes != liveness.received_bytes_) {
        liveness.received_bytes_ = received_bytes;
        liveness.last_pong_ = liveness.last_ping_;
    }
}

void disregard_received(link_liveness& liveness, std::uint64_t received_bytes) {
    liveness.received_bytes_ = received_bytes;
}

bool is_suspected(const link_liveness& liveness, std::uint64_t received_bytes) {
    return liveness.last_ping_ - liveness.last_pong_ > 1 &&
           received_bytes == liveness.received_bytes_;
}

bool is_silent(const link_liveness& liveness) {
    return liveness.last_ping_ - liveness.last_pong_ >= max_unanswered_pings;
}

}  // namespace dandelionridge::policy
