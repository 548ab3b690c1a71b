// Which hosts reply to requests for tokens. An open link alone does not show that the process
// behind it runs.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "control/peer_sender.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::control {

// Timeout of a request for tokens that the asked host may pass on.
inline constexpr base::duration relay_reply_timeout = base::milliseconds(150);

// Timeout of a request that the asked host must answer itself. Below relay_reply_timeout, so that
// the host that passes a request on can answer its requester in time if it had no reply.
inline constexpr base::duration direct_reply_timeout = base::milliseconds(80);

class quota_peers {
public:
    quota_peers(const base::runtime_clock& clock, peer_sender& peers)
        : clock_(clock), peers_(peers) {}

    std::int64_t next_request_id() { return next_request_id_++; }

    // Sends a request for tokens and awaits the reply of that host within `timeout`.
    void ask(const std::string& host, const wire::lease_request& request, base::duration timeout);

    // Asks a host whether it replies, without requesting tokens, unless it has been asked already.
    // With `owner_silent` that host also checks the owners that rank before it.
    void probe(const std::string& host, const std::string& organisation, bool owner_silent = false);

    // Records that a host responds. What it was asked until then has its reply, or will get none.
    void record_response(const std::string& host, base::instant asked_until);

    // Records the reply to a request of this number.
    void record_reply(std::int64_t request_id);

    // Returns whether a host can be reached and has left no question unanswered.
    bool responds(const std::string& host) const {
        return peers_.reachable(host) && !is_silent(host);
    }

    // Returns whether a host with an open link has left a question unanswered.
    bool is_silent(const std::string& host) const { return silent_.contains(host); }

    // Forgets what was asked: after a stall the replies may still be unread.
    void forget_questions();

    // Records which hosts left questions unanswered, and probes these until they reply or their
    // link is lost: the hosts in `watched` at short intervals, others less and less often.
    void tick(const std::set<std::string>& watched);

    bool has_silent_hosts() const { return !silent_.empty(); }

private:
    // A request for tokens, or a probe, to which a host must reply.
    struct question {
        std::string host_;
        std::string organisation_;
        base::instant asked_at_{};
        base::instant reply_due_at_{};
    };

    // A host with an open link that left a question unanswered.
    struct silent_host {
        // The organisation for which it was asked.
        std::string organisation_;
        base::instant probed_at_{};
        base::duration probe_interval_{};
    };

    void find_silent_hosts();
    bool is_asked(const std::string& host) const;

    const base::runtime_clock& clock_;
    peer_sender& peers_;
    // By request number.
    std::unordered_map<std::int64_t, question> questions_;
    std::unordered_map<std::string, silent_host> silent_;
    std::int64_t next_request_id_ = 1;
};

}  // namespace dandelionridge::control
