// HTTP/1.1 server for callers and operators.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/address.h"
#include "base/error.h"
#include "net/byte_socket.h"
#include "net/event_loop.h"
#include "net/http_types.h"
#include "policy/pipelining.h"

namespace dandelionridge::net {

class http_server;
class server_connection;

// The application's side of one exchange. Destroyed when the exchange has ended: the response was
// sent in full or aborted, or the caller closed the connection.
class http_handler {
public:
    virtual ~http_handler() = default;

    // The next bytes of the request's body.
    virtual void on_body(std::string_view bytes) = 0;

    // The body has ended. Not called for a request without a body.
    virtual void on_body_end() = 0;

    // `bytes` bytes of the response, including its head and chunk framing, were handed over to the
    // kernel. Not called after the response was ended with finish(). Bytes of a response that waits
    // for those before it are handed over when it is its turn.
    virtual void on_sent(std::size_t bytes) = 0;

    // Returns true if requests behind this one may start before it is answered.
    virtual bool allows_run_ahead() const { return false; }
};

// One request on one connection, and the response to it. Valid for the lifetime of its handler. A
// response is one head, then exactly as many bytes as it declares, then its end; anything else
// breaks the connection off.
class http_exchange {
public:
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    virtual ~http_exchange() = default;

    // Starts the response. A body without a length is sent in chunks.
    virtual void send_head(const http_response& response) = 0;

    // Sends the next bytes of the response's body.
    virtual void send_body(std::string_view bytes) = 0;

    // Ends the response. The connection stays open for the caller's next request.
    virtual void finish() = 0;

    // Closes the connection, so that the caller sees that the response is incomplete.
    virtual void abort() = 0;

    // Stops reading the request's body until resume_body() is called.
    virtual void pause_body() = 0;
    virtual void resume_body() = 0;

protected:
    http_exchange() = default;
};

// Creates the handler of a new exchange. May already send the response.
using http_handler_factory =
    std::function<std::unique_ptr<http_handler>(http_exchange&, http_request)>;

// Sends a whole response and ends it. Sets its length from `body`.
void send_response(http_exchange& exchange, http_response response, std::string_view body);

// Limits of a caller's requests: sizes in bytes, and times.
struct caller_limits {
    std::uint32_t head_bytes_ = 16 * 1024;
    std::uint64_t body_bytes_ = 64 * 1024 * 1024;
    // Time limit for receiving the head of a request, from its first byte.
    base::duration head_timeout_ = base::seconds(10);
    // Time after which a connection without a request is closed.
    base::duration idle_timeout_ = base::seconds(75);
};

// What a connection does with requests that come before the response to an earlier one is sent.
enum class pipelining_event {
    // A request started before those ahead of it were answered.
    run_ahead,
    // A started request was cancelled, because a response before it closes the connection.
    cancelled,
    // The next request is not read before others are answered, because a bound is reached.
    bounded,
};

struct http_server_options {
    base::address address_;
    // Returns the limits in force. Called anew for each request.
    std::function<caller_limits()> limits_ = [] { return caller_limits{}; };
    // Called with what is wrong when a handler sends a response that is not framed as its head
    // declares. The connection is broken off, so that no caller takes it for a whole response.
    std::function<void(std::string_view)> on_framing_error_ = [](std::string_view) {};
    // With the default, a request is read once the response to the one before it was sent.
    policy::pipeline_limits pipeline_limits_{};
    // Returns true if a request behind others may start before those are answered. Requests that
    // have a body or expect to be told to continue never do.
    std::function<bool(const http_request&)> may_run_ahead_ = [](const http_request&) {
        return false;
    };
    // Returns true if the process has memory left for another request that runs ahead.
    std::function<bool()> has_room_ = [] { return true; };
    // Called with the bytes of all connections that wait for their turn, whenever these change.
    std::function<void(std::size_t)> on_held_bytes_ = [](std::size_t) {};
    // Called with a number of requests, or of connections for `bounded`.
    std::function<void(pipelining_event, std::size_t)> on_pipelining_ = [](pipelining_event,
                                                                           std::size_t) {};
    // False: sends whatever the handlers do. For stand-ins that play a faulty server.
    bool checks_framing_ = true;
};

// Listens for connections and creates a handler for each request. Runs on the loop's thread.
class http_server {
public:
    // Starts to listen. Returns an error if the address cannot be used.
    static base::result<std::unique_ptr<http_server>> create(event_loop& loop,
                                                             http_server_options options,
                                                             http_handler_factory factory);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    // From now on, closes each connection after the response that is sent on it. Requests behind it
    // that run ahead are cancelled.
    void close_after_responses();

    // Closes the connections that have no request in progress.
    void close_idle();

    // Stops accepting connections: the host refuses callers that try to connect. Open connections
    // stay open.
    void stop_listening() { listener_->stop_listening(); }

    // Returns the number of bytes that wait for their turn, on all connections.
    std::size_t held_bytes() const { return held_bytes_; }

    // Returns the number of exchanges that have a handler.
    std::size_t open_exchanges() const { return open_exchanges_; }
    std::size_t open_connections() const { return connections_.size(); }

private:
    friend class server_connection;

    http_server(event_loop& loop, http_server_options options, http_handler_factory factory);
    byte_socket_events* accept(std::unique_ptr<byte_socket> socket);
    void remove_connection(server_connection& connection);

    event_loop& loop_;
    http_server_options options_;
    http_handler_factory factory_;
    std::unique_ptr<byte_server> listener_;
    std::unordered_map<server_connection*, std::unique_ptr<server_connection>> connections_;
    std::size_t open_exchanges_ = 0;
    std::size_t held_bytes_ = 0;
    // Each response ends its connection.
    bool closing_ = false;
};

}  // namespace dandelionridge::net
