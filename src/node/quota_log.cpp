#include "node/quota_log.h"

#include <string>
#include <utility>

namespace dandelionridge::node {

namespace {

void add_reachability(std::vector<observe::event_field>& fields,
                      const policy::host_reachability& reachability) {
    fields.push_back({"reachable_hosts", std::to_string(reachability.reachable_hosts_)});
    fields.push_back({"hosts", std::to_string(reachability.hosts_)});
}

}  // namespace

quota_log::quota_log(const base::runtime_clock& clock, observe::event_log& events)
    : clock_(clock), events_(events) {}

bool quota_log::takes_events() const {
    return recorded_in_second_ < max_quota_events_per_second ||
           clock_.now() - second_began_at_ >= base::seconds(1);
}

void quota_log::on_refusal(const control::quota_refusal& refusal) {
    std::vector<observe::event_field> fields = {
        {"organisation", std::string(refusal.organisation_)},
        {"cause", std::string(control::to_text(refusal.cause_))},
        {"owner", std::string(refusal.owner_)},
        {"rank", std::to_string(refusal.owner_rank_)},
        {"priority", std::to_string(refusal.priority_)},
        {"waiting", std::to_string(refusal.waiting_)},
        {"waited_ms", std::to_string(base::whole_ms(refusal.waited_))},
        {"retry_after_ms", std::to_string(base::whole_ms(refusal.retry_after_))},
    };
    if (refusal.reachability_) {
        add_reachability(fields, *refusal.reachability_);
    }
    record("quota_refused", std::move(fields));
}

void quota_log::on_owner_change(const control::quota_owner_change& change) {
    std::vector<observe::event_field> fields = {
        {"organisation", std::string(change.organisation_)},
        {"cause", change.stalled_ ? "stalled" : "reachability"},
        {"higher_rank_reachable", change.reachability_.higher_rank_reachable_ ? "true" : "false"},
        {"share", std::to_string(policy::acting_share(change.reachability_))},
    };
    add_reachability(fields, change.reachability_);
    record(change.acting_ ? "quota_owner_started" : "quota_owner_stopped", std::move(fields));
}

void quota_log::record(std::string_view kind, std::vector<observe::event_field> fields) {
    const base::instant now = clock_.now();
    if (now - second_began_at_ >= base::seconds(1)) {
        second_began_at_ = now;
        recorded_in_second_ = 0;
    }
    if (recorded_in_second_ >= max_quota_events_per_second) {
        ++dropped_;
        return;
    }
    ++recorded_in_second_;
    if (dropped_ > 0) {
        fields.push_back({"dropped", std::to_string(std::exchange(dropped_, 0))});
    }
    events_.record(clock_.wall_ms(), kind, std::move(fields));
}

}  // namespace dandelionridge::node
