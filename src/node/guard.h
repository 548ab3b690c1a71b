// The guard: the only way to the targets of its own host.
//
// It owns their slots and queues, the record that makes an attempt run at most once, and the last
// check of a request's key before its slot is used.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "config/host_list.h"
#include "config/settings.h"
#include "control/configuration.h"
#include "net/event_loop.h"
#include "net/frame_socket.h"
#include "node/admission.h"
#include "node/answer_store.h"
#include "node/guard_attempt.h"
#include "node/guard_link.h"
#include "observe/event.h"
#include "policy/fair_queue.h"
#include "policy/guard_ledger.h"

namespace dandelionridge::node {

struct guard_counters {
    std::uint64_t started_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t links_refused_ = 0;
};

class guard final : public net::frame_socket_events, public guard_attempt_owner {
public:
    static base::result<std::unique_ptr<guard>> create(net::event_loop& loop,
                                                       const config::settings& settings,
                                                       const link_identity& identity,
                                                       const control::configuration& configuration,
                                                       observe::event_log& events,
                                                       link_listener& listener);
    guard(const guard&) = delete;
    guard& operator=(const guard&) = delete;
    ~guard() override;

    // Tells every entry that no new attempts are taken from now on, and refuses them.
    void drain();

    // Attempts that wait or run.
    std::size_t open_attempts() const { return attempts_.size(); }

    const guard_counters& counters() const { return counters_; }

    void on_open(net::frame_socket& socket) override;
    void on_frame(net::frame_socket& socket, wire::frame&& frame) override;
    void on_closed(net::frame_socket& socket) override;

    void send_to_entry(const guard_attempt& attempt, const wire::frame& frame) override;
    void on_run_ended(guard_attempt& attempt, attempt_end end) override;
    void on_wait_expired(guard_attempt& attempt) override;

private:
    // A link as the guard sees it.
    struct connection {
        std::unique_ptr<net::frame_socket> socket_;
        std::string host_;
        std::int64_t entry_boot_ = 0;
        std::int64_t link_ = 0;
        bool welcomed_ = false;
    };

    struct target_state {
        policy::fair_queue queue_;
        int in_flight_ = 0;
    };

    // Names a link across all entries.
    struct link_key {
        std::int64_t entry_boot_ = 0;
        std::int64_t link_ = 0;

        auto operator<=>(const link_key&) const = default;
    };

    guard(net::event_loop& loop, const config::settings& settings, const link_identity& identity,
          const control::configuration& configuration, observe::event_log& events,
          link_listener& listener);

    void on_hello(connection& link, const wire::hello& hello);
    void on_begin(connection& link, wire::attempt_begin&& begin);
    void on_cancel(connection& link, const wire::attempt_cancel& cancel);
    void on_resolve(connection& link, const wire::resolve& question);
    void on_ping(connection& link, const wire::ping& ping);
    std::optional<wire::refusal_reason> objection(const wire::attempt_begin& begin) const;
    admission_view view() const;
    void enqueue(policy::ledger_key key, wire::attempt_begin&& begin);
    void pump(const std::string& target);
    void start(guard_attempt& attempt);
    void refuse(guard_attempt& attempt, wire::refusal_reason reason);
    void send_refusal(connection& link, const wire::attempt_ref& attempt,
                      wire::refusal_reason reason);
    void finish(guard_attempt& attempt);
    void retire(std::unique_ptr<guard_attempt> attempt);
    void leave_queue(guard_attempt& attempt);
    void drop_link(link_key key);
    void follow(const policy::ledger_key& key, const link_key& by);
    void forget_gone_entries();
    connection* link_for(const link_key& key);
    guard_attempt* find(const connection& link, const wire::attempt_ref& ref);
    const std::vector<std::string>& headers_for(const std::string& service);

    net::event_loop& loop_;
    const config::settings& settings_;
    const link_identity& identity_;
    const control::configuration& configuration_;
    observe::event_log& events_;
    link_listener& listener_;
    std::unique_ptr<net::frame_server> server_;
    policy::guard_ledger ledger_;
    std::map<net::frame_socket*, connection> connections_;
    std::map<link_key, net::frame_socket*> links_;
    // Links that answer for attempts of lost links.
    std::map<link_key, link_key> followed_by_;
    std::map<policy::ledger_key, std::unique_ptr<guard_attempt>> attempts_;
    answer_store answers_;
    std::unordered_map<std::string, target_state> targets_;
    std::unordered_map<std::uint64_t, policy::ledger_key> waiting_;
    std::unordered_map<std::string, std::vector<std::string>> answer_headers_;
    std::uint64_t next_queue_id_ = 1;
    // Since when an entry has had no link; entries with one are not listed.
    std::map<std::int64_t, base::instant> gone_since_;
    net::timer forget_timer_;
    guard_counters counters_;
    bool draining_ = false;
};

}  // namespace dandelionridge::node
