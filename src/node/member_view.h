// This process's view of the other hosts: collects what its links and its peers find, exchanges
// notices with random peers, and writes the changes to the log.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "config/host_list.h"
#include "control/configuration.h"
#include "node/link_pool.h"
#include "observe/event.h"
#include "observe/metrics.h"
#include "policy/membership.h"
#include "policy/token_bucket.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

// Changes since the last line in the log, by the state that was entered.
struct member_changes {
    std::array<std::size_t, policy::member_state_count> counts_{};
    std::vector<std::string> silent_;
};

class member_view {
public:
    // `host` is this process's own host.
    member_view(const base::runtime_clock& clock, std::string host,
                const control::configuration& configuration, link_pool& links,
                observe::event_log& events, observe::metrics& metrics);

    // Must be called whenever a new host list is in force.
    void on_hosts_changed();

    // Called when a frame of the peer arrived at `heard_at`. A boot of 0 is unknown.
    void on_heard(const std::string& peer, std::int64_t boot, base::instant heard_at);

    // Called when the peer left a ping unanswered that was sent at `sent_at`.
    void on_unanswered(const std::string& peer, base::instant sent_at, bool link_silent);

    void on_notice(const std::string& sender, const wire::membership_notice& notice);

    // Called when this process did not run for a while.
    void on_stall();

    // Sends the notices that are due and removes outdated evidence.
    void tick();

    const policy::membership& known() const { return known_; }
    bool is_silent(const std::string& host) const {
        return policy::state_of(known_, host) == policy::member_state::silent;
    }

    // Returns the hosts in a state.
    std::size_t count_of(policy::member_state state) const;

    // Returns the reports of peers by what became of them.
    observe::labelled_counter report_counter() const;

private:
    void on_entry(const std::string& reporter, const wire::host_notice& entry);
    void on_report(const std::string& reporter, const wire::host_notice& entry);
    void on_change(const std::string& host, const policy::member_change& change);
    void send_notices();
    void log_changes();
    bool has_stalled() const;
    bool is_listed(const std::string& host) const;

    const base::runtime_clock& clock_;
    const std::string host_;
    const control::configuration& configuration_;
    link_pool& links_;
    observe::event_log& events_;
    observe::metrics& metrics_;
    policy::membership known_;
    policy::token_bucket bytes_;
    base::instant last_tick_{};
    base::instant next_notices_{};
    base::instant next_log_{};
    member_changes changes_;
    std::array<std::uint64_t, policy::report_outcome_count> reports_{};
    std::uint64_t rejected_entries_ = 0;
};

}  // namespace dandelionridge::node
