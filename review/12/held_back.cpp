// One machine is cut off from the store for a while. Just after it is back, an upstream on another
// machine of its zone reports that it drains. Does that other machine, which is in touch all the
// while, still send it requests later than drainS after the store's ack?
#include "../support-3/stand_ins.h"

using namespace stand_ins;

namespace {

constexpr double drain_s = 2.0;
constexpr double contact_s = 3.0;
// How old a relaxed read is.
constexpr double relaxed_lag_s = 3.0;
constexpr double cut_s = 5.5;

std::string configuration() {
    return "{\"version\":\"00000001\",\"resources\":[" + limits_json() + "," +
           service_json("scheduler") + "," + service_json("drawings") + "," +
           route_json("orders", "/orders/", "scheduler", "non_idempotent", 4, false) + "," +
           route_json("plans", "/plans/", "drawings", "non_idempotent", 4, false) +
           ",{\"type\":\"tenants\",\"metadata\":{\"name\":\"workshop\"},\"spec\":{\"apiKeys\":["
           "\"kept-key-0001\"],\"ratePerS\":0,\"burst\":0,\"priority\":1}}]}";
}

}  // namespace

int main(int, char** arguments) {
    signal(SIGPIPE, SIG_IGN);
    record log(arguments[1]);
    const bool trouble = with_trouble();
    deployment fleet(arguments[2], relaxed_lag_s);
    for (const char* zone : {"thess-a", "thess-b", "thess-c"}) {
        fleet.add(zone, "scheduler");
        fleet.add(zone, "scheduler");
    }
    fleet.choose_ports();
    std::vector<deployment::machine>& machines = fleet.machines();
    std::map<std::string, std::unique_ptr<upstream>> upstreams;
    fleet.platform().put("op/config", configuration());
    const auto start_all = [&](long sequence) {
        for (deployment::machine& host : machines) {
            fleet.platform().put("servers/i-" + host.name_,
                                 fleet.entry(host, "ready", sequence, 1'700'000'000'000));
            fleet.start(host);
        }
        return fleet.wait_until_ready();
    };
    // A first start shows whose watches are current; that depends on the addresses alone.
    if (!start_all(1)) {
        log.line("the machines did not become ready");
        return 2;
    }
    sleep_s(3);
    deployment::machine* reader = nullptr;
    deployment::machine* other = nullptr;
    for (deployment::machine& host : machines) {
        if (host.zone_ == "thess-a") {
            (fleet.platform().reads_currently(host.name_) ? reader : other) = &host;
        }
    }
    for (deployment::machine& host : machines) {
        host.process_->end(SIGKILL);
    }
    if (reader == nullptr || other == nullptr) {
        log.line("not one machine of the zone has a current watch");
        return 2;
    }
    // The fleet of the case: the upstream beside `other` is that of the service `drawings`.
    other->service_ = "drawings";
    for (deployment::machine& host : machines) {
        upstreams[host.name_] = std::make_unique<upstream>(log, "i-" + host.name_, host.ip_,
                                                           fleet.app_port(), 0.02);
    }
    if (!start_all(2)) {
        log.line("the machines did not become ready again");
        return 2;
    }
    std::mutex mutex;
    std::map<std::string, double> sent_at;
    std::atomic<bool> ended = false;
    std::vector<std::thread> consumers;
    for (const deployment::machine& host : machines) {
        consumers.emplace_back([&] {
            for (int i = 0; !ended; ++i, sleep_s(0.05)) {
                const bool plans = &host == other && i % 5 != 0;
                const std::string id = host.name_ + "-" + std::to_string(i);
                {
                    const std::lock_guard lock(mutex);
                    sent_at[id] = now_s();
                }
                log.line("consumer on " + host.name_ + " sends " + id);
                const message response = fleet.send(
                    host,
                    std::string("POST ") + (plans ? "/plans/" : "/orders/") +
                        "bend HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id +
                        "\r\nX-Deadline-Ms: 4000\r\nX-Credential: kept-key-0001\r\n"
                        "Content-Length: 4\r\nConnection: close\r\n\r\nbend",
                    4.5);
                log.line("consumer on " + host.name_ + " gets " +
                         std::to_string(response.status_) + " for " + id);
            }
        });
    }
    sleep_s(contact_s + 2);
    if (trouble) {
        log.line("the path of " + reader->name_ + " to the store is cut (reset)");
        fleet.platform().cut(reader->name_, true);
        sleep_s(cut_s);
        const int calls = fleet.platform().calls_of(reader->name_);
        fleet.platform().cut(reader->name_, false);
        log.line("the path of " + reader->name_ + " to the store is whole again");
        while (fleet.platform().calls_of(reader->name_) == calls) {
            sleep_s(0.01);
        }
        log.line(reader->name_ + " calls the store again");
    } else {
        sleep_s(cut_s);
    }
    sleep_s(0.2);
    fleet.platform().put("servers/i-" + other->name_,
                         fleet.entry(*other, "draining", 3, 1'700'000'000'000));
    const double acked_at = now_s();
    log.line("the store acknowledges that i-" + other->name_ + " drains");
    // The upstream serves on for some seconds.
    sleep_s(6);
    ended = true;
    for (std::thread& consumer : consumers) {
        consumer.join();
    }
    int late = 0;
    int before = 0;
    double last = 0;
    for (const upstream::run& run : upstreams[other->name_]->runs()) {
        before += run.at_s_ < acked_at ? 1 : 0;
        // The consumers of no other machine send requests to it.
        if (run.at_s_ > acked_at + drain_s && sent_at.contains(run.request_id_)) {
            ++late;
        }
        last = std::max(last, run.at_s_ - acked_at);
    }
    log.line("requests that reached i-" + other->name_ + " later than drainS after the ack: " +
             std::to_string(late) + "; the last request reached it " + std::to_string(last) +
             " s after the ack");
    if (before < 50) {
        log.line("the case could not run");
        return 2;
    }
    log.line(late > 0 ? "DRAIN is broken" : "DRAIN held");
    return late > 0 ? 1 : 0;
}
