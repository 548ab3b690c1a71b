// Tests of what a connection for frames reports about its end, and of the bytes that it counts.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/frame_socket.h"
#include "support/local.h"
#include "wire/gen/fleet_types.h"

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

// Sends frames once its connection is open.
class frame_sender final : public net::frame_socket_events {
public:
    explicit frame_sender(std::vector<wire::frame> frames) : frames_(std::move(frames)) {}

    void on_open(net::frame_socket& socket) override {
        for (const wire::frame& frame : frames_) {
            socket.send(frame);
        }
    }
    void on_frame(net::frame_socket& /*socket*/, wire::frame&& /*frame*/) override {}
    void on_closed(net::frame_socket& /*socket*/, std::string_view /*cause*/) override {}

    std::vector<wire::frame> frames_;
};

// Accepts one connection, and stops the loop when as many frames have arrived on it.
class frame_counter final : public net::frame_socket_events {
public:
    frame_counter(net::event_loop& loop, std::size_t expected) : loop_(loop), missing_(expected) {}

    void on_open(net::frame_socket& /*socket*/) override {}
    void on_frame(net::frame_socket& /*socket*/, wire::frame&& /*frame*/) override {
        --missing_;
        if (missing_ == 0) {
            loop_.stop();
        }
    }
    void on_closed(net::frame_socket& /*socket*/, std::string_view /*cause*/) override {}

    net::event_loop& loop_;
    std::size_t missing_;
    std::unique_ptr<net::frame_socket> socket_;
};

// Returns one frame of each kind, in the order of net::frame_kind.
std::vector<wire::frame> one_frame_of_each_kind() {
    std::vector<wire::frame> frames(net::frame_kind_count);
    frames.at(0).__isset.body_ = true;
    frames.at(0).body_.bytes = std::string(1000, 'b');
    frames.at(1).__isset.ping_ = true;
    frames.at(2).__isset.update_ = true;
    frames.at(3).__isset.lease_request_ = true;
    frames.at(4).__isset.membership_ = true;
    frames.at(5).__isset.drain_ = true;
    return frames;
}

int connect_to(const base::address& address) {
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(address.port_);
    inet_pton(AF_INET, address.ip_.c_str(), &endpoint.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&endpoint), sizeof(endpoint)) == 0);
    return fd;
}

// Runs the loop until `condition` holds, which is checked with every round of events.
template <typename holds>
void run_until(net::event_loop& loop, holds condition) {
    while (!condition()) {
        loop.run_once();
    }
}

}  // namespace

