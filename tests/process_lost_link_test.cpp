// Reads whose link between processes is lost during their run.
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "net/event_loop.h"
#include "support/plans.h"
#include "support/raw_caller.h"

using namespace dandelionridge;
using namespace dandelionridge::support;

namespace {

using std::chrono::milliseconds;

// What a caller that has left may keep a target at work, where links are sound.
constexpr milliseconds max_work_after_caller(500);
// A caller proxy has given up a read this long after the loss of its link.
constexpr milliseconds caller_proxy_wait(2000);
constexpr milliseconds frozen_time =
    std::chrono::duration_cast<milliseconds>(net::pause_threshold + std::chrono::milliseconds(500));
// Time for the test's own observation of an event.
constexpr milliseconds observation_time(300);

// The caller proxy h1 reaches the only target, beside h2, through a relay. An attempt that may have
// run is not repeated.
fleet_plan relayed_plan() {
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, "slots=5 timeout=20s");
    plan.relayed_hosts_ = {"h2"};
    plan.extra_settings_ =
        "freshness = lenient\ndrain_bound = 10s\n[retries]\nratio = 0\nslack = 0\n";
    return plan;
}

int count_in_log(const fleet& fleet, const std::string& host, const std::string& text) {
    const std::string log = fleet.log_of(host);
    int count = 0;
    for (std::size_t at = log.find(text); at != std::string::npos; at = log.find(text, at + 1)) {
        ++count;
    }
    return count;
}

bool has_run(const fleet& fleet, const std::string& id) {
    return fleet.runs_of(id) > 0;
}

// Breaks the links that are open now at the next reply to a ping, and waits until the caller proxy
// has noticed.
void cut_link(fleet& fleet) {
    const int lost_before = count_in_log(fleet, "h1", R"("event":"link_lost")");
    fleet.relay_of("h2").cut_open_links_after(0);
    REQUIRE(wait_for(
        [&] { return count_in_log(fleet, "h1", R"("event":"link_lost")") > lost_before; }));
}

// Sends a read whose caller leaves after that time.
std::future<caller_response> send_impatiently(const fleet& fleet, const std::string& id,
                                              milliseconds patience) {
    caller_request request = order_request(fleet, "h1", id, "GET");
    request.timeout_ms_ = static_cast<long>(patience.count());
    return send_in_background(request);
}

// Returns the time until the target works on no more than `count` requests.
milliseconds time_until_in_flight(fleet& fleet, std::size_t count) {
    const auto begin = std::chrono::steady_clock::now();
    REQUIRE(wait_for([&] { return fleet.target("t1").in_flight() <= count; }));
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
}

}  // namespace

// Guards against: the run of a read was cancelled when its link was lost, and the caller got 504
// although the run would have ended long before the deadline.
TEST_CASE("a read whose link is lost is answered by its run", "[lost-link]") {
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.delay_ = milliseconds(1500)});
    auto read = send_in_background(order_request(fleet, "h1", "a", "GET"));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    cut_link(fleet);
    CHECK(read.get().status_ == 200);
    CHECK(fleet.runs_of("a") == 1);
}

// Guards against: the run of a read was cancelled when the link on which its caller proxy had asked
// for it was lost as well.
TEST_CASE("a read that loses two links is answered by its run", "[lost-link]") {
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.delay_ = milliseconds(1800)});
    auto read = send_in_background(order_request(fleet, "h1", "a", "GET"));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    for (int losses = 1; losses <= 2; ++losses) {
        cut_link(fleet);
        REQUIRE(wait_for(
            [&] { return count_in_log(fleet, "h1", R"("event":"attempt_resolved")") == losses; }));
    }
    CHECK(fleet.target("t1").in_flight() == 1);
    CHECK(read.get().status_ == 200);
    CHECK(fleet.runs_of("a") == 1);
    CHECK(count_in_log(fleet, "h1", R"("fate":"running")") == 2);
}

// Guards against: a response that was ready while no link was open was lost.
TEST_CASE("a read whose run ends while no link is open is answered by it", "[lost-link]") {
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.delay_ = milliseconds(1000)});
    auto read = send_in_background(order_request(fleet, "h1", "a", "GET"));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    fleet.relay_of("h2").refuse_new_links(true);
    cut_link(fleet);
    CHECK(fleet.target("t1").in_flight() == 1);
    REQUIRE(wait_for([&] { return fleet.target("t1").in_flight() == 0; }));
    fleet.relay_of("h2").refuse_new_links(false);
    CHECK(read.get().status_ == 200);
    CHECK(fleet.runs_of("a") == 1);
}

