// One connection of a caller. Processes its requests one after the other and sends the responses.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/byte_socket.h"
#include "net/http_reader.h"
#include "net/http_server.h"

namespace dandelionridge::net {

class server_connection final : public byte_socket_events,
                                public http_reader_events,
                                public http_exchange {
public:
    server_connection(http_server& server, std::unique_ptr<byte_socket> socket);
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;
    ~server_connection() override;

    // Returns true if no request is being read or processed.
    bool idle() const { return handler_ == nullptr && reader_ == nullptr; }

    // Closes the connection, ends its exchange and removes it from the server, which destroys it
    // after the current event.
    void drop();

    void on_open() override {}
    void on_bytes(std::string_view bytes) override;
    void on_sent(std::size_t bytes) override;
    void on_closed(close_reason /*reason*/) override { drop(); }

    void on_request_head(http_request&& request) override;
    void on_response_head(http_response&& /*response*/) override {}
    void on_body_bytes(std::string_view bytes) override;

    void send_head(const http_response& response) override;
    void send_body(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    void pause_body() override;
    void resume_body() override;

private:
    // How far one request and its response have come.
    struct exchange_state {
        std::string method_;
        bool has_body_ = false;
        // The whole request has been read.
        bool body_ended_ = false;
        // Reading is paused by the handler.
        bool paused_ = false;
        bool head_sent_ = false;
        bool chunked_ = false;
        // Bytes of the response's body that its head declares and that are not sent yet; not set
        // for a body without a length.
        std::optional<std::uint64_t> body_left_;
        // The response must not have a body.
        bool omit_body_ = false;
        // The handler has ended the response. Bytes of it may still be unsent.
        bool finished_ = false;
        bool close_after_response_ = false;
    };

    void begin_exchange();
    void begin_request();
    void read_pending();
    void handle_reader_state();
    void refuse(int status, std::string_view message);
    void end_exchange();
    bool breaks_framing(std::string_view error);
    void wait_for_request();
    void on_idle_timeout();
    void linger();

    http_server& server_;
    std::unique_ptr<byte_socket> socket_;
    // Not set until the first bytes of a request are read.
    std::unique_ptr<http_reader> reader_;
    // Closes a connection that is idle or lingers, or refuses a request whose head is not received
    // in time.
    timer timer_;
    // When the connection last became idle.
    base::instant idle_since_{};
    // Bytes received but not yet read. Those of the next request are read once the response to the
    // current one is sent.
    std::string pending_;
    std::unique_ptr<http_handler> handler_;
    exchange_state exchange_;
    // The handler is being created.
    bool in_factory_ = false;
    bool dropped_ = false;
    // An error response was sent because the request cannot be read. Further bytes, and what its
    // handler still sends, are discarded.
    bool refused_ = false;
};

}  // namespace dandelionridge::net
