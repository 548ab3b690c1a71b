// HTTP/1.1 towards callers and operators.
#pragma once

#include <libwebsockets.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "base/address.h"
#include "base/error.h"
#include "net/event_loop.h"
#include "net/http_types.h"
#include "net/output_buffer.h"

namespace dandelionridge::net {

class http_server;

// The application's side of one exchange. Destroyed when the exchange is over, whether the answer
// went out whole, was broken off, or the caller went away.
class http_handler {
public:
    virtual ~http_handler() = default;

    // The next bytes of the request's body.
    virtual void on_body(std::string_view bytes) = 0;

    // The body has ended; not called for a request without a body.
    virtual void on_body_end() = 0;

    // That many bytes of the answer's body have left the buffer of this process.
    virtual void on_sent(std::size_t bytes) = 0;
};

// One request on one connection, and the answer to it. Lives as long as its handler.
class http_exchange {
public:
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    virtual ~http_exchange() = default;

    // Starts the answer. Without a length the body is sent in chunks.
    virtual void send_head(const http_answer& answer) = 0;

    // Appends to the answer's body.
    virtual void send_body(std::string_view bytes) = 0;

    // Ends the answer; the connection is kept for the caller's next request.
    virtual void finish() = 0;

    // Breaks the connection, so that the caller sees that the answer isn't whole.
    virtual void abort() = 0;

    // Stops and restarts the reading of the request's body.
    virtual void pause_body() = 0;
    virtual void resume_body() = 0;

protected:
    http_exchange() = default;
};

// Makes the handler of a new exchange. The handler may answer at once.
using http_handler_factory =
    std::function<std::unique_ptr<http_handler>(http_exchange&, http_request)>;

// Sends a whole answer.
void send_answer(http_exchange& exchange, http_answer answer, std::string_view body);

struct http_server_options {
    base::address address_;
    // Header names, lower case, that handlers get to see.
    std::function<const std::vector<std::string>&()> headers_;
};

// A listener. Its exchanges use the loop's thread.
class http_server {
public:
    static base::result<std::unique_ptr<http_server>> create(event_loop& loop,
                                                             http_server_options options,
                                                             http_handler_factory factory);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    // From now on each answer ends its connection.
    void close_after_answers() { closing_ = true; }

    // Closes connections on which no exchange is open.
    void close_idle();

    // Takes no new connections from now on: callers that try are refused by the host. Connections
    // that are open stay.
    void stop_listening();

    std::size_t open_exchanges() const { return open_exchanges_; }
    std::size_t open_connections() const { return connections_.size(); }

private:
    friend int on_http_server_event(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                                    std::size_t length);
    friend class server_exchange;

    http_server(event_loop& loop, http_server_options options, http_handler_factory factory);
    int on_request(lws* wsi);

    event_loop& loop_;
    http_server_options options_;
    http_handler_factory factory_;
    listener_slot* slot_ = nullptr;
    lws_vhost* vhost_ = nullptr;
    std::unordered_set<lws*> connections_;
    std::size_t open_exchanges_ = 0;
    bool closing_ = false;
};

}  // namespace dandelionridge::net