// Guards against: the start of a long response was sent on no link, and the caller got 504.
TEST_CASE("a long response that begins while no link is open is passed on", "[lost-link]") {
    constexpr std::uint64_t size = 3'000'000;
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.delay_ = milliseconds(800)});
    const std::string method = GENERATE("GET", "POST");
    caller_request request = order_request(fleet, "h1", "a", method);
    request.url_ += "?bytes=" + std::to_string(size);
    auto response = send_in_background(request);
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    fleet.relay_of("h2").refuse_new_links(true);
    cut_link(fleet);
    std::this_thread::sleep_until(fleet.target("t1").run_times().front() + milliseconds(1000));
    fleet.relay_of("h2").refuse_new_links(false);
    const caller_response received = response.get();
    CHECK(received.status_ == 200);
    CHECK(received.body_bytes_ == size);
    CHECK(fleet.runs_of("a") == 1);
}

// Guards against: the run of a read was cancelled because its caller proxy had stood still for a
// while and ended its links when it woke.
TEST_CASE("a read whose caller proxy stands still is answered by its run", "[lost-link]") {
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.delay_ = frozen_time + milliseconds(1300)});
    auto read = send_in_background(order_request(fleet, "h1", "a", "GET"));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    fleet.host("h1").send_signal(SIGSTOP);
    std::this_thread::sleep_for(frozen_time);
    fleet.host("h1").send_signal(SIGCONT);
    CHECK(read.get().status_ == 200);
    CHECK(fleet.runs_of("a") == 1);
}

// Guards against: a caller that left while no link was open kept the target at work.
TEST_CASE("the run of a read whose caller left while no link was open is cancelled",
          "[lost-link]") {
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::hang});
    auto read = send_impatiently(fleet, "a", milliseconds(1000));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    fleet.relay_of("h2").refuse_new_links(true);
    cut_link(fleet);
    CHECK(read.get().timed_out_);
    CHECK(fleet.target("t1").in_flight() == 1);
    const int opened_before = fleet.relay_of("h2").opened();
    fleet.relay_of("h2").refuse_new_links(false);
    REQUIRE(wait_for([&] { return fleet.relay_of("h2").opened() > opened_before; }));
    CHECK(time_until_in_flight(fleet, 0) < max_work_after_caller);
    CHECK(count_in_log(fleet, "h2", R"("cause":"not asked for on a later link")") == 1);
}

// Guards against: a caller that left, on a link that stood still, kept the target at work until its
// deadline, because the target proxy did not notice that a later link had replaced this one.
TEST_CASE("the run of a read whose caller left on a silent link is cancelled", "[lost-link]") {
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::hang});
    auto read = send_impatiently(fleet, "a", milliseconds(400));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    const int opened_before = fleet.relay_of("h2").opened();
    fleet.relay_of("h2").hold_open_links(relay_direction::to_target_proxy);
    fleet.relay_of("h2").hold_open_links(relay_direction::to_caller_proxy);
    CHECK(read.get().timed_out_);
    REQUIRE(wait_for([&] { return fleet.relay_of("h2").opened() > opened_before; }));
    CHECK(time_until_in_flight(fleet, 0) < max_work_after_caller);
    fleet.relay_of("h2").release();
}

// Guards against: a run that its caller proxy had given up went on because another one of the same
// lost link was still wanted.
TEST_CASE("only the reads that are asked for on a later link go on", "[lost-link]") {
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.delay_ = milliseconds(2000)});
    auto wanted = send_in_background(order_request(fleet, "h1", "a", "GET"));
    auto left = send_impatiently(fleet, "b", milliseconds(900));
    REQUIRE(wait_for([&] { return has_run(fleet, "a") && has_run(fleet, "b"); }));
    fleet.relay_of("h2").refuse_new_links(true);
    cut_link(fleet);
    CHECK(left.get().timed_out_);
    CHECK(fleet.target("t1").in_flight() == 2);
    fleet.relay_of("h2").refuse_new_links(false);
    REQUIRE(
        wait_for([&] { return count_in_log(fleet, "h1", R"("event":"attempt_resolved")") == 1; }));
    CHECK(time_until_in_flight(fleet, 1) < observation_time);
    CHECK(wanted.get().status_ == 200);
    CHECK(count_in_log(fleet, "h2", R"("cause":"not asked for")") == 1);
}

