// The guard's record of links and attempts: what makes an attempt run at most once and a
// "not run" true.
//
// Rules, each of which tests and the model in spec/attempt.pml can leave out:
//   boot:     what names another boot of this guard is refused, and its fate is unknown;
//   bar:      once a link was asked about, nothing more of it is accepted;
//   withdraw: what waits when its link is barred is taken out of the queue;
//   once:     a sequence at or below one seen on its link is refused;
//   keep:     an attempt whose record was evicted has the fate unknown, never not_run.
// Besides, a link number at or below one accepted before is refused, so that a record of a link is
// never begun twice.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "policy/attempt.h"

namespace dandelionridge::policy {

// Which rules hold. All do in a running process; tests leave one out to see the oracle object.
struct ledger_rules {
    bool boot_ = true;
    bool bar_ = true;
    bool withdraw_ = true;
    bool once_ = true;
    bool keep_ = true;
};

enum class attempt_stage { queued, running, done, refused };

struct link_record {
    std::int64_t last_sequence_ = 0;
    // Attempts at or below this one may have lost their record.
    std::int64_t evicted_up_to_ = 0;
    bool barred_ = false;
    std::map<std::int64_t, attempt_stage> attempts_;
};

struct caller_proxy_record {
    std::int64_t last_link_ = 0;
    std::map<std::int64_t, link_record> links_;
};

// Names an attempt across all entries.
struct ledger_key {
    std::int64_t caller_proxy_boot_ = 0;
    attempt_id attempt_;

    auto operator<=>(const ledger_key&) const = default;
};

struct attempt_ledger {
    std::int64_t boot_ = 0;
    // Ended attempts that are remembered; older ones are evicted.
    std::size_t capacity_ = 0;
    ledger_rules rules_;
    std::map<std::int64_t, caller_proxy_record> caller_proxies_;
    std::deque<ledger_key> ended_;
    // Boots of entries whose records were dropped, oldest first: their attempts have unknown fates.
    std::deque<std::int64_t> eviction_order_;
    std::set<std::int64_t> evicted_;
};

// Boots of entries that are remembered as forgotten.
inline constexpr std::size_t max_evicted = 65'536;

enum class admission { accepted, wrong_boot, barred, duplicate };

struct sequence_status {
    std::int64_t sequence_ = 0;
    attempt_status status_ = attempt_status::unknown;
};

struct link_resolution {
    std::vector<sequence_status> statuses_;
    // Attempts that waited in the queue and must be taken out of it: they will not run.
    std::vector<std::int64_t> withdrawn_;
};

// True if a new link of that entry may carry frames.
bool accept_link(attempt_ledger& ledger, std::int64_t caller_proxy_boot, std::int64_t link);

// Admits an attempt to the queue, or says why not.
admission admit_attempt(attempt_ledger& ledger, ledger_key key, std::int64_t expected_boot);

// The attempt leaves the queue for a slot. False if it was withdrawn and must not run.
bool start_attempt(attempt_ledger& ledger, ledger_key key);

// The attempt was refused before it took a slot.
void refuse_attempt(attempt_ledger& ledger, ledger_key key);

// The attempt ran to its end.
void end_attempt(attempt_ledger& ledger, ledger_key key);

// Drops the record of an entry that has had no link for long, and is thus most likely gone.
void evict_caller_proxy(attempt_ledger& ledger, std::int64_t caller_proxy_boot);

// Bars a link of an entry and tells the fates of the attempts asked for.
link_resolution resolve_link(attempt_ledger& ledger, std::int64_t caller_proxy_boot,
                             std::int64_t link, std::int64_t expected_boot,
                             std::span<const std::int64_t> sequences);

}  // namespace dandelionridge::policy
