// The notices on silent hosts that the processes of a fleet exchange.
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "net/frame_socket.h"
#include "support/loop_thread.h"
#include "support/plans.h"
#include "wire/gen/fleet_types.h"

using namespace dandelionridge;
using namespace dandelionridge::support;

namespace {

// Longer than the pings on a link go on after its last frame.
constexpr auto idle_time = std::chrono::milliseconds(1000);

bool log_contains(const fleet& fleet, const std::string& host, const std::string& text) {
    return fleet.log_of(host).find(text) != std::string::npos;
}

std::size_t count_in_log(const fleet& fleet, const std::string& host, const std::string& text) {
    const std::string log = fleet.log_of(host);
    std::size_t count = 0;
    for (auto at = log.find(text); at != std::string::npos; at = log.find(text, at + 1)) {
        ++count;
    }
    return count;
}

// Returns the address on which a host listens for its peers.
base::address peer_address_of(const fleet& fleet, const std::string& host) {
    const std::string log = fleet.log_of(host);
    const std::string key = R"("peers":")";
    const auto begin = log.find(key) + key.size();
    return *base::parse_address(log.substr(begin, log.find('"', begin) - begin));
}

// A peer that opens a link and sends frames on it.
class fake_peer final : public net::frame_socket_events {
public:
    explicit fake_peer(const base::address& address) {
        thread_.run([&] {
            socket_ = net::frame_socket::connect(thread_.loop(), address, *this, traffic_);
        });
    }
    fake_peer(const fake_peer&) = delete;
    fake_peer& operator=(const fake_peer&) = delete;
    ~fake_peer() override {
        thread_.run([this] { socket_.reset(); });
    }

    void send(const wire::frame& frame) {
        thread_.run([&] { socket_->send(frame); });
    }

    bool has_welcome() {
        bool result = false;
        thread_.run([&] { result = welcomed_; });
        return result;
    }

    int pongs() {
        int result = 0;
        thread_.run([&] { result = pongs_; });
        return result;
    }

    void on_open(net::frame_socket& socket) override {
        wire::frame frame;
        frame.__isset.hello_ = true;
        frame.hello_.boot = 17;
        frame.hello_.link = 1;
        frame.hello_.host = "h3";
        socket.send(frame);
    }
    void on_frame(net::frame_socket& /*socket*/, wire::frame&& frame) override {
        welcomed_ = welcomed_ || frame.__isset.welcome_;
        pongs_ += frame.__isset.pong_ ? 1 : 0;
    }
    void on_closed(net::frame_socket& /*socket*/, std::string_view /*cause*/) override {}

private:
    loop_thread thread_;
    net::frame_traffic traffic_;
    std::unique_ptr<net::frame_socket> socket_;
    bool welcomed_ = false;
    int pongs_ = 0;
};

wire::host_notice make_entry(const std::string& host, std::int32_t boot, wire::host_state state) {
    wire::host_notice entry;
    entry.host = host;
    entry.boot_tag = boot;
    entry.state = state;
    entry.age_ms = 300;
    return entry;
}

}  // namespace

// Guards against: each host finds a frozen one only by a request of its own that it loses.
TEST_CASE("a host that one process finds silent is known to the others", "[membership]") {
    fleet_plan plan = orders_plan({"z1", "z1", "z1", "z2", "z2"}, {"h2"}, "slots=5 timeout=20s");
    plan.extra_settings_ = "freshness = lenient\n";
    fleet fleet(plan);
    fleet.start_all();
    std::this_thread::sleep_for(idle_time);
    fleet.host("h2").send_signal(SIGSTOP);
    auto request = send_in_background(order_request(fleet, "h1", "a", "POST"));
    for (const std::string host : {"h3", "h4", "h5"}) {
        CHECK(wait_for([&] { return log_contains(fleet, host, R"("silent_hosts":"h2")"); }));
    }
    fleet.host("h2").send_signal(SIGCONT);
    request.get();
    for (const std::string host : {"h1", "h3", "h4", "h5"}) {
        CHECK(wait_for([&] {
            return fleet.has_links_to_all(host) &&
                   fleet.status_number(host, "/silent_host_count") == 0;
        }));
    }
}

// Guards against: a damaged or newer notice ends the link, or has a host suspected.
TEST_CASE("a notice with impossible entries is dropped and its link stays", "[membership]") {
    fleet_plan plan = orders_plan({"z1", "z1"}, {"h2"}, "slots=5 timeout=20s");
    plan.extra_settings_ = "freshness = lenient\n";
    fleet fleet(plan);
    fleet.start_all();
    fake_peer peer(peer_address_of(fleet, "h1"));
    REQUIRE(wait_for([&] { return peer.has_welcome(); }));

    wire::frame invalid;
    invalid.__isset.membership_ = true;
    invalid.membership_.hosts = {make_entry("h2", 5, static_cast<wire::host_state>(9)),
                                 make_entry("h2", -1, wire::host_state::silent)};
    peer.send(invalid);
    wire::frame too_long;
    too_long.__isset.membership_ = true;
    too_long.membership_.hosts.assign(1000, make_entry("h2", 5, wire::host_state::silent));
    peer.send(too_long);
    wire::frame ping;
    ping.__isset.ping_ = true;
    ping.ping_.nonce = 1;
    peer.send(ping);

    CHECK(wait_for([&] { return peer.pongs() == 1; }));
    CHECK(count_in_log(fleet, "h1", R"("event":"membership_notice_rejected")") == 2);
    CHECK(fleet.status_number("h1", "/silent_host_count") == 0);
}