// Guards against: a target worked on for a caller proxy that did not come back.
TEST_CASE("the run of a read is cancelled once its caller proxy has given it up", "[lost-link]") {
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::hang});
    auto read = send_in_background(order_request(fleet, "h1", "a", "GET"));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    fleet.relay_of("h2").refuse_new_links(true);
    cut_link(fleet);
    CHECK(fleet.target("t1").in_flight() == 1);
    CHECK(time_until_in_flight(fleet, 0) < caller_proxy_wait + observation_time);
    CHECK(count_in_log(fleet, "h2", R"("cause":"no later link")") == 1);
    CHECK(read.get().status_ == 504);
}

// Guards against: a caller proxy waited for the response of a run that had been cancelled.
TEST_CASE("a caller proxy that asks for a cancelled run is told at once", "[lost-link]") {
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::hang});
    auto read = send_in_background(order_request(fleet, "h1", "a", "GET"));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    fleet.host("h1").send_signal(SIGSTOP);
    // The ping that is on its way breaks the link.
    fleet.relay_of("h2").cut_open_links_after(0);
    fleet.relay_of("h2").refuse_new_links(true);
    REQUIRE(wait_for([&] { return fleet.target("t1").in_flight() == 0; }));
    fleet.relay_of("h2").refuse_new_links(false);
    fleet.host("h1").send_signal(SIGCONT);
    const auto woken = std::chrono::steady_clock::now();
    const caller_response response = read.get();
    CHECK(response.status_ == 504);
    CHECK(response.reason() == "answer_lost");
    CHECK(std::chrono::steady_clock::now() - woken < caller_proxy_wait / 2);
    CHECK(fleet.runs_of("a") == 1);
}

// Guards against: a target worked on for a caller proxy that had ended and started anew.
TEST_CASE("the run of a read is cancelled when its caller proxy has restarted", "[lost-link]") {
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::hang});
    auto read = send_in_background(order_request(fleet, "h1", "a", "GET"));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    fleet.kill("h1");
    CHECK_FALSE(read.get().complete_);
    CHECK(fleet.target("t1").in_flight() == 1);
    fleet.start("h1");
    REQUIRE(wait_for([&] { return fleet.has_links_to_all("h1"); }));
    CHECK(time_until_in_flight(fleet, 0) < observation_time);
    CHECK(count_in_log(fleet, "h2", R"("cause":"caller proxy restarted")") == 1);
}

// Guards against: a host that stops cancelled the run of a read whose link was lost.
TEST_CASE("a stopping host completes a read whose link is lost", "[lost-link]") {
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.delay_ = milliseconds(1500)});
    auto read = send_in_background(order_request(fleet, "h1", "a", "GET"));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    fleet.host("h2").send_signal(SIGTERM);
    cut_link(fleet);
    CHECK(read.get().status_ == 200);
    CHECK(fleet.runs_of("a") == 1);
    CHECK(fleet.host("h2").wait() == 0);
}

// Guards against: a host could not stop because of a run that nobody asked for.
TEST_CASE("a stopping host does not wait long for a caller proxy that is gone", "[lost-link]") {
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::hang});
    auto read = send_in_background(order_request(fleet, "h1", "a", "GET"));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    fleet.relay_of("h2").refuse_new_links(true);
    fleet.host("h2").send_signal(SIGTERM);
    cut_link(fleet);
    CHECK(fleet.host("h2").wait() == 0);
    CHECK(count_in_log(fleet, "h2", R"("event":"run_cut")") == 0);
    CHECK(count_in_log(fleet, "h2", R"("cause":"no later link")") == 1);
    CHECK(read.get().status_ == 504);
}

