#include "net/http_client.h"

#include <sys/socket.h>

#include <array>
#include <charconv>
#include <cstring>
#include <utility>

#include "net/http_tokens.h"
#include "net/protocols.h"

namespace dandelionridge::net {

namespace {

constexpr int keep_open = 0;
constexpr int close_now = -1;
constexpr std::size_t read_bytes = 16 * 1024;

// True if the peer has closed its side and nothing waits to be read from the socket. The library
// may still hold bytes that it read before.
bool peer_closed(lws* wsi) {
    char byte = 0;
    return recv(lws_get_socket_fd(wsi), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

// False once the request was destroyed or has ended, which its events may bring about.
bool still_attached(lws* wsi) {
    return lws_get_opaque_user_data(wsi) != nullptr;
}

}  // namespace

http_client_request::http_client_request(event_loop& loop, http_request request,
                                         std::span<const std::string> answer_headers,
                                         http_client_events& events)
    : loop_(loop),
      request_(std::move(request)),
      answer_headers_(answer_headers),
      events_(&events),
      deferred_failure_(loop),
      body_left_(request_.body_length_.value_or(0)) {}

std::unique_ptr<http_client_request> http_client_request::start(
    event_loop& loop, const base::address& server, http_request request,
    std::span<const std::string> answer_headers, http_client_events& events) {
    std::unique_ptr<http_client_request> started(
        new http_client_request(loop, std::move(request), answer_headers, events));
    started->connect(server);
    return started;
}

http_client_request::~http_client_request() {
    if (wsi_ != nullptr) {
        lws_set_opaque_user_data(wsi_, nullptr);
        lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

void http_client_request::connect(const base::address& server) {
    lws_client_connect_info info{};
    info.context = loop_.context();
    info.vhost = loop_.client_vhost();
    info.address = server.ip_.c_str();
    info.port = server.port_;
    info.host = request_.host_.c_str();
    info.path = request_.path_.c_str();
    info.method = request_.method_.c_str();
    // Without both names the library drops the body of the answer.
    info.protocol = http_client_protocol;
    info.local_protocol_name = http_client_protocol;
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    // Attached only afterwards, so that a failure within this call is not reported from within it.
    wsi_ = lws_client_connect_via_info(&info);
    if (wsi_ == nullptr) {
        deferred_failure_.start(base::duration::zero(), [this] { fail(); });
        return;
    }
    lws_set_opaque_user_data(wsi_, this);
}

void http_client_request::send_body(std::string_view bytes) {
    output_.append(bytes);
    if (wsi_ != nullptr && handshake_sent_) {
        lws_callback_on_writable(wsi_);
    }
}

void http_client_request::pause_answer() {
    if (!paused_ && wsi_ != nullptr) {
        paused_ = true;
        lws_rx_flow_control(wsi_, 0);
    }
}

void http_client_request::resume_answer() {
    if (paused_ && wsi_ != nullptr) {
        paused_ = false;
        lws_rx_flow_control(wsi_, 1);
    }
}

int http_client_request::on_handshake(unsigned char** at, std::size_t room) {
    unsigned char* end = *at + room - 1;
    const auto add = [&](const std::string& name, const std::string& value) {
        return lws_add_http_header_by_name(
                   wsi_, reinterpret_cast<const unsigned char*>((name + ":").c_str()),
                   reinterpret_cast<const unsigned char*>(value.data()),
                   static_cast<int>(value.size()), at, end) == 0;
    };
    for (const http_header& header : request_.headers_) {
        if (!add(header.name_, header.value_)) {
            return close_now;
        }
    }
    if (request_.body_length_) {
        if (!add("content-length", std::to_string(*request_.body_length_))) {
            return close_now;
        }
        if (body_left_ > 0) {
            lws_client_http_body_pending(wsi_, 1);
            lws_callback_on_writable(wsi_);
        }
    }
    handshake_sent_ = true;
    return keep_open;
}

int http_client_request::on_established() {
    lws_set_timeout(wsi_, NO_PENDING_TIMEOUT, 0);
    answered_ = true;
    http_answer answer;
    answer.status_ = static_cast<int>(lws_http_client_http_response(wsi_));
    answer.headers_ = read_headers(wsi_, answer_headers_);
    chunked_ = read_header(wsi_, "transfer-encoding").has_value();
    if (const auto length = read_header(wsi_, "content-length"); length && !chunked_) {
        std::uint64_t bytes = 0;
        std::from_chars(length->data(), length->data() + length->size(), bytes);
        answer.length_ = bytes;
        answer_left_ = bytes;
    }
    const bool bodyless = answer_without_body(request_.method_, answer.status_);
    if (bodyless && !answer.length_) {
        answer.length_ = 0;
    }
    lws* wsi = wsi_;
    events_->on_answer(answer);
    if (!still_attached(wsi)) {
        return close_now;
    }
    return bodyless || answer.length_ == 0U ? end(true) : keep_open;
}

int http_client_request::on_readable() {
    std::array<char, LWS_PRE + read_bytes> buffer{};
    char* at = buffer.data() + LWS_PRE;
    int room = static_cast<int>(read_bytes);
    lws* wsi = wsi_;
    // The library reports the end of a chunked body and its cut by a close in the same way. Only
    // an end that was found in bytes of the peer is one: either the peer has not closed yet, or
    // this very call hands out bytes read before.
    end_is_parsed_ = !peer_closed(wsi);
    const int outcome = lws_http_client_read(wsi, &at, &room);
    if (still_attached(wsi)) {
        end_is_parsed_ = false;
    }
    return outcome < 0 ? close_now : keep_open;
}

int http_client_request::on_bytes(std::string_view bytes) {
    if (answer_left_) {
        bytes = bytes.substr(0, std::min<std::uint64_t>(bytes.size(), *answer_left_));
        *answer_left_ -= bytes.size();
    }
    end_is_parsed_ = true;
    lws* wsi = wsi_;
    events_->on_answer_body(bytes);
    if (!still_attached(wsi)) {
        return close_now;
    }
    return answer_left_ == 0U ? end(true) : keep_open;
}

int http_client_request::on_completed() {
    const bool whole = answer_left_ ? *answer_left_ == 0 : chunked_ && end_is_parsed_;
    return end(whole);
}

int http_client_request::on_writable() {
    if (output_.empty() || body_left_ == 0) {
        return keep_open;
    }
    const bool last = output_.size() >= body_left_ && output_.size() <= read_bytes;
    const int written = output_.write_piece(wsi_, last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
    if (written < 0) {
        return close_now;
    }
    body_left_ -= std::min<std::uint64_t>(body_left_, static_cast<std::uint64_t>(written));
    if (body_left_ == 0) {
        lws_client_http_body_pending(wsi_, 0);
    } else if (!output_.empty()) {
        lws_callback_on_writable(wsi_);
    }
    lws* wsi = wsi_;
    events_->on_request_sent(static_cast<std::size_t>(written));
    return still_attached(wsi) ? keep_open : close_now;
}

void http_client_request::on_closed() {
    wsi_ = nullptr;
    if (events_ == nullptr) {
        return;
    }
    if (answered_) {
        end(answer_left_ == 0U);
    } else {
        fail();
    }
}

int http_client_request::end(bool whole) {
    http_client_events* events = std::exchange(events_, nullptr);
    if (wsi_ != nullptr) {
        lws_set_opaque_user_data(wsi_, nullptr);
        lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        wsi_ = nullptr;
    }
    events->on_end(whole);
    return close_now;
}

void http_client_request::fail() {
    http_client_events* events = std::exchange(events_, nullptr);
    if (events != nullptr) {
        events->on_failed(handshake_sent_ ? client_failure::maybe_sent
                                          : client_failure::never_sent);
    }
}

int on_http_client_event(lws* wsi, lws_callback_reasons reason, void* /*user*/, void* in,
                         std::size_t length) {
    auto* request = static_cast<http_client_request*>(lws_get_opaque_user_data(wsi));
    const bool is_closing = reason == LWS_CALLBACK_CLOSED_CLIENT_HTTP ||
                            reason == LWS_CALLBACK_CLIENT_CONNECTION_ERROR ||
                            reason == LWS_CALLBACK_WSI_DESTROY;
    if (request == nullptr) {
        const bool is_traffic = reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP ||
                                reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ ||
                                reason == LWS_CALLBACK_COMPLETED_CLIENT_HTTP ||
                                reason == LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER ||
                                reason == LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP;
        return is_traffic ? close_now : keep_open;
    }
    if (is_closing) {
        lws_set_opaque_user_data(wsi, nullptr);
        request->on_closed();
        return keep_open;
    }
    request->wsi_ = wsi;
    switch (reason) {
        case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
            return request->on_handshake(static_cast<unsigned char**>(in), length);
        case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
            return request->on_established();
        case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
            return request->on_readable();
        case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
            return request->on_bytes({static_cast<const char*>(in), length});
        case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
            return request->on_completed();
        case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
            return request->on_writable();
        default:
            return keep_open;
    }
}

}  // namespace dandelionridge::net
