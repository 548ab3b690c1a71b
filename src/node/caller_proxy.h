// The entry: answers callers by forwarding their requests to the guards of chosen targets.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "base/random.h"
#include "config/header_policy.h"
#include "config/settings.h"
#include "control/configuration.h"
#include "control/quota.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "node/link_pool.h"
#include "node/target_views.h"
#include "observe/event.h"
#include "observe/metrics.h"
#include "policy/balance.h"
#include "policy/retry.h"

namespace dandelionridge::node {

class call;

// A target that was chosen for an attempt.
struct chosen_target {
    const config::host_entry* host_ = nullptr;
    const config::target_entry* target_ = nullptr;
    // It is ejected, and needed all the same.
    bool allow_ejected_ = false;
    base::duration run_{};
};

// What an entry works with.
struct caller_proxy_dependencies {
    net::event_loop& loop_;
    const config::settings& settings_;
    const config::header_policy& headers_;
    const link_identity& identity_;
    const control::configuration& configuration_;
    control::quota_gate& quota_;
    link_pool& links_;
    observe::metrics& metrics_;
    observe::event_log& events_;
    // A call that this host's target made while it ran a request has failed.
    std::function<void()> on_failed_call_;
    // Part of the runs under way at this host's targets that are repeats.
    std::function<double()> repeat_share_;
};

class caller_proxy {
public:
    static base::result<std::unique_ptr<caller_proxy>> create(caller_proxy_dependencies parts);
    caller_proxy(const caller_proxy&) = delete;
    caller_proxy& operator=(const caller_proxy&) = delete;
    ~caller_proxy();

    // From now on each answer ends its caller's connection, and own targets are not chosen.
    void drain();

    // No new connections from now on. Requests on open ones are served.
    void stop_listening();

    void close_idle_callers() { server_->close_idle(); }

    // A host said whether it takes new attempts.
    void set_draining(const std::string& host, bool draining);

    void record_report(const wire::target_report& report);

    // Drops what is known of targets that told nothing for long.
    void expire_stale_targets();

    // The process ends so soon that requests that come now could not be served to their end. Calls
    // of requests that run here are short, and are taken a little longer.
    void refuse_new_requests(bool nested_too);

    // The process ends soon: every open request gets its final answer now.
    void finish_all_calls();

    // Requests that were not answered to their end.
    std::size_t open_calls() const { return server_->open_exchanges(); }

    bool listening() const { return listening_; }

private:
    friend class call;

    explicit caller_proxy(caller_proxy_dependencies parts);

    net::caller_limits limits() const;
    bool is_draining(const std::string& host) const;
    policy::candidate describe(const config::host_entry& host, const config::target_entry& target,
                               const config::service_rule& service, policy::run_kind kind) const;

    // Chooses a target of a service that is not among those tried.
    std::optional<chosen_target> choose(const std::string& service,
                                        const policy::choice_criteria& criteria,
                                        const std::set<std::string>& tried);

    policy::retry_limits retry_limits() const;

    // True if the budget has room for a retry at a service.
    bool may_retry(const std::string& service, bool nested);

    caller_proxy_dependencies dependencies_;
    base::random_engine random_;
    std::unique_ptr<net::http_server> server_;
    bool listening_ = true;
    bool refuses_new_requests_ = false;
    bool refuses_nested_ = false;
    target_views views_;
    // By service.
    std::unordered_map<std::string, policy::retry_budget> retry_budgets_;
    std::set<call*> calls_;
    // Hosts that said they are draining, and until when that is believed.
    std::unordered_map<std::string, base::instant> draining_;
};

}  // namespace dandelionridge::node
