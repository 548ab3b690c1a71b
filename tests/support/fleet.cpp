#include "support/fleet.h"

#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "support/local.h"

namespace dandelionridge::support {

namespace {

constexpr std::uint16_t callers_port = 18080;
constexpr std::uint16_t peers_port = 17070;
constexpr std::uint16_t relay_port = 17171;
constexpr std::uint16_t admin_port = 16060;
constexpr std::uint16_t platform_port = 15050;
constexpr std::uint16_t first_target_port = 19001;

}  // namespace

std::string zone_line(const std::string& zone) {
    return "zone " + zone + " region=r1 # the test";
}

std::vector<std::string> organisation_lines(const std::string& name, const std::string& key,
                                            const std::string& rate, int burst) {
    return {"organisation " + name + " rate=" + rate + " burst=" + std::to_string(burst) +
                " # the test",
            "key " + name + "-key sha256=" + base::sha256_hex(key) + " organisation=" + name +
                " # the test"};
}

std::vector<std::string> service_lines(const std::string& name, const std::string& options) {
    return {"service " + name + " " + options + " # the test",
            "route " + name + " match=*/" + name + " service=" + name + " # the test"};
}

fleet::fleet(fleet_plan plan) : plan_(std::move(plan)) {
    directory_ = make_test_directory();
    platform_ = std::make_unique<platform_stub>(base::address{loopback_ip(0), platform_port});
    std::uint16_t port = first_target_port;
    for (const fleet_target& target : plan_.targets_) {
        const base::address target_address{ip_of(target.host_), port++};
        target_addresses_[target.name_] = target_address;
        targets_[target.name_] = std::make_unique<target_stub>(target.name_, target_address);
    }
    for (const std::string& host : plan_.relayed_hosts_) {
        relays_[host] = std::make_unique<relay>(base::address{ip_of(host), relay_port},
                                                base::address{ip_of(host), peers_port});
    }
    publish_rules(plan_.rules_);
    publish_hosts({});
}

fleet::~fleet() {
    processes_.clear();
    remove_test_directory(directory_);
}

std::string fleet::ip_of(const std::string& host) const {
    return loopback_ip(std::stoul(host.substr(1)));
}

std::string fleet::zone_of(const std::string& host) const {
    return plan_.host_zones_.at(std::stoul(host.substr(1)) - 1);
}

std::vector<std::string> fleet::host_names() const {
    std::vector<std::string> names;
    for (std::size_t i = 1; i <= plan_.host_zones_.size(); ++i) {
        names.push_back("h" + std::to_string(i));
    }
    return names;
}

std::string fleet::write_settings(const std::string& host, const std::string& zone) const {
    std::string file = directory_ + "/" + host + ".ini";
    const auto address_at = [&](std::uint16_t port) {
        return base::to_string({ip_of(host), port});
    };
    std::ofstream out(file);
    out << "[host]\nname = " << host << "\nzone = " << zone
        << "\n[listen]\ncallers = " << address_at(callers_port)
        << "\npeers = " << address_at(peers_port) << "\nadmin = " << address_at(admin_port)
        << "\n[platform]\naddress = " << base::to_string({loopback_ip(0), platform_port})
        << "\n[times]\nview_bound = 800ms\n"
        << plan_.extra_settings_;
    return file;
}

void fleet::start(const std::string& host) {
    launch(host);
    wait_until_serving(host);
}

// The settings file is replaced by a FIFO, so that the process blocks on reading it until the
// signal has been sent.
void fleet::start_with_signal(const std::string& host, int signal) {
    const std::string settings = write_settings(host, zone_of(host));
    const std::string regular_file = settings + ".aside";
    std::filesystem::rename(settings, regular_file);
    if (mkfifo(settings.c_str(), 0600) != 0) {
        throw std::runtime_error("cannot create a FIFO at " + settings);
    }
    run_program(host, settings);
    std::ofstream pipe(settings);
    std::filesystem::rename(regular_file, settings);
    this->host(host).send_signal(signal);
    pipe << std::ifstream(settings).rdbuf();
    pipe.close();
    wait_until_serving(host);
}

void fleet::launch(const std::string& host) {
    run_program(host, write_settings(host, zone_of(host)));
}

void fleet::run_program(const std::string& host, const std::string& settings) {
    processes_[host] = std::make_unique<process>(
        std::vector<std::string>{program_path(), "serve", "--config", settings},
        directory_ + "/" + host + ".log");
}

void fleet::wait_until_serving(const std::string& host) const {
    if (!wait_for([&] { return admin(host, "/healthz") == "serving\n"; })) {
        throw std::runtime_error(
            "host " + host + " did not report \"serving\" within 60 s; its log: " + log_of(host));
    }
}

void fleet::kill(const std::string& host) {
    this->host(host).send_signal(SIGKILL);
    this->host(host).wait();
}

void fleet::start_all() {
    for (const std::string& host : host_names()) {
        launch(host);
    }
    for (const std::string& host : host_names()) {
        wait_until_serving(host);
        if (!wait_for([&] { return has_links_to_all(host); })) {
            throw std::runtime_error(
                "host " + host +
                " did not open links to all hosts within 60 s; its log: " + log_of(host));
        }
    }
}

bool fleet::has_links_to_all(const std::string& host) const {
    return status_number(host, "/links_open") >=
           static_cast<std::int64_t>(plan_.host_zones_.size());
}

std::string fleet::caller_address_of(const std::string& host) const {
    return base::to_string({ip_of(host), callers_port});
}

std::string fleet::admin(const std::string& host, const std::string& path) const {
    caller admin_client;
    return admin_client
        .send({.url_ = base::to_string({ip_of(host), admin_port}) + path, .timeout_ms_ = 2000})
        .body_;
}

std::int64_t fleet::status_number(const std::string& host, const std::string& pointer) const {
    const auto status = nlohmann::json::parse(admin(host, "/status"), nullptr, false);
    const nlohmann::json::json_pointer json_path(pointer);
    return status.is_object() && status.contains(json_path) && status[json_path].is_number()
               ? status[json_path].get<std::int64_t>()
               : -1;
}

std::uint16_t fleet::peer_port_of(const std::string& host) const {
    return relays_.contains(host) ? relay_port : peers_port;
}

void fleet::publish_rules(const std::vector<std::string>& lines) {
    plan_.rules_ = lines;
    platform_->publish("rules", ++rules_version_, lines);
}

void fleet::publish_hosts(const std::vector<std::string>& leaving) {
    std::vector<std::string> lines;
    for (const std::string& host : host_names()) {
        const bool is_leaving = std::find(leaving.begin(), leaving.end(), host) != leaving.end();
        nlohmann::json host_entry = {
            {"host", host},
            {"zone", zone_of(host)},
            {"address", base::to_string({ip_of(host), peer_port_of(host)})},
            {"state", is_leaving ? "leaving" : "live"},
            {"targets", nlohmann::json::array()}};
        for (const fleet_target& target : plan_.targets_) {
            if (target.host_ == host) {
                host_entry["targets"].push_back(
                    {{"target", target.name_},
                     {"service", target.service_},
                     {"address", base::to_string(target_addresses_.at(target.name_))}});
            }
        }
        lines.push_back(host_entry.dump());
    }
    platform_->publish("hosts", ++hosts_version_, lines);
}

std::map<std::string, int> fleet::all_runs() const {
    std::map<std::string, int> all;
    for (const auto& [name, target] : targets_) {
        for (const auto& [id, count] : target->runs()) {
            all[id] += count;
        }
    }
    return all;
}

int fleet::runs_of(const std::string& request_id) const {
    return all_runs()[request_id];
}

std::string fleet::log_of(const std::string& host) const {
    return file_text(directory_ + "/" + host + ".log");
}

}  // namespace dandelionridge::support
