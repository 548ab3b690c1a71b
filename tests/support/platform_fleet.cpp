#include "support/platform_fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "config/line_history.h"
#include "config/settings.h"
#include "control/gossip.h"
#include "platform/environment.h"
#include "platform/store_feed.h"

namespace dandelionridge::support {

namespace {

using control::config_value_kind;
using nlohmann::json;

// As the platform's template and the settings' defaults have them.
constexpr base::duration request_interval = base::milliseconds(500);
constexpr base::duration gather_time = base::milliseconds(500);
constexpr base::duration watch_wait = base::milliseconds(400);
constexpr base::duration max_view_age = base::seconds(5);
constexpr base::duration entry_expiry = base::milliseconds(5500);
constexpr double fast_link_bytes_per_second = 1e9 / 8;
constexpr std::uint16_t peer_port = 7070;

// Time until a host without a process is found absent, and one that does not answer unreachable.
constexpr base::duration absence_time = base::milliseconds(400);
constexpr base::duration silence_time = base::milliseconds(900);

constexpr std::int64_t versions_per_revision = 1000;
constexpr std::int64_t version_offset = 500;

std::int64_t hosts_version(std::int64_t revision) {
    return revision * versions_per_revision + version_offset;
}

std::string ip_of(std::size_t host) {
    return "10.0." + std::to_string(host / 200) + "." + std::to_string(1 + host % 200);
}

std::string entry_key(std::size_t host) {
    return "servers/" + platform_fleet::target_name(host);
}

json make_entry(const std::string& service, const std::string& ip, const std::string& zone,
                const std::string& state, std::int64_t sequence) {
    return {{"service", service},
            {"address", ip + ":9001"},
            {"zone", zone},
            {"version", "v1"},
            {"slots", 5},
            {"state", state},
            {"warmupLeftS", 0},
            {"seq", sequence},
            {"born", 1'700'000'000'000}};
}

// A route as operators write them; names are drawn, as in real ones.
json make_route(std::size_t number) {
    const std::string name = base::sha256_hex("route " + std::to_string(number)).substr(0, 8);
    return {{"type", "routes"},
            {"metadata", {{"name", name}}},
            {"spec",
             {{"host", name + ".example"},
              {"prefix", "/" + name.substr(4) + "/"},
              {"service", "orders"},
              {"kind", "idempotent"},
              {"timeoutS", 10},
              {"targetLatencyS", 2},
              {"maxAttempts", 3},
              {"priority", 1}}}};
}

// Bytes of the configuration that a message carries.
std::size_t copy_bytes(const wire::config_update& update) {
    return config::total_bytes(update.removed) + config::total_bytes(update.added) +
           update.packed.size();
}

std::string zone_name(std::size_t zone) {
    return "z" + std::to_string(zone);
}

config::settings make_settings() {
    config::settings settings;
    settings.peer_listen_address_ = {"10.0.0.1", peer_port};
    return settings;
}

}  // namespace

std::string platform_fleet::target_name(std::size_t host) {
    return "i-" + std::to_string(host);
}

struct platform_fleet::fleet_host final : control::peer_sender {
    // The process of a host: gone with it.
    struct process {
        process(fleet_host& host, std::uint64_t seed)
            : environment_(platform::make_environment(make_settings())),
              configuration_(environment_.parsers_),
              gossip_(host.fleet_.clock_, configuration_, host,
                      {.host_ = ip_of(host.number_),
                       .zone_ = zone_name(host.fleet_.zone_of(host.number_)),
                       .interval_ = request_interval,
                       .strict_ = false,
                       .platform_lead_ = gather_time,
                       .max_view_age_ = max_view_age,
                       .link_bytes_per_second_ = host.fleet_.host_link_rate()},
                      base::random_engine(seed)) {
            configuration_.on_accepted([this](config_value_kind kind) {
                gossip_.on_accepted(kind);
                if (kind == config_value_kind::hosts) {
                    gossip_.on_hosts_changed();
                }
            });
            auto client = std::make_unique<simulated_store_client>(host.fleet_.store_,
                                                                   host.fleet_.host_link_rate());
            client_ = client.get();
            client_->set_path(host.path_);
            feed_ = std::make_unique<platform::store_feed>(
                std::move(client), platform::watch_times{watch_wait, gather_time, entry_expiry},
                make_callbacks(), base::random_engine(seed));
        }

        control::config_feed_callbacks make_callbacks() {
            control::config_feed_callbacks callbacks;
            callbacks.published_ = [this](config_value_kind kind, std::int64_t version,
                                          const std::vector<std::string>& lines) {
                configuration_.offer_lines(kind, version, lines);
            };
            callbacks.confirmed_ = [this](base::instant at) { configuration_.confirm(at); };
            callbacks.failed_ = [this](const base::error&) {
                gossip_.set_platform_failing(!feed_->platform_available());
            };
            callbacks.recovered_ = [this] { gossip_.set_platform_failing(false); };
            callbacks.restored_ = [](std::int64_t, std::int64_t) {};
            callbacks.hold_changed_ = [this](const control::platform_hold& hold) {
                configuration_.set_hold(hold);
            };
            return callbacks;
        }

