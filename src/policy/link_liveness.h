// Decides from pings and received bytes whether the peer at the other end of a link is silent.
#pragma once

#include <cstdint>

namespace dandelionridge::policy {

struct link_liveness {
    // Nonces of the last ping sent and the last pong received on the link.
    std::int64_t last_ping_ = 0;
    std::int64_t last_pong_ = 0;
    // Bytes received on the link when the last ping was sent.
    std::uint64_t received_bytes_ = 0;
};

// Records a ping and returns its nonce. `received_bytes` is the number of bytes received on the
// link so far.
std::int64_t record_ping(link_liveness& liveness, std::uint64_t received_bytes);

void record_pong(link_liveness& liveness, std::int64_t nonce);

// Returns true if a ping awaits its pong.
bool awaits_pong(const link_liveness& liveness);

// Records the number of bytes received so far. Bytes that have arrived since the last ping stand
// for its pong, which may wait behind them.
void record_received(link_liveness& liveness, std::uint64_t received_bytes);

// Excludes the bytes received so far from those that stand for a pong: the peer sent them unasked,
// as it also does where the pings are lost.
void disregard_received(link_liveness& liveness, std::uint64_t received_bytes);

// Returns true if a ping had no answer when the next one was sent, and nothing has been received
// since. The peer may be silent, but the link is not given up yet.
bool is_suspected(const link_liveness& liveness, std::uint64_t received_bytes);

// Returns true if several pings were not answered.
bool is_silent(const link_liveness& liveness);

}  // namespace dandelionridge::policy
