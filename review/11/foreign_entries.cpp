// Another writer's entries stand in the store: complete, but of a service that no configuration names,
// and nothing listens at their addresses. No machine fails. The operator takes a key away. Do
// machines in touch still accept it, later than configApplyS after the store's ack?
#include "../support-3/stand_ins.h"

using namespace stand_ins;

namespace {

constexpr double config_apply_s = 2.0;
constexpr double contact_s = 3.0;
// How old a relaxed read is.
constexpr double relaxed_lag_s = 3.0;
// Entries that the other writer adds to a zone at first; the number doubles with each further step.
constexpr int foreign_step = 4;
constexpr int max_foreign_steps = 6;

std::string configuration(const std::string& version, bool with_both_keys) {
    const std::string keys =
        with_both_keys ? "\"kept-key-0001\",\"taken-key-0001\"" : "\"kept-key-0001\"";
    return "{\"version\":\"" + version + "\",\"resources\":[" + limits_json() + "," +
           service_json("scheduler") + "," +
           route_json("orders", "/orders/", "scheduler", "non_idempotent", 4, false) +
           ",{\"type\":\"tenants\",\"metadata\":{\"name\":\"workshop\"},\"spec\":{\"apiKeys\":[" +
           keys + "],\"ratePerS\":0,\"burst\":0,\"priority\":1}}]}";
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
    fleet.platform().put("op/config", configuration("00000001", true));
    for (deployment::machine& host : machines) {
        upstreams[host.name_] = std::make_unique<upstream>(log, "i-" + host.name_, host.ip_,
                                                           fleet.app_port(), 0.02);
        fleet.platform().put("servers/i-" + host.name_,
                             fleet.entry(host, "ready", 1, 1'700'000'000'000));
        fleet.start(host);
    }
    if (!fleet.wait_until_ready()) {
        log.line("the machines did not become ready");
        return 2;
    }
    // Traffic with both keys on all machines that live; each request has a connection of its own.
    struct sent_request {
        double at_s_ = 0;
        std::string machine_;
        bool taken_key_ = false;
        int status_ = 0;
    };
    std::mutex mutex;
    std::map<std::string, sent_request> sent;
    std::atomic<bool> ended = false;
    std::vector<std::thread> consumers;
    for (const deployment::machine& host : machines) {
        consumers.emplace_back([&, host_name = host.name_] {
            const deployment::machine* at = nullptr;
            for (const deployment::machine& other : machines) {
                at = other.name_ == host_name ? &other : at;
            }
            for (int i = 0; !ended; ++i, sleep_s(0.05)) {
                const bool taken = i % 2 == 0;
                const std::string id = host_name + "-" + std::to_string(i);
                const double at_s = now_s();
                log.line("consumer on " + host_name + " sends " + id + " with the " +
                         (taken ? "taken" : "kept") + " key");
                const message response = fleet.send(
                    *at,
                    "POST /orders/bend HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id +
                        "\r\nX-Deadline-Ms: 4000\r\nX-Credential: " +
                        (taken ? "taken" : "kept") +
                        "-key-0001\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbend",
                    4.5);
                log.line("consumer on " + host_name + " gets " +
                         std::to_string(response.status_) + " for " + id);
                const std::lock_guard lock(mutex);
                sent[id] = {at_s, host_name, taken, response.status_};
            }
        });
    }
    // Calm for longer than contactS.
    sleep_s(contact_s + 3);
    const auto count_readers = [&](const std::string& zone) {
        int readers = 0;
        for (const deployment::machine& host : machines) {
            const bool counted = zone.empty() || host.zone_ == zone;
            readers += counted && fleet.platform().reads_currently(host.name_) ? 1 : 0;
        }
        return readers;
    };
    log.line("machines whose watch is current: " + std::to_string(count_readers("")));
    // It writes entries into each zone until no machine's watch there is a current one any more.
    const std::string foreign_ips = machines.front().ip_.substr(0, machines.front().ip_.size() - 3);
    int foreign = 0;
    for (int step = 0; trouble && step < max_foreign_steps && count_readers("") > 0; ++step) {
        int zone_number = 0;
        for (const char* zone : {"thess-a", "thess-b", "thess-c"}) {
            ++zone_number;
            const int count = count_readers(zone) > 0 ? foreign_step << step : 0;
            for (int i = 0; i < count; ++i) {
                deployment::machine stray;
                stray.ip_ = foreign_ips + std::to_string(2 + zone_number) + "." +
                            std::to_string((foreign_step << step) + i);
                stray.zone_ = zone;
                stray.service_ = "billing";
                fleet.platform().put("servers/f-" + std::to_string(++foreign),
                                     fleet.entry(stray, "ready", 1, 1'700'000'000'000));
            }
        }
        log.line("another writer has written " + std::to_string(foreign) +
                 " entries of a service that no configuration names");
        sleep_s(4);
        log.line("machines whose watch is current: " + std::to_string(count_readers("")));
    }
    sleep_s(contact_s);
    fleet.platform().put("op/config", configuration("00000002", false));
    const double acked_at = now_s();
    log.line("the store acknowledges version 00000002, which lacks the taken key");
    sleep_until_s(acked_at + 6);
    ended = true;
    for (std::thread& consumer : consumers) {
        consumer.join();
    }
    // Nothing was done to any machine or link, nor to the store.
    int late = 0;
    int served_kept = 0;
    double last_late = 0;
    for (auto& [name, server] : upstreams) {
        for (const upstream::run& run : server->runs()) {
            const sent_request& request = sent[run.request_id_];
            served_kept += !request.taken_key_ && request.at_s_ > acked_at ? 1 : 0;
            if (request.taken_key_ && request.at_s_ > acked_at + config_apply_s) {
                ++late;
                last_late = std::max(last_late, request.at_s_ - acked_at);
            }
        }
    }
    log.line("requests with the kept key that ran after the ack: " + std::to_string(served_kept));
    log.line("requests with the taken key that were sent later than configApplyS after the ack "
             "by machines in touch, and ran: " +
             std::to_string(late) + (late > 0 ? ", the last one " + std::to_string(last_late) +
                                                    " s after the ack"
                                              : ""));
    if (served_kept < 100) {
        log.line("the case could not run");
        return 2;
    }
    log.line(late > 0 ? "CONFIG is broken" : "CONFIG held");
    return late > 0 ? 1 : 0;
}
