// What the path through entry and guard adds, against the target asked directly, in the same run:
// latency, requests per second of processor time, and memory per idle caller connection.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "support/plans.h"

namespace {

using namespace dandelionridge::support;
using clock_type = std::chrono::steady_clock;

constexpr int callers = 4;
constexpr int requests_a_caller = 1500;
// Pause between the requests of a caller, so that the load is that of a small fleet, not a flood.
constexpr std::chrono::milliseconds pace(2);
constexpr int idle_connections = 2000;

struct latencies {
    std::vector<double> direct_ms_;
    std::vector<double> through_ms_;
};

double percentile(std::vector<double> values, double share) {
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

double timed(caller& one, const caller_request& request) {
    const auto began = clock_type::now();
    const auto answer = one.send(request);
    const std::chrono::duration<double, std::milli> took = clock_type::now() - began;
    if (answer.status_ != 200) {
        std::cerr << "status " << answer.status_ << " " << answer.body_ << '\n';
    }
    return took.count();
}

// Asks directly and through the fleet in turn, so that both see the same machine.
latencies run_caller(const fleet& fleet, const std::string& direct) {
    caller to_target;
    caller to_caller_proxy;
    latencies measured;
    for (int i = 0; i < requests_a_caller; ++i) {
        caller_request request = order_request(fleet, "h1", "b", "GET");
        measured.through_ms_.push_back(timed(to_caller_proxy, request));
        request.url_ = direct + "/orders/b";
        measured.direct_ms_.push_back(timed(to_target, request));
        std::this_thread::sleep_for(pace);
    }
    return measured;
}

latencies run_callers(const fleet& fleet, const std::string& direct) {
    std::vector<latencies> each(callers);
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back(
            [&, i] { each[static_cast<std::size_t>(i)] = run_caller(fleet, direct); });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    latencies all;
    for (const latencies& one : each) {
        all.direct_ms_.insert(all.direct_ms_.end(), one.direct_ms_.begin(), one.direct_ms_.end());
        all.through_ms_.insert(all.through_ms_.end(), one.through_ms_.begin(),
                               one.through_ms_.end());
    }
    return all;
}

// Processor time of a process so far, in seconds.
double processor_s(const process& one) {
    std::ifstream stat("/proc/" + std::to_string(one.pid()) + "/stat");
    std::string word;
    double ticks = 0;
    constexpr int user_field = 14;
    constexpr int system_field = 15;
    for (int field = 1; field <= system_field && stat >> word; ++field) {
        if (field >= user_field) {
            ticks += std::stod(word);
        }
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// Processor time of a process without callers: what control costs.
void measure_control(fleet& fleet) {
    constexpr std::chrono::seconds span(5);
    const double before = processor_s(fleet.host("h1"));
    std::this_thread::sleep_for(span);
    const double used = processor_s(fleet.host("h1")) - before;
    std::cout << "bench control_core_percent="
              << used / std::chrono::duration<double>(span).count() * 100
              << " resident_mb=" << static_cast<double>(fleet.host("h1").resident_bytes()) / 1e6
              << '\n';
}

void measure_idle_connections(fleet& fleet, const dandelionridge::base::address& entry) {
    const std::size_t before = fleet.host("h1").resident_bytes();
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(entry.port_);
    inet_pton(AF_INET, entry.ip_.c_str(), &at.sin_addr);
    std::vector<int> open;
    const std::string request = "HEAD /nowhere HTTP/1.1\r\nhost: x\r\n\r\n";
    for (int i = 0; i < idle_connections; ++i) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        char answer[2048];
        const bool served = connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0 &&
                            write(fd, request.data(), request.size()) > 0 &&
                            read(fd, answer, sizeof(answer)) > 0;
        if (!served) {
            close(fd);
            break;
        }
        open.push_back(fd);
    }
    const std::size_t after = fleet.host("h1").resident_bytes();
    std::cout << "bench idle_connections=" << open.size()
              << " bytes_each=" << (after - before) / std::max<std::size_t>(1, open.size()) << '\n';
    for (const int fd : open) {
        close(fd);
    }
}

}  // namespace

int main() {
    fleet fleet(orders_plan({"z1", "z1"}, {"h2"}, "slots=50"));
    fleet.start_all();
    const std::string direct = dandelionridge::base::to_string(fleet.target_address("t1"));
    const double entry_before = processor_s(fleet.host("h1"));
    const double guard_before = processor_s(fleet.host("h2"));
    const auto began = clock_type::now();
    const latencies measured = run_callers(fleet, direct);
    const std::chrono::duration<double> took = clock_type::now() - began;
    const double requests = callers * requests_a_caller;
    for (const double share : {0.5, 0.99}) {
        const double through = percentile(measured.through_ms_, share);
        const double straight = percentile(measured.direct_ms_, share);
        std::cout << "bench percentile=" << share * 100 << " direct_ms=" << straight
                  << " through_ms=" << through << " added_ms=" << through - straight << '\n';
    }
    const double entry_s = processor_s(fleet.host("h1")) - entry_before;
    const double guard_s = processor_s(fleet.host("h2")) - guard_before;
    std::cout << "bench requests_per_s=" << requests / took.count()
              << " entry_us_per_request=" << entry_s / requests * 1e6
              << " guard_us_per_request=" << guard_s / requests * 1e6
              << " requests_per_core_s=" << requests / (entry_s + guard_s) << '\n';
    measure_control(fleet);
    measure_idle_connections(
        fleet, dandelionridge::base::parse_address(fleet.caller_address_of("h1")).value());
    return 0;
}
