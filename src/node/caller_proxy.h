// The caller proxy: accepts callers' requests, chooses a target for each, and forwards it to the
// target proxy on that target's host.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "config/header_policy.h"
#include "config/regions.h"
#include "config/settings.h"
#include "control/configuration.h"
#include "control/quota.h"
#include "control/retry_loans.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "node/choice_log.h"
#include "node/hedging_control.h"
#include "node/link_pool.h"
#include "node/pipelining_log.h"
#include "node/placement_log.h"
#include "node/target_locality.h"
#include "node/target_views.h"
#include "observe/event.h"
#include "observe/metrics.h"
#include "policy/balance.h"
#include "policy/departures.h"
#include "policy/drain.h"
#include "policy/hedging.h"
#include "policy/host_stop.h"
#include "policy/membership.h"
#include "policy/response_memory.h"
#include "policy/retry.h"

namespace dandelionridge::node {

class call;

// A target that was chosen for an attempt.
struct chosen_target {
    const config::host_entry* host_ = nullptr;
    const config::target_entry* target_ = nullptr;
    // The target is ejected, but is chosen because too few others are available.
    bool allow_ejected_ = false;
    // The attempt tests a target on trial.
    bool trial_ = false;
    // The target seems to have a slot for the attempt.
    bool free_slot_ = false;
    // Expected duration of the run; zero if unknown.
    base::duration run_duration_{};
    policy::distance distance_ = policy::distance::same_zone;
};

// What a caller proxy depends on. The objects referred to must outlive it.
struct caller_proxy_dependencies {
    net::event_loop& loop_;
    const config::settings& settings_;
    const config::header_policy& headers_;
    const link_identity& identity_;
    const control::configuration& configuration_;
    control::quota_gate& quota_;
    control::retry_loans& retry_loans_;
    link_pool& links_;
    const policy::membership& members_;
    policy::response_memory& response_memory_;
    observe::metrics& metrics_;
    observe::event_log& events_;
    // Called when a nested request, which a target of this host makes while it runs another
    // request, has failed.
    std::function<void()> on_nested_call_failed_;
    // Returns the share, from 0 to 1, of the runs in progress on this host's targets that repeat an
    // earlier attempt.
    std::function<double()> repeat_share_;
};

class caller_proxy final : public control::retry_lender {
public:
    // Starts listening for callers. Returns an error if the listener cannot be created.
    static base::result<std::unique_ptr<caller_proxy>> create(
        caller_proxy_dependencies dependencies);
    caller_proxy(const caller_proxy&) = delete;
    caller_proxy& operator=(const caller_proxy&) = delete;
    ~caller_proxy() override;

    // Begins a planned stop: from now on, closes each caller's connection after its next response,
    // does not choose the targets of this host, and accepts only requests that can end before
    // `respond_by_` of the stop's times.
    void drain(const policy::planned_stop& stop);

    // Stops accepting connections. Requests on open connections are still served.
    void stop_listening();

    // Closes connections that have no open request.
    void close_idle_callers() { server_->close_idle(); }

    // Records whether a host stops, as announced by that host.
    void set_draining(const std::string& host, bool draining);

    // Records that a host refused an attempt because it stops.
    void record_stop_refusal(const std::string& host, bool idempotent);

    // Records a target proxy's report on its target.
    void record_report(const wire::target_report& report);

    // Records that a target reported that it is leaving. `started_ms` is the start of the target in
    // milliseconds since 1970; 0 if unknown. The target is not chosen any more.
    void record_departure(const std::string& target, std::int64_t started_ms);

    // Removes what is known of targets but no longer applies. Called when a host list is in force.
    void expire_stale_targets();

    // Sends a final response to every open request whose response has not started, because the
    // process is about to exit.
    void finish_all_calls();

    bool lend_retry(const std::string& service) override;

    // Returns the number of requests whose response is not yet complete.
    std::size_t open_calls() const { return server_->open_exchanges(); }

    bool listening() const { return listening_; }

    const choice_log& choices() const { return choices_; }
    const pipelining_log& pipelining() const { return pipelining_; }
    const hedging_control& hedging() const { return hedging_; }
    const placement_log& placements() const { return placement_log_; }
    const target_locality& locality() const { return locality_; }

private:
    friend class call;

    explicit caller_proxy(caller_proxy_dependencies dependencies);

    // Sets what the server does with pipelined requests.
    void set_pipelining(net::http_server_options& options);

    // Returns true if a request may start before those ahead of it on its connection are answered.
    bool may_run_ahead(const net::http_request& request) const;

