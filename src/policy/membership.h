// What a process knows of the other hosts: whether each of them answers, by its own evidence and by
// the reports of its peers.
//
// Pattern: SWIM's suspicion with refutation (Das et al., 2002) and Lifeguard's local health (Dadgar
// et al., 2017). There is no consensus: each process decides for itself, and reports are evidence.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace dandelionridge::policy {

enum class member_state {
    alive,
    // One source of evidence says that the host does not answer.
    suspected,
    // Two sources agree, or this process found its link to the host silent.
    silent,
};

inline constexpr std::size_t member_state_count = 3;

// Returns the name of a state for logs and metrics.
std::string_view to_text(member_state state);

// Short form of a process's boot for notices; 0 if unknown.
using boot_tag = std::int32_t;

boot_tag tag_of(std::int64_t boot);

// A peer's statement that a host did not answer it.
struct suspicion_report {
    std::string reporter_;
    // Time since which the host has not answered the reporter.
    base::instant silent_since_{};
    base::instant received_at_{};
};

// What is known of one host.
struct member {
    // Boot of the host's process.
    boot_tag boot_ = 0;
    // When the newest frame of the host arrived.
    base::instant heard_at_{};
    // When the oldest ping of this process that the host left unanswered was sent.
    std::optional<base::instant> unanswered_since_;
    base::instant own_evidence_at_{};
    // This process found its link to the host silent.
    bool link_silent_ = false;
    std::vector<suspicion_report> reports_;
    member_state state_ = member_state::alive;
    base::instant changed_at_{};
    // Number of notices that may still carry this host's state.
    int notices_left_ = 0;
    // Peers were sent the report that the host does not answer.
    bool announced_ = false;
};

struct membership {
    // The hosts of which anything is known.
    std::map<std::string, member, std::less<>> members_;
    // Hosts of the fleet besides this one.
    std::size_t peer_count_ = 0;
    // Hosts whose state waits to be sent.
    std::set<std::string, std::less<>> notices_;
    // Hosts that left a ping of this process unanswered.
    std::size_t unanswered_count_ = 0;
    // Until then this process recovers from a stall: its findings and the reports that waited for
    // it during the stall are outdated.
    base::instant recovering_until_{};
};

// A change of a host's state.
struct member_change {
    member_state from_ = member_state::alive;
    member_state to_ = member_state::alive;
    // Time from the beginning of the silence, as far as known, to this change.
    base::duration silent_for_{};
};

// What became of a peer's report.
enum class report_outcome {
    accepted,
    // This process heard the host after the time from which the reporter did not.
    refuted,
    // The report is about another boot of the host, too old, or came while this process recovers.
    outdated,
};

inline constexpr std::size_t report_outcome_count = 3;

std::string_view to_text(report_outcome outcome);

struct report_result {
    report_outcome outcome_ = report_outcome::accepted;
    std::optional<member_change> change_;
};

// Sets the hosts of the fleet besides this one, and forgets all others.
void set_peers(membership& known, std::span<const std::string> peers);

// Records that a frame of the host arrived at `heard_at`. It refutes all evidence from before. A
// boot of 0 is unknown.
std::optional<member_change> record_heard(membership& known, std::string_view host, boot_tag boot,
                                          base::instant heard_at, base::instant now);

// Records that the host left a ping sent at `sent_at` unanswered for a whole ping interval or, if
// `link_silent`, long enough that the link was closed.
std::optional<member_change> record_unanswered(membership& known, std::string_view host,
                                               base::instant sent_at, bool link_silent,
                                               base::instant now);

// Records a peer's report that a boot of a host has not answered for `age`.
report_result record_report(membership& known, std::string_view host, boot_tag boot,
                            base::duration age, std::string_view reporter, base::instant now);

// Records a peer's statement that it heard a host `age` ago. It refutes older reports, but no
// finding of this process.
std::optional<member_change> record_refutation(membership& known, std::string_view host,
                                               boot_tag boot, base::duration age,
                                               base::instant now);

// Records that this process did not run for a while: its own open findings, and the reports that it
// holds, are void.
void record_stall(membership& known, base::instant now);

// Removes outdated evidence. Returns the changes of state by host.
std::vector<std::pair<std::string, member_change>> expire_evidence(membership& known,
                                                                   base::instant now);

member_state state_of(const membership& known, std::string_view host);

// Returns true if other hosts alone confirm that the host is silent. Together with an unanswered
// ping of this process that ends its link; one report would not do, since links to a host that
// is paused for a moment miss a ping at the same time.
bool is_confirmed_by_others(const membership& known, std::string_view host);

// Returns true if a change suggests that more hosts are silent for the same cause, so that all
// links are worth a check: a host is silent, or several are suspected at once.
bool suggests_common_fault(const membership& known, const member_change& change);

// Returns true if the findings of this process are evidence: it does not recover from a stall, and
// it does not find more than half of its peers silent at once, which it may itself be the cause of.
bool is_healthy(const membership& known, base::instant now);

// An entry of a notice to a peer.
struct member_notice {
    std::string host_;
    boot_tag boot_ = 0;
    member_state state_ = member_state::alive;
    // Time since the beginning of the silence or, if the host is alive, since it was heard.
    base::duration age_{};
    // The host that found it; empty if it is this process's.
    std::string reporter_;
};

// Returns the entries for the next notice, refutations and what was sent least often first, and
// counts them as sent. Empty while this process is not healthy. An entry names the host whose
// finding it is, so that a finding counts once however it travels.
std::vector<member_notice> take_notices(membership& known, std::size_t max_entries,
                                        base::instant now);

}  // namespace dandelionridge::policy
