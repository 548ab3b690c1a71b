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
#include <thread>
#include <vector>

#include "net/http_server.h"

using namespace dandelionridge;

namespace {

// What a handler does when its request has ended.
using reaction = std::function<void(net::http_exchange&)>;

enum class body_handling {
    read,
    // Stops reading at the first bytes of the body.
    pause,
    // Reacts to the head of the request.
    ignore,
};

class scripted_handler final : public net::http_handler {
public:
    scripted_handler(net::http_exchange& exchange, const net::http_request& request, reaction react,
                     body_handling handling)
        : exchange_(exchange), react_(std::move(react)), handling_(handling) {
        const bool has_body = request.chunked_ || request.body_length_.value_or(0) > 0;
        if (!has_body || handling_ == body_handling::ignore) {
            react_(exchange_);
        }
    }

    void on_body(std::string_view /*bytes*/) override {
        if (handling_ == body_handling::pause) {
            exchange_.pause_body();
        }
    }
    void on_body_end() override {
        if (handling_ != body_handling::ignore) {
            react_(exchange_);
        }
    }
    void on_sent(std::size_t /*bytes*/) override {}

private:
    net::http_exchange& exchange_;
    reaction react_;
    body_handling handling_;
};

// A server and one connection of a caller to it.
class server_side {
public:
    explicit server_side(reaction react, body_handling handling = body_handling::read,
                         net::caller_limits limits = {})
        : limits_(limits), loop_(std::move(net::event_loop::create(clock_).value())) {
        net::http_server_options options;
        options.address_ = free_address();
        options.limits_ = [this] { return limits_; };
        options.on_framing_error_ = [this](std::string_view /*error*/) { ++broken_off_; };
        server_ = std::move(
            net::http_server::create(
                *loop_, options,
                [react = std::move(react), handling](net::http_exchange& exchange,
                                                     const net::http_request& request) {
                    return std::make_unique<scripted_handler>(exchange, request, react, handling);
                })
                .value());
        fd_ = socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = to_sockaddr(options.address_.port_);
        REQUIRE(connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    }
    server_side(const server_side&) = delete;
    server_side& operator=(const server_side&) = delete;
    ~server_side() { close(fd_); }

    // Sends as much as the connection takes now. The rest follows whenever the server runs.
    void send_request(const std::string& text) {
        unsent_ += text;
        send_rest();
    }

    // Lets the server run for a while.
    void serve() {
        constexpr int rounds = 20;
        for (int round = 0; round < rounds; ++round) {
            serve_once();
        }
    }

    // Returns what the caller receives until that ends with `end` or the connection is closed, at
    // most within five seconds.
    std::string receive_until(const std::string& end) {
        std::string received;
        bool timed_out = false;
        net::timer give_up(*loop_);
        give_up.start(base::seconds(5), [&] { timed_out = true; });
        while (!timed_out && !closed_ && (end.empty() || !received.ends_with(end))) {
            serve_once();
            char buffer[4096];
            const ssize_t count = recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT);
            closed_ = count == 0 || (count < 0 && errno != EAGAIN);
            received.append(buffer, count > 0 ? static_cast<std::size_t>(count) : 0);
        }
        return received;
    }

    // Sets the limits in force from now on.
    void set_limits(net::caller_limits limits) { limits_ = limits; }

    // Begins a planned stop of the server.
    void close_after_responses() { server_->close_after_responses(); }

    // Returns the number of requests that have a handler.
    std::size_t open_exchanges() const { return server_->open_exchanges(); }

    // True once the server has refused to read what the caller sends.
    bool send_failed() const { return send_failed_; }

    // Returns how many responses the server has broken off.
    int broken_off() const { return broken_off_; }

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

    void serve_once() {
        net::timer poll(*loop_);
        poll.start(base::milliseconds(1), [] {});
        loop_->run_once();
        send_rest();
    }

