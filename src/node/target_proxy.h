// The target proxy: all requests to the targets of its host pass through it.
//
// It owns the slots and queues of these targets and the record that makes an attempt run at most
// once, and it checks a request's key a last time before a slot is used.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
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
#include "node/organisation_weights.h"
#include "node/peer_link.h"
#include "node/placement_log.h"
#include "node/response_store.h"
#include "node/run_failure.h"
#include "node/target_activity.h"
#include "node/target_proxy_attempt.h"
#include "observe/event.h"
#include "policy/attempt_ledger.h"
#include "policy/departures.h"
#include "policy/drain.h"
#include "policy/idle_connection.h"
#include "policy/idle_target.h"
#include "policy/lost_link.h"
#include "policy/run_estimate.h"
#include "policy/slot_queue.h"
#include "policy/target_health.h"
#include "policy/target_rate.h"
#include "policy/warmup.h"

namespace dandelionridge::node {

// Counts of attempts and links since the process started.
struct target_proxy_counters {
    std::uint64_t started_ = 0;
    std::uint64_t responses_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t links_refused_ = 0;
    // Attempts during a planned stop: those taken, those that found no free slot, and those for
    // whose run too little time was left.
    std::uint64_t taken_while_stopping_ = 0;
    std::uint64_t busy_while_stopping_ = 0;
    std::uint64_t refused_while_stopping_ = 0;
};

class target_proxy final : public net::frame_socket_events, public target_proxy_attempt_owner {
public:
    // Listens for links on the peer address of the settings. Returns an error if that fails.
    static base::result<std::unique_ptr<target_proxy>> create(
        net::event_loop& loop, const config::settings& settings,
        const config::header_policy& headers, const link_identity& identity,
        const control::configuration& configuration, policy::response_memory& memory,
        net::frame_traffic& traffic, observe::event_log& events, link_listener& listener);
    target_proxy(const target_proxy&) = delete;
    target_proxy& operator=(const target_proxy&) = delete;
    ~target_proxy() override;

    // Begins a planned stop: announces it to every connected caller proxy and from now on takes
    // only attempts that begin at once and end in time. Queued attempts whose runs cannot end in
    // the time of the stop are refused as well, so that their caller proxies choose another target.
    void drain(const policy::planned_stop& stop);

    // Refuses new attempts from now on and announces that. No effect if it was called before.
    void close();

    // Returns the number of attempts that are queued or running or whose response is being sent.
    std::size_t open_attempts() const { return attempts_.size(); }

    // Records the runs and the responses that are cut because the process ends.
    void record_cut_runs() const;

    // Returns true if no link has bytes queued for sending, and all replies to attempts have
    // reached the systems of their caller proxies. What the kernel still holds when the process
    // ends is lost if the peer sends anything after that, such as a ping. A caller proxy that has
    // lost its link with replies on it is given some time to ask for them.
    bool all_delivered() const;

    const target_proxy_counters& counters() const { return counters_; }
    const target_activity& activity() const { return activity_; }
    const placement_log& placements() const { return placement_log_; }
    const organisation_weights& weights() const { return weights_; }

    void on_open(net::frame_socket& socket) override;
    void on_frame(net::frame_socket& socket, wire::frame&& frame) override;
    void on_closed(net::frame_socket& socket, std::string_view cause) override;

    bool send_to_caller_proxy(const target_proxy_attempt& attempt,
                              const wire::frame& frame) override;
    bool has_link(const target_proxy_attempt& attempt) override;
    void on_target_response(const target_proxy_attempt& attempt,
                            const net::http_response& response) override;
    void on_run_ended(target_proxy_attempt& attempt, attempt_result result) override;
    void on_response_sent(target_proxy_attempt& attempt) override;
    void on_response_stalled(target_proxy_attempt& attempt) override;
    void on_slot_released(target_proxy_attempt& attempt) override;
    void on_memory_short(const target_proxy_attempt& attempt) override;
    void on_wait_expired(target_proxy_attempt& attempt) override;
    void on_connection_dropped(const target_proxy_attempt& attempt,
                               base::duration idle_time) override;
    wire::target_report make_report_for(const target_proxy_attempt& attempt) override;

    // Records that a call made by this host's target while it ran a request has failed. The call
    // may be why that request fails, so server errors, timeouts and cancellations of runs that
    // began before the failure are not counted against the target.
    void record_failed_nested_call() { last_failed_call_at_ = loop_.clock().now(); }

    // Called when a new host list or new rules are in force. Refuses the queued attempts that may
    // no longer run here, so that their caller proxies can choose another target.
    void on_configuration_changed();

    // Returns the share, from 0 to 1, of the runs in progress that repeat an earlier attempt of
    // their request; 0 if nothing runs.
    double repeat_share() const;

