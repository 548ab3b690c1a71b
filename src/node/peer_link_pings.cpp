// How a link pings its peer and finds it silent.
#include "node/peer_link.h"

namespace dandelionridge::node {

namespace {

constexpr base::duration ping_interval = base::milliseconds(300);
// Time from the first frame to which the peer owes a reply to the first ping.
constexpr base::duration first_ping_delay = ping_interval / 2;

}  // namespace

// Starts the pings if the peer owes a reply and they have not been started. A link on which nothing
// is outstanding costs no timer.
void peer_link::start_pings() {
    if (is_open() && !pinging_) {
        pinging_ = true;
        ping_timer_.start(first_ping_delay, [this] { on_ping_due(); });
    }
}

void peer_link::check() {
    end_outdated_link();
    if (!is_open()) {
        return;
    }
    reports_next_frame_ = true;
    if (!policy::awaits_pong(liveness_)) {
        pinging_ = true;
        send_ping(socket_->bytes_received());
    }
}

void peer_link::send_notice(const wire::frame& frame) {
    end_outdated_link();
    send(frame);
}

bool peer_link::suspected() const {
    return is_open() && policy::is_suspected(liveness_, socket_->bytes_received());
}

void peer_link::on_ping_due() {
    if (socket_->is_outdated()) {
        handle_link_lost(net::closed_by_pause);
        return;
    }
    const std::uint64_t received_bytes = socket_->bytes_received();
    policy::record_received(liveness_, received_bytes);
    if (reports_next_frame_ && !policy::awaits_pong(liveness_)) {
        // A part of a frame has arrived.
        last_heard_ = loop_.clock().now();
        report_heard();
    }
    if (policy::awaits_pong(liveness_) && !check_answer()) {
        return;
    }
    if (attempts_.empty() && !control_sent_ && !policy::awaits_pong(liveness_)) {
        pinging_ = false;
        return;
    }
    control_sent_ = false;
    send_ping(received_bytes);
}

// Reports that a ping was unanswered for a whole interval. Returns false if the link is lost: the
// peer left several unanswered, or others have found it silent as well.
bool peer_link::check_answer() {
    const bool link_silent = policy::is_silent(liveness_);
    const base::instant sent_at = unanswered_since_;
    reports_next_frame_ = true;
    listener_.on_peer_unanswered(peer_, sent_at, link_silent);
    if (!is_open()) {
        return false;
    }
    if (link_silent || listener_.is_reported_silent(peer_)) {
        handle_link_lost(peer_silent);
        return false;
    }
    return true;
}

void peer_link::send_ping(std::uint64_t received_bytes) {
    if (!policy::awaits_pong(liveness_)) {
        unanswered_since_ = loop_.clock().now();
    }
    wire::frame frame;
    frame.__isset.ping_ = true;
    frame.ping_.nonce = policy::record_ping(liveness_, received_bytes);
    frame.ping_.versions = identity_.versions_();
    send(frame);
    ping_timer_.start(ping_interval, [this] { on_ping_due(); });
}

}  // namespace dandelionridge::node