        void step() {
            client_->step();
            if (const auto as_of = feed_->current_as_of()) {
                gossip_.record_own_reads(*as_of);
            }
            gossip_.tick(feed_->platform_available());
            feed_->set_current_reads(gossip_.reads_currently(), gossip_.evidence_age());
        }

        node::environment environment_;
        control::configuration configuration_;
        control::gossip gossip_;
        simulated_store_client* client_ = nullptr;
        std::unique_ptr<platform::store_feed> feed_;
    };

    fleet_host(platform_fleet& fleet, std::size_t number) : fleet_(fleet), number_(number) {}

    bool answers() const { return process_ != nullptr && !frozen_ && links_ == host_links::open; }

    void send(const std::string& peer, const wire::frame& frame) override {
        fleet_.deliver(number_, peer, frame);
    }

    bool reachable(const std::string& peer) const override {
        const fleet_host* other = fleet_.find(peer);
        if (other == nullptr || other->process_ == nullptr) {
            return false;
        }
        return other->answers() || fleet_.now() - other->disturbed_at_ < silence_time;
    }

    bool absent(const std::string& peer) const override {
        const fleet_host* other = fleet_.find(peer);
        if (other == nullptr) {
            return true;
        }
        const base::duration disturbed = fleet_.now() - other->disturbed_at_;
        return !other->answers() && disturbed >= silence_time + absence_time;
    }

    platform_fleet& fleet_;
    std::size_t number_;
    std::unique_ptr<process> process_;
    bool frozen_ = false;
    store_path path_ = store_path::open;
    host_links links_ = host_links::open;
    base::instant disturbed_at_{};
    // Until then its link is taken by copies in each direction.
    base::instant sends_until_{};
    base::instant receives_until_{};
    // Calls of earlier processes.
    std::size_t earlier_calls_ = 0;
};

platform_fleet::platform_fleet(std::size_t zones, std::size_t hosts_per_zone, std::uint64_t seed,
                               base::duration relaxed_lag, link_rates rates)
    : rates_(rates), store_(clock_), zones_(zones), seed_(seed) {
    clock_.pause();
    store_.set_relaxed_lag(relaxed_lag);
    store_.set_link_rate(rates.store_);
    change_rules();
    for (std::size_t host = 0; host < zones * hosts_per_zone; ++host) {
        add_host();
    }
}

platform_fleet::~platform_fleet() = default;

std::size_t platform_fleet::add_host() {
    const std::size_t number = hosts_.size();
    hosts_.push_back(std::make_unique<fleet_host>(*this, number));
    numbers_[ip_of(number)] = number;
    write_entry(number, "ready");
    start(number);
    return number;
}

std::int64_t platform_fleet::write_entry(std::size_t host, const std::string& state) {
    const std::string value =
        make_entry("orders", ip_of(host), zone_name(zone_of(host)), state, ++entry_sequence_)
            .dump();
    return hosts_version(store_.put(entry_key(host), value));
}

std::int64_t platform_fleet::erase_entry(std::size_t host) {
    return hosts_version(store_.erase(entry_key(host)));
}

bool platform_fleet::has_entry(std::size_t host) const {
    return store_.contains(entry_key(host));
}

void platform_fleet::write_odd_entry(std::size_t number, const std::string& service,
                                     const std::string& zone,
                                     std::optional<std::size_t> same_address_as) {
    constexpr std::size_t first_odd_host = 10'000;
    const std::string ip = ip_of(same_address_as.value_or(first_odd_host + number));
    store_.put("servers/odd-" + std::to_string(number),
               make_entry(service, ip, zone, "ready", 0).dump());
}

std::int64_t platform_fleet::change_rules(std::size_t added_routes) {
    ++rules_version_;
    route_count_ += added_routes;
    char version[9];
    static_cast<void>(
        std::snprintf(version, sizeof(version), "%08x", static_cast<unsigned>(rules_version_)));
    const json service = {{"type", "services"},
                          {"metadata", {{"name", "orders"}}},
                          {"spec", {{"healthPath", "/health"}}}};
    json resources = json::array({service});
    for (std::size_t route = 0; route < route_count_; ++route) {
        resources.push_back(make_route(route));
    }
    store_.put("op/config", json{{"version", version}, {"resources", resources}}.dump());
    return rules_version_;
}

void platform_fleet::kill(std::size_t host) {
    fleet_host& killed = *hosts_[host];
    if (killed.process_ != nullptr) {
        killed.earlier_calls_ += killed.process_->client_->current_calls();
    }
    killed.process_.reset();
    killed.disturbed_at_ = now();
}

void platform_fleet::start(std::size_t host) {
    fleet_host& started = *hosts_[host];
    started.frozen_ = false;
    started.process_ = std::make_unique<fleet_host::process>(
        started, seed_ * 1'000'003 + host * 1009 + static_cast<std::uint64_t>(entry_sequence_));
}

void platform_fleet::set_frozen(std::size_t host, bool frozen) {
    hosts_[host]->frozen_ = frozen;
    hosts_[host]->disturbed_at_ = now();
}

void platform_fleet::set_store_path(std::size_t host, store_path path) {
    hosts_[host]->path_ = path;
    if (hosts_[host]->process_ != nullptr) {
        hosts_[host]->process_->client_->set_path(path);
    }
}

void platform_fleet::set_links(std::size_t host, host_links links) {
    hosts_[host]->links_ = links;
    hosts_[host]->disturbed_at_ = now();
}

bool platform_fleet::is_running(std::size_t host) const {
    return hosts_[host]->process_ != nullptr && !hosts_[host]->frozen_;
}

bool platform_fleet::reads_currently(std::size_t host) const {
    return is_running(host) && hosts_[host]->process_->gossip_.reads_currently();
}

const control::configuration& platform_fleet::configuration_of(std::size_t host) const {
    return hosts_[host]->process_->configuration_;
}

std::size_t platform_fleet::current_calls() const {
    std::size_t calls = 0;
    for (const auto& host : hosts_) {
        calls += host->earlier_calls_;
        calls += host->process_ != nullptr ? host->process_->client_->current_calls() : 0;
    }
    return calls;
}

void platform_fleet::step() {
    clock_.advance(tick);
    store_.transfer(tick);
    deliver_due_copies();
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        if (is_running(host)) {
            hosts_[host]->process_->step();
        }
    }
}

