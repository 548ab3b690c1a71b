// How the exchanges of one connection are started and ended: their responses are sent in the order
// of the requests, and those that may start ahead do.
#include <utility>

#include "net/server_connection.h"

namespace dandelionridge::net {

namespace {

constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

void server_connection::start(server_exchange& exchange) {
    if (exchange.expects_continue() && !exchange.request_ended()) {
        socket_->send(continue_response);
    }
    ++server_.open_exchanges_;
    exchange.start(server_.factory_);
}

bool server_connection::may_start_ahead(const server_exchange& previous,
                                        const server_exchange& next) const {
    const http_server_options& options = server_.options_;
    return previous.started() && previous.allows_run_ahead() && !previous.closes_connection() &&
           next.request_ended() && !next.has_body() && !next.expects_continue() &&
           policy::may_start_ahead(options.pipeline_limits_, pipeline_state()) &&
           options.may_run_ahead_(next.request());
}

// Starts the requests that need not wait until those before them are answered. Each request waits
// for the start of those before it.
void server_connection::start_ahead() {
    for (std::size_t i = 1; !dropped_ && i < exchanges_.size(); ++i) {
        server_exchange& next = *exchanges_[i];
        if (next.started()) {
            continue;
        }
        if (!may_start_ahead(*exchanges_[i - 1], next)) {
            return;
        }
        server_.options_.on_pipelining_(pipelining_event::run_ahead, 1);
        start(next);
    }
}

void server_connection::on_finished() {
    send_finished();
    read_pending();
}

void server_connection::on_sent(std::size_t bytes) {
    if (dropped_) {
        return;
    }
    if (!exchanges_.empty()) {
        exchanges_.front()->on_sent(bytes);
    }
    on_finished();
}

// Ends the first exchange if its response was written to the socket, and lets the next one write.
void server_connection::send_finished() {
    while (!dropped_ && !refused_ && !exchanges_.empty() && exchanges_.front()->finished() &&
           socket_->unsent() == 0) {
        const server_exchange& first = *exchanges_.front();
        if (!first.request_ended()) {
            // The rest of the request's body is read and discarded.
            update_reading();
            if (first.closes_connection()) {
                linger();
            }
            return;
        }
        if (first.closes_connection()) {
            close_in_order();
            return;
        }
        begin_next();
    }
}

void server_connection::begin_next() {
    // end_last() takes from the end.
    std::deque<std::unique_ptr<server_exchange>> behind;
    while (exchanges_.size() > 1) {
        behind.push_front(std::move(exchanges_.back()));
        exchanges_.pop_back();
    }
    end_last();
    exchanges_ = std::move(behind);
    if (!exchanges_.empty()) {
        server_exchange& first = *exchanges_.front();
        first.move_to_front();
        if (!first.started()) {
            start(first);
        }
        start_ahead();
    } else if (refusal_) {
        send_refusal(*refusal_);
    } else if (reader_ == nullptr) {
        idle_since_ = server_.loop_.clock().now();
        wait_for_request();
    }
    if (!dropped_) {
        update_held_bytes();
    }
}

// Closes the connection after its last response. Closing a connection with unread bytes resets it,
// and the response may be lost, so what a pipelining caller has sent is discarded first.
void server_connection::close_in_order() {
    if (!pipelined_ && !socket_->has_unread()) {
        drop();
        return;
    }
    last_request_read_ = true;
    pending_.clear();
    socket_->end_sending();
    linger();
}

}  // namespace dandelionridge::net
