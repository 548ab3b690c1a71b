// HTTP/1.1 towards targets and the platform.
#pragma once

#include <libwebsockets.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "base/address.h"
#include "net/event_loop.h"
#include "net/http_types.h"
#include "net/output_buffer.h"

namespace dandelionridge::net {

// How an exchange with a server ended without a whole answer.
enum class client_failure {
    // No byte of the request has left: the server cannot have seen it.
    never_sent,
    // The request may have arrived.
    maybe_sent,
};

// Receives what becomes of one request. After on_end or on_failed no further call follows.
class http_client_events {
public:
    virtual ~http_client_events() = default;

    virtual void on_answer(const http_answer& answer) = 0;
    virtual void on_answer_body(std::string_view bytes) = 0;

    // The answer ended. It is whole only if its end was shown by its length or its last chunk.
    virtual void on_end(bool whole) = 0;
    virtual void on_failed(client_failure failure) = 0;

    // That many bytes of the request's body have left the buffer of this process.
    virtual void on_request_sent(std::size_t bytes) = 0;
};

// One request on a connection of its own, which is never used again.
class http_client_request {
public:
    // Connects and sends. Answers come through `events`, never from within this call. Header names
    // that `events` gets to see are listed in `answer_headers`, which must outlive the request.
    static std::unique_ptr<http_client_request> start(event_loop& loop, const base::address& server,
                                                      http_request request,
                                                      std::span<const std::string> answer_headers,
                                                      http_client_events& events);
    http_client_request(const http_client_request&) = delete;
    http_client_request& operator=(const http_client_request&) = delete;

    // Closes the connection if the exchange is not over; `events` hears nothing more.
    ~http_client_request();

    // Appends to the request's body, up to the length that the request named.
    void send_body(std::string_view bytes);

    // Stops and restarts the reading of the answer's body.
    void pause_answer();
    void resume_answer();

private:
    friend int on_http_client_event(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                                    std::size_t length);

    http_client_request(event_loop& loop, http_request request,
                        std::span<const std::string> answer_headers, http_client_events& events);
    void connect(const base::address& server);
    int on_handshake(unsigned char** at, std::size_t room);
    int on_established();
    int on_readable();
    int on_bytes(std::string_view bytes);
    int on_completed();
    int on_writable();
    void on_closed();
    int end(bool whole);
    void fail();

    event_loop& loop_;
    http_request request_;
    std::span<const std::string> answer_headers_;
    http_client_events* events_;
    lws* wsi_ = nullptr;
    timer deferred_failure_;
    output_buffer output_;
    std::uint64_t body_left_ = 0;
    std::optional<std::uint64_t> answer_left_;
    bool handshake_sent_ = false;
    bool answered_ = false;
    bool chunked_ = false;
    // The end of a chunked body that is reported now was found in the peer's bytes.
    bool end_is_parsed_ = false;
    bool paused_ = false;
};

}  // namespace dandelionridge::net
