#include "policy/peer_turns.h"

#include <algorithm>
#include <utility>

namespace dandelionridge::policy {

namespace {

// Takes peers off the round until one is eligible.
std::optional<std::string> take_eligible(
    peer_turns& turns, const std::function<bool(const std::string& peer)>& eligible) {
    while (!turns.left_.empty()) {
        std::string peer = std::move(turns.left_.back());
        turns.left_.pop_back();
        if (eligible(peer)) {
            return peer;
        }
    }
    return std::nullopt;
}

}  // namespace

std::optional<std::string> next_peer(peer_turns& turns,
                                     const std::function<std::vector<std::string>()>& list_peers,
                                     const std::function<bool(const std::string& peer)>& eligible,
                                     base::random_engine& random) {
    if (auto peer = take_eligible(turns, eligible)) {
        return peer;
    }
    turns.left_ = list_peers();
    std::shuffle(turns.left_.begin(), turns.left_.end(), random);
    return take_eligible(turns, eligible);
}

}  // namespace dandelionridge::policy
