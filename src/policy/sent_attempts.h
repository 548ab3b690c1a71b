// The entry's record of the attempts that it has written to one guard, and of the links to it.
//
// An attempt is written once, on the open link. When that link is lost, the attempt's fate is
// learnt by a Resolve on a later link, which bars the lost one. Until then the fate is unknown.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "policy/attempt.h"

namespace dandelionridge::policy {

struct open_link {
    std::int64_t number_ = 0;
    std::int64_t target_proxy_boot_ = 0;
    std::int64_t next_sequence_ = 1;
};

struct written_attempt {
    std::int64_t target_proxy_boot_ = 0;
    // The link that carried it is gone; its fate must be asked for.
    bool link_lost_ = false;
};

struct sent_attempts {
    std::int64_t last_link_ = 0;
    std::optional<open_link> current_link_;
    std::map<attempt_id, written_attempt> written_;
};

// Asks a guard, on the open link, to bar `link_` and to tell the fates of attempts on it.
struct resolve_request {
    std::int64_t link_ = 0;
    std::int64_t target_proxy_boot_ = 0;
    std::vector<std::int64_t> sequences_;
};

struct link_opening {
    std::vector<resolve_request> resolve_requests_;
    // Attempts written to an earlier boot of the guard: their fate will never be known.
    std::vector<attempt_id> unknown_;
};

// Numbers a new link. What was written on earlier links counts as lost with them.
std::int64_t allocate_link_number(sent_attempts& state);

// The guard has accepted the link that was numbered last, under this boot.
link_opening confirm_link(sent_attempts& state, std::int64_t target_proxy_boot);

// The open link, or the one about to open, is gone. Returns the attempts that are now in doubt.
std::vector<attempt_id> mark_link_lost(sent_attempts& state);

// Names a new attempt on the open link; nothing if no link is open.
std::optional<attempt_id> register_attempt(sent_attempts& state);

// The attempt's answer, refusal or failure has arrived, or the guard told its fate. Returns false
// if it was not outstanding: what arrived is late and is dropped.
bool settle_attempt(sent_attempts& state, attempt_id attempt);

}  // namespace dandelionridge::policy
