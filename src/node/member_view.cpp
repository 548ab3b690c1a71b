#include "node/member_view.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "node/log_names.h"

namespace dandelionridge::node {

namespace {

constexpr base::duration notice_interval = base::milliseconds(50);
constexpr std::size_t notices_per_interval = 3;
constexpr std::size_t max_entries_sent = 32;
// A list that is longer was not sent by a process of the fleet.
constexpr std::size_t max_entries_accepted = 256;
constexpr double bytes_per_second = 1024;
constexpr std::int64_t burst_bytes = 16 * 1024;
// Bytes of a notice and of one of its entries, less the host's name.
constexpr std::size_t notice_bytes = 12;
constexpr std::size_t entry_bytes = 15;
constexpr base::duration log_interval = base::seconds(1);

wire::host_state to_wire(policy::member_state state) {
    switch (state) {
        case policy::member_state::suspected:
            return wire::host_state::suspected;
        case policy::member_state::silent:
            return wire::host_state::silent;
        case policy::member_state::alive:
            break;
    }
    return wire::host_state::alive;
}

bool is_valid(const wire::host_notice& entry) {
    const bool known_state = entry.state == wire::host_state::alive ||
                             entry.state == wire::host_state::suspected ||
                             entry.state == wire::host_state::silent;
    return known_state && entry.boot_tag > 0 && entry.age_ms >= 0;
}

std::size_t size_of(const wire::membership_notice& notice) {
    std::size_t bytes = notice_bytes;
    for (const wire::host_notice& entry : notice.hosts) {
        bytes += entry_bytes + entry.host.size() + entry.reporter.size();
    }
    return bytes;
}

wire::membership_notice to_wire(const std::vector<policy::member_notice>& entries) {
    wire::membership_notice notice;
    for (const policy::member_notice& entry : entries) {
        wire::host_notice& added = notice.hosts.emplace_back();
        added.host = entry.host_;
        added.boot_tag = entry.boot_;
        added.state = to_wire(entry.state_);
        added.age_ms = static_cast<std::int32_t>(base::whole_ms(entry.age_));
        if (!entry.reporter_.empty()) {
            added.__set_reporter(entry.reporter_);
        }
    }
    return notice;
}

}  // namespace

member_view::member_view(const base::runtime_clock& clock, std::string host,
                         const control::configuration& configuration, link_pool& links,
                         observe::event_log& events, observe::metrics& metrics)
    : clock_(clock),
      host_(std::move(host)),
      configuration_(configuration),
      links_(links),
      events_(events),
      metrics_(metrics),
      bytes_(policy::make_bucket(bytes_per_second, burst_bytes, clock.now())),
      last_tick_(clock.now()) {}

void member_view::on_hosts_changed() {
    std::vector<std::string> listed;
    for (const config::host_entry& host : configuration_.hosts()->hosts_) {
        if (host.name_ != host_) {
            listed.push_back(host.name_);
        }
    }
    policy::set_peers(known_, listed);
}

bool member_view::is_listed(const std::string& host) const {
    return config::find_host(*configuration_.hosts(), host) != nullptr;
}

void member_view::on_heard(const std::string& peer, std::int64_t boot, base::instant heard_at) {
    if (const auto change =
            policy::record_heard(known_, peer, policy::tag_of(boot), heard_at, clock_.now())) {
        on_change(peer, *change);
    }
}

// Returns true if the ticks, and so this process, did not run for a while.
bool member_view::has_stalled() const {
    return clock_.now() - last_tick_ > net::stall_threshold;
}

void member_view::on_unanswered(const std::string& peer, base::instant sent_at, bool link_silent) {
    if (has_stalled()) {
        return;
    }
    if (const auto change =
            policy::record_unanswered(known_, peer, sent_at, link_silent, clock_.now())) {
        on_change(peer, *change);
    }
}

void member_view::on_notice(const std::string& sender, const wire::membership_notice& notice) {
    const bool too_long = notice.hosts.size() > max_entries_accepted;
    std::size_t rejected = too_long ? notice.hosts.size() : 0;
    for (std::size_t i = 0; i < notice.hosts.size() && !too_long; ++i) {
        if (is_valid(notice.hosts[i])) {
            const wire::host_notice& entry = notice.hosts[i];
            on_entry(entry.__isset.reporter ? entry.reporter : sender, entry);
        } else {
            ++rejected;
        }
    }
    rejected_entries_ += rejected;
    if (rejected > 0) {
        events_.record(clock_.wall_ms(), "membership_notice_rejected",
                       {{"peer", sender},
                        {"cause", too_long ? "too long" : "invalid entry"},
                        {"entries", std::to_string(rejected)}});
    }
}

void member_view::on_entry(const std::string& reporter, const wire::host_notice& entry) {
    if (entry.host == host_ || reporter == host_ || !is_listed(entry.host)) {
        return;
    }
    if (entry.state != wire::host_state::alive) {
        on_report(reporter, entry);
        return;
    }
    const base::duration age = base::milliseconds(entry.age_ms);
    if (const auto change =
            policy::record_refutation(known_, entry.host, entry.boot_tag, age, clock_.now())) {
        on_change(entry.host, *change);
    }
}

void member_view::on_report(const std::string& reporter, const wire::host_notice& entry) {
    const base::instant now = clock_.now();
    on_heard(entry.host, 0, links_.last_heard(entry.host));
    const policy::report_result result = policy::record_report(
        known_, entry.host, entry.boot_tag, base::milliseconds(entry.age_ms), reporter, now);
    ++reports_.at(static_cast<std::size_t>(result.outcome_));
    if (result.outcome_ == policy::report_outcome::accepted) {
        links_.check(entry.host);
    }
    if (result.change_) {
        on_change(entry.host, *result.change_);
    }
}

void member_view::on_stall() {
    policy::record_stall(known_, clock_.now());
}

void member_view::on_change(const std::string& host, const policy::member_change& change) {
    ++changes_.counts_.at(static_cast<std::size_t>(change.to_));
    if (change.to_ == policy::member_state::silent) {
        changes_.silent_.push_back(host);
        metrics_.count_detection(change.silent_for_);
    }
    if (policy::suggests_common_fault(known_, change)) {
        links_.check_links();
    }
}

void member_view::tick() {
    const base::instant now = clock_.now();
    if (has_stalled()) {
        on_stall();
    }
    last_tick_ = now;
    for (const auto& [host, change] : policy::expire_evidence(known_, now)) {
        on_change(host, change);
    }
    if (now >= next_notices_) {
        next_notices_ = now + notice_interval;
        send_notices();
    }
    if (now >= next_log_) {
        next_log_ = now + log_interval;
        log_changes();
    }
}

void member_view::send_notices() {
    const auto is_alive = [this](const std::string& host) {
        return policy::state_of(known_, host) == policy::member_state::alive;
    };
    for (std::size_t i = 0; i < notices_per_interval && !known_.notices_.empty(); ++i) {
        const base::instant now = clock_.now();
        peer_link* link = links_.next_open_link(is_alive);
        if (link == nullptr || !policy::overdraw(bytes_, 0, now)) {
            return;
        }
        wire::frame frame;
        frame.__set_membership_(to_wire(policy::take_notices(known_, max_entries_sent, now)));
        if (frame.membership_.hosts.empty()) {
            return;
        }
        policy::overdraw(bytes_, static_cast<double>(size_of(frame.membership_)), now);
        link->send_notice(frame);
    }
}

// Writes one line for the changes since the last one, so that a fault of many hosts does not flood
// the log.
void member_view::log_changes() {
    const auto count = [this](policy::member_state state) {
        return std::to_string(changes_.counts_.at(static_cast<std::size_t>(state)));
    };
    const bool changed = std::any_of(changes_.counts_.begin(), changes_.counts_.end(),
                                     [](std::size_t changes) { return changes > 0; });
    if (!changed) {
        return;
    }
    events_.record(clock_.wall_ms(), "hosts_changed_state",
                   {{"suspected", count(policy::member_state::suspected)},
                    {"silent", count(policy::member_state::silent)},
                    {"alive", count(policy::member_state::alive)},
                    {"silent_hosts", join_names(changes_.silent_)},
                    {"silent_now", std::to_string(count_of(policy::member_state::silent))}});
    changes_ = {};
}

std::size_t member_view::count_of(policy::member_state state) const {
    return static_cast<std::size_t>(
        std::count_if(known_.members_.begin(), known_.members_.end(),
                      [&](const auto& entry) { return entry.second.state_ == state; }));
}

observe::labelled_counter member_view::report_counter() const {
    observe::labelled_counter counter{"dandelionridge_membership_reports_total",
                                      "Reports of peers on silent hosts, by result.",
                                      "result",
                                      {}};
    for (std::size_t i = 0; i < reports_.size(); ++i) {
        counter.values_.emplace(policy::to_text(static_cast<policy::report_outcome>(i)),
                                reports_.at(i));
    }
    counter.values_.emplace("rejected", rejected_entries_);
    return counter;
}

}  // namespace dandelionridge::node
