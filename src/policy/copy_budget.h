// Bounds what one process sends of the configuration to its peers, so that requests and their
// responses keep the greater part of its link.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/clock.h"
#include "policy/token_bucket.h"

namespace dandelionridge::policy {

// Returns the budget, in bytes, of a process whose link carries this many bytes per second.
token_bucket make_copy_budget(double link_bytes_per_second, base::instant now);

// Charges a copy to the budget. Returns false, without a charge, if it must not be sent now. A copy
// may overdraw the budget; the next one waits until that is made up for.
bool claim_copy(token_bucket& budget, std::size_t bytes, base::instant now);

// The peers that were sent a version last, which may send it on.
struct copy_receivers {
    std::int64_t version_ = 0;
    std::deque<std::string> peers_;
};

void record_receiver(copy_receivers& receivers, std::int64_t version, const std::string& peer);

// Returns the receivers of this version; none if another one was sent last.
std::vector<std::string> receivers_of(const copy_receivers& receivers, std::int64_t version);

}  // namespace dandelionridge::policy
