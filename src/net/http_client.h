// HTTP/1.1 client for requests to targets and to the platform.
//
// A request is written once, on one connection. This module never retries it.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/clock.h"
#include "net/byte_socket.h"
#include "net/event_loop.h"
#include "net/http_reader.h"
#include "net/http_types.h"

namespace dandelionridge::net {

// Whether the server may have received a request that failed before its response began.
enum class client_failure {
    // No byte of the request was sent, so the server cannot have received it.
    never_sent,
    // Bytes of the request were sent, so the server may have received it.
    maybe_sent,
};

// Receives the response to one request, or its failure. No call follows on_end or on_failed.
class http_client_events {
public:
    virtual ~http_client_events() = default;

    // The head of the response.
    virtual void on_response(const http_response& response) = 0;

    // The next bytes of the response's body. Valid only during the call.
    virtual void on_response_body(std::string_view bytes) = 0;

    // The response has ended. `complete` is true only if its length, its last chunk or, if it has
    // neither, an orderly close of the connection marked its end.
    virtual void on_end(bool complete) = 0;

    // The request failed before the head of its response was received.
    virtual void on_failed(client_failure failure) = 0;

    // `bytes` bytes of the request were handed over to the kernel.
    virtual void on_request_sent(std::size_t bytes) = 0;
};

class http_client_pool;
class pooled_connection;

// One request in progress. Its response is reported through the events, never from within the call
// that starts the request. A response with the x-request-id of another request belongs to an
// earlier request and is skipped.
class http_client_request final : public byte_socket_events, public http_reader_events {
public:
    // Starts a request on a new connection, which is not reused.
    static std::unique_ptr<http_client_request> start(event_loop& loop, const base::address& server,
                                                      http_request request,
                                                      http_client_events& events,
                                                      keepalive_options keepalive = {});
    http_client_request(const http_client_request&) = delete;
    http_client_request& operator=(const http_client_request&) = delete;

    // Closes the connection if the response has not ended. The events receive no further calls.
    ~http_client_request() override;

    // Sends the next bytes of the request's body. `last` ends the body.
    void send_body(std::string_view bytes, bool last);

    // Stops reading the response's body until resume_response() is called.
    void pause_response();
    void resume_response();

    // Closes the connection. The events receive no further calls.
    void detach();

    // Returns how long the connection had been idle before this request; nothing if it was new.
    std::optional<base::duration> idle_time() const { return idle_time_; }

    void on_open() override { connect_timer_.cancel(); }
    void on_bytes(std::string_view bytes) override;
    void on_sent(std::size_t bytes) override;
    void on_closed(close_reason reason) override;

    void on_request_head(http_request&& /*request*/) override {}
    void on_response_head(http_response&& response) override;
    void on_body_bytes(std::string_view bytes) override;

private:
    friend class http_client_pool;
    friend class pooled_connection;

    http_client_request(event_loop& loop, http_request request, http_client_events& events);
    void write_head();
    void reset_reader();
    void handle_reader_state();
    void finish_message();
    void end(bool complete);
    void fail();
    bool reusable() const;

    event_loop& loop_;
    http_request request_;
    // x-request-id of the request; empty if it has none.
    std::string id_;
    http_client_events* events_;
    // The pool that takes the connection back; null if the connection is not reused.
    http_client_pool* pool_ = nullptr;
    std::unique_ptr<byte_socket> socket_;
    std::unique_ptr<http_reader> reader_;
    // Limits the time until a new connection is established.
    timer connect_timer_;
    // Keep-alive timeout of the server, in seconds, if its response named one.
    std::optional<int> keep_alive_s_;
    std::optional<base::duration> idle_time_;
    bool body_sent_ = false;
    bool any_byte_sent_ = false;
    bool response_head_received_ = false;
    // The response that is being read belongs to another request.
    bool mismatched_response_ = false;
    bool saw_mismatched_response_ = false;
    // Body bytes of responses to other requests.
    std::uint64_t skipped_bytes_ = 0;
    // The server has closed the connection or will close it after this response.
    bool server_closes_ = false;
    // Bytes followed the end of the response.
    bool has_trailing_bytes_ = false;
};

struct pool_options {
    // Further connections are closed after their response.
    std::size_t max_idle_connections_ = 64;
    // An idle connection is closed after this time, or earlier if the server's keep-alive timeout
    // is shorter.
    base::duration max_idle_time_ = base::seconds(4);
    // A request whose connection is not established within this time fails as never sent.
    base::duration connect_timeout_ = base::milliseconds(500);
    keepalive_options keepalive_{};
};

// Keeps connections to one server open for reuse between requests. Must outlive the requests that
// it starts.
class http_client_pool {
public:
    http_client_pool(event_loop& loop, base::address server, pool_options options);
    http_client_pool(const http_client_pool&) = delete;
    http_client_pool& operator=(const http_client_pool&) = delete;
    ~http_client_pool();

    // Starts a request on the idle connection that was used most recently, if it was used within
    // `max_idle_age`, or otherwise on a new one.
    std::unique_ptr<http_client_request> start(http_request request, base::duration max_idle_age,
                                               http_client_events& events);

    const base::address& server() const { return server_; }

    // Returns the number of idle connections.
    std::size_t idle() const { return idle_.size(); }

    // Returns the number of connections opened so far.
    std::uint64_t opened() const { return opened_; }

    // Closes all idle connections.
    void clear();

private:
    friend class http_client_request;
    friend class pooled_connection;

    void add_idle(std::unique_ptr<byte_socket> socket, std::optional<int> keep_alive_s);
    void evict_expired();

    event_loop& loop_;
    base::address server_;
    pool_options options_;
    // Idle connections, the most recently used one last.
    std::list<std::unique_ptr<pooled_connection>> idle_;
    timer eviction_timer_;
    std::uint64_t opened_ = 0;
};

}  // namespace dandelionridge::net
