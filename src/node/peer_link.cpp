#include "node/peer_link.h"

#include <algorithm>
#include <utility>

#include "node/wire_attempt.h"

namespace dandelionridge::node {

namespace {

// Maximum time from the start of connecting to the peer's welcome frame.
constexpr base::duration connect_timeout = base::milliseconds(400);
constexpr base::duration idle_timeout = base::seconds(30);
// The delay before a reconnect is this, doubled once for each consecutive failure, but at most
// max_reconnect_doublings times.
constexpr base::duration base_reconnect_delay = base::milliseconds(50);
constexpr int max_reconnect_doublings = 3;

std::string to_text(policy::attempt_id attempt) {
    return std::to_string(attempt.link_) + "/" + std::to_string(attempt.sequence_);
}

const char* to_text(wire::attempt_state state) {
    switch (state) {
        case wire::attempt_state::not_run:
            return "not_run";
        case wire::attempt_state::running:
            return "running";
        case wire::attempt_state::done:
            return "done";
        case wire::attempt_state::unknown:
            break;
    }
    return "unknown";
}

}  // namespace

peer_link::peer_link(net::event_loop& loop, const link_identity& identity,
                     net::frame_traffic& traffic, observe::event_log& events, std::string peer,
                     base::address address, link_listener& listener)
    : loop_(loop),
      identity_(identity),
      traffic_(traffic),
      event_log_(events),
      peer_(std::move(peer)),
      address_(std::move(address)),
      listener_(listener),
      connect_timer_(loop),
      ping_timer_(loop),
      reconnect_timer_(loop),
      last_used_(loop.clock().now()) {}

peer_link::~peer_link() = default;

void peer_link::start(wire::attempt_begin begin, attempt_events& events) {
    last_used_ = loop_.clock().now();
    end_outdated_link();
    pending_attempt pending{std::move(begin), &events};
    if (is_open()) {
        write(std::move(pending));
        return;
    }
    if (failing()) {
        pending.events_->on_not_run();
        return;
    }
    pending_.push_back(std::move(pending));
    open();
}

void peer_link::cancel(attempt_events& events) {
    std::erase_if(pending_,
                  [&](const pending_attempt& pending) { return pending.events_ == &events; });
    for (auto it = attempts_.begin(); it != attempts_.end();) {
        if (it->second != &events) {
            ++it;
            continue;
        }
        const policy::attempt_id attempt = it->first;
        it = attempts_.erase(it);
        policy::settle_attempt(sent_attempts_, attempt);
        wire::frame frame;
        frame.__isset.cancel_ = true;
        frame.cancel_.attempt = to_wire(attempt);
        send(frame);
    }
}

void peer_link::replace_listener(attempt_events& present, attempt_events& next) {
    for (pending_attempt& pending : pending_) {
        if (pending.events_ == &present) {
            pending.events_ = &next;
        }
    }
    for (auto& [attempt, listener] : attempts_) {
        if (listener == &present) {
            listener = &next;
        }
    }
}

void peer_link::send_body(policy::attempt_id attempt, std::string_view bytes, bool last) {
    wire::frame frame;
    frame.__isset.body_ = true;
    frame.body_.attempt = to_wire(attempt);
    frame.body_.bytes.assign(bytes);
    frame.body_.last = last;
    frame.body_.whole = true;
    send(frame);
}

void peer_link::send_credit(policy::attempt_id attempt, std::int32_t bytes) {
    wire::frame frame;
    frame.__isset.credit_ = true;
    frame.credit_.attempt = to_wire(attempt);
    frame.credit_.bytes = bytes;
    send(frame);
}

void peer_link::send_control(wire::frame frame) {
    last_used_ = loop_.clock().now();
    end_outdated_link();
    control_sent_ = true;
    if (is_open()) {
        send(frame);
        start_pings();
        return;
    }
    constexpr std::size_t max_pending_frames = 64;
    if (pending_control_.size() < max_pending_frames) {
        pending_control_.push_back(std::move(frame));
    }
    open();
}

void peer_link::open() {
    if (socket_ == nullptr && failures_ == 0) {
        connect();
    }
}

void peer_link::keep_open(bool enabled) {
    keep_open_ = enabled;
    if (enabled) {
        open();
    }
}

void peer_link::on_peer_connected() {
    failed_opens_ = 0;
    if (socket_ == nullptr && failures_ > 0 && keep_open_) {
        reconnect_timer_.cancel();
        connect();
    }
}

bool peer_link::idle(base::instant now) const {
    return !keep_open_ && attempts_.empty() && pending_.empty() && now - last_used_ > idle_timeout;
}

void peer_link::connect() {
    policy::allocate_link_number(sent_attempts_);
    socket_ = net::frame_socket::connect(loop_, address_, *this, traffic_);
    connect_began_at_ = loop_.clock().now();
    connect_timer_.start(connect_timeout, [this] {
        const bool paused = socket_->is_outdated();
        handle_link_lost(paused ? net::closed_by_pause
                                : "no welcome frame within the connect timeout");
        if (!paused) {
            listener_.on_peer_unanswered(peer_, connect_began_at_, false);
        }
    });
}

void peer_link::on_open(net::frame_socket& socket) {
    wire::frame frame;
    frame.__isset.hello_ = true;
    frame.hello_.boot = identity_.boot_;
    frame.hello_.link = sent_attempts_.last_link_;
    frame.hello_.host = identity_.host_;
    frame.hello_.zone = identity_.zone_;
    frame.hello_.versions = identity_.versions_();
    socket.send(frame);
}

void peer_link::on_closed(net::frame_socket& /*socket*/, std::string_view cause) {
    handle_link_lost(cause);
}

// Closes the lost link and reports its attempts as in doubt. Schedules a new link, on which their
// status is queried.
void peer_link::handle_link_lost(std::string_view cause) {
    const bool was_open = is_open();
    connect_timer_.cancel();
    ping_timer_.cancel();
    pinging_ = false;
    std::unique_ptr<net::frame_socket> lost_socket = std::move(socket_);
    if (lost_socket != nullptr) {
        lost_socket->close();
        // Destroyed later, because the socket's own callbacks may be on the stack.
        loop_.defer([owned = std::shared_ptr<net::frame_socket>(std::move(lost_socket))] {});
    }
    const std::vector<policy::attempt_id> in_doubt = policy::mark_link_lost(sent_attempts_);
    if (was_open) {
        event_log_.record(loop_.clock().wall_ms(), "link_lost",
                          {{"peer", peer_},
                           {"link", std::to_string(sent_attempts_.last_link_)},
                           {"in_doubt", std::to_string(in_doubt.size())},
                           {"cause", std::string(cause)}});
    } else {
        if (failures_ == 0) {
            event_log_.record(loop_.clock().wall_ms(), "link_failed",
                              {{"peer", peer_}, {"cause", std::string(cause)}});
        }
        end_pending(cause == net::closed_by_pause);
    }
    const link_loss loss = cause == peer_silent ? link_loss::silent : link_loss::closed;
    for (const policy::attempt_id attempt : in_doubt) {
        const auto found = attempts_.find(attempt);
        if (found != attempts_.end()) {
            found->second->on_in_doubt(loss);
        }
    }
    // A pause of this process says nothing about the peer.
    const bool peer_failed = cause != net::closed_by_pause;
    failures_ = peer_failed ? std::min(failures_ + 1, max_reconnect_doublings) : 0;
    if (!was_open) {
        failed_opens_ = peer_failed ? failed_opens_ + 1 : 0;
    }
    const base::duration delay =
        peer_failed ? base_reconnect_delay * (1 << failures_) : base::duration::zero();
    reconnect_timer_.start(delay, [this] {
        const bool needed = keep_open_ || !sent_attempts_.unsettled_.empty() || !pending_.empty();
        if (needed && socket_ == nullptr) {
            connect();
        }
        if (!needed) {
            failures_ = 0;
        }
    });
}

// Ends the link if it was open during a pause of this process: it is about to be closed, and what
// is sent on it would be lost.
void peer_link::end_outdated_link() {
    if (socket_ != nullptr && socket_->is_outdated()) {
        handle_link_lost(net::closed_by_pause);
    }
}

// Ends the attempts that were never written to a link: they did not run. After a pause of this
// process they are outdated, but the peer may get them anew.
void peer_link::end_pending(bool paused) {
    const std::deque<pending_attempt> ended = std::exchange(pending_, {});
    pending_control_.clear();
    for (const pending_attempt& pending : ended) {
        if (paused) {
            pending.events_->on_not_sent();
        } else {
            pending.events_->on_not_run();
        }
    }
}

void peer_link::write(pending_attempt pending) {
    const auto attempt = policy::register_attempt(sent_attempts_);
    wire::frame frame;
    frame.__isset.begin_ = true;
    frame.begin_ = std::move(pending.begin_);
    frame.begin_.attempt = to_wire(*attempt);
    if (!peer_grants_body_) {
        frame.begin_.__isset.body_waits = false;
    }
    frame.begin_.guard_boot = sent_attempts_.current_link_->target_proxy_boot_;
    attempts_.emplace(*attempt, pending.events_);
    send(frame);
    start_pings();
    pending.events_->on_written(*attempt);
}

void peer_link::on_frame(net::frame_socket& socket, wire::frame&& frame) {
    if (&socket != socket_.get()) {
        return;
    }
    last_heard_ = loop_.clock().now();
    if (frame.__isset.welcome_) {
        on_welcome(frame.welcome_);
        return;
    }
    if (!is_open()) {
        return;
    }
    if (reports_next_frame_) {
        report_heard();
    }
    dispatch(frame);
}

void peer_link::report_heard() {
    reports_next_frame_ = false;
    listener_.on_peer_heard(peer_, sent_attempts_.current_link_->target_proxy_boot_, last_heard_);
}

void peer_link::on_welcome(const wire::welcome& welcome) {
    if (is_open()) {
        return;
    }
    if (!welcome.accepted || welcome.host != peer_) {
        handle_link_lost("link refused by the peer, or another host replies at this address");
        return;
    }
    connect_timer_.cancel();
    failures_ = 0;
    failed_opens_ = 0;
    liveness_ = {};
    pinging_ = false;
    peer_grants_body_ = welcome.__isset.grants_body && welcome.grants_body;
    const policy::link_opening opening = policy::confirm_link(sent_attempts_, welcome.boot);
    for (const policy::resolve_request& request : opening.resolve_requests_) {
        send_resolve(request);
    }
    std::vector<attempt_events*> unknown_listeners;
    for (const policy::attempt_id attempt : opening.unknown_) {
        const auto found = attempts_.find(attempt);
        if (found != attempts_.end()) {
            unknown_listeners.push_back(found->second);
            attempts_.erase(found);
        }
    }
    for (const wire::frame& control_frame : std::exchange(pending_control_, {})) {
        send(control_frame);
    }
    for (pending_attempt& pending : std::exchange(pending_, {})) {
        write(std::move(pending));
    }
    // Queries of attempts on lost links may be outstanding.
    start_pings();
    for (attempt_events* listener : unknown_listeners) {
        listener->on_unknown();
    }
    report_heard();
    listener_.on_peer_draining(peer_, welcome.draining);
    if (welcome.__isset.report) {
        listener_.on_target_report(welcome.report);
    }
    listener_.on_peer_versions(peer_, welcome.versions, make_reply_sender());
}

control::frame_sender peer_link::make_reply_sender() {
    return [this](const wire::frame& frame) { send(frame); };
}

void peer_link::send_resolve(const policy::resolve_request& request) {
    wire::frame frame;
    frame.__isset.resolve_ = true;
    frame.resolve_.link = request.link_;
    frame.resolve_.guard_boot = request.target_proxy_boot_;
    frame.resolve_.sequences = request.sequences_;
    send(frame);
}

void peer_link::on_resolution(const wire::resolution& resolution) {
    for (const wire::resolved_attempt& resolved : resolution.attempts) {
        on_resolved({resolution.link, resolved.sequence}, resolved.state);
    }
}

void peer_link::on_resolved(policy::attempt_id attempt, wire::attempt_state state) {
    event_log_.record(loop_.clock().wall_ms(), "attempt_resolved",
                      {{"peer", peer_}, {"attempt", to_text(attempt)}, {"fate", to_text(state)}});
    const bool settled =
        state == wire::attempt_state::not_run || state == wire::attempt_state::unknown;
    if (!settled) {
        policy::record_response_expected(sent_attempts_, attempt);
        if (attempt_events* listener = find_listener(to_wire(attempt))) {
            listener->on_response_expected();
        }
        return;
    }
    attempt_events* listener = take_listener(to_wire(attempt));
    if (listener == nullptr) {
        return;
    }
    if (state == wire::attempt_state::not_run) {
        listener->on_not_run();
    } else {
        listener->on_unknown();
    }
}

attempt_events* peer_link::find_listener(const wire::attempt_ref& ref) {
    const auto found = attempts_.find(from_wire(ref));
    return found == attempts_.end() ? nullptr : found->second;
}

attempt_events* peer_link::take_listener(const wire::attempt_ref& ref) {
    attempt_events* listener = find_listener(ref);
    attempts_.erase(from_wire(ref));
    policy::settle_attempt(sent_attempts_, from_wire(ref));
    return listener;
}

void peer_link::dispatch(wire::frame& frame) {
    last_used_ = loop_.clock().now();
    if (frame.__isset.head_) {
        if (attempt_events* listener = find_listener(frame.head_.attempt)) {
            listener->on_response_head(frame.head_);
        }
    } else if (frame.__isset.body_) {
        attempt_events* listener = frame.body_.last ? take_listener(frame.body_.attempt)
                                                    : find_listener(frame.body_.attempt);
        if (listener != nullptr) {
            listener->on_response_body(frame.body_);
        }
    } else if (frame.__isset.credit_) {
        if (attempt_events* listener = find_listener(frame.credit_.attempt)) {
            listener->on_credit(frame.credit_.bytes);
        }
    } else if (frame.__isset.refused_) {
        if (attempt_events* listener = take_listener(frame.refused_.attempt)) {
            listener->on_refused(frame.refused_);
        }
    } else if (frame.__isset.failed_) {
        if (attempt_events* listener = take_listener(frame.failed_.attempt)) {
            listener->on_failed(frame.failed_);
        }
    } else if (frame.__isset.resolution_) {
        on_resolution(frame.resolution_);
    } else if (frame.__isset.pong_) {
        policy::record_pong(liveness_, frame.pong_.nonce);
        if (frame.pong_.__isset.report) {
            listener_.on_target_report(frame.pong_.report);
        }
        listener_.on_peer_versions(peer_, frame.pong_.versions, make_reply_sender());
    } else if (frame.__isset.drain_) {
        listener_.on_peer_draining(peer_, true);
    } else if (frame.__isset.report_) {
        if (frame.report_.idle) {
            policy::disregard_received(liveness_, socket_->bytes_received());
        }
        listener_.on_target_report(frame.report_);
    } else {
        listener_.on_control_frame(peer_, std::move(frame), make_reply_sender());
    }
}

void peer_link::send(const wire::frame& frame) {
    if (socket_ != nullptr && is_open()) {
        socket_->send(frame);
    }
}

}  // namespace dandelionridge::node
