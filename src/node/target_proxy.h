// The guard: the only way to the targets of its own host.
//
// It owns their slots and queues, the record that makes an attempt run at most once, and the last
// check of a request's key before its slot is used.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/random.h"
#include "config/header_policy.h"
#include "config/host_list.h"
#include "config/settings.h"
#include "control/configuration.h"
#include "net/event_loop.h"
#include "net/frame_socket.h"
#include "node/admission.h"
#include "node/peer_link.h"
#include "node/response_store.h"
#include "node/target_proxy_attempt.h"
#include "observe/event.h"
#include "policy/attempt_ledger.h"
#include "policy/idle_target.h"
#include "policy/run_estimate.h"
#include "policy/slot_queue.h"
#include "policy/target_health.h"

namespace dandelionridge::node {

struct target_proxy_counters {
    std::uint64_t started_ = 0;
    std::uint64_t responses_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t links_refused_ = 0;
};

class target_proxy final : public net::frame_socket_events, public target_proxy_attempt_owner {
public:
    static base::result<std::unique_ptr<target_proxy>> create(
        net::event_loop& loop, const config::settings& settings,
        const config::header_policy& headers, const link_identity& identity,
        const control::configuration& configuration, observe::event_log& events,
        link_listener& listener);
    target_proxy(const target_proxy&) = delete;
    target_proxy& operator=(const target_proxy&) = delete;
    ~target_proxy() override;

    // Tells every entry that no new attempts are taken from now on, and refuses them.
    void drain();

    // Attempts that wait or run.
    std::size_t open_attempts() const { return attempts_.size(); }

    const target_proxy_counters& counters() const { return counters_; }

    void on_open(net::frame_socket& socket) override;
    void on_frame(net::frame_socket& socket, wire::frame&& frame) override;
    void on_closed(net::frame_socket& socket) override;

    void send_to_caller_proxy(const target_proxy_attempt& attempt,
                              const wire::frame& frame) override;
    void on_run_ended(target_proxy_attempt& attempt, attempt_result end) override;
    void on_wait_expired(target_proxy_attempt& attempt) override;
    wire::target_report report_of(const target_proxy_attempt& attempt) override;

    // A call that the host's own target made while it ran a request has failed: the failure of that
    // request is then not the target's.
    void record_failed_call() { last_failed_call_ = loop_.clock().now(); }

    // A new host list or new rules are in force: what waits and may run here no longer is refused,
    // so that its entry can go elsewhere.
    void on_configuration_changed();

    // Part of the runs under way that are repeats.
    double repeat_share() const;

    // Connections to targets opened so far.
    std::uint64_t connections_opened() const;

private:
    // A link as the guard sees it.
    struct connection {
        std::unique_ptr<net::frame_socket> socket_;
        std::string host_;
        std::int64_t caller_proxy_boot_ = 0;
        std::int64_t link_ = 0;
        bool handshake_done_ = false;
    };

    // A target, by its address.
    struct target_state {
        std::string name_;
        std::unique_ptr<net::http_client_pool> pool_;
        policy::slot_queue queue_;
        policy::target_health health_;
        policy::run_estimates runs_;
        int in_flight_ = 0;
        int slots_ = 1;
        policy::idle_target idle_;
    };

    // Names a link across all entries.
    struct link_key {
        std::int64_t caller_proxy_boot_ = 0;
        std::int64_t link_ = 0;

        auto operator<=>(const link_key&) const = default;
    };

    target_proxy(net::event_loop& loop, const config::settings& settings,
                 const config::header_policy& headers, const link_identity& identity,
                 const control::configuration& configuration, observe::event_log& events,
                 link_listener& listener);

    static control::peer_reply reply_on(const connection& link);
    void on_hello(connection& link, const wire::hello& hello);
    void on_begin(connection& link, wire::attempt_begin&& begin);
    void on_cancel(connection& link, const wire::attempt_cancel& cancel);
    void on_resolve(connection& link, const wire::resolve& question);
    void on_ping(connection& link, const wire::ping& ping);
    std::optional<wire::refusal_reason> rejection_reason(const wire::attempt_begin& begin) const;
    std::optional<wire::refusal_reason> run_rejection_reason(
        const wire::attempt_begin& begin) const;
    std::optional<wire::refusal_reason> target_rejection_reason(
        target_state& target, const policy::waiting_request& waiting,
        const wire::attempt_begin& begin);
    admission_view view() const;
    target_state& find_or_add_target(const local_target& found, const std::string& name);
    policy::waiting_request describe(const target_state& target,
                                     const wire::attempt_begin& begin) const;
    void enqueue(const std::string& target, policy::ledger_key key, policy::waiting_request waiting,
                 wire::attempt_begin&& begin);
    void dispatch_waiting(const std::string& target);
    void start(const std::string& target, target_proxy_attempt& attempt);
    void refuse(target_proxy_attempt& attempt, wire::refusal_reason reason);
    void send_refusal(connection& link, const wire::attempt_ref& attempt,
                      wire::refusal_reason reason, const target_state* target,
                      base::duration retry_after);
    void fail(target_proxy_attempt& attempt, wire::failure_reason reason);
    void record_run(target_state& target, const target_proxy_attempt& attempt, attempt_result end);
    bool failed_by_target(const target_proxy_attempt& attempt, attempt_result end) const;
    wire::target_report report(const target_state& target) const;
    void broadcast_report(const target_state& target);
    void request_probe_traffic(target_state& target);
    void check_targets();
    void finish(target_proxy_attempt& attempt);
    void retire(std::unique_ptr<target_proxy_attempt> attempt);
    void remove_from_queue(target_proxy_attempt& attempt);
    void remove_link(link_key key);
    void reroute_response(const policy::ledger_key& key, const link_key& by);
    void expire_disconnected_caller_proxies();
    connection* link_for(const link_key& key);
    target_proxy_attempt* find(const connection& link, const wire::attempt_ref& ref);
    net::event_loop& loop_;
    const config::settings& settings_;
    const config::header_policy& headers_;
    const link_identity& identity_;
    const control::configuration& configuration_;
    observe::event_log& events_;
    link_listener& listener_;
    std::unique_ptr<net::frame_server> server_;
    policy::attempt_ledger ledger_;
    std::map<net::frame_socket*, connection> connections_;
    std::map<link_key, net::frame_socket*> links_;
    // Links that answer for attempts of lost links.
    std::map<link_key, link_key> successor_links_;
    std::unordered_map<std::string, target_state> targets_;
    std::map<policy::ledger_key, std::unique_ptr<target_proxy_attempt>> attempts_;
    response_store responses_;
    std::unordered_map<std::uint64_t, policy::ledger_key> waiting_;
    std::uint64_t next_queue_id_ = 1;
    // Since when an entry has had no link; entries with one are not listed.
    std::map<std::int64_t, base::instant> disconnected_since_;
    net::timer expiry_timer_;
    net::timer check_timer_;
    base::random_engine random_;
    base::instant last_failed_call_{};
    std::set<std::string> previously_listed_;
    target_proxy_counters counters_;
    bool draining_ = false;
};

}  // namespace dandelionridge::node
