// One request on a caller's connection, and the response to it. Only the first exchange of a
// connection writes to the socket; the others buffer what their handlers send.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_server.h"

namespace dandelionridge::net {

class server_connection;

class server_exchange final : public http_exchange {
public:
    server_exchange(server_connection& connection, http_request&& request);
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;
    ~server_exchange() override;

    void send_head(const http_response& response) override;
    void send_body(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    void pause_body() override;
    void resume_body() override;

    // Creates the handler, and hands it the part of the request's body that has arrived.
    void start(const http_handler_factory& factory);

    // Lets the exchange write to the socket, first what it has buffered.
    void move_to_front();

    // Ends the exchange: what its handler still sends is discarded.
    void end() { connection_ = nullptr; }

    // The next bytes of the request's body.
    void on_body_bytes(std::string_view bytes);

    // The request was read to its end.
    void on_request_end();

    // `bytes` bytes of the response were written to the socket.
    void on_sent(std::size_t bytes);

    // Marks the response as the last of its connection.
    void close_after_response() { close_after_response_ = true; }

    bool ended() const { return connection_ == nullptr; }
    bool started() const { return started_; }
    bool head_sent() const { return head_sent_; }
    bool paused() const { return paused_; }
    bool request_ended() const { return request_ended_; }
    bool closes_connection() const { return close_after_response_; }

    // The handler has ended the response. Bytes of it may still be unsent.
    bool finished() const { return finished_ && !in_factory_; }

    // Returns true if the next request may start before this one is answered.
    bool allows_run_ahead() const;

    // Returns the request, which is valid until start() is called.
    const http_request& request() const { return request_; }
    bool has_body() const { return has_body_; }
    bool expects_continue() const { return expects_continue_; }

    // Returns the bytes that are buffered until the exchange is the first of its connection.
    std::size_t held_bytes() const;

private:
    bool breaks_framing(std::string_view error);
    void write_head(const http_response& response);
    void write(std::string_view bytes);

    // Null once the exchange has ended.
    server_connection* connection_;
    http_request request_;
    std::string method_;
    // Size of the request's head, approximately.
    std::size_t request_bytes_ = 0;
    bool has_body_ = false;
    bool expects_continue_ = false;
    // Bytes of the request's body that arrived before the handler was created.
    std::string early_body_;
    bool request_ended_ = false;
    // Reading is paused by the handler.
    bool paused_ = false;

    bool at_front_ = false;
    bool started_ = false;
    // The handler is being created.
    bool in_factory_ = false;
    // Started before the exchange was the first of its connection.
    bool ran_ahead_ = false;

    bool head_sent_ = false;
    // The head of a response that waits for its turn. It is formatted then, when it is known
    // whether the response ends its connection.
    std::optional<http_response> held_head_;
    // Bytes of the response behind its head that wait for their turn.
    std::string held_body_;
    bool chunked_ = false;
    // Bytes of the response's body that its head declares and that are not sent yet; not set for a
    // body without a length.
    std::optional<std::uint64_t> body_left_;
    // The response must not have a body.
    bool omit_body_ = false;
    bool finished_ = false;
    bool close_after_response_ = false;
    // Destroyed first, since it refers to the exchange.
    std::unique_ptr<http_handler> handler_;
};

}  // namespace dandelionridge::net
