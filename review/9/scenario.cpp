// An upstream is partitioned from the store until its entry expires, and is back after that. The
// consumers on its own machine never reach it again.
#include <random>

#include "stand_ins.h"

using namespace stand_in;

namespace {

constexpr double requests_per_s = 18;  // two upstreams can run 20 a second, one 10
constexpr std::int64_t budget_ms = 2000;
constexpr std::int64_t day_ms = 52'000;
constexpr std::int64_t cut_at_ms = 6000;       // srv_cut begins
constexpr std::int64_t expires_at_ms = 10500;  // three check-in intervals of 1.5 s later
constexpr std::int64_t back_at_ms = 17000;     // one interval after the end of 10 s of srv_cut
constexpr std::int64_t sound_at_ms = 22000;    // twice contactS after that end

}  // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        return 2;
    }
    now_ms();
    signal(SIGPIPE, SIG_IGN);
    record_file record(argv[2]);
    fleet_options options;
    options.services_ = {"orders", "orders", "catalogue"};
    options.upstreams_ = {.slots_ = 3, .queue_ = 72, .work_ms_ = 300};
    fleet fleet(argv[1], options);
    fleet.platform().put("op/config",
                         configuration(7, {"orders", "catalogue"},
                                       {{"desk.example", "/reads/", "idempotent", "orders"}},
                                       {{"fitters", {"key-1"}}}));
    if (!fleet.start_all()) {
        record.line("the processes did not start");
        return 2;
    }
    const std::int64_t begin = now_ms();
    std::vector<std::int64_t> arrivals;
    std::mt19937 random(50);
    std::exponential_distribution<double> gap(requests_per_s / 1000);
    for (double at = 0; at < day_ms; at += gap(random)) {
        arrivals.push_back(begin + static_cast<std::int64_t>(at));
    }
    std::mutex mutex;
    std::vector<sent_request> sent;
    std::vector<std::thread> consumers;
    constexpr std::size_t consumer_count = 64;
    for (std::size_t i = 0; i < consumer_count; ++i) {
        consumers.emplace_back([&, i] {
            consumer self(1);
            for (std::size_t n = i; n < arrivals.size(); n += consumer_count) {
                sleep_ms(arrivals[n] - now_ms());
                const sent_request done =
                    self.send("GET", "desk.example", "/reads/x", "q" + std::to_string(n), "key-1",
                              "", budget_ms);
                const std::lock_guard lock(mutex);
                sent.push_back(done);
            }
        });
    }
    if (trouble()) {
        sleep_ms(begin + cut_at_ms - now_ms());
        record.line("i-1, the upstream of host 1, is partitioned from the store");
        sleep_ms(begin + expires_at_ms - now_ms());
        fleet.platform().erase("servers/i-1");
        record.line("its entry expires");
        sleep_ms(begin + back_at_ms - now_ms());
        fleet.write_entry(1, "ready");
        record.line("its entry is back");
    }
    for (std::thread& thread : consumers) {
        thread.join();
    }
    const std::vector<run> runs = fleet.runs().all();
    write_all(record, sent, runs);
    const floor_check floor = check_floor(sent, runs, 2, begin + sound_at_ms, begin + day_ms);
    record.line("from 22 s on " + std::to_string(floor.served_) + " of " +
                std::to_string(floor.requests_) + " requests are served");
    record.line(
        "windows of 2 s in which one of two sound upstreams gets requests while between a "
        "tenth and half of the requests are not served: " +
        std::to_string(floor.broken_) + " of " + std::to_string(floor.windows_));
    return floor.broken_ > 0 ? 1 : 0;
}
