// The entry: answers callers by forwarding their requests to the guards of chosen targets.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "base/random.h"
#include "config/settings.h"
#include "control/configuration.h"
#include "control/quota.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "node/link_pool.h"
#include "observe/metrics.h"
#include "policy/retry.h"

namespace dandelionridge::node {

class call;

// A target that was chosen for an attempt.
struct chosen_target {
    const config::host_entry* host_ = nullptr;
    const config::target_entry* target_ = nullptr;
};

class entry {
public:
    static base::result<std::unique_ptr<entry>> create(net::event_loop& loop,
                                                       const config::settings& settings,
                                                       const link_identity& identity,
                                                       const control::configuration& configuration,
                                                       control::quota_gate& quota, link_pool& links,
                                                       observe::metrics& metrics);
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;
    ~entry();

    // From now on each answer ends its caller's connection, and own targets are not chosen.
    void drain();

    // No new connections, and no new requests on those that are open.
    void stop_taking();

    void close_idle_callers() { server_->close_idle(); }

    // A host said that it takes no new attempts.
    void set_draining(const std::string& host);

    // Requests that were not answered to their end.
    std::size_t open_calls() const { return server_->open_exchanges(); }

    bool taking() const { return taking_; }

private:
    friend class call;

    entry(net::event_loop& loop, const config::settings& settings, const link_identity& identity,
          const control::configuration& configuration, control::quota_gate& quota, link_pool& links,
          observe::metrics& metrics);

    const std::vector<std::string>& wanted_headers();
    bool is_draining(const std::string& host) const;

    // Chooses a target of a service that is not among those tried.
    std::optional<chosen_target> choose(const std::string& service,
                                        const std::set<std::string>& tried);

    net::event_loop& loop_;
    const config::settings& settings_;
    const link_identity& identity_;
    const control::configuration& configuration_;
    control::quota_gate& quota_;
    link_pool& links_;
    observe::metrics& metrics_;
    base::random_engine random_;
    std::unique_ptr<net::http_server> server_;
    bool taking_ = true;
    std::vector<std::string> headers_;
    // The rules that headers_ was made for.
    config::rules_ptr headers_for_;
    policy::retry_budget retries_;
    // Attempts of this entry by target.
    std::unordered_map<std::string, int> in_flight_;
    // Hosts that said they are draining, and until when that is believed.
    std::unordered_map<std::string, base::instant> draining_;
};

}  // namespace dandelionridge::node
