// Tests of what a connection for frames reports about its end.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "net/frame_socket.h"
#include "support/local.h"

using namespace dandelionridge;

namespace {

// Accepts one connection, and stops the loop when it has ended.
class end_recorder final : public net::frame_socket_events {
public:
    explicit end_recorder(net::event_loop& loop) : loop_(loop) {}

    void on_open(net::frame_socket& /*socket*/) override {}
    void on_frame(net::frame_socket& /*socket*/, wire::frame&& /*frame*/) override {}
    void on_closed(net::frame_socket& /*socket*/, std::string_view cause) override {
        cause_ = cause;
        loop_.stop();
    }

    net::event_loop& loop_;
    std::unique_ptr<net::frame_socket> socket_;
    std::string cause_;
};

int connect_to(const base::address& address) {
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(address.port_);
    inet_pton(AF_INET, address.ip_.c_str(), &endpoint.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&endpoint), sizeof(endpoint)) == 0);
    return fd;
}

}  // namespace

TEST_CASE("the end of a connection for frames is reported with its cause", "[net][contract]") {
    const base::runtime_clock clock;
    const auto loop = std::move(net::event_loop::create(clock).value());
    const base::address address{support::loopback_ip(92), 18997};
    end_recorder recorder(*loop);
    const auto server =
        std::move(net::frame_server::create(*loop, address, recorder,
                                            [&](std::unique_ptr<net::frame_socket> socket) {
                                                recorder.socket_ = std::move(socket);
                                            })
                      .value());
    const int fd = connect_to(address);
    SECTION("an orderly close") {
        close(fd);
        loop->run();
        CHECK(recorder.cause_ == net::closed_by_peer);
    }
    SECTION("a reset") {
        const linger no_linger{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
        close(fd);
        loop->run();
        CHECK(recorder.cause_ == "connection lost");
    }
    SECTION("bytes that are no frame") {
        const std::string garbage(64, '\xff');
        REQUIRE(send(fd, garbage.data(), garbage.size(), MSG_NOSIGNAL) > 0);
        loop->run();
        CHECK(recorder.cause_.starts_with("invalid frame: "));
        close(fd);
    }
}