// Guards against: a response that breaks off with the second link that its attempt loses, and that
// nothing ends: the first loss came before its head, which ends the request's deadline.
TEST_CASE("a response that breaks off with a second link is ended in time", "[lost-link]") {
    constexpr milliseconds service_timeout(4000);
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, "slots=5 timeout=4s");
    plan.relayed_hosts_ = {"h2"};
    plan.extra_settings_ = "freshness = lenient\n[retries]\nratio = 0\nslack = 0\n";
    fleet fleet(plan);
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::endless_body, .delay_ = milliseconds(1500)});
    caller_request request = order_request(fleet, "h1", "a", "POST");
    request.discard_body_ = true;
    request.timeout_ms_ = (4 * service_timeout).count();
    auto response = send_in_background(request);
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    cut_link(fleet);
    REQUIRE(wait_for([&] { return request.body_started_->load(); }));
    fleet.relay_of("h2").refuse_new_links(true);
    cut_link(fleet);
    const auto lost_at = std::chrono::steady_clock::now();
    CHECK_FALSE(response.get().timed_out_);
    CHECK(std::chrono::steady_clock::now() - lost_at <= service_timeout + observation_time);
}

// Guards against: a response that was sent again after the loss of its link, and had arrived whole,
// was broken off because its caller read it for longer than the service's timeout (LOST).
TEST_CASE("a slow caller gets a response that was sent again after its link was lost",
          "[lost-link]") {
    constexpr std::uint64_t size_bytes = 900'000;
    constexpr milliseconds service_timeout(2000);
    constexpr int small_buffer_bytes = 16 * 1024;
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, "slots=5 timeout=2s");
    plan.relayed_hosts_ = {"h2"};
    plan.extra_settings_ = "freshness = lenient\n";
    fleet fleet(plan);
    fleet.start_all();
    fleet.target("t1").set({.delay_ = milliseconds(300)});
    caller_request request = order_request(fleet, "h1", "a", "GET");
    const std::string path = "/orders/a?bytes=" + std::to_string(size_bytes);
    request.url_ += "?bytes=" + std::to_string(size_bytes);
    request.headers_.emplace_back("Connection: close");
    fleet.relay_of("h2").cut_open_links_after(100'000);
    const raw_caller caller(request, small_buffer_bytes);
    REQUIRE(
        wait_for([&] { return count_in_log(fleet, "h1", R"("event":"attempt_resolved")") == 1; }));
    std::this_thread::sleep_for(2 * service_timeout);
    CHECK(caller.receive_all().ends_with(download_bytes(path, 0, size_bytes)));
    CHECK(fleet.runs_of("a") == 1);
}

// Guards against: a read that waited for a link to open while its process stood still was refused
// as if no target could be reached.
TEST_CASE("a read that waits for a link goes on after a pause of its process", "[lost-link]") {
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.delay_ = milliseconds(1000)});
    auto earlier_read = send_in_background(order_request(fleet, "h1", "earlier", "GET"));
    REQUIRE(wait_for([&] { return has_run(fleet, "earlier"); }));
    cut_link(fleet);
    fleet.relay_of("h2").set_delay(milliseconds(150));
    auto read = send_in_background(order_request(fleet, "h1", "a", "GET"));
    // The link is being opened.
    std::this_thread::sleep_for(milliseconds(200));
    fleet.host("h1").send_signal(SIGSTOP);
    CHECK_FALSE(has_run(fleet, "a"));
    std::this_thread::sleep_for(frozen_time);
    fleet.relay_of("h2").set_delay(milliseconds(0));
    fleet.host("h1").send_signal(SIGCONT);
    const caller_response response = read.get();
    INFO(response.outcome() << " " << response.reason());
    CHECK(response.status_ == 200);
    CHECK(fleet.runs_of("a") == 1);
}

// Guards against: the wait for the status of a read ran out while its caller proxy stood still, and
// the read ended before its target proxy was asked.
TEST_CASE("a read in doubt is asked about after a pause of its caller proxy", "[lost-link]") {
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.delay_ = milliseconds(1000)});
    auto read = send_in_background(order_request(fleet, "h1", "a", "GET"));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    fleet.relay_of("h2").refuse_new_links(true);
    cut_link(fleet);
    fleet.host("h1").send_signal(SIGSTOP);
    std::this_thread::sleep_for(frozen_time);
    REQUIRE(fleet.target("t1").in_flight() == 0);
    fleet.relay_of("h2").refuse_new_links(false);
    fleet.host("h1").send_signal(SIGCONT);
    const caller_response response = read.get();
    INFO(response.outcome() << " " << response.reason());
    CHECK(response.status_ == 200);
    CHECK(fleet.runs_of("a") == 1);
}
