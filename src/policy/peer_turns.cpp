#include "policy/peer_turns.h"

#include <algorithm>
#include <utility>

namespace dandelionridge::policy {

std::optional<std::string> next_peer(peer_turns& turns,
                                     const std::function<std::vector<std::string>()>& list_peers,
                                     const std::function<bool(const std::string& peer)>& eligible,
                                     base::random_engine& random) {
    bool round_began = false;
    while (true) {
        if (turns.left_.empty()) {
            if (std::exchange(round_began, true)) {
                return std::nullopt;
            }
            turns.left_ = list_peers();
            std::shuffle(turns.left_.begin(), turns.left_.end(), random);
        }
        if (turns.left_.empty()) {
            return std::nullopt;
        }
        std::string peer = std::move(turns.left_.back());
        turns.left_.pop_back();
        if (eligible(peer)) {
            return peer;
        }
    }
}

}  // namespace dandelionridge::policy
