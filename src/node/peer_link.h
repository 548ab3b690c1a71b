// The entry's side of the links to one guard: opens them, writes attempts on them, and finds out
// what became of attempts whose link was lost.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/clock.h"
#include "control/peer_sender.h"
#include "net/event_loop.h"
#include "net/frame_socket.h"
#include "observe/event.h"
#include "policy/sent_attempts.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

// Hears what becomes of one attempt. After on_refused, on_failed, on_not_run, on_unknown, or the
// last part of a body nothing more follows.
class attempt_events {
public:
    virtual ~attempt_events() = default;

    // The attempt was written to the guard's link; its body may be sent.
    virtual void on_written(policy::attempt_id attempt) = 0;
    virtual void on_response_head(const wire::answer_head& head) = 0;
    virtual void on_response_body(const wire::body_part& part) = 0;
    virtual void on_credit(std::int32_t bytes) = 0;
    // The guard refused it: it did not run.
    virtual void on_refused(const wire::attempt_refused& refusal) = 0;
    // The guard lost the answer: it may have run.
    virtual void on_failed(const wire::attempt_failed& failure) = 0;
    // It was never written, or the guard has barred it: it did not run and never will.
    virtual void on_not_run() = 0;
    // The link was lost; the guard is being asked.
    virtual void on_in_doubt() = 0;
    // Nobody can tell whether it ran.
    virtual void on_unknown() = 0;
};

// What a node tells its peers on every link.
struct link_identity {
    std::int64_t boot_ = 0;
    std::string host_;
    std::string zone_;
    std::function<wire::config_versions()> versions_;
    // True once this process may serve.
    std::function<bool()> ready_to_serve_;
    // Age of the newest evidence that the configuration in force here is current.
    std::function<base::duration()> freshness_age_;
};

// Frames that concern no attempt, and news of the peer.
class link_listener {
public:
    virtual ~link_listener() = default;

    virtual void on_peer_versions(const std::string& peer, const wire::config_versions& seen,
                                  const control::peer_reply& reply) = 0;
    virtual void on_control_frame(const std::string& peer, wire::frame&& frame,
                                  const control::peer_reply& reply) = 0;
    virtual void on_peer_draining(const std::string& peer, bool draining) = 0;
    virtual void on_target_report(const wire::target_report& report) = 0;
};

// Links to one peer. At most one is open at a time.
class peer_link final : public net::frame_socket_events {
public:
    peer_link(net::event_loop& loop, const link_identity& identity, observe::event_log& events,
              std::string peer, base::address where, link_listener& listener);
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    ~peer_link() override;

    // Writes an attempt as soon as a link is open. `begin` lacks its reference and the guard's
    // boot, which are filled in. `events` must outlive the attempt or withdraw it, and may be
    // called from within this call.
    void start(wire::attempt_begin begin, attempt_events& events);

    // Nobody listens any more: the guard is told to cancel the attempt.
    void withdraw(attempt_events& events);

    void send_body(policy::attempt_id attempt, std::string_view bytes, bool last);
    void send_credit(policy::attempt_id attempt, std::int32_t bytes);

    // Sends a frame that concerns no attempt, opening a link if need be.
    void send_control(wire::frame frame);

    // Opens a link if there is none.
    void open();

    const std::string& peer() const { return peer_; }
    const base::address& address() const { return address_; }
    bool is_open() const { return state_.current_link_.has_value(); }

    // Keeps a link open from now on, or no longer.
    void keep_open(bool kept);

    // The peer has shown that it is there: a link that waits to be opened is opened now.
    void reconnect_now();

    // True if the last openings failed: attempts are turned away at once until one succeeds.
    bool failing() const { return failures_ > 1; }

    // True if no link is open, though one was wanted: an attempt may have to wait.
    bool reconnecting() const { return !is_open() && (failures_ > 0 || socket_ != nullptr); }

    // True if nothing is outstanding and nothing was sent or received for a while.
    bool idle(base::instant now) const;

    void on_open(net::frame_socket& socket) override;
    void on_frame(net::frame_socket& socket, wire::frame&& frame) override;
    void on_closed(net::frame_socket& socket) override;

private:
    struct pending_start {
        wire::attempt_begin begin_;
        attempt_events* events_ = nullptr;
    };

    void connect();
    void handle_link_lost(const char* cause);
    void fail_pending();
    void write(pending_start start);
    void on_welcome(const wire::welcome& welcome);
    void on_resolution(const wire::resolution& resolution);
    void on_resolved(policy::attempt_id attempt, wire::attempt_state state);
    void send_resolve(const policy::resolve_request& question);
    void schedule_ping();
    void on_ping_due();
    void dispatch(wire::frame& frame);
    attempt_events* find(const wire::attempt_ref& ref);
    attempt_events* take_listener(const wire::attempt_ref& ref);
    void send(const wire::frame& frame);
    control::peer_reply reply();

    net::event_loop& loop_;
    const link_identity& identity_;
    observe::event_log& event_log_;
    std::string peer_;
    base::address address_;
    link_listener& listener_;
    policy::sent_attempts state_;
    std::map<policy::attempt_id, attempt_events*> attempts_;
    std::deque<pending_start> pending_;
    std::deque<wire::frame> pending_control_;
    std::unique_ptr<net::frame_socket> socket_;
    std::string peer_host_;
    net::timer connect_timer_;
    net::timer ping_timer_;
    net::timer retry_timer_;
    std::int64_t ping_nonce_ = 0;
    std::int64_t pong_nonce_ = 0;
    base::instant last_used_{};
    // Something that asks for an answer was sent since the last ping.
    bool control_sent_ = false;
    int failures_ = 0;
    bool keep_open_ = false;
};

}  // namespace dandelionridge::node
