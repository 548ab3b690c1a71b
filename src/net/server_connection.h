// One connection of a caller. Reads its requests, runs those side by side that may, and sends the
// responses in the order of the requests.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/byte_socket.h"
#include "net/http_reader.h"
#include "net/http_server.h"
#include "net/server_exchange.h"

namespace dandelionridge::net {

class server_connection final : public byte_socket_events, public http_reader_events {
public:
    server_connection(http_server& server, std::unique_ptr<byte_socket> socket);
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;
    ~server_connection() override;

    // Returns true if no request is being read or processed.
    bool idle() const { return exchanges_.empty() && reader_ == nullptr && !refused_; }

    // Closes the connection, ends its exchanges and removes it from the server, which destroys it
    // after the current event.
    void drop();

    // The server stops: only the response that is being sent, or else the next one, is still sent.
    void on_server_closing();

    void on_open() override {}
    void on_bytes(std::string_view bytes) override;
    void on_sent(std::size_t bytes) override;
    void on_closed(close_reason /*reason*/) override { drop(); }

    void on_request_head(http_request&& request) override;
    void on_response_head(http_response&& /*response*/) override {}
    void on_body_bytes(std::string_view bytes) override;

    // What its exchanges use.
    const http_server_options& options() const { return server_.options_; }
    bool server_is_closing() const { return server_.closing_; }
    std::size_t waiting_response_bytes() const;
    void send(std::string_view bytes) { socket_->send(bytes); }
    // The first exchange has begun a response that closes the connection.
    void on_closing_response(server_exchange& exchange);
    // An exchange has ended its response.
    void on_finished();
    // An exchange breaks its response off.
    void abort(server_exchange& exchange);
    // Pauses or resumes reading the socket.
    void update_reading();
    void update_held_bytes();

private:
    // An error response that waits until the requests before it are answered.
    struct refusal {
        int status_ = 0;
        std::string message_;
    };

    void begin_request();
    void read_pending();
    void handle_reader_state();
    bool may_read() const;
    policy::pipeline_state pipeline_state() const;
    bool may_start_ahead(const server_exchange& previous, const server_exchange& next) const;
    void start_ahead();
    void start(server_exchange& exchange);
    void send_finished();
    void begin_next();
    void close_in_order();
    void end_last();
    void end_behind(std::size_t last);
    void refuse(int status, std::string_view message);
    void send_refusal(const refusal& error);
    void watch_paused_caller();
    void wait_for_request();
    void on_idle_timeout();
    void linger();

    http_server& server_;
    std::unique_ptr<byte_socket> socket_;
    // Set while a request is being read, from its first bytes.
    std::unique_ptr<http_reader> reader_;
    // Closes a connection that is idle or lingers, or refuses a request whose head is not received
    // in time.
    timer timer_;
    // Checks whether a caller whose body is not read has left.
    timer paused_timer_;
    // When the connection last became idle.
    base::instant idle_since_{};
    // Bytes received but not yet read.
    std::string pending_;
    // The requests that are not answered yet, in the order in which they came. The first one sends
    // its response.
    std::deque<std::unique_ptr<server_exchange>> exchanges_;
    // The exchange whose request is being read, from the end of its head; the last one.
    server_exchange* reading_ = nullptr;
    // Sent after the responses of all exchanges.
    std::optional<refusal> refusal_;
    // Bytes that wait for their turn, as reported to the server.
    std::size_t held_bytes_ = 0;
    // No request behind the last exchange is read any more.
    bool last_request_read_ = false;
    // read_pending() is on the stack.
    bool in_read_ = false;
    // A bound keeps the next request from being read.
    bool at_bound_ = false;
    // The caller has sent bytes behind a request that was not answered yet.
    bool pipelined_ = false;
    bool dropped_ = false;
    // An error response was sent because a request cannot be read. Further bytes are discarded.
    bool refused_ = false;
};

}  // namespace dandelionridge::net