platform_fleet::fleet_host* platform_fleet::find(const std::string& name) const {
    const auto found = numbers_.find(name);
    return found == numbers_.end() ? nullptr : hosts_[found->second].get();
}

double platform_fleet::host_link_rate() const {
    return rates_.host_ > 0 ? rates_.host_ : fast_link_bytes_per_second;
}

// Delivers a message. A copy of a configuration value takes both hosts' links for as long as they
// need for it.
void platform_fleet::deliver(std::size_t from, const std::string& to, const wire::frame& frame) {
    fleet_host* receiver = find(to);
    if (receiver == nullptr) {
        return;
    }
    if (rates_.host_ == 0 || !frame.__isset.update_) {
        deliver_now(from, receiver->number_, frame);
        return;
    }
    fleet_host& sender = *hosts_[from];
    const double seconds = static_cast<double>(copy_bytes(frame.update_)) / rates_.host_;
    const base::instant starts = std::max({now(), sender.sends_until_, receiver->receives_until_});
    const base::instant due =
        starts + std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
    sender.sends_until_ = due;
    receiver->receives_until_ = due;
    copies_.push_back({due, from, receiver->number_, frame});
}

void platform_fleet::deliver_due_copies() {
    const auto first_due = std::stable_partition(
        copies_.begin(), copies_.end(), [&](const auto& copy) { return copy.due_ > now(); });
    const std::vector<copy_in_transit> due(std::make_move_iterator(first_due),
                                           std::make_move_iterator(copies_.end()));
    copies_.erase(first_due, copies_.end());
    for (const copy_in_transit& copy : due) {
        deliver_now(copy.from_, copy.to_, copy.frame_);
    }
}

void platform_fleet::deliver_now(std::size_t from, std::size_t to, const wire::frame& frame) {
    fleet_host* receiver = hosts_[to].get();
    const fleet_host& sender = *hosts_[from];
    if (!is_running(to) || !is_running(from) || sender.links_ == host_links::loses_sent ||
        receiver->links_ == host_links::loses_received) {
        return;
    }
    control::gossip& gossip = receiver->process_->gossip_;
    const std::string sender_name = ip_of(from);
    const control::frame_sender reply = [this, number = receiver->number_,
                                         sender_name](const wire::frame& answer) {
        deliver(number, sender_name, answer);
    };
    if (frame.__isset.pull_) {
        gossip.on_pull(sender_name, frame.pull_, reply);
    } else if (frame.__isset.view_question_) {
        wire::frame answer;
        answer.__set_view_answer_(gossip.on_view_request(sender_name, frame.view_question_, reply));
        reply(answer);
    } else if (frame.__isset.view_answer_) {
        gossip.on_view_reply(sender_name, frame.view_answer_, reply);
    } else if (frame.__isset.busy_) {
        gossip.on_busy(sender_name, frame.busy_);
    } else if (frame.__isset.update_) {
        gossip.on_update(sender_name, frame.update_, reply);
    }
}

}  // namespace dandelionridge::support
