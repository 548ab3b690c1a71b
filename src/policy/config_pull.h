// Decides when a process requests a newer version of a configuration value from a peer, and from
// which one. At most one request is outstanding, so that no peer is asked again for what it is
// already sending.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"

namespace dandelionridge::policy {

struct config_pull {
    struct request {
        std::string peer_;
        base::instant sent_at_{};
    };

    // Since when a newer version than the one in force is known; empty if none is.
    std::optional<base::instant> behind_since_;
    // Peers that have a newer version; the one that showed it last is at the end.
    std::vector<std::string> sources_;
    // The request that awaits a reply.
    std::optional<request> outstanding_;
    // No request is sent before.
    base::instant next_request_at_{};
    // Requests in a row without a usable reply, and busy replies in a row.
    int failures_ = 0;
    int busy_replies_ = 0;
};

// Records that a peer has a newer version than the one in force.
void add_source(config_pull& pull, const std::string& peer, base::instant now);

// Returns true if a newer version is known and a request for it may be sent now.
bool may_request(const config_pull& pull, base::instant now);

// Records that a request was sent to a peer.
void record_request(config_pull& pull, const std::string& peer, base::instant now);

// Gives up the outstanding request if its reply is overdue.
void expire_request(config_pull& pull, base::random_engine& random, base::instant now);

// Records that a peer's reply could not be used, or never came. The next request goes to another
// peer if one is known, after a delay that grows with each failure.
void record_failure(config_pull& pull, const std::string& peer, base::random_engine& random,
                    base::instant now);

// Records that a peer sends no copy at present, and which peers it has sent one to.
void record_busy(config_pull& pull, const std::string& peer,
                 std::span<const std::string> other_sources, base::random_engine& random,
                 base::instant now);

// Records that the newest known version is in force.
void record_up_to_date(config_pull& pull);

}  // namespace dandelionridge::policy
