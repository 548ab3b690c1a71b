// Contract of the HTTP server: what a caller sees on its connection, whatever the handlers do.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/http_server.h"

using namespace dandelionridge;

namespace {

// What a handler does when its request has ended.
using reaction = std::function<void(net::http_exchange&)>;

class scripted_handler final : public net::http_handler {
public:
    scripted_handler(net::http_exchange& exchange, const net::http_request& request, reaction react,
                     bool pauses)
        : exchange_(exchange), react_(std::move(react)), pauses_(pauses) {
        if (!request.chunked_ && request.body_length_.value_or(0) == 0) {
            react_(exchange_);
        }
    }

    void on_body(std::string_view /*bytes*/) override {
        if (pauses_) {
            exchange_.pause_body();
        }
    }
    void on_body_end() override { react_(exchange_); }
    void on_sent(std::size_t /*bytes*/) override {}

private:
    net::http_exchange& exchange_;
    reaction react_;
    // Stops reading at the first bytes of the body.
    bool pauses_;
};

// A server and one connection of a caller to it.
class server_side {
public:
    explicit server_side(reaction react, bool pauses = false)
        : loop_(std::move(net::event_loop::create(clock_).value())) {
        net::http_server_options options;
        options.address_ = free_address();
        server_ = std::move(
            net::http_server::create(
                *loop_, options,
                [react = std::move(react), pauses](net::http_exchange& exchange,
                                                   const net::http_request& request) {
                    return std::make_unique<scripted_handler>(exchange, request, react, pauses);
                })
                .value());
        fd_ = socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = to_sockaddr(options.address_.port_);
        REQUIRE(connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    }
    server_side(const server_side&) = delete;
    server_side& operator=(const server_side&) = delete;
    ~server_side() { close(fd_); }

    void send_request(const std::string& text) const {
        send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    }

    // Returns what the caller receives until that ends with `end` or the connection is closed, at
    // most within five seconds.
    std::string receive_until(const std::string& end) {
        std::string received;
        bool timed_out = false;
        net::timer give_up(*loop_);
        give_up.start(base::seconds(5), [&] { timed_out = true; });
        net::timer poll(*loop_);
        while (!timed_out && !closed_ && (end.empty() || !received.ends_with(end))) {
            poll.start(base::milliseconds(1), [] {});
            loop_->run_once();
            char buffer[4096];
            const ssize_t count = recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT);
            closed_ = count == 0 || (count < 0 && errno != EAGAIN);
            received.append(buffer, count > 0 ? static_cast<std::size_t>(count) : 0);
        }
        return received;
    }

    // True once the server has closed the connection.
    bool closed() const { return closed_; }

private:
    static sockaddr_in to_sockaddr(int port) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        return address;
    }

    static base::address free_address() {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = to_sockaddr(0);
        socklen_t length = sizeof(address);
        REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0);
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
        close(fd);
        return {"127.0.0.1", ntohs(address.sin_port)};
    }

    const base::runtime_clock clock_;
    std::unique_ptr<net::event_loop> loop_;
    std::unique_ptr<net::http_server> server_;
    int fd_ = -1;
    bool closed_ = false;
};

const std::string get_request = "GET /x HTTP/1.1\r\nhost: h\r\n\r\n";

std::string post_request(const std::string& body) {
    return "POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

net::http_response response_of(std::optional<std::uint64_t> length) {
    net::http_response response;
    response.status_ = 200;
    response.length_ = length;
    return response;
}

}  // namespace

// Guards against: a caller's connection is never read again after a request whose body was paused,
// and its next request gets no response (CONFIG).
TEST_CASE("a connection whose request body was paused is read for the next request",
          "[net][contract]") {
    constexpr bool pauses = true;
    server_side side(
        [](net::http_exchange& exchange) { net::send_response(exchange, response_of({}), "done"); },
        pauses);
    for (int i = 0; i < 3; ++i) {
        INFO("request " << i);
        side.send_request(post_request("body"));
        CHECK(side.receive_until("done").ends_with("done"));
    }
    CHECK_FALSE(side.closed());
}
