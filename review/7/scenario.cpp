// An upstream leaves, and a key is dropped, while the store's reads with serializable = 1 are 3 s
// old.
#include "stand_ins.h"

using namespace stand_in;

namespace {

constexpr std::int64_t read_age_ms = 3000;
constexpr std::int64_t drain_ms = 2000;         // drainS
constexpr std::int64_t config_apply_ms = 2000;  // configApplyS

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
    options.upstreams_ = {.slots_ = 7, .queue_ = 72, .work_ms_ = 30};
    fleet fleet(argv[1], options);
    const std::vector<std::string> services = {"orders", "catalogue"};
    const std::vector<route> routes = {{"desk.example", "/orders/", "non_idempotent", "orders"},
                                       {"desk.example", "/reads/", "idempotent", "orders"}};
    fleet.platform().put("op/config",
                         configuration(7, services, routes, {{"fitters", {"key-1", "key-2"}}}));
    if (!fleet.start_all()) {
        record.line("the processes did not start");
        return 2;
    }
    if (trouble()) {
        fleet.platform().relaxed_age_ms_ = read_age_ms;
        record.line("reads with serializable = 1 are 3 s old from now on");
    }
    std::atomic<bool> stop = false;
    std::mutex mutex;
    std::vector<sent_request> sent;
    std::set<std::string> sent_with_key_2;
    std::vector<std::thread> consumers;
    for (int i = 0; i < 16; ++i) {
        consumers.emplace_back([&, i] {
            consumer self(1 + i % 4);
            for (int n = 0; !stop; ++n) {
                const std::string id = "q" + std::to_string(i) + "-" + std::to_string(n);
                const bool order = n % 2 == 0;
                const bool key_2 = n % 3 == 0;
                const sent_request done = self.send(
                    order ? "POST" : "GET", "desk.example", order ? "/orders/x" : "/reads/x", id,
                    key_2 ? "key-2" : "key-1", order ? "an order" : "", 6000);
                {
                    const std::lock_guard lock(mutex);
                    sent.push_back(done);
                    if (key_2) {
                        sent_with_key_2.insert(id);
                    }
                }
                sleep_ms(30);
            }
        });
    }
    sleep_ms(6000);
    fleet.write_entry(1, "draining");
    const std::int64_t leaving_at = now_ms();
    record.line("the store has accepted that i-1, the upstream of host 1, is draining");
    sleep_ms(7000);
    fleet.platform().put("op/config", configuration(9, services, routes, {{"fitters", {"key-1"}}}));
    const std::int64_t dropped_at = now_ms();
    record.line("the store has accepted version 9, which drops key-2");
    sleep_ms(7000);
    stop = true;
    for (std::thread& thread : consumers) {
        thread.join();
    }
    const std::vector<run> runs = fleet.runs().all();
    write_all(record, sent, runs);
    int late = 0;
    std::int64_t last_run = 0;
    for (const run& one : runs) {
        if (one.host_ == 1 && one.at_ms_ > leaving_at + drain_ms) {
            ++late;
            last_run = std::max(last_run, one.at_ms_ - leaving_at);
        }
    }
    int with_dropped_key = 0;
    std::int64_t last_sent = 0;
    for (const sent_request& request : sent) {
        if (request.status_ == 200 && request.sent_ms_ > dropped_at + config_apply_ms &&
            sent_with_key_2.contains(request.id_)) {
            ++with_dropped_key;
            last_sent = std::max(last_sent, request.sent_ms_ - dropped_at);
        }
    }
    record.line("DRAIN: runs at i-1 later than 2 s after its leaving was accepted: " +
                std::to_string(late) + ", the last after " + std::to_string(last_run) + " ms");
    record.line(
        "CONFIG: requests with key-2 that were sent later than 2 s after version 9 was "
        "accepted, and were served: " +
        std::to_string(with_dropped_key) + ", the last sent after " + std::to_string(last_sent) +
        " ms");
    return late > 0 || with_dropped_key > 0 ? 1 : 0;
}
