// The caller proxy's side of the links to one target proxy: opens links, writes attempts on them,
// and queries the status of attempts whose link was lost.
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
#include "policy/link_liveness.h"
#include "policy/sent_attempts.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

// Cause of the loss of a link whose peer does not answer.
inline constexpr std::string_view peer_silent = "silent";

// How a link was lost.
enum class link_loss {
    // The link was closed or broken: the peer most likely lives.
    closed,
    // The peer did not answer.
    silent,
};

// Receives the events of one attempt. on_refused, on_failed, on_not_run, on_unknown and the last
// part of a body are final: no event follows them.
class attempt_events {
public:
    virtual ~attempt_events() = default;

    // The attempt was written to the target proxy's link; its body may be sent.
    virtual void on_written(policy::attempt_id attempt) = 0;
    virtual void on_response_head(const wire::answer_head& head) = 0;
    virtual void on_response_body(const wire::body_part& part) = 0;
    // The target proxy accepts this many more bytes of the request's body.
    virtual void on_credit(std::int32_t bytes) = 0;
    // The target proxy refused the attempt: it did not run.
    virtual void on_refused(const wire::attempt_refused& refusal) = 0;
    // The attempt may have run, and the target proxy has no complete response to it.
    virtual void on_failed(const wire::attempt_failed& failure) = 0;
    // The attempt was never written, or the target proxy has barred it: it did not run and never
    // will.
    virtual void on_not_run() = 0;
    // The attempt was not written before this process was paused. The target may get it anew.
    virtual void on_not_sent() = 0;
    // The link was lost; the status of the attempt will be queried from the target proxy.
    virtual void on_in_doubt(link_loss loss) = 0;
    // The target proxy reported that the attempt runs or has ended: what follows of it comes on the
    // new link. If that is lost as well, the attempt is in doubt again.
    virtual void on_response_expected() = 0;
    // It cannot be determined whether the attempt ran.
    virtual void on_unknown() = 0;
};

// The identity and state that a process reports to its peers on every link.
struct link_identity {
    // Random number that identifies this start of the process.
    std::int64_t boot_ = 0;
    std::string host_;
    std::string zone_;
    // Returns the versions of the configuration in force in this process.
    std::function<wire::config_versions()> versions_;
    // Returns true once this process may serve requests.
    std::function<bool()> ready_to_serve_;
    // Returns the age of the newest evidence that the configuration in force here is current.
    std::function<base::duration()> freshness_age_;
};

// Receives frames that do not belong to an attempt, and reports from the peer.
class link_listener {
public:
    virtual ~link_listener() = default;

    // The peer reported the versions of its configuration. `reply` sends a frame back to it.
    virtual void on_peer_versions(const std::string& peer, const wire::config_versions& versions,
                                  const control::frame_sender& reply) = 0;
    // The peer sent a frame that does not belong to an attempt. `reply` sends a frame back to it.
    virtual void on_control_frame(const std::string& peer, wire::frame&& frame,
                                  const control::frame_sender& reply) = 0;
    // The peer reported whether it is draining.
    virtual void on_peer_draining(const std::string& peer, bool draining) = 0;
    // The peer left a ping or a hello frame sent at `sent_at` unanswered. `link_silent`: the link
    // to it is lost for that reason.
    virtual void on_peer_unanswered(const std::string& peer, base::instant sent_at,
                                    bool link_silent) = 0;
    // A frame of the peer arrived at `heard_at`, which may refute that it does not answer. A boot
    // of 0 is unknown.
    virtual void on_peer_heard(const std::string& peer, std::int64_t boot,
                               base::instant heard_at) = 0;
    // Returns true if other hosts confirm that the peer is silent.
    virtual bool is_reported_silent(const std::string& peer) const = 0;
    // The peer reported on a target of its host.
    virtual void on_target_report(const wire::target_report& report) = 0;
};

// The links to one peer. At most one is open at a time. While a link is needed, a lost one is
// reopened after a delay that grows with each consecutive failure, or at once if it was lost by a
// pause of this process.
class peer_link final : public net::frame_socket_events {
public:
    peer_link(net::event_loop& loop, const link_identity& identity, net::frame_traffic& traffic,
              observe::event_log& events, std::string peer, base::address address,
              link_listener& listener);
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    ~peer_link() override;

    // Writes an attempt as soon as a link is open, or reports on_not_run at once while failing().
    // Fills in the attempt reference and the target proxy's boot in `begin`. `events` must outlive
    // the attempt or cancel it, and may be called from within this call.
    void start(wire::attempt_begin begin, attempt_events& events);

    // Cancels the attempts of that listener: those still pending are dropped, and for those already
    // written the target proxy is sent a cancellation. The listener receives no further events.
    void cancel(attempt_events& events);

    // Makes another listener the receiver of the further events of that listener's attempts.
    void replace_listener(attempt_events& present, attempt_events& next);

