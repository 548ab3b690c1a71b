// The owner's record of one organisation's share in one zone: a bucket, and the leases out of it.
//
// Safety: the tokens in the bucket and those out on leases never exceed the burst, so in any window
// the share admits at most burst plus rate times the window. A lease counts here until its entry
// says that it uses it no longer, or until it has surely ended at the entry, whose clock began it
// when it asked.
//
// Tenure keeps two owners apart. An owner grants only on evidence that more than half of its zone
// agreed on its host list within the view bound. One that gains the share first waits out
// takeover_wait on such evidence, by when an earlier owner's evidence and leases have ended, and
// starts empty.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "base/clock.h"
#include "policy/quota_share.h"
#include "policy/token_bucket.h"

namespace dandelionridge::policy {

// Bounds that must be the same on all hosts.
struct quota_times {
    // Longest time that an entry may use a lease, from the moment it asked.
    base::duration lease_ = base::seconds(4);
    // Oldest evidence on which an owner grants; shorter than a lease.
    base::duration view_bound_ = base::seconds(2);
    // Allowance for clocks that run apart during a lease.
    base::duration drift_ = base::milliseconds(200);
};

// Time that a new owner waits on evidence before it grants.
base::duration takeover_wait(const quota_times& times);

// A gap in an owner's evidence that is shorter than this cannot have let another one begin to
// grant. One of just this length can: spec/quota.pml shows how (WIDE_GAP).
base::duration longest_tenure_gap(const quota_times& times);

// Which rules hold. All do in a running process; tests leave one out to see the oracle object.
struct quota_rules {
    // A new owner waits out the takeover wait and starts empty.
    bool wait_ = true;
    // An owner needs the agreement of a majority.
    bool majority_ = true;
    // The bucket fills only up to the burst minus what is out on lease.
    bool reserve_ = true;
};

// A process's standing as owners of shares, the same for all organisations of its zone.
struct tenure {
    // Since when the majority's agreement has lasted, with no gap that could have let another owner
    // begin.
    std::optional<base::instant> since_;
    // Time that the newest evidence reaches back to.
    base::instant agreed_at_{};
};

// Takes note of the time since which a majority agrees.
void update_tenure(tenure& standing, const quota_times& times, base::instant agreed_at,
                   base::instant now);

struct lease_record {
    std::int64_t id_ = 0;
    std::int64_t tokens_ = 0;
    base::instant ends_at_{};
};

struct quota_owner {
    quota_times times_;
    quota_share share_;
    token_bucket bucket_;
    // In the order of their ends.
    std::deque<lease_record> leases_;
    std::int64_t out_ = 0;
    // Since when this process has owned the share.
    base::instant owned_since_{};
    std::int64_t next_lease_ = 1;
};

// A share that this process has owned since then. It is empty until the takeover wait is over, and
// has filled up from then on.
quota_owner make_owner(const quota_times& times, const quota_rules& rules, quota_share share,
                       base::instant owned_since);

// The rules changed the share. What is out stays out.
void change_share(quota_owner& owner, quota_share share, base::instant now);

struct lease_offer {
    std::int64_t id_ = 0;
    std::int64_t tokens_ = 0;
    // Time until asking again can help.
    base::duration retry_after_{};
};

// True if the owner may grant now.
bool may_grant(const quota_owner& owner, const tenure& standing, const quota_rules& rules,
               base::instant now);

// Grants up to `wanted` tokens.
lease_offer grant_lease(quota_owner& owner, const tenure& standing, const quota_rules& rules,
                        std::int64_t wanted, base::instant now);

// An entry uses a lease no longer and gives back the tokens that it did not use. A repeated or late
// return changes nothing.
void return_lease(quota_owner& owner, std::int64_t lease, std::int64_t tokens, base::instant now);

}  // namespace dandelionridge::policy
