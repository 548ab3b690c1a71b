#include "policy/membership.h"

#include <algorithm>
#include <bit>
#include <cstdlib>
#include <limits>

namespace dandelionridge::policy {

namespace {

// Two reporters and this process's own evidence are enough; more would change nothing.
constexpr std::size_t max_reports = 2;
constexpr std::size_t confirming_sources = 2;
constexpr base::duration report_validity = base::seconds(2);
// A report about an earlier time has lost its use on its way.
constexpr base::duration max_report_age = base::seconds(5);
// Links that are opened on demand are used again only once the finding against them has expired.
constexpr base::duration own_evidence_validity = base::seconds(5);
// Lost packets alone seldom have as many hosts suspected at once. With fewer, the pings of a check
// would lead to further suspicions and checks without end.
constexpr std::ptrdiff_t min_common_suspects = 3;
// Time in which the pings that are sent after a stall are answered.
constexpr base::duration recovery_time = base::milliseconds(300);
// Notices beyond the logarithm of the fleet's size, for those that reach hosts which know already.
constexpr int spare_notices = 2;
// A host that stood still for longer opens new links to all its peers, which they see themselves.
constexpr base::duration max_announced_silence = base::seconds(2);

member& find_or_add(membership& known, std::string_view host) {
    const auto found = known.members_.find(host);
    return found != known.members_.end()
               ? found->second
               : known.members_.try_emplace(std::string(host)).first->second;
}

// Returns the beginning of the silence according to the evidence at hand.
std::optional<base::instant> silent_since(const member& host) {
    std::optional<base::instant> earliest = host.unanswered_since_;
    for (const suspicion_report& report : host.reports_) {
        earliest = std::min(earliest.value_or(report.silent_since_), report.silent_since_);
    }
    return earliest;
}

member_state evaluate(const membership& known, const member& host, base::instant now) {
    if (host.link_silent_) {
        return member_state::silent;
    }
    const bool unanswered = host.unanswered_since_.has_value();
    const std::size_t sources =
        host.reports_.size() + (unanswered && is_healthy(known, now) ? 1 : 0);
    if (sources >= confirming_sources) {
        return member_state::silent;
    }
    return unanswered || sources > 0 ? member_state::suspected : member_state::alive;
}

// Returns the number of notices that carry a state to all hosts with high probability.
int notice_limit(const membership& known) {
    return static_cast<int>(std::bit_width(known.peer_count_)) + spare_notices;
}

void announce(membership& known, const std::string& name, member& host) {
    host.notices_left_ = notice_limit(known);
    known.notices_.insert(name);
}

void withdraw(membership& known, const std::string& name, member& host) {
    host.notices_left_ = 0;
    known.notices_.erase(name);
}

// Returns the entry for a host: this process's own finding if there is one.
member_notice make_notice(const std::string& name, const member& host, base::instant now) {
    member_notice notice{name, host.boot_, host.state_, now - host.heard_at_, {}};
    if (host.unanswered_since_) {
        notice.age_ = now - *host.unanswered_since_;
    } else if (!host.reports_.empty()) {
        notice.age_ = now - host.reports_.front().silent_since_;
        notice.reporter_ = host.reports_.front().reporter_;
    }
    return notice;
}

// Counts a notice of this host's state as sent, or as sent by another host in this one's place.
void count_notice(membership& known, const std::string& name, member& host) {
    if (host.notices_left_ > 0 && --host.notices_left_ == 0) {
        known.notices_.erase(name);
    }
}

// Decides after a change of the evidence what the peers are to be sent.
void update_notices(membership& known, const std::string& name, member& host,
                    const member_change& change) {
    if (change.to_ != member_state::alive) {
        // Without a boot, peers cannot relate the notice to the present process.
        if (host.boot_ != 0 && host.notices_left_ == 0 && !host.announced_) {
            announce(known, name, host);
        }
        return;
    }
    const bool was_announced = host.announced_;
    host.announced_ = false;
    if (was_announced && change.silent_for_ < max_announced_silence) {
        announce(known, name, host);
    } else {
        withdraw(known, name, host);
    }
}

// Sets the state that the evidence shows. `since` is the beginning of the silence before the change
// of the evidence.
std::optional<member_change> update_state(membership& known, std::string_view name, member& host,
                                          std::optional<base::instant> since, base::instant now) {
    const member_state state = evaluate(known, host, now);
    if (state == host.state_) {
        return std::nullopt;
    }
    const member_change change{host.state_, state, since ? now - *since : base::duration::zero()};
    host.state_ = state;
    host.changed_at_ = now;
    update_notices(known, std::string(name), host, change);
    return change;
}

// Orders the entries of a notice: refutations, then those that were sent least often.
bool is_sent_before(const member& left, const member& right) {
    const bool left_refutes = left.state_ == member_state::alive;
    const bool right_refutes = right.state_ == member_state::alive;
    return std::pair(left_refutes, left.notices_left_) >
           std::pair(right_refutes, right.notices_left_);
}

void clear_own_evidence(membership& known, member& host) {
    known.unanswered_count_ -= host.unanswered_since_ ? 1 : 0;
    host.unanswered_since_.reset();
    host.link_silent_ = false;
}

}  // namespace

boot_tag tag_of(std::int64_t boot) {
    constexpr std::int64_t modulus = std::numeric_limits<boot_tag>::max();
    return boot == 0 ? 0 : static_cast<boot_tag>(std::abs(boot % modulus) + 1);
}

std::string_view to_text(member_state state) {
    switch (state) {
        case member_state::suspected:
            return "suspected";
        case member_state::silent:
            return "silent";
        case member_state::alive:
            break;
    }
    return "alive";
}

std::string_view to_text(report_outcome outcome) {
    switch (outcome) {
        case report_outcome::refuted:
            return "refuted";
        case report_outcome::outdated:
            return "outdated";
        case report_outcome::accepted:
            break;
    }
    return "accepted";
}

void set_peers(membership& known, std::span<const std::string> peers) {
    const std::set<std::string_view> listed(peers.begin(), peers.end());
    for (auto& [name, host] : known.members_) {
        if (!listed.contains(name)) {
            clear_own_evidence(known, host);
            withdraw(known, name, host);
        }
    }
    std::erase_if(known.members_, [&](const auto& entry) { return !listed.contains(entry.first); });
    known.peer_count_ = listed.size();
}

std::optional<member_change> record_heard(membership& known, std::string_view host, boot_tag boot,
                                          base::instant heard_at, base::instant now) {
    member& heard = find_or_add(known, host);
    const std::optional<base::instant> since = silent_since(heard);
    heard.boot_ = boot != 0 ? boot : heard.boot_;
    heard.heard_at_ = std::max(heard.heard_at_, heard_at);
    if (heard.unanswered_since_ && *heard.unanswered_since_ <= heard_at) {
        clear_own_evidence(known, heard);
    }
    std::erase_if(heard.reports_,
                  [&](const suspicion_report& report) { return report.silent_since_ <= heard_at; });
    return update_state(known, host, heard, since, now);
}

std::optional<member_change> record_unanswered(membership& known, std::string_view host,
                                               base::instant sent_at, bool link_silent,
                                               base::instant now) {
    member& silent = find_or_add(known, host);
    if (now < known.recovering_until_ || silent.heard_at_ > sent_at) {
        return std::nullopt;
    }
    known.unanswered_count_ += silent.unanswered_since_ ? 0 : 1;
    silent.unanswered_since_ = std::min(silent.unanswered_since_.value_or(sent_at), sent_at);
    silent.own_evidence_at_ = now;
    silent.link_silent_ = silent.link_silent_ || link_silent;
    return update_state(known, host, silent, silent_since(silent), now);
}

report_result record_report(membership& known, std::string_view host, boot_tag boot,
                            base::duration age, std::string_view reporter, base::instant now) {
    member& reported = find_or_add(known, host);
    const bool other_boot = reported.boot_ != 0 && reported.boot_ != boot;
    if (other_boot || age > max_report_age || now < known.recovering_until_) {
        return {report_outcome::outdated, std::nullopt};
    }
    const base::instant since = now - age;
    if (reported.heard_at_ >= since) {
        return {report_outcome::refuted, std::nullopt};
    }
    count_notice(known, std::string(host), reported);
    const auto earlier =
        std::find_if(reported.reports_.begin(), reported.reports_.end(),
                     [&](const suspicion_report& report) { return report.reporter_ == reporter; });
    if (earlier != reported.reports_.end()) {
        earlier->received_at_ = now;
    } else if (reported.reports_.size() < max_reports) {
        reported.reports_.push_back({std::string(reporter), since, now});
    }
    return {report_outcome::accepted,
            update_state(known, host, reported, silent_since(reported), now)};
}

std::optional<member_change> record_refutation(membership& known, std::string_view host,
                                               boot_tag boot, base::duration age,
                                               base::instant now) {
    const auto found = known.members_.find(host);
    if (found == known.members_.end() || found->second.boot_ != boot) {
        return std::nullopt;
    }
    member& refuted = found->second;
    const std::optional<base::instant> since = silent_since(refuted);
    std::erase_if(refuted.reports_, [&](const suspicion_report& report) {
        return report.silent_since_ <= now - age;
    });
    return update_state(known, host, refuted, since, now);
}

void record_stall(membership& known, base::instant now) {
    known.recovering_until_ = now + recovery_time;
    known.notices_.clear();
    for (auto& [name, host] : known.members_) {
        clear_own_evidence(known, host);
        host.reports_.clear();
        host.notices_left_ = 0;
        host.announced_ = false;
        host.state_ = member_state::alive;
    }
}

std::vector<std::pair<std::string, member_change>> expire_evidence(membership& known,
                                                                   base::instant now) {
    std::vector<std::pair<std::string, member_change>> changes;
    for (auto& [name, host] : known.members_) {
        if (host.state_ == member_state::alive) {
            continue;
        }
        const std::optional<base::instant> since = silent_since(host);
        std::erase_if(host.reports_, [&](const suspicion_report& report) {
            return now - report.received_at_ > report_validity;
        });
        if (now - host.own_evidence_at_ > own_evidence_validity) {
            clear_own_evidence(known, host);
        }
        if (const auto change = update_state(known, name, host, since, now)) {
            changes.emplace_back(name, *change);
        }
    }
    return changes;
}

member_state state_of(const membership& known, std::string_view host) {
    const auto found = known.members_.find(host);
    return found == known.members_.end() ? member_state::alive : found->second.state_;
}

bool is_confirmed_by_others(const membership& known, std::string_view host) {
    const auto found = known.members_.find(host);
    return found != known.members_.end() && found->second.reports_.size() >= confirming_sources;
}

bool suggests_common_fault(const membership& known, const member_change& change) {
    if (change.to_ != member_state::suspected) {
        return change.to_ == member_state::silent;
    }
    const auto suspects =
        std::count_if(known.members_.begin(), known.members_.end(),
                      [](const auto& entry) { return entry.second.state_ != member_state::alive; });
    return suspects >= min_common_suspects;
}

bool is_healthy(const membership& known, base::instant now) {
    return now >= known.recovering_until_ && known.unanswered_count_ * 2 <= known.peer_count_;
}

std::vector<member_notice> take_notices(membership& known, std::size_t max_entries,
                                        base::instant now) {
    std::vector<member_notice> entries;
    if (!is_healthy(known, now)) {
        return entries;
    }
    std::vector<std::pair<std::string, member*>> waiting;
    for (const std::string& name : known.notices_) {
        waiting.emplace_back(name, &known.members_.find(name)->second);
    }
    const std::size_t count = std::min(max_entries, waiting.size());
    std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(count),
                      waiting.end(), [](const auto& left, const auto& right) {
                          return is_sent_before(*left.second, *right.second);
                      });
    waiting.resize(count);
    for (const auto& [name, host] : waiting) {
        entries.push_back(make_notice(name, *host, now));
        host->announced_ = host->state_ != member_state::alive;
        count_notice(known, name, *host);
    }
    return entries;
}

}  // namespace dandelionridge::policy