    // Sends a part of the request's body, or credit for the response's body, of an attempt that was
    // written. Does nothing if no link is open.
    void send_body(policy::attempt_id attempt, std::string_view bytes, bool last);
    void send_credit(policy::attempt_id attempt, std::int32_t bytes);

    // Sends a frame that does not belong to an attempt, opening a link if necessary. The frame is
    // dropped if the link cannot be opened or too many such frames are pending.
    void send_control(wire::frame frame);

    // Starts to open a link, unless one is open or being opened, or a reconnect is scheduled.
    void open();

    const std::string& peer() const { return peer_; }
    const base::address& address() const { return address_; }
    bool is_open() const { return sent_attempts_.current_link_.has_value(); }

    // Sets whether a link is kept open also while it is not in use.
    void keep_open(bool enabled);

    // Returns true if the peer grants credit for bodies that wait for a slot, as its last welcome
    // says.
    bool grants_body() const { return peer_grants_body_; }

    // Returns true after two or more consecutive lost links or failed connects. start() then fails
    // at once until a link is open.
    bool failing() const { return failures_ > 1; }

    // Returns true if no link is open and several attempts in a row to open one have failed, also
    // where links are opened on demand only.
    bool is_peer_absent() const { return !is_open() && failed_opens_ > 1; }

    // The peer has opened a link to this process and so is reachable: reconnects without waiting
    // for the scheduled time, if a link is to be kept open and none is open or being opened.
    void on_peer_connected();

    // Sends a ping if the link is open and none awaits its answer, so that a silent peer is found
    // before a request is sent to it.
    void check();

    // Sends a frame that needs no reply if the link is open.
    void send_notice(const wire::frame& frame);

    // Returns the time at which the newest frame arrived on a link to the peer.
    base::instant last_heard() const { return last_heard_; }

    // Returns true if the peer left a ping unanswered for a whole interval and has sent nothing
    // since.
    bool suspected() const;

    // Returns true if no link is open although one was needed: an attempt may have to wait.
    bool reconnecting() const { return !is_open() && (failures_ > 0 || socket_ != nullptr); }

    // Returns true if the link need not be kept open, no attempt is outstanding, and nothing was
    // sent or received within the idle timeout.
    bool idle(base::instant now) const;

    void on_open(net::frame_socket& socket) override;
    void on_frame(net::frame_socket& socket, wire::frame&& frame) override;
    void on_closed(net::frame_socket& socket, std::string_view cause) override;

private:
    struct pending_attempt {
        wire::attempt_begin begin_;
        attempt_events* events_ = nullptr;
    };

    void connect();
    void handle_link_lost(std::string_view cause);
    void end_outdated_link();
    void end_pending(bool paused);
    void write(pending_attempt pending);
    void on_welcome(const wire::welcome& welcome);
    void on_resolution(const wire::resolution& resolution);
    void on_resolved(policy::attempt_id attempt, wire::attempt_state state);
    void send_resolve(const policy::resolve_request& request);
    void start_pings();
    void on_ping_due();
    void send_ping(std::uint64_t received_bytes);
    bool check_answer();
    void report_heard();
    void dispatch(wire::frame& frame);
    attempt_events* find_listener(const wire::attempt_ref& ref);
    attempt_events* take_listener(const wire::attempt_ref& ref);
    void send(const wire::frame& frame);
    control::frame_sender make_reply_sender();

    net::event_loop& loop_;
    const link_identity& identity_;
    net::frame_traffic& traffic_;
    observe::event_log& event_log_;
    std::string peer_;
    base::address address_;
    link_listener& listener_;
    policy::sent_attempts sent_attempts_;
    // Listeners of the attempts that were written and are not settled.
    std::map<policy::attempt_id, attempt_events*> attempts_;
    // Attempts and control frames to be written when a link is open.
    std::deque<pending_attempt> pending_;
    std::deque<wire::frame> pending_control_;
    bool peer_grants_body_ = false;
    std::unique_ptr<net::frame_socket> socket_;
    net::timer connect_timer_;
    net::timer ping_timer_;
    net::timer reconnect_timer_;
    // State of the pings on the open link.
    policy::link_liveness liveness_;
    base::instant last_used_{};
    base::instant last_heard_{};
    // When the present connect began, and when the oldest unanswered ping was sent.
    base::instant connect_began_at_{};
    base::instant unanswered_since_{};
    // The peer may be suspected: the listener is to learn of its next frame.
    bool reports_next_frame_ = false;
    // A control frame, to which a reply may be expected, was sent since the last ping: the next
    // ping is due even if no attempt is outstanding.
    bool control_sent_ = false;
    // The next ping is scheduled.
    bool pinging_ = false;
    // Consecutive lost links and failed connects, at most max_reconnect_doublings; 0 if a link is
    // open or none is needed.
    int failures_ = 0;
    // Consecutive failed attempts to open a link.
    int failed_opens_ = 0;
    bool keep_open_ = false;
};

}  // namespace dandelionridge::node