TEST_CASE("the end of a connection for frames is reported with its cause", "[net][contract]") {
    const base::runtime_clock clock;
    const auto loop = std::move(net::event_loop::create(clock).value());
    const base::address address{support::loopback_ip(92), 18997};
    end_recorder recorder(*loop);
    net::frame_traffic traffic;
    const auto server =
        std::move(net::frame_server::create(*loop, address, recorder, traffic,
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

// Guards against: a connection that was idle during a pause was closed only with the next frame,
// and that frame was lost.
TEST_CASE("an idle connection is closed once the process finds that it was paused",
          "[net][contract]") {
    base::runtime_clock clock;
    const auto loop = std::move(net::event_loop::create(clock).value());
    const base::address address{support::loopback_ip(92), 18995};
    end_recorder recorder(*loop);
    net::frame_traffic traffic;
    const auto server =
        std::move(net::frame_server::create(*loop, address, recorder, traffic,
                                            [&](std::unique_ptr<net::frame_socket> socket) {
                                                recorder.socket_ = std::move(socket);
                                            })
                      .value());
    const int fd = connect_to(address);
    run_until(*loop, [&] { return recorder.socket_ != nullptr; });
    CHECK_FALSE(recorder.socket_->is_outdated());
    clock.pause();
    clock.advance(net::pause_threshold + base::milliseconds(1));
    CHECK(recorder.socket_->is_outdated());
    CHECK(recorder.socket_->is_open());
    loop->run_deferred();
    CHECK(recorder.cause_ == net::closed_by_pause);
    CHECK_FALSE(recorder.socket_->is_open());
    close(fd);
}

// Guards against: nobody could tell whether a host whose links were silent was busy sending its
// configuration, because the bytes of all frames were counted together.
TEST_CASE("the bytes that a connection exchanges are counted by the kind of their frames",
          "[net][contract]") {
    const base::runtime_clock clock;
    const auto loop = std::move(net::event_loop::create(clock).value());
    const base::address address{support::loopback_ip(92), 18996};
    const std::vector<wire::frame> frames = one_frame_of_each_kind();
    frame_counter counter(*loop, frames.size());
    net::frame_traffic server_traffic;
    const auto server =
        std::move(net::frame_server::create(*loop, address, counter, server_traffic,
                                            [&](std::unique_ptr<net::frame_socket> socket) {
                                                counter.socket_ = std::move(socket);
                                            })
                      .value());
    frame_sender sender(frames);
    net::frame_traffic client_traffic;
    const auto client = net::frame_socket::connect(*loop, address, sender, client_traffic);
    loop->run();
    for (std::size_t i = 0; i < frames.size(); ++i) {
        INFO(net::to_text(static_cast<net::frame_kind>(i)));
        const std::size_t frame_bytes = net::encode_frame(frames.at(i)).size();
        CHECK(client_traffic.sent_.at(i) == frame_bytes);
        CHECK(server_traffic.received_.at(i) == frame_bytes);
    }
    CHECK(client_traffic.received_ == net::bytes_by_kind{});
    CHECK(server_traffic.sent_ == net::bytes_by_kind{});
}

// Guards against: bytes counted as sent while only the kernel of the sender had them.
TEST_CASE("bytes count as delivered once the peer's system has them", "[net][contract]") {
    // More than a socket that nobody reads receives, but less than one sends ahead.
    constexpr std::size_t body_bytes = 700'000;
    const base::runtime_clock clock;
    const auto loop = std::move(net::event_loop::create(clock).value());
    const base::address address{support::loopback_ip(92), 18998};
    end_recorder recorder(*loop);
    net::frame_traffic traffic;
    const auto server =
        std::move(net::frame_server::create(*loop, address, recorder, traffic,
                                            [&](std::unique_ptr<net::frame_socket> socket) {
                                                recorder.socket_ = std::move(socket);
                                            })
                      .value());
    const int fd = connect_to(address);
    run_until(*loop, [&] { return recorder.socket_ != nullptr; });
    net::frame_socket& socket = *recorder.socket_;
    CHECK(socket.has_delivered(socket.bytes_queued()));
    wire::frame frame;
    frame.__isset.body_ = true;
    frame.body_.bytes = std::string(body_bytes, 'b');
    socket.send(frame);
    CHECK(socket.bytes_queued() > body_bytes);
    run_until(*loop, [&] { return socket.all_sent(); });
    CHECK_FALSE(socket.has_delivered(socket.bytes_queued()));
    SECTION("the peer reads") {
        std::array<char, 65536> buffer{};
        run_until(*loop, [&] {
            recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
            return socket.has_delivered(socket.bytes_queued());
        });
    }
    SECTION("the connection is closed") {
        socket.close();
        CHECK_FALSE(socket.has_delivered(socket.bytes_queued()));
    }
    close(fd);
}

// Guards against: a host's word that it is busy with copies of its configuration was counted apart
// from them.
TEST_CASE("all frames about the configuration are of one kind", "[net][contract]") {
    std::vector<wire::frame> frames(5);
    frames.at(0).__isset.pull_ = true;
    frames.at(1).__isset.update_ = true;
    frames.at(2).__isset.busy_ = true;
    frames.at(3).__isset.view_question_ = true;
    frames.at(4).__isset.view_answer_ = true;
    for (const wire::frame& frame : frames) {
        CHECK(net::kind_of(frame) == net::frame_kind::configuration);
    }
}
