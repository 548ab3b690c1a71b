// Decides when a process requests a newer version of a configuration value from a peer, and from
// which one. At most one request is outstanding, so that no peer is asked again for what it is
// already sending.
#pragma once

#include <cstdint>
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
    struct source {
        std::string peer_;
        std::int64_t version_ = 0;
    };

    // Since when a newer version than the one in force is known; empty if none is.
    std::optional<base::instant> behind_since_;
    // Peers that have a newer version; the one that showed it last is at the end.
    std::vector<source> sources_;
    // The request that awaits a reply.
    std::optional<request> outstanding_;
    // No request is sent before.
    base::instant next_request_at_{};
    // Requests in a row without a usable reply, and busy replies in a row.
    int failures_ = 0;
    int busy_replies_ = 0;
};

// Records that a peer has this version, which is newer than the one in force.
void add_source(config_pull& pull, const std::string& peer, std::int64_t version,
                base::instant now);

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

// Records that a peer sends no copy of its version at present, and to which peers it has sent one.
void record_busy(config_pull& pull, const std::string& peer, std::int64_t version,
                 std::span<const std::string> other_sources, base::random_engine& random,
                 base::instant now);

// Records that a peer passes nothing on at present: it is no source any more.
void record_no_source(config_pull& pull, const std::string& peer);

// Records that a peer's reply was used.
void record_reply(config_pull& pull, const std::string& peer);

// Forgets the sources of this version and of older ones, because it is in force or cannot be used.
void forget_sources_up_to(config_pull& pull, std::int64_t version);

}  // namespace dandelionridge::policy
