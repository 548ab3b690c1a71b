// A new version of the configuration moves a key from one tenant to another. Requests with that key
// wait for slots or are on their way meanwhile.
#include "stand_ins.h"

using namespace stand_in;

namespace {

constexpr int hosts = 4;
constexpr int consumers_per_host = 6;
constexpr int changes = 8;

}  // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        return 2;
    }
    now_ms();
    signal(SIGPIPE, SIG_IGN);
    record_file record(argv[2]);
    fleet_options options;
    options.services_ = {"orders", "orders", "orders", "catalogue"};
    options.upstreams_ = {.slots_ = 3, .queue_ = 72, .work_ms_ = 300};
    fleet fleet(argv[1], options);
    const std::vector<route> routes = {{"desk.example", "/orders/", "non_idempotent", "orders"},
                                       {"desk.example", "/reads/", "idempotent", "orders"}};
    const auto with_key_at = [&](int version, bool second) {
        std::vector<tenant> tenants = {{"fitters-a", {"key-of-a"}}, {"fitters-b", {"key-of-b"}}};
        tenants[second ? 1 : 0].keys_.push_back("moving-key");
        return configuration(version, {"orders", "catalogue"}, routes, tenants);
    };
    int version = 7;
    fleet.platform().put("op/config", with_key_at(version, false));
    if (!fleet.start_all()) {
        record.line("the processes did not start");
        return 2;
    }
    std::atomic<bool> stop = false;
    std::mutex mutex;
    std::vector<sent_request> sent;
    std::vector<std::thread> consumers;
    for (int i = 0; i < hosts * consumers_per_host; ++i) {
        consumers.emplace_back([&, i] {
            consumer self(1 + i % hosts);
            for (int n = 0; !stop; ++n) {
                const std::string id = "q" + std::to_string(i) + "-" + std::to_string(n);
                const bool order = n % 2 == 0;
                const sent_request done = self.send(order ? "POST" : "GET", "desk.example",
                                                    order ? "/orders/x" : "/reads/x", id,
                                                    "moving-key", order ? "an order" : "", 6000);
                {
                    const std::lock_guard lock(mutex);
                    sent.push_back(done);
                }
                if (done.status_ != 200) {
                    sleep_ms(200);
                }
            }
        });
    }
    bool second = false;
    for (int change = 0; change < changes; ++change) {
        sleep_ms(3000);
        if (trouble()) {
            second = !second;
            version += 3;
            fleet.platform().put("op/config", with_key_at(version, second));
            record.line("the store has accepted version " + std::to_string(version) +
                        ": moving-key is a key of " + (second ? "fitters-b" : "fitters-a"));
        }
    }
    sleep_ms(3000);
    stop = true;
    for (std::thread& thread : consumers) {
        thread.join();
    }
    write_all(record, sent, fleet.runs().all());
    int denied = 0;
    std::map<std::string, int> answers;
    for (const sent_request& request : sent) {
        ++answers[std::to_string(request.status_) + " " + request.reason_];
        denied +=
            request.status_ == 401 || request.status_ == 403 || request.status_ == 404 ? 1 : 0;
    }
    for (const auto& [answer, count] : answers) {
        record.line("answers " + answer + ": " + std::to_string(count));
    }
    const double allowed = 5 + static_cast<double>(sent.size()) / 500;
    record.line(
        "denied: " + std::to_string(denied) + " of " + std::to_string(sent.size()) +
        " requests, each of which every version allows; allowed: " + std::to_string(allowed));
    return denied > allowed ? 1 : 0;
}
