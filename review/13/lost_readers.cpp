// Three of six machines lose power at once: those whose watches of the store are current. Right
// after that the operator takes a key away. Do the other machines still accept it, later than
// configApplyS after the store's ack?
#include "../support-3/stand_ins.h"

using namespace stand_ins;

namespace {

constexpr double config_apply_s = 2.0;
constexpr double contact_s = 3.0;
// How old a relaxed read is.
constexpr double relaxed_lag_s = 3.0;
// How long the machines have no power.
constexpr double dark_s = 5.0;

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
    std::set<std::string> dark;
    std::atomic<bool> ended = false;
    std::vector<std::thread> consumers;
    for (const deployment::machine& host : machines) {
        consumers.emplace_back([&, host_name = host.name_] {
            const deployment::machine* at = nullptr;
            for (const deployment::machine& other : machines) {
                at = other.name_ == host_name ? &other : at;
            }
            for (int i = 0; !ended; ++i, sleep_s(0.05)) {
                {
                    const std::lock_guard lock(mutex);
                    if (dark.contains(host_name)) {
                        continue;
                    }
                }
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
    std::vector<std::string> readers;
    for (const deployment::machine& host : machines) {
        if (fleet.platform().reads_currently(host.name_)) {
            readers.push_back(host.name_);
        }
    }
    log.line("machines whose watch is current: " + std::to_string(readers.size()));
    const bool half_at_most = !readers.empty() && readers.size() * 2 <= machines.size();
    if (trouble && half_at_most) {
        {
            const std::lock_guard lock(mutex);
            dark.insert(readers.begin(), readers.end());
        }
        for (deployment::machine& host : machines) {
            if (dark.contains(host.name_)) {
                log.line(host.name_ + " loses power, with its upstream");
                host.process_->end(SIGKILL);
                upstreams[host.name_]->end();
            }
        }
    }
    sleep_s(0.2);
    fleet.platform().put("op/config", configuration("00000002", false));
    const double acked_at = now_s();
    log.line("the store acknowledges version 00000002, which lacks the taken key");
    // The entries of upstreams that are silent for three check-ins go.
    sleep_until_s(acked_at - 0.2 + 4.5);
    for (const std::string& name : readers) {
        if (dark.contains(name)) {
            fleet.platform().erase("servers/i-" + name);
        }
    }
    sleep_until_s(acked_at - 0.2 + dark_s);
    for (deployment::machine& host : machines) {
        if (dark.contains(host.name_)) {
            log.line(host.name_ + " has power again");
            upstreams[host.name_ + "+"] = std::make_unique<upstream>(
                log, "j-" + host.name_, host.ip_, fleet.app_port(), 0.02);
            fleet.platform().put("servers/j-" + host.name_,
                                 fleet.entry(host, "ready", 1, 1'700'000'100'000));
            fleet.start(host);
        }
    }
    sleep_until_s(acked_at + 8);
    ended = true;
    for (std::thread& consumer : consumers) {
        consumer.join();
    }
    // Every consumer's machine that lives was in touch all the while: only others lost power.
    int late = 0;
    int served_kept = 0;
    double last_late = 0;
    for (auto& [name, server] : upstreams) {
        for (const upstream::run& run : server->runs()) {
            const sent_request& request = sent[run.request_id_];
            served_kept += !request.taken_key_ && request.at_s_ > acked_at ? 1 : 0;
            if (request.taken_key_ && request.at_s_ > acked_at + config_apply_s &&
                !dark.contains(request.machine_)) {
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
    if (served_kept < 100 || (trouble && !half_at_most)) {
        log.line("the case could not run");
        return 2;
    }
    log.line(late > 0 ? "CONFIG is broken" : "CONFIG held");
    return late > 0 ? 1 : 0;
}