    // Returns the limits on callers' requests, as set by the rules in force.
    net::caller_limits make_caller_limits() const;
    policy::stop_state stop_state_of(const std::string& host) const;
    base::instant stop_valid_until(const std::string& host) const;
    // Returns what is known of a target, as input for choosing the target of a run of that kind.
    policy::candidate make_candidate(const config::host_entry& host,
                                     const config::target_entry& target,
                                     const config::service_rule& service,
                                     policy::run_kind kind) const;

    // Chooses a target of a service that is not in `excluded` and in an allowed region. Returns
    // nothing if there is none, or if the service is unknown.
    std::optional<chosen_target> choose(const std::string& service,
                                        const policy::choice_criteria& criteria,
                                        const std::set<std::string>& excluded,
                                        const config::region_limits& regions);

    // Chooses a target for the copy of a hedged request, which is neither in `excluded` nor on
    // `excluded_host` and is in an allowed region, and charges the copy to the operator's share and
    // to the retry budget. Returns nothing if no copy may be sent.
    std::optional<chosen_target> choose_copy(const std::string& service,
                                             const policy::choice_criteria& criteria,
                                             const std::set<std::string>& excluded,
                                             const std::string& excluded_host,
                                             const config::region_limits& regions,
                                             policy::hedging_context context);

    // Returns true if a request to a service may still begin, which is always so unless this
    // process is stopping.
    bool accepts(const std::string& service, policy::run_kind kind, bool nested) const;

    // Returns true once a planned stop has begun.
    bool draining() const { return drain_.has_value(); }

    // Returns the time by which an accepted request must have ended because this process stops.
    base::instant stop_deadline() const;

    // Returns the time by which a target must have ended its run because this process stops. It is
    // earlier than stop_deadline(), so that the target's own response arrives in time.
    base::instant run_deadline() const;

    // Returns the median of the reported durations of that kind of run; zero if none is known.
    base::duration usual_run_duration(const std::string& service, policy::run_kind kind) const;

    policy::retry_limits retry_limits() const;

    // A service's rule and targets, valid while the present configuration is in force.
    struct listed_service {
        const config::service_rule& rule_;
        std::span<const config::target_index> targets_;
    };

    // Returns what is known of a service's targets, in their order, as input for choosing one for a
    // run of that kind. Those in `excluded` count as tried.
    std::vector<policy::candidate> make_candidates(const listed_service& listed,
                                                   policy::run_kind kind,
                                                   const std::set<std::string>& excluded,
                                                   const config::region_limits& regions) const;

    // Returns a service, or nothing if the rules or the host list do not contain it.
    std::optional<listed_service> find_service(const std::string& service) const;

    // Returns true if the zone of a host is evacuated.
    bool is_evacuated(const config::host_entry& host) const;

    // Returns true if a request with these restrictions may be sent to a host.
    bool is_allowed(const config::region_limits& regions, const config::host_entry& host) const;

    void record_excluded(const listed_service& service, const config::region_limits& regions);

    // Returns a target of a service by its name if it may get a request of that kind now.
    std::optional<chosen_target> find_eligible(const std::string& service,
                                               const std::string& target, policy::run_kind kind,
                                               const config::region_limits& regions) const;

    // Returns true if the retry budget of a service allows another retry.
    bool may_retry(const std::string& service, bool nested);

    // Returns true if the retry budget of a service allows to reserve a retry for a request that
    // tests a target on trial.
    bool may_reserve_retry(const std::string& service);

    // Reserves a retry for a request that tests a target on trial.
    std::unique_ptr<policy::retry_reservation> reserve_retry(const std::string& service);

    // Decides on another attempt for a request to a service, within the service's retry budget.
    policy::retry_decision decide_retry(const std::string& service,
                                        const policy::retry_context& context);

    caller_proxy_dependencies dependencies_;
    base::instant started_at_;
    base::random_engine random_;
    // See policy::retry_limits.
    double retry_rounding_;
    // Memory for pipelined requests and responses that wait for their turn.
    policy::memory_claim pipelining_claim_;
    std::unique_ptr<net::http_server> server_;
    bool listening_ = true;
    std::optional<policy::planned_stop> drain_;
    target_views views_;
    choice_log choices_;
    pipelining_log pipelining_;
    hedging_control hedging_;
    placement_log placement_log_;
    target_locality locality_;
    // Targets that reported that they are leaving.
    policy::departures departures_;
    // Keyed by service name.
    std::unordered_map<std::string, policy::retry_budget> retry_budgets_;
    // Number of requests that wait for the retry budget, keyed by service name.
    std::unordered_map<std::string, std::size_t> budget_waiters_;
    // All calls that exist; each adds and removes itself.
    std::set<call*> calls_;
    // Hosts that announced that they stop; this host itself while it stops.
    std::unordered_map<std::string, policy::host_stop> host_stops_;
};

}  // namespace dandelionridge::node
