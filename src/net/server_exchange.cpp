#include "net/server_exchange.h"

#include <algorithm>
#include <utility>

#include "net/http_writer.h"
#include "net/server_connection.h"

namespace dandelionridge::net {

namespace {

std::size_t size_of(const http_request& request) {
    std::size_t bytes = request.method_.size() + request.path_.size() + request.host_.size();
    for (const http_header& header : request.headers_) {
        bytes += header.name_.size() + header.value_.size();
    }
    return bytes;
}

}  // namespace

server_exchange::server_exchange(server_connection& connection, http_request&& request)
    : connection_(&connection),
      request_(std::move(request)),
      method_(request_.method_),
      request_bytes_(size_of(request_)),
      has_body_(request_.chunked_ || request_.body_length_.value_or(0) > 0),
      expects_continue_(find_header(request_.headers_, "expect") != nullptr) {
    const std::string* connection_header = find_header(request_.headers_, "connection");
    close_after_response_ = connection_header != nullptr && has_token(*connection_header, "close");
}

server_exchange::~server_exchange() = default;

bool server_exchange::allows_run_ahead() const {
    return ran_ahead_ || (handler_ != nullptr && handler_->allows_run_ahead());
}

std::size_t server_exchange::held_bytes() const {
    return at_front_ ? 0 : request_bytes_ + early_body_.size() + held_body_.size();
}

void server_exchange::start(const http_handler_factory& factory) {
    started_ = true;
    ran_ahead_ = !at_front_;
    if (ran_ahead_) {
        request_.response_buffer_bytes_ = connection_->waiting_response_bytes();
    }
    in_factory_ = true;
    handler_ = factory(*this, std::move(request_));
    in_factory_ = false;
    if (!early_body_.empty()) {
        on_body_bytes(std::exchange(early_body_, {}));
    }
    if (request_ended_ && has_body_ && !ended()) {
        handler_->on_body_end();
    }
}

void server_exchange::move_to_front() {
    at_front_ = true;
    if (held_head_) {
        const http_response response = std::move(*held_head_);
        held_head_.reset();
        write_head(response);
    }
    if (!held_body_.empty()) {
        write(std::exchange(held_body_, {}));
    }
}

void server_exchange::on_body_bytes(std::string_view bytes) {
    if (ended() || finished_) {
        return;
    }
    if (!started_) {
        early_body_.append(bytes);
    } else if (handler_ != nullptr) {
        handler_->on_body(bytes);
    }
}

void server_exchange::on_request_end() {
    request_ended_ = true;
    if (has_body_ && handler_ != nullptr && !ended()) {
        handler_->on_body_end();
    }
}

void server_exchange::on_sent(std::size_t bytes) {
    if (handler_ != nullptr && !finished_) {
        handler_->on_sent(bytes);
    }
}

// Breaks the response off because of what the handler does. Returns false if that is not checked.
bool server_exchange::breaks_framing(std::string_view error) {
    const http_server_options& options = connection_->options();
    if (!options.checks_framing_) {
        return false;
    }
    options.on_framing_error_(error);
    abort();
    return true;
}

void server_exchange::write(std::string_view bytes) {
    if (at_front_) {
        connection_->send(bytes);
    } else {
        held_body_.append(bytes);
        connection_->update_held_bytes();
    }
}

void server_exchange::write_head(const http_response& response) {
    close_after_response_ = close_after_response_ || connection_->server_is_closing();
    connection_->send(response_head_text(response, close_after_response_, chunked_));
    if (close_after_response_) {
        connection_->on_closing_response(*this);
    }
}

void server_exchange::send_head(const http_response& response) {
    if (ended() || (head_sent_ && breaks_framing("a second head"))) {
        return;
    }
    head_sent_ = true;
    omit_body_ = response_has_no_body(method_, response.status_);
    body_left_ = omit_body_ ? std::nullopt : response.length_;
    chunked_ = !response.length_ && !omit_body_;
    if (at_front_) {
        write_head(response);
    } else {
        held_head_ = response;
    }
}

void server_exchange::send_body(std::string_view bytes) {
    if (ended() || bytes.empty() || omit_body_) {
        return;
    }
    if (!head_sent_ && breaks_framing("a body without a head")) {
        return;
    }
    if (!chunked_) {
        const std::uint64_t left = body_left_.value_or(0);
        if (bytes.size() > left && breaks_framing("more bytes than declared")) {
            return;
        }
        body_left_ = left - std::min<std::uint64_t>(left, bytes.size());
        write(bytes);
        return;
    }
    write(chunk_text(bytes));
}

void server_exchange::finish() {
    if (ended()) {
        return;
    }
    const bool incomplete = !head_sent_ || body_left_.value_or(0) > 0;
    if (incomplete && breaks_framing("fewer bytes than declared")) {
        return;
    }
    if (!finished_ && chunked_) {
        write(last_chunk);
    }
    finished_ = true;
    connection_->on_finished();
}

void server_exchange::abort() {
    if (!ended()) {
        connection_->abort(*this);
    }
}

void server_exchange::pause_body() {
    paused_ = true;
    if (!ended()) {
        connection_->update_reading();
    }
}

void server_exchange::resume_body() {
    paused_ = false;
    if (!ended()) {
        connection_->update_reading();
    }
}

}  // namespace dandelionridge::net
