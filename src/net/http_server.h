// HTTP/1.1 towards callers and operators.
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

namespace dandelionridge::net {

class http_server;
class server_connection;

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
    virtual void send_head(const http_response& response) = 0;

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
void send_response(http_exchange& exchange, http_response response, std::string_view body);

// What a caller may send, and how long it may take.
struct caller_limits {
    std::uint32_t head_bytes_ = 16 * 1024;
    std::uint64_t body_bytes_ = 64 * 1024 * 1024;
    // For the head of a request, from its first byte.
    base::duration head_timeout_ = base::seconds(10);
    // Between two requests on a connection.
    base::duration idle_timeout_ = base::seconds(75);
};

struct http_server_options {
    base::address address_;
    // The limits in force now.
    std::function<caller_limits()> limits_ = [] { return caller_limits{}; };
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
    void close_after_responses() { closing_ = true; }

    // Closes connections on which no exchange is open.
    void close_idle();

    // Takes no new connections from now on: callers that try are refused by the host. Connections
    // that are open stay.
    void stop_listening() { listener_->stop_listening(); }

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
    bool closing_ = false;
};

}  // namespace dandelionridge::net
