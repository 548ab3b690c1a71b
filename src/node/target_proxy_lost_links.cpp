// The target proxy's side of a lost link: which of its attempts end, which go on, and for how long.
#include <algorithm>
#include <utility>

#include "node/target_proxy.h"

namespace dandelionridge::node {

// Ends the attempts of a lost link whose responses cannot be delivered any more, or can be had
// again at little cost:
// - queued attempts are recorded as refused and will not run;
// - runs whose request body is not whole are cancelled, since the rest will never arrive;
// - idempotent runs whose response is being streamed are cancelled, since the caller proxy requests
//   the rest from another target;
// - other runs whose response is being streamed go on, but the rest of it is dropped;
// - all other runs go on, idempotent ones as long as their caller proxy may still ask for them.
// The responses of ended runs are kept for the next link, as far as the response store takes them.
void target_proxy::end_link_attempts(const connection& lost) {
    const link_key key{lost.caller_proxy_boot_, lost.link_};
    std::vector<target_proxy_attempt*> waiting;
    std::vector<target_proxy_attempt*> cancelled;
    std::vector<target_proxy_attempt*> undeliverable;
    std::vector<target_proxy_attempt*> ended;
    for (auto& [attempt_key, attempt] : attempts_) {
        if (response_link(attempt_key) != key) {
            continue;
        }
        const bool idempotent = attempt->begin().idempotent;
        if (attempt->ended()) {
            ended.push_back(attempt.get());
        } else if (!attempt->running()) {
            waiting.push_back(attempt.get());
        } else if (attempt->request_body_incomplete() ||
                   (idempotent && attempt->response().streaming_)) {
            cancelled.push_back(attempt.get());
        } else if (attempt->response().streaming_) {
            undeliverable.push_back(attempt.get());
        } else if (idempotent) {
            unclaimed_links_[own_link(attempt_key)] = {lost.host_, {loop_.clock().now(), {}}};
        }
    }
    for (target_proxy_attempt* attempt : waiting) {
        remove_from_queue(*attempt);
        policy::refuse_attempt(ledger_, attempt->key());
        finish(*attempt);
    }
    for (target_proxy_attempt* attempt : cancelled) {
        attempt->cancel();
    }
    for (target_proxy_attempt* attempt : undeliverable) {
        attempt->drop_response();
    }
    for (target_proxy_attempt* attempt : ended) {
        replies_lost_at_[key.caller_proxy_boot_] = loop_.clock().now();
        finish(*attempt);
    }
    set_replaced_at(lost.caller_proxy_boot_, std::nullopt);
}

target_proxy::link_key target_proxy::own_link(const policy::ledger_key& key) {
    return {key.caller_proxy_boot_, key.attempt_.link_};
}

// Returns the link on which the caller proxy expects the response to an attempt: the latest one on
// which it asked for it, or else the one that carried it.
target_proxy::link_key target_proxy::response_link(const policy::ledger_key& key) const {
    const auto successor = successor_links_.find(own_link(key));
    return successor == successor_links_.end() ? own_link(key) : successor->second;
}

// Closes the links that a caller proxy had open before this one: it has at most one at a time, and
// the loss of the others has not been noticed here yet.
void target_proxy::close_earlier_links(const connection& link) {
    std::vector<net::frame_socket*> earlier;
    for (auto it = links_.lower_bound({link.caller_proxy_boot_, 0});
         it != links_.end() && it->first < link_key{link.caller_proxy_boot_, link.link_}; ++it) {
        earlier.push_back(it->second);
    }
    for (net::frame_socket* socket : earlier) {
        socket->close();
        on_closed(*socket, net::closed_by_peer);
    }
}

// Records when a caller proxy opened the link that it has open now, or that it has none open.
void target_proxy::set_replaced_at(std::int64_t caller_proxy_boot,
                                   std::optional<base::instant> replaced_at) {
    for (auto& [key, unclaimed] : unclaimed_links_) {
        if (key.caller_proxy_boot_ == caller_proxy_boot) {
            unclaimed.loss_.replaced_at_ = replaced_at;
        }
    }
    start_unclaimed_timer();
}

// Cancels the runs that earlier processes of a host have left behind.
void target_proxy::cancel_runs_of_earlier_boots(const connection& link) {
    std::vector<link_key> outdated;
    for (const auto& [key, unclaimed] : unclaimed_links_) {
        if (unclaimed.host_ == link.host_ && key.caller_proxy_boot_ != link.caller_proxy_boot_) {
            outdated.push_back(key);
        }
    }
    for (const link_key& key : outdated) {
        cancel_unclaimed_runs(key, {}, "caller proxy restarted");
    }
}

void target_proxy::start_unclaimed_timer() {
    if (unclaimed_links_.empty()) {
        unclaimed_timer_.cancel();
        return;
    }
    base::instant earliest = base::instant::max();
    for (const auto& [key, unclaimed] : unclaimed_links_) {
        earliest = std::min(earliest, policy::give_up_at(unclaimed.loss_));
    }
    unclaimed_timer_.start(earliest - loop_.clock().now(), [this] { cancel_overdue_runs(); });
}

// Cancels the runs whose caller proxies have not asked for them in time.
void target_proxy::cancel_overdue_runs() {
    const base::instant now = loop_.clock().now();
    std::vector<link_key> overdue;
    for (const auto& [key, unclaimed] : unclaimed_links_) {
        if (now >= policy::give_up_at(unclaimed.loss_)) {
            overdue.push_back(key);
        }
    }
    for (const link_key& key : overdue) {
        const bool replaced = unclaimed_links_.at(key).loss_.replaced_at_.has_value();
        cancel_unclaimed_runs(key, {},
                              replaced ? "not asked for on a later link" : "no later link");
    }
    start_unclaimed_timer();
}

// Cancels the idempotent runs of a lost link but those with the given sequence numbers, which the
// caller proxy still wants.
void target_proxy::cancel_unclaimed_runs(const link_key& key, std::span<const std::int64_t> wanted,
                                         const char* cause) {
    unclaimed_links_.erase(key);
    std::vector<target_proxy_attempt*> unclaimed;
    for (auto& [attempt_key, attempt] : attempts_) {
        const bool is_wanted =
            std::find(wanted.begin(), wanted.end(), attempt_key.attempt_.sequence_) != wanted.end();
        if (own_link(attempt_key) == key && !is_wanted && attempt->running() &&
            attempt->begin().idempotent) {
            unclaimed.push_back(attempt.get());
        }
    }
    for (target_proxy_attempt* attempt : unclaimed) {
        events_.record(loop_.clock().wall_ms(), "run_cancelled",
                       {{"request", attempt->begin().request_id},
                        {"target", attempt->begin().target_name},
                        {"run_ms", std::to_string(base::whole_ms(loop_.clock().now() -
                                                                 attempt->run_started_at()))},
                        {"cause", cause}});
        attempt->cancel();
    }
}

}  // namespace dandelionridge::node