    // Returns the number of requests per second that this host's targets take together; nothing if
    // none of them names a limit.
    std::optional<double> rate_limit() const;

    // Returns the number of connections to targets opened so far.
    std::uint64_t connections_opened() const;

private:
    // A link from a caller proxy. All fields but the socket are set by the handshake.
    struct connection {
        std::unique_ptr<net::frame_socket> socket_;
        std::string host_;
        std::int64_t caller_proxy_boot_ = 0;
        std::int64_t link_ = 0;
        bool handshake_done_ = false;
        // End of the last reply to an attempt, in the bytes queued on the socket.
        std::uint64_t replies_end_ = 0;
        // When the caller proxy began its last attempt here.
        base::instant last_attempt_at_{};
    };

    // State of the target at one address.
    struct target_state {
        std::string name_;
        std::string service_;
        // Start of the target in milliseconds since 1970; 0 if unknown.
        std::int64_t started_ms_ = 0;
        std::unique_ptr<net::http_client_pool> pool_;
        policy::slot_queue queue_;
        policy::target_health health_;
        // Failed runs since the target was last healthy for certain.
        run_failures failures_;
        policy::run_estimates run_estimates_;
        policy::target_rate rate_;
        policy::warmup warmup_;
        // The target was cold when its state was last recorded.
        bool cold_ = false;
        policy::idle_connection_limit idle_limit_;
        // The last response named a limit that could not be read.
        bool rate_limit_rejected_ = false;
        int in_flight_ = 0;
        int slots_ = 1;
        policy::idle_target idle_state_;
    };

    // Identifies a link across all caller proxies.
    struct link_key {
        std::int64_t caller_proxy_boot_ = 0;
        std::int64_t link_ = 0;

        auto operator<=>(const link_key&) const = default;
    };

    // A lost link with idempotent runs that its caller proxy has not asked for since.
    struct unclaimed_link {
        // Host of the caller proxy.
        std::string host_;
        policy::lost_link loss_;
    };

    target_proxy(net::event_loop& loop, const config::settings& settings,
                 const config::header_policy& headers, const link_identity& identity,
                 const control::configuration& configuration, policy::response_memory& memory,
                 observe::event_log& events, link_listener& listener);

    static control::frame_sender make_reply_sender(const connection& link);
    void on_hello(connection& link, const wire::hello& hello);
    void on_begin(connection& link, wire::attempt_begin&& begin);
    void on_cancel(connection& link, const wire::attempt_cancel& cancel);
    void on_resolve(connection& link, const wire::resolve& request);
    void on_ping(connection& link, const wire::ping& ping);
    std::optional<wire::refusal_reason> rejection_reason(const wire::attempt_begin& begin);
    base::duration expected_run_duration(const wire::attempt_begin& begin) const;
    bool accepts(const wire::attempt_begin& begin) const;
    std::optional<wire::refusal_reason> configuration_rejection_reason(
        const wire::attempt_begin& begin);
    void announce_stop();
    std::optional<wire::refusal_reason> wait_rejection_reason(const wire::attempt_begin& begin);
    std::optional<wire::refusal_reason> target_rejection_reason(
        target_state& target, const policy::waiting_request& waiting,
        const wire::attempt_begin& begin);
    admission_view make_admission_view() const;
    target_state& find_or_add_target(const local_target& found, const std::string& name,
                                     const std::string& service);
    policy::waiting_request make_waiting_request(const target_state& target,
                                                 const wire::attempt_begin& begin);
    void enqueue(const std::string& target_key, policy::ledger_key key,
                 policy::waiting_request waiting, wire::attempt_begin&& begin);
    void dispatch_waiting(const std::string& target_key);
    void start(const std::string& target_key, target_proxy_attempt& attempt);
    void refuse(target_proxy_attempt& attempt, wire::refusal_reason reason);
    static void send_reply(connection& link, const wire::frame& frame);
    void send_refusal(connection& link, const wire::attempt_ref& attempt,
                      wire::refusal_reason reason, const target_state* target,
                      base::duration retry_after);
    void fail(target_proxy_attempt& attempt, wire::failure_reason reason);
    void record_run(target_state& target, const target_proxy_attempt& attempt,
                    attempt_result result);
    bool is_overdue(const target_state& target, const target_proxy_attempt& attempt,
                    int factor) const;
    void record_overdue_runs();
    void record_outcome(target_state& target, policy::run_outcome outcome);
    void record_failure(target_state& target, const target_proxy_attempt& attempt,
                        run_failure_cause cause);
    bool ended_at_deadline(const target_proxy_attempt& attempt) const;
    std::optional<run_failure_cause> failure_of(const target_proxy_attempt& attempt,
                                                attempt_result result) const;
    wire::target_report make_report(const target_state& target) const;
    void record_health_change(const target_state& target);
    void record_departure(const target_state& target);
    void record_rate_limit(target_state& target, const net::http_response& response);
    void on_rate_limit_changed(const target_state& target, const char* source);
    base::duration expected_wait(target_state& target, const policy::waiting_request& waiting);
    void refuse_late(target_state& target);
    void broadcast_report(const target_state& target);
    void send_report(const target_state& target, base::instant used_after);
    bool is_departing(const target_state& target) const;
    bool is_evacuated() const;
    const target_state* find_state(const wire::attempt_begin& begin) const;
    void refuse_unrunnable_waiting();
    void update_warmup(target_state& target, const std::string& service, const local_target& found);
    void update_warmups();
    void record_coldness(target_state& target);
    void refuse_waiting_at(const target_state& target);
    static bool is_warmup_rate(const target_state& target, double limit);
    std::optional<double> reported_limit(const target_state& target) const;
    base::duration limit_wait(target_state& target, std::size_t ahead) const;
    bool may_send_to(target_state& target) const;
    void request_probe_traffic(target_state& target);
    void record_activity();
    void check_targets();
    void finish(target_proxy_attempt& attempt);
    void store_or_destroy(std::unique_ptr<target_proxy_attempt> attempt);
    void remove_from_queue(target_proxy_attempt& attempt);
    void end_link_attempts(const connection& lost);
    static link_key own_link(const policy::ledger_key& key);
    link_key response_link(const policy::ledger_key& key) const;
    void close_earlier_links(const connection& link);
    void set_replaced_at(std::int64_t caller_proxy_boot, std::optional<base::instant> replaced_at);
    void cancel_runs_of_earlier_boots(const connection& link);
    void start_unclaimed_timer();
    void cancel_overdue_runs();
    void cancel_unclaimed_runs(const link_key& key, std::span<const std::int64_t> wanted,
                               const char* cause);
    void reroute_response(const policy::ledger_key& key, const link_key& requesting_link);
    void expire_disconnected_caller_proxies();
    connection* find_link(const link_key& key);
    target_proxy_attempt* find_attempt(const connection& link, const wire::attempt_ref& ref);

