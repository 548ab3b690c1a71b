// How a caller proxy chooses the target of the copy of a hedged request.
#include <vector>

#include "node/caller_proxy.h"

namespace dandelionridge::node {

std::optional<chosen_target> caller_proxy::choose_copy(const std::string& service,
                                                       const policy::choice_criteria& criteria,
                                                       const std::set<std::string>& excluded,
                                                       const std::string& excluded_host,
                                                       const config::region_limits& regions,
                                                       policy::hedging_context context) {
    const auto listed = find_service(service);
    if (!listed) {
        return std::nullopt;
    }
    if (!hedging_.has_copy(service)) {
        hedging_.count_unsent(copy_outcome::over_share);
        return std::nullopt;
    }
    const config::host_list& hosts = *dependencies_.configuration_.hosts();
    std::vector<policy::candidate> candidates =
        make_candidates(*listed, criteria.kind_, excluded, regions);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const config::host_entry& host = hosts.hosts_[listed->targets_[i].host_];
        candidates[i].tried_ = candidates[i].tried_ || host.name_ == excluded_host;
    }
    if (hedging_.is_overloaded(service, candidates)) {
        hedging_.count_unsent(copy_outcome::overload);
        return std::nullopt;
    }
    const auto index = policy::choose_copy_target(candidates, criteria, random_);
    context.run_duration_ = index ? candidates[*index].run_duration_ : base::duration::zero();
    if (!index || !policy::copy_can_end(context)) {
        hedging_.count_unsent(copy_outcome::no_target);
        return std::nullopt;
    }
    // Requests that wait for the retry budget have lost their response and come first.
    if (context.budget_awaited_ || !policy::claim_retry(retry_budgets_[service], retry_limits(),
                                                        policy::usable_budget_share(false),
                                                        dependencies_.loop_.clock().now())) {
        hedging_.count_unsent(copy_outcome::over_retry_budget);
        return std::nullopt;
    }
    hedging_.charge_copy(service);
    const config::target_index& chosen = listed->targets_[*index];
    const config::host_entry& host = hosts.hosts_[chosen.host_];
    return chosen_target{&host, &host.targets_[chosen.target_],  false, false,
                         true,  candidates[*index].run_duration_};
}

}  // namespace dandelionridge::node
