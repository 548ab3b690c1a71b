// HTTP/1.1 towards targets and the platform.
//
// A request is written once, on one connection; nothing here ever sends it again.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/clock.h"
#include "net/byte_socket.h"
#include "net/event_loop.h"
#include "net/http_reader.h"
#include "net/http_types.h"

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

    virtual void on_response(const http_response& response) = 0;
    virtual void on_response_body(std::string_view bytes) = 0;

    // The answer ended. It is whole only if its end was shown by its length, its last chunk, or,
    // where it has neither, by an orderly close.
    virtual void on_end(bool complete) = 0;
    virtual void on_failed(client_failure failure) = 0;

    // That many bytes of the request have left the buffer of this process.
    virtual void on_request_sent(std::size_t bytes) = 0;
};

class http_client_pool;
class pooled_connection;

// One request under way. Answers come through the events, never from within the call that starts
// it. An answer that names another request's id belongs to an earlier request and is passed over.
class http_client_request final : public byte_socket_events, public http_reader_events {
public:
    // On a connection of its own, which is never used again.
    static std::unique_ptr<http_client_request> start(event_loop& loop, const base::address& server,
                                                      http_request request,
                                                      http_client_events& events,
                                                      keepalive_options probes = {});
    http_client_request(const http_client_request&) = delete;
    http_client_request& operator=(const http_client_request&) = delete;

    // Closes the connection if the exchange is not over; the events hear nothing more.
    ~http_client_request() override;

    // Appends to the request's body. `last` ends it.
    void send_body(std::string_view bytes, bool last);

    // Stops and restarts the reading of the answer's body.
    void pause_response();
    void resume_response();

    // The events hear nothing more, and the connection is closed.
    void detach();

    // True if the connection had carried another request before.
    bool reused() const { return reused_; }

    void on_open() override {}
    void on_bytes(std::string_view bytes) override;
    void on_sent(std::size_t bytes) override;
    void on_closed(close_reason how) override;

    void on_request_head(http_request&& /*request*/) override {}
    void on_response_head(http_response&& response) override;
    void on_body_bytes(std::string_view bytes) override;

private:
    friend class http_client_pool;
    friend class pooled_connection;

    http_client_request(event_loop& loop, http_request request, http_client_events& events);
    void write_head();
    void new_reader();
    void after_read();
    void finish_message();
    void end(bool complete);
    void fail();
    bool reusable() const;

    event_loop& loop_;
    http_request request_;
    std::string id_;
    http_client_events* events_;
    http_client_pool* pool_ = nullptr;
    std::unique_ptr<byte_socket> socket_;
    std::unique_ptr<http_reader> reader_;
    // Seconds for which the server keeps an idle connection, if it said so.
    std::optional<int> keep_alive_s_;
    bool reused_ = false;
    bool body_sent_ = false;
    bool any_byte_sent_ = false;
    bool response_head_received_ = false;
    // The message that is being read belongs to another request.
    bool mismatched_response_ = false;
    bool saw_mismatched_response_ = false;
    bool server_closes_ = false;
    bool has_trailing_bytes_ = false;
};

struct pool_options {
    std::size_t max_idle_connections_ = 64;
    // An idle connection is closed after this time.
    base::duration max_idle_time_ = base::seconds(4);
    keepalive_options keepalive_;
};

// Connections to one server that are kept between requests. Outlives its requests.
class http_client_pool {
public:
    http_client_pool(event_loop& loop, base::address server, pool_options options);
    http_client_pool(const http_client_pool&) = delete;
    http_client_pool& operator=(const http_client_pool&) = delete;
    ~http_client_pool();

    // Starts a request on the connection that was used last, if it was used within `freshness`, or
    // on a new one.
    std::unique_ptr<http_client_request> start(http_request request, base::duration max_idle_age,
                                               http_client_events& events);

    const base::address& server() const { return server_; }
    std::size_t idle() const { return idle_.size(); }

    // Connections opened so far.
    std::uint64_t opened() const { return opened_; }

    // Closes what is idle.
    void clear();

private:
    friend class http_client_request;
    friend class pooled_connection;

    void add_idle(std::unique_ptr<byte_socket> socket, std::optional<int> keep_alive_s);
    void evict_expired();

    event_loop& loop_;
    base::address server_;
    pool_options options_;
    // The one that was used last comes last.
    std::list<std::unique_ptr<pooled_connection>> idle_;
    timer eviction_timer_;
    std::uint64_t opened_ = 0;
};

}  // namespace dandelionridge::net
