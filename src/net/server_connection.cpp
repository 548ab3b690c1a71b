#include "net/server_connection.h"

#include <algorithm>
#include <utility>

#include "net/http_writer.h"

namespace dandelionridge::net {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_head_too_large = 431;

// Bytes of the next request that are buffered until the response to the current one is sent. With
// more of them the connection is not read.
constexpr std::size_t max_pending_bytes = 128 * 1024;

// Time for which the rest of a request is read and discarded before its connection is closed:
// closing a connection with unread bytes resets it, and the response may be lost.
constexpr base::duration linger_time = base::seconds(1);

constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

server_connection::server_connection(http_server& server, std::unique_ptr<byte_socket> socket)
    : server_(server), socket_(std::move(socket)), timer_(server.loop_) {
    begin_exchange();
}

server_connection::~server_connection() {
    if (handler_ != nullptr) {
        --server_.open_exchanges_;
    }
}

// Waits for the next request. Nothing of the exchange that has ended acts on the new one.
void server_connection::begin_exchange() {
    resume_body();
    exchange_ = {};
    reader_.reset();
    idle_since_ = server_.loop_.clock().now();
    wait_for_request();
}

void server_connection::wait_for_request() {
    const base::instant idle_until = idle_since_ + server_.options_.limits_().idle_timeout_;
    timer_.start(idle_until - server_.loop_.clock().now(), [this] { on_idle_timeout(); });
}

// Closes the connection, unless its next request has arrived or the idle timeout was raised.
void server_connection::on_idle_timeout() {
    const base::instant now = server_.loop_.clock().now();
    if (socket_->has_unread()) {
        idle_since_ = now;
    }
    if (idle_since_ + server_.options_.limits_().idle_timeout_ > now) {
        wait_for_request();
        return;
    }
    drop();
}

// Begins to read a request, with the limits in force.
void server_connection::begin_request() {
    const caller_limits limits = server_.options_.limits_();
    reader_ = make_request_reader(*this, {limits.head_bytes_, limits.body_bytes_});
    timer_.start(limits.head_timeout_,
                 [this] { refuse(status_timeout, "the head of the request took too long"); });
}

void server_connection::drop() {
    if (dropped_) {
        return;
    }
    dropped_ = true;
    timer_.cancel();
    socket_->close();
    end_exchange();
    server_.remove_connection(*this);
}

// Destroys the handler later, since its callbacks may be on the stack.
void server_connection::end_exchange() {
    if (handler_ != nullptr) {
        --server_.open_exchanges_;
        server_.loop_.defer([ended = std::shared_ptr<http_handler>(std::move(handler_))] {});
    }
}

void server_connection::on_bytes(std::string_view bytes) {
    if (dropped_ || refused_) {
        return;
    }
    pending_.append(bytes);
    if (pending_.size() > max_pending_bytes && exchange_.body_ended_) {
        socket_->pause();
        return;
    }
    read_pending();
}

// Reads the buffered bytes up to the end of the current request.
void server_connection::read_pending() {
    if (pending_.empty() || exchange_.body_ended_) {
        return;
    }
    if (reader_ == nullptr) {
        begin_request();
    }
    const std::string bytes = std::exchange(pending_, {});
    const std::size_t used = reader_->read(bytes);
    pending_ = bytes.substr(used) + pending_;
    handle_reader_state();
}

void server_connection::handle_reader_state() {
    if (dropped_ || refused_) {
        return;
    }
    switch (reader_->state()) {
        case read_state::incomplete:
            return;
        case read_state::done:
            exchange_.body_ended_ = true;
            if (exchange_.has_body_ && handler_ != nullptr) {
                handler_->on_body_end();
            }
            if (exchange_.finished_ && !dropped_) {
                finish();
            }
            return;
        case read_state::malformed:
            refuse(status_bad_request, "the request cannot be read");
            return;
        case read_state::head_too_large:
            refuse(status_head_too_large, "the head of the request is too large");
            return;
        case read_state::body_too_large:
            refuse(status_body_too_large, "the body of the request is too large");
            return;
    }
}

// Sends an error response, after which the caller closes the connection. What it still sends is
// read and discarded for a while. If the request's own response has started, closes the connection
// at once.
void server_connection::refuse(int status, std::string_view message) {
    if (exchange_.head_sent_) {
        drop();
        return;
    }
    end_exchange();
    resume_body();
    http_response response;
    response.status_ = status;
    response.length_ = message.size();
    response.headers_ = {{"content-type", "text/plain"}};
    constexpr bool close = true;
    socket_->send(response_head_text(response, close) + std::string(message));
    refused_ = true;
    pending_.clear();
    linger();
}

void server_connection::linger() {
    timer_.start(linger_time, [this] { drop(); });
}

void server_connection::on_request_head(http_request&& request) {
    timer_.cancel();
    exchange_.method_ = request.method_;
    exchange_.has_body_ = request.chunked_ || request.body_length_.value_or(0) > 0;
    const std::string* connection = find_header(request.headers_, "connection");
    exchange_.close_after_response_ = connection != nullptr && has_token(*connection, "close");
    if (find_header(request.headers_, "expect") != nullptr) {
        socket_->send(continue_response);
    }
    ++server_.open_exchanges_;
    in_factory_ = true;
    handler_ = server_.factory_(*this, std::move(request));
    in_factory_ = false;
    if (dropped_) {
        end_exchange();
    }
}

void server_connection::on_body_bytes(std::string_view bytes) {
    if (handler_ != nullptr && !exchange_.finished_ && !dropped_) {
        handler_->on_body(bytes);
    }
}

// Breaks the connection off because of what a handler does. Returns false if that is not checked.
bool server_connection::breaks_framing(std::string_view error) {
    if (!server_.options_.checks_framing_) {
        return false;
    }
    if (!dropped_) {
        server_.options_.on_framing_error_(error);
        drop();
    }
    return true;
}

void server_connection::send_head(const http_response& response) {
    if (refused_) {
        return;
    }
    if (exchange_.head_sent_ && breaks_framing("a second head")) {
        return;
    }
    exchange_.head_sent_ = true;
    exchange_.omit_body_ = response_has_no_body(exchange_.method_, response.status_);
    exchange_.body_left_ = exchange_.omit_body_ ? std::nullopt : response.length_;
    exchange_.chunked_ = !response.length_ && !exchange_.omit_body_;
    exchange_.close_after_response_ = exchange_.close_after_response_ || server_.closing_;
    socket_->send(
        response_head_text(response, exchange_.close_after_response_, exchange_.chunked_));
}

void server_connection::send_body(std::string_view bytes) {
    if (refused_ || bytes.empty() || exchange_.omit_body_) {
        return;
    }
    if (!exchange_.head_sent_ && breaks_framing("a body without a head")) {
        return;
    }
    if (!exchange_.chunked_) {
        const std::uint64_t left = exchange_.body_left_.value_or(0);
        if (bytes.size() > left && breaks_framing("more bytes than declared")) {
            return;
        }
        exchange_.body_left_ = left - std::min<std::uint64_t>(left, bytes.size());
        socket_->send(bytes);
        return;
    }
    socket_->send(chunk_text(bytes));
}

void server_connection::finish() {
    if (refused_) {
        return;
    }
    const bool incomplete = !exchange_.head_sent_ || exchange_.body_left_.value_or(0) > 0;
    if (incomplete && breaks_framing("fewer bytes than declared")) {
        return;
    }
    if (!exchange_.finished_ && exchange_.chunked_) {
        socket_->send(last_chunk);
    }
    exchange_.finished_ = true;
    if (socket_->unsent() == 0) {
        on_sent(0);
    }
}

void server_connection::on_sent(std::size_t bytes) {
    if (dropped_) {
        return;
    }
    if (handler_ != nullptr && !exchange_.finished_) {
        handler_->on_sent(bytes);
    }
    const bool response_sent = exchange_.finished_ && socket_->unsent() == 0 && !in_factory_;
    if (!response_sent || handler_ == nullptr) {
        return;
    }
    if (!exchange_.body_ended_) {
        // The rest of the request's body is read and discarded.
        resume_body();
        if (exchange_.close_after_response_) {
            linger();
        }
        return;
    }
    if (exchange_.close_after_response_) {
        drop();
        return;
    }
    end_exchange();
    begin_exchange();
    read_pending();
}

void server_connection::abort() {
    if (!refused_) {
        drop();
    }
}

void server_connection::pause_body() {
    exchange_.paused_ = true;
    socket_->pause();
}

void server_connection::resume_body() {
    exchange_.paused_ = false;
    socket_->resume();
}

}  // namespace dandelionridge::net
