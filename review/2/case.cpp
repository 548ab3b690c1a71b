// Case 2: connections between a host's process and its upstream are reset while consumers send
// non-idempotent requests with chunked bodies. See claim.txt.
#include "../support/standin.h"

using namespace review;

namespace {

constexpr int slots = 5;
constexpr double work_s = 0.005;
constexpr int clients = 36;
constexpr double traffic_s = 60;
// One host of three at a time (a share of 0.33), and 0.55 of its connections to its upstream: the
// bench's entry is { kind = "reset_conns", share = 0.35, x = 0.55 }.
constexpr double reset_gap_s = 1;
constexpr double reset_share = 0.55;

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    record_file record(argv[2]);
    run_book book;
    deployment fleet({.services_ = {"orders", "orders", "orders"}, .slots_ = slots}, argv[1]);
    std::vector<std::unique_ptr<upstream>> upstreams;
    std::vector<std::unique_ptr<tcp_proxy>> proxies;
    fleet.platform().put("op/config", fleet.configuration("0000000c", 10));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        upstreams.push_back(std::make_unique<upstream>(fleet.ip(i), "i-" + std::to_string(i + 1),
                                                       book, record, slots, work_s));
        upstreams[i]->make_body_ = [](const message& request) {
            return std::string(request.method_ == "GET" ? 600'000 : 30, 'd');
        };
        proxies.push_back(
            std::make_unique<tcp_proxy>(fleet.ip(i), 0, upstreams[i]->where()));
        fleet.write_entry(i, proxies[i]->where(), upstreams[i]->id());
    }
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.start(i, proxies[i]->where());
    }
    if (!fleet.wait_ready()) {
        fleet.explain(record);
        record.result("the processes did not become ready");
        return 2;
    }
    std::atomic<bool> stop = false;
    std::mutex sent_mutex;
    std::map<std::string, sent_request> sent;
    std::atomic<int> answered = 0;
    std::atomic<int> failed = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] {
            std::mt19937_64 random(1000 + static_cast<unsigned>(i));
            consumer self(fleet.callers(static_cast<std::size_t>(i) % fleet.size()));
            while (!stop) {
                sent_request request;
                request.id_ = random_id(random);
                request.host_ = "orders.example";
                // A quarter of the consumers read drawings of 600 kB, the others place orders with
                // chunked bodies.
                if (i % 4 == 0) {
                    request.method_ = "GET";
                    request.path_ = "/reads/" + request.id_.substr(0, 4);
                } else {
                    request.path_ = "/orders/" + request.id_.substr(0, 4);
                    request.body_ = "order " + request.id_ + " " + std::string(260, 'x');
                    request.chunked_ = true;
                }
                {
                    const std::lock_guard lock(sent_mutex);
                    sent[request.id_] = request;
                }
                record.line("sent     " + request.id_ + " " + request.method_ + " " +
                            request.path_ + " body " + std::to_string(request.body_.size()) +
                            " bytes");
                const outcome result = self.send(request);
                const bool ok =
                    result.end_ == http_stream::end::message && result.answer_.status_ == 200;
                (ok ? answered : failed)++;
                record.line("answered " + request.id_ + " " +
                            (result.end_ == http_stream::end::message
                                 ? std::to_string(result.answer_.status_) + " " +
                                       result.answer_.header("x-dandelionridge-reason")
                                 : to_text(result.end_)));
                sleep_s(0.002 * static_cast<double>(random() % 20));
            }
        });
    }
    std::mt19937 random(7);
    const double begin = now_s();
    int resets = 0;
    while (now_s() - begin < traffic_s) {
        sleep_s(reset_gap_s);
        if (trouble()) {
            const std::size_t host = random() % fleet.size();
            const std::size_t count = proxies[host]->reset(reset_share, random);
            ++resets;
            record.line("reset    " + std::to_string(count) + " connections to " +
                        upstreams[host]->id());
        }
    }
    stop = true;
    for (std::thread& thread : threads) {
        thread.join();
    }
    int wrong = 0;
    int twice = 0;
    for (const auto& [id, runs] : book.all()) {
        const auto found = sent.find(id);
        const bool idempotent = found != sent.end() && found->second.method_ == "GET";
        twice += runs.size() > 1 && !idempotent ? 1 : 0;
        for (const run_entry& run : runs) {
            const bool same = found != sent.end() && run.method_ == found->second.method_ &&
                              run.path_ == found->second.path_ && run.body_ == found->second.body_;
            if (!same) {
                ++wrong;
                record.result("UNASKED broken: request " + id + " ran at " + run.upstream_ +
                              " with a body of " + std::to_string(run.body_.size()) +
                              " bytes; sent were " +
                              (found == sent.end() ? "none"
                                                   : std::to_string(found->second.body_.size())));
            }
        }
    }
    record.result(std::to_string(sent.size()) + " requests, " + std::to_string(answered) +
                  " answered 200, " + std::to_string(failed) + " otherwise, " +
                  std::to_string(resets) + " resets; " + std::to_string(wrong) +
                  " runs with another body, " + std::to_string(twice) + " not idempotent ran twice");
    if (answered == 0) {
        return 2;
    }
    return wrong > 0 || twice > 0 ? 1 : 0;
}