    net::event_loop& loop_;
    const config::settings& settings_;
    const config::header_policy& headers_;
    const link_identity& identity_;
    const control::configuration& configuration_;
    policy::response_memory& memory_;
    observe::event_log& events_;
    link_listener& listener_;
    std::unique_ptr<net::frame_server> server_;
    policy::attempt_ledger ledger_;
    std::map<net::frame_socket*, connection> connections_;
    // Open links whose handshake is done.
    std::map<link_key, net::frame_socket*> links_;
    // Maps a lost link to the later link on which responses to its attempts are sent instead.
    std::map<link_key, link_key> successor_links_;
    // Keyed by address.
    std::unordered_map<std::string, target_state> targets_;
    // Open attempts: queued, running, or with a response that is being sent.
    std::map<policy::ledger_key, std::unique_ptr<target_proxy_attempt>> attempts_;
    // Responses to non-idempotent requests, which cannot be had again, and to idempotent ones.
    response_store responses_;
    response_store idempotent_responses_;
    // Queued attempts, keyed by queue ID.
    std::unordered_map<std::uint64_t, policy::ledger_key> waiting_;
    std::uint64_t next_queue_id_ = 1;
    // When each caller proxy last lost a link, keyed by its boot. A caller proxy is removed when it
    // opens a new link, and by the periodic expiry if it has a link open or its records were
    // evicted.
    std::map<std::int64_t, base::instant> disconnected_since_;
    // When a reply to each caller proxy was last lost with its link, keyed by its boot. A caller
    // proxy is removed when it asks for the replies on a new link.
    std::map<std::int64_t, base::instant> replies_lost_at_;
    // A link is removed when its caller proxy asks for its attempts, or is known to want none.
    std::map<link_key, unclaimed_link> unclaimed_links_;
    net::timer unclaimed_timer_;
    net::timer expiry_timer_;
    net::timer check_timer_;
    base::random_engine random_;
    base::instant started_at_;
    // When a call made by this host's target failed last.
    base::instant last_failed_call_at_{};
    // Names of this host's targets that a host list has contained.
    std::set<std::string> previously_listed_;
    // This host's targets that reported that they are leaving.
    policy::departures departures_;
    organisation_weights weights_;
    target_proxy_counters counters_;
    target_activity activity_;
    placement_log placement_log_;
    // The planned stop in progress, if there is one.
    std::optional<policy::planned_stop> stop_;
    // No attempts are taken any more.
    bool closed_ = false;
};

}  // namespace dandelionridge::node
