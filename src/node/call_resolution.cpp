// How a call resolves its request again, under newer rules than those with which it began: its key,
// organisation, route and service.
#include <utility>

#include "filter/chain.h"
#include "node/call.h"
#include "policy/rules_refusal.h"

namespace dandelionridge::node {

bool call::has_newer_rules() const {
    return owner_.dependencies_.configuration_.rules()->version_ > context_.rules_->version_;
}

// Returns true if nothing of the request has run and nothing was sent to the caller.
bool call::may_resolve_again() const {
    return !may_have_run_ && !head_sent_ && !held_failure_;
}

// Ends or repeats a request that a target proxy refused under its rules, by the rules of this host.
void call::resolve_after_refusal(std::int64_t refusing_version) {
    const base::instant now = owner_.dependencies_.loop_.clock().now();
    awaited_rules_ = {refusing_version, now + policy::max_rules_wait(run_time_left())};
    on_rules_due();
}

void call::on_rules_due() {
    const config::rules_ptr newest = owner_.dependencies_.configuration_.rules();
    const bool may_wait = owner_.dependencies_.loop_.clock().now() < awaited_rules_.wait_until_;
    switch (
        policy::decide_after_refusal({context_.rules_->version_, awaited_rules_.refusing_version_,
                                      newest->version_, may_wait})) {
        case policy::rules_refusal_step::resolve_again:
            resolve_again();
            return;
        case policy::rules_refusal_step::wait:
            resolution_timer_.start(policy::rules_poll_interval, [this] { on_rules_due(); });
            return;
        case policy::rules_refusal_step::refuse_for_now:
            refuse_not_run(filter::reason::configuration_stale);
            return;
    }
}

// Resolves the request under the newest rules and starts it anew. The rules may refuse it, and it
// needs a token of the organisation that it now belongs to.
void call::resolve_again() {
    filter::request_context resolved = context_;
    resolved.confirmed_age_ = owner_.dependencies_.settings_.strict_freshness_
                                  ? owner_.dependencies_.identity_.freshness_age_()
                                  : base::duration::zero();
    const auto refused =
        filter::resolve_again(resolved, owner_.dependencies_.configuration_.rules());
    if (refused) {
        refuse(*refused);
        return;
    }
    if (!replayable()) {
        refuse_not_run(filter::reason::configuration_stale);
        return;
    }
    record_event("resolved_again", resolved.service_->name_, time_left());
    const bool same_organisation = resolved.organisation_ == context_.organisation_;
    const bool same_service = resolved.service_->name_ == context_.service_->name_;
    context_ = std::move(resolved);
    nested_ = context_.route_->open_ && !owner_.dependencies_.headers_.caller_service_.empty();
    tried_targets_.clear();
    busy_targets_.clear();
    may_wait_ = false;
    if (!same_service) {
        policy::record_request(owner_.retry_budgets_[context_.service_->name_],
                               owner_.retry_limits(),
                               nested_ ? owner_.dependencies_.repeat_share_() : 0,
                               owner_.dependencies_.loop_.clock().now());
    }
    if (same_organisation && admitted_) {
        start_attempt();
        return;
    }
    admitted_ = false;
    admit();
}

}  // namespace dandelionridge::node