    void send_rest() {
        const ssize_t count =
            send(fd_, unsent_.data(), unsent_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        send_failed_ = send_failed_ || (count < 0 && errno != EAGAIN);
        unsent_.erase(0, count > 0 ? static_cast<std::size_t>(count) : 0);
    }

    const base::runtime_clock clock_;
    net::caller_limits limits_;
    std::unique_ptr<net::event_loop> loop_;
    std::unique_ptr<net::http_server> server_;
    int fd_ = -1;
    // What the caller has not sent yet.
    std::string unsent_;
    bool send_failed_ = false;
    bool closed_ = false;
    int broken_off_ = 0;
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

void respond_done(net::http_exchange& exchange) {
    net::send_response(exchange, response_of({}), "done");
}

}  // namespace

// Guards against: an error of a handler puts bytes of another response into a body, or ends a body
// early so that the caller waits for the rest or takes the next response for it (MIXED).
TEST_CASE("a response that is not framed as declared breaks its connection off",
          "[net][contract]") {
    struct framing_case {
        const char* name_;
        std::string body_;
        reaction react_;
    };
    const auto second_head = [](net::http_exchange& exchange) {
        exchange.send_head(response_of(100));
        exchange.send_body("part");
        net::send_response(exchange, response_of({}), "refusal");
    };
    const auto too_long = [](net::http_exchange& exchange) {
        exchange.send_head(response_of(4));
        exchange.send_body("body");
        exchange.send_body("surplus");
        exchange.finish();
    };
    const auto too_short = [](net::http_exchange& exchange) {
        exchange.send_head(response_of(100));
        exchange.send_body("part");
        exchange.finish();
    };
    const auto no_head = [](net::http_exchange& exchange) { exchange.send_body("body"); };
    const std::vector<framing_case> cases = {{"a second head", "part", second_head},
                                             {"more bytes than declared", "body", too_long},
                                             {"fewer bytes than declared", "part", too_short},
                                             {"a body without a head", "", no_head}};
    const framing_case test_case = GENERATE_COPY(from_range(cases));
    INFO(test_case.name_);
    server_side side(test_case.react_);
    side.send_request(get_request);
    const std::string received = side.receive_until("");
    CHECK(side.closed());
    const std::size_t head_end = received.find("\r\n\r\n");
    const std::string body = head_end == std::string::npos ? "" : received.substr(head_end + 4);
    // Bytes that were not sent yet may be lost with the connection.
    CHECK(test_case.body_.starts_with(body));
    CHECK(side.broken_off() == 1);
}

TEST_CASE("responses without a body need no bytes", "[net][contract]") {
    const std::string method = GENERATE("GET", "HEAD");
    const int status = method == "GET" ? 304 : 200;
    server_side side([status](net::http_exchange& exchange) {
        net::http_response response = response_of(100);
        response.status_ = status;
        exchange.send_head(response);
        exchange.finish();
    });
    for (int i = 0; i < 2; ++i) {
        side.send_request(method + " /x HTTP/1.1\r\nhost: h\r\n\r\n");
        CHECK(side.receive_until("\r\n\r\n").ends_with("\r\n\r\n"));
    }
    CHECK_FALSE(side.closed());
    CHECK(side.broken_off() == 0);
}

// Guards against: a caller's connection is never read again after a request whose body was paused,
// and its next request gets no response (CONFIG).
TEST_CASE("a connection whose request body was paused is read for the next request",
          "[net][contract]") {
    server_side side(respond_done, body_handling::pause);
    for (int i = 0; i < 3; ++i) {
        INFO("request " << i);
        side.send_request(post_request("body"));
        CHECK(side.receive_until("done").ends_with("done"));
    }
    CHECK_FALSE(side.closed());
}

// Guards against: a connection was closed without the response to a request in progress, because
// the caller had sent a long request after it (LOST).
TEST_CASE("a long request on a connection in use waits for the response before it",
          "[net][contract]") {
    constexpr std::size_t longer_than_any_buffer = 1'000'000;
    net::http_exchange* held = nullptr;
    server_side side([&](net::http_exchange& exchange) {
        if (held != nullptr) {
            respond_done(exchange);
        }
        held = &exchange;
    });
    side.send_request(get_request);
    side.send_request(post_request(std::string(longer_than_any_buffer, 'x')));
    side.serve();
    REQUIRE(side.open_exchanges() == 1);
    net::send_response(*held, response_of({}), "first");
    CHECK(side.receive_until("first").ends_with("first"));
    CHECK(side.receive_until("done").ends_with("done"));
    CHECK_FALSE(side.closed());
}

// Guards against: the limits of a request on a kept connection were those of the end of the request
// before it, so a request that the configuration allows was refused (DENIED).
TEST_CASE("a request on a kept connection is read with the limits in force", "[net][contract]") {
    net::caller_limits limits;
    limits.body_bytes_ = 4;
    server_side side(respond_done, body_handling::read, limits);
    side.send_request(post_request("body"));
    REQUIRE(side.receive_until("done").ends_with("done"));
    limits.body_bytes_ = 100;
    side.set_limits(limits);
    side.send_request(post_request("a longer body"));
    CHECK(side.receive_until("done").ends_with("done"));
    CHECK_FALSE(side.closed());
}

// Guards against: a kept connection was closed by an idle timeout that a new configuration had
// raised.
TEST_CASE("a kept connection stays open for the idle timeout in force", "[net][contract]") {
    net::caller_limits limits;
    limits.idle_timeout_ = base::milliseconds(100);
    server_side side(respond_done, body_handling::read, limits);
    side.send_request(get_request);
    REQUIRE(side.receive_until("done").ends_with("done"));
    const base::duration earlier_timeout = limits.idle_timeout_;
    limits.idle_timeout_ = base::seconds(60);
    side.set_limits(limits);
    std::this_thread::sleep_for(2 * earlier_timeout);
    side.serve();
    side.send_request(get_request);
    CHECK(side.receive_until("done").ends_with("done"));
}

// Guards against: a server that had not run for a while closed kept connections as idle although
// their next requests had arrived.
TEST_CASE("a request that has arrived is read after the idle timeout", "[net][contract]") {
    net::caller_limits limits;
    limits.idle_timeout_ = base::milliseconds(100);
    server_side side(respond_done, body_handling::read, limits);
    for (int i = 0; i < 3; ++i) {
        INFO("request " << i);
        side.send_request(get_request);
        std::this_thread::sleep_for(2 * limits.idle_timeout_);
        CHECK(side.receive_until("done").ends_with("done"));
    }
    CHECK_FALSE(side.closed());
}

// Guards against: a connection was closed without an answer because the body of a request in
// progress cannot be read (LOST).
TEST_CASE("a request whose body turns out to be unreadable is refused", "[net][contract]") {
    struct unreadable_body {
        const char* chunk_;
        const char* status_;
    };
    const unreadable_body body =
        GENERATE(unreadable_body{"20\r\nmore than sixteen bytes\r\n", "413"},
                 unreadable_body{"no chunk\r\n", "400"});
    net::caller_limits limits;
    limits.body_bytes_ = 16;
    server_side side(respond_done, body_handling::read, limits);
    side.send_request("POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n");
    side.send_request("4\r\nbody\r\n");
    side.serve();
    REQUIRE(side.open_exchanges() == 1);
    side.send_request(body.chunk_);
    CHECK(side.receive_until("").starts_with(std::string("HTTP/1.1 ") + body.status_));
    CHECK(side.open_exchanges() == 0);
}

// Guards against: a connection was reset while the body of its request arrived, and the response
// that was sent before was lost with it (LOST).
TEST_CASE("a connection that ends with a response is read to the end of its request",
          "[net][contract]") {
    constexpr std::size_t body_bytes = 300'000;
    const std::string part(body_bytes / 2, 'x');
    const bool stopping = GENERATE(false, true);
    INFO((stopping ? "the server stops" : "the caller requests it"));
    server_side side(respond_done, body_handling::ignore);
    if (stopping) {
        side.close_after_responses();
    }
    side.send_request("POST /x HTTP/1.1\r\nhost: h\r\n" +
                      std::string(stopping ? "" : "connection: close\r\n") +
                      "content-length: " + std::to_string(body_bytes) + "\r\n\r\n" + part);
    side.serve();
    side.send_request(part);
    side.serve();
    CHECK_FALSE(side.send_failed());
    CHECK(side.receive_until("").ends_with("done"));
    CHECK(side.closed());
}
