// The target proxy's record of links and attempts. It ensures that an attempt runs at most once and
// that a status of not_run is true.
//
// Rules, each of which tests and the model in spec/attempt.pml can switch off:
//   boot:     an attempt that names another boot of this target proxy is refused, and its status is
//             unknown;
//   bar:      once a link has been queried, no more attempts are accepted on it;
//   withdraw: an attempt that is queued when its link is barred is removed from the queue;
//   once:     a sequence number at or below one already seen on its link is refused;
//   keep:     an attempt whose record was evicted has the status unknown, never not_run.
// In addition, a link number at or below one accepted or queried before is refused, so that the
// record of a link is never started twice.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "policy/attempt.h"

namespace dandelionridge::policy {

// Which rules are in force. All are in a running process; tests switch one off to check that their
// oracle then finds a violation.
struct ledger_rules {
    bool boot_ = true;
    bool bar_ = true;
    bool withdraw_ = true;
    bool once_ = true;
    bool keep_ = true;
};

// Stage of an attempt on the target proxy.
enum class attempt_stage { queued, running, done, refused };

// What the ledger holds about one link.
struct link_record {
    // Highest sequence number admitted on the link.
    std::int64_t last_sequence_ = 0;
    // The records of attempts at or below this sequence number may have been evicted.
    std::int64_t evicted_up_to_ = 0;
    // The link has been queried, so it accepts no more attempts.
    bool barred_ = false;
    std::map<std::int64_t, attempt_stage> attempts_;
};

// What the ledger holds about one caller proxy.
struct caller_proxy_record {
    // Highest link number that was accepted or queried.
    std::int64_t last_link_ = 0;
    std::map<std::int64_t, link_record> links_;
};

// Identifies an attempt across all caller proxies.
struct ledger_key {
    std::int64_t caller_proxy_boot_ = 0;
    attempt_id attempt_;

    auto operator<=>(const ledger_key&) const = default;
};

struct attempt_ledger {
    // Boot of this target proxy.
    std::int64_t boot_ = 0;
    // Maximum number of ended or refused attempts whose records are kept; the oldest are evicted
    // first.
    std::size_t capacity_ = 0;
    ledger_rules rules_;
    // Records by the boot of the caller proxy.
    std::map<std::int64_t, caller_proxy_record> caller_proxies_;
    // Attempts that have ended or were refused, oldest first.
    std::deque<ledger_key> ended_;
    // Boots of caller proxies whose records were evicted, oldest first. The status of their
    // attempts is unknown.
    std::deque<std::int64_t> eviction_order_;
    // The same boots, for look-up.
    std::set<std::int64_t> evicted_boots_;
};

// Maximum number of evicted caller proxy boots that are remembered.
inline constexpr std::size_t max_evicted_boots = 65'536;

// Whether an attempt is accepted, and if not, which rule refuses it.
enum class admission { accepted, wrong_boot, barred, duplicate };

// Status of the attempt with this sequence number.
struct sequence_status {
    std::int64_t sequence_ = 0;
    attempt_status status_ = attempt_status::unknown;
};

// Result of resolve_link().
struct link_resolution {
    std::vector<sequence_status> statuses_;
    // Sequence numbers of the attempts that must be removed from the slot queue: they will not run.
    std::vector<std::int64_t> withdrawn_;
};

// Records a new link of a caller proxy. Returns false if the link must be refused because its
// number is not above that of an earlier link.
bool accept_link(attempt_ledger& ledger, std::int64_t caller_proxy_boot, std::int64_t link);

// Records an attempt as queued, or returns why it must be refused. `expected_boot` is the boot of
// this target proxy that the caller proxy named.
admission admit_attempt(attempt_ledger& ledger, ledger_key key, std::int64_t expected_boot);

// Records that the attempt leaves the queue for a slot. Returns false if it is no longer recorded
// as queued, for example because it was withdrawn, and must not run.
bool start_attempt(attempt_ledger& ledger, ledger_key key);

// Records that the attempt was refused before it took a slot.
void refuse_attempt(attempt_ledger& ledger, ledger_key key);

// Records that the attempt's run has ended.
void end_attempt(attempt_ledger& ledger, ledger_key key);

// Evicts the record of a caller proxy that has had no link for long and thus has most likely ended.
void evict_caller_proxy(attempt_ledger& ledger, std::int64_t caller_proxy_boot);

// Bars a link of a caller proxy and returns the statuses of the given attempts on it. Attempts
// queued on the link are recorded as refused and returned as withdrawn. Bars nothing and returns
// only unknown statuses if `expected_boot` is another boot of this target proxy, or if the caller
// proxy's record was evicted.
link_resolution resolve_link(attempt_ledger& ledger, std::int64_t caller_proxy_boot,
                             std::int64_t link, std::int64_t expected_boot,
                             std::span<const std::int64_t> sequences);

}  // namespace dandelionridge::policy
