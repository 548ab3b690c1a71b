// The caller proxy's record of the attempts that it has sent to one target proxy, and of its links
// to that target proxy.
//
// An attempt is sent once, on the open link. When that link is lost, a Resolve request on a later
// link queries the attempt's status and bars the lost link. Until then the status is unknown.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "policy/attempt.h"

namespace dandelionridge::policy {

// The link on which attempts are sent.
struct open_link {
    std::int64_t number_ = 0;
    std::int64_t target_proxy_boot_ = 0;
    // Sequence number of the next attempt.
    std::int64_t next_sequence_ = 1;
};

struct sent_attempt {
    // Boot of the target proxy that the attempt was sent to.
    std::int64_t target_proxy_boot_ = 0;
    // The link that carried the attempt or was to carry its response is lost, so its status must be
    // queried.
    bool link_lost_ = false;
};

struct sent_attempts {
    // Number of the newest link; 0 if there was none.
    std::int64_t last_link_ = 0;
    std::optional<open_link> current_link_;
    // Attempts that were sent and not settled yet.
    std::map<attempt_id, sent_attempt> unsettled_;
};

// A request to the target proxy, sent on the open link, to bar `link_` and to report the statuses
// of attempts on it.
struct resolve_request {
    std::int64_t link_ = 0;
    std::int64_t target_proxy_boot_ = 0;
    std::vector<std::int64_t> sequences_;
};

// Result of confirm_link().
struct link_opening {
    std::vector<resolve_request> resolve_requests_;
    // Attempts sent to an earlier boot of the target proxy: their status can no longer be known.
    std::vector<attempt_id> unknown_;
};

// Returns the number for a new link. Marks the link that was open as lost, with its attempts.
std::int64_t allocate_link_number(sent_attempts& state);

// Records that the target proxy, under this boot, has accepted the link that was numbered last.
// Returns the resolve requests to send on it, and removes the attempts whose status is unknown.
// Precondition: allocate_link_number() was called for the link.
link_opening confirm_link(sent_attempts& state, std::int64_t target_proxy_boot);

// Records that the target proxy will send an attempt's response on the open link: the attempt is in
// doubt again if that link is lost as well.
void record_response_expected(sent_attempts& state, attempt_id attempt);

// Records that the open link, or the one about to open, is lost. Returns the attempts that are now
// in doubt.
std::vector<attempt_id> mark_link_lost(sent_attempts& state);

// Records and identifies a new attempt on the open link. Returns nothing if no link is open.
std::optional<attempt_id> register_attempt(sent_attempts& state);

// Removes an attempt whose response, refusal, failure or status has arrived. Returns false if it
// was not outstanding: what arrived is late and must be dropped.
bool settle_attempt(sent_attempts& state, attempt_id attempt);

}  // namespace dandelionridge::policy
