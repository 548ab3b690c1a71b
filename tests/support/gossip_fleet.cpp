#include "support/gossip_fleet.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "net/frame_codec.h"

namespace dandelionridge::support {

namespace {

constexpr auto hosts_kind = control::config_value_kind::hosts;
// Time until a segment that was lost arrives, when it is sent again.
constexpr base::duration retransmission_time = base::milliseconds(250);

// Time until a host that closed its links is known to be absent.
constexpr base::duration absence_detection_time = base::seconds(1);
// Time for which a watch that gets no response is taken to wait.
constexpr base::duration watch_time = base::milliseconds(2250);

std::string zone_name(std::size_t number, std::size_t zones) {
    return "z" + std::to_string(1 + number % zones);
}

std::size_t number_of(const std::string& host) {
    return std::stoul(host.substr(1));
}

// Any lines are rules, with nothing in them.
base::result<config::rules_ptr> parse_rules(std::int64_t version,
                                            const std::vector<std::string>& /*lines*/) {
    auto rules = std::make_shared<config::rule_set>();
    rules->version_ = version;
    return rules;
}

// Parsers that take any lines and list the hosts that the lines name, unless `rejects` is set.
control::config_parsers lenient_parsers(const bool& rejects, std::size_t zones) {
    const base::error rejection{base::error_kind::protocol, "rejected by the test"};
    control::config_parsers parsers;
    parsers.rules_ = [&rejects, rejection](
                         std::int64_t version,
                         const std::vector<std::string>& lines) -> base::result<config::rules_ptr> {
        if (rejects) {
            return tl::unexpected(rejection);
        }
        return parse_rules(version, lines);
    };
    parsers.hosts_ = [&rejects, rejection, zones](
                         std::int64_t version,
                         const std::vector<std::string>& lines) -> base::result<config::hosts_ptr> {
        if (rejects) {
            return tl::unexpected(rejection);
        }
        std::vector<config::host_entry> hosts;
        for (const std::string& line : lines) {
            config::host_entry host;
            host.name_ = line.substr(5, line.find(' ', 5) - 5);
            host.zone_ = zone_name(number_of(host.name_), zones);
            hosts.push_back(std::move(host));
        }
        return config::make_host_list(version, std::move(hosts), 0);
    };
    return parsers;
}

}  // namespace

std::string gossip_host_name(std::size_t number) {
    return "h" + std::to_string(number);
}

std::vector<std::string> gossip_host_lines(std::size_t count, std::size_t zones) {
    std::vector<std::string> lines;
    for (std::size_t number = 0; number < count; ++number) {
        const std::string ip =
            "10.0." + std::to_string(number / 200) + "." + std::to_string(1 + number % 200);
        std::string line = "host " + gossip_host_name(number);
        line += " zone=";
        line += zone_name(number, zones);
        line += " peers=";
        line += ip;
        line += ":7070 targets=t";
        line += std::to_string(number);
        line += " padding=";
        line.append(120, 'x');
        lines.push_back(std::move(line));
    }
    return lines;
}

struct gossip_fleet::simulated_host final : control::peer_sender {
    simulated_host(gossip_fleet& fleet, std::size_t number)
        : fleet_(fleet),
          number_(number),
          configuration_(lenient_parsers(rejects_, fleet.options_.zones_)),
          gossip_(fleet.clock_, configuration_, *this,
                  {.host_ = gossip_host_name(number),
                   .zone_ = fleet.zone_of(number),
                   .interval_ = fleet.options_.interval_,
                   .strict_ = false,
                   .platform_lead_ = fleet.options_.platform_lead_,
                   .link_bytes_per_second_ = fleet.options_.link_bytes_per_second_},
                  base::random_engine(number)) {}

    void on_accepted(control::config_value_kind kind) {
        gossip_.on_accepted(kind);
        if (kind == hosts_kind) {
            gossip_.on_hosts_changed();
        }
    }

    void send(const std::string& peer, const wire::frame& frame) override {
        if (reachable(peer)) {
            fleet_.deliver(number_, number_of(peer), frame);
        }
    }

    bool reachable(const std::string& peer) const override {
        const std::size_t number = number_of(peer);
        return number < fleet_.hosts_.size() &&
               fleet_.hosts_[number]->link_fault_ != link_fault::closed;
    }

    bool absent(const std::string& peer) const override {
        const std::size_t number = number_of(peer);
        if (number >= fleet_.hosts_.size()) {
            return fleet_.options_.finds_missing_hosts_;
        }
        const simulated_host& host = *fleet_.hosts_[number];
        return host.link_fault_ == link_fault::closed &&
               fleet_.clock_.now() - host.link_fault_at_ >= absence_detection_time;
    }

    gossip_fleet& fleet_;
    std::size_t number_;
    bool rejects_ = false;
    control::configuration configuration_;
    control::gossip gossip_;
    link_fault link_fault_ = link_fault::none;
    base::instant link_fault_at_{};
    bool frozen_ = false;
    bool platform_available_ = true;
    bool platform_confirms_ = true;
    // The host takes its own reads for current until then.
    base::instant current_until_{};
    std::size_t bytes_sent_ = 0;
    std::size_t pulls_ = 0;
};

gossip_fleet::gossip_fleet(std::size_t count, gossip_fleet_options options) : options_(options) {
    clock_.pause();
    for (std::size_t number = 0; number < count; ++number) {
        hosts_.push_back(std::make_unique<simulated_host>(*this, number));
    }
}

gossip_fleet::~gossip_fleet() = default;

control::configuration& gossip_fleet::configuration_of(std::size_t number) {
    return hosts_[number]->configuration_;
}

bool gossip_fleet::watches_platform(std::size_t number) const {
    return hosts_[number]->gossip_.watches_platform();
}

bool gossip_fleet::reads_currently(std::size_t number) const {
    return hosts_[number]->gossip_.reads_currently();
}

std::size_t gossip_fleet::bytes_sent_by(std::size_t number) const {
    return hosts_[number]->bytes_sent_;
}

std::size_t gossip_fleet::pulls_at(std::size_t number) const {
    return hosts_[number]->pulls_;
}

bool gossip_fleet::has(std::size_t number, control::config_value_kind kind,
                       std::int64_t version) const {
    return hosts_[number]->configuration_.version(kind) == version;
}

std::size_t gossip_fleet::count_with(control::config_value_kind kind, std::int64_t version) const {
    std::size_t count = 0;
    for (std::size_t number = 0; number < hosts_.size(); ++number) {
        count += has(number, kind, version) ? 1 : 0;
    }
    return count;
}

std::string gossip_fleet::zone_of(std::size_t number) const {
    return zone_name(number, options_.zones_);
}

void gossip_fleet::offer_to(std::size_t number, control::config_value_kind kind,
                            std::int64_t version, const std::vector<std::string>& lines) {
    simulated_host& receiver = *hosts_[number];
    if (receiver.configuration_.offer_lines(kind, version, lines) ==
        control::offer_outcome::accepted) {
        receiver.on_accepted(kind);
    }
}

void gossip_fleet::greet_all(std::size_t number) {
    const wire::config_versions versions = hosts_[number]->gossip_.versions();
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
        if (other != number) {
            hosts_[other]->gossip_.on_versions(gossip_host_name(number), versions,
                                               reply_sender(other, number));
        }
    }
}

void gossip_fleet::set_link_fault(std::size_t number, link_fault fault) {
    hosts_[number]->link_fault_ = fault;
    hosts_[number]->link_fault_at_ = clock_.now();
}

void gossip_fleet::freeze(std::size_t number) {
    hosts_[number]->frozen_ = true;
    hosts_[number]->link_fault_ = link_fault::loses_all;
}

void gossip_fleet::refuse_platform(std::size_t number) {
    hosts_[number]->platform_available_ = false;
    hosts_[number]->gossip_.set_platform_failing(true);
    silence_platform(number);
}

void gossip_fleet::silence_platform(std::size_t number) {
    simulated_host& host = *hosts_[number];
    host.platform_confirms_ = false;
    // A host whose calls are refused knows at once, one whose watch waits only after its wait.
    host.current_until_ = clock_.now() + (host.platform_available_ ? watch_time : base::duration{});
}

void gossip_fleet::reject_versions(std::size_t number) {
    hosts_[number]->rejects_ = true;
}

void gossip_fleet::run(base::duration time) {
    for (base::duration elapsed{}; elapsed < time; elapsed += gossip_tick) {
        clock_.advance(gossip_tick);
        handle_delayed();
        for (const auto& host : hosts_) {
            if (host->frozen_) {
                continue;
            }
            if (host->gossip_.reads_currently() && host->platform_confirms_) {
                host->configuration_.confirm(clock_.now());
                host->current_until_ = clock_.now();
            }
            if (host->current_until_ > base::instant{}) {
                host->gossip_.record_own_reads(std::min(clock_.now(), host->current_until_));
            }
            host->gossip_.tick(host->platform_available_);
        }
    }
}

control::frame_sender gossip_fleet::reply_sender(std::size_t from, std::size_t to) {
    return [this, from, to](const wire::frame& frame) { deliver(from, to, frame); };
}

bool gossip_fleet::is_lost(std::size_t from, std::size_t to) const {
    const link_fault sender = hosts_[from]->link_fault_;
    const link_fault receiver = hosts_[to]->link_fault_;
    return sender == link_fault::loses_sent || sender == link_fault::loses_all ||
           receiver == link_fault::loses_received || receiver == link_fault::loses_all;
}

bool gossip_fleet::is_repeated(std::size_t from, std::size_t to) {
    if (hosts_[from]->link_fault_ != link_fault::repeats_half &&
        hosts_[to]->link_fault_ != link_fault::repeats_half) {
        return false;
    }
    return ++repeating_messages_ % 2 == 1;
}

void gossip_fleet::handle_delayed() {
    std::vector<delayed_message> due;
    const auto first_due = std::stable_partition(
        delayed_.begin(), delayed_.end(),
        [&](const delayed_message& message) { return message.due_ > clock_.now(); });
    std::move(first_due, delayed_.end(), std::back_inserter(due));
    delayed_.erase(first_due, delayed_.end());
    for (const delayed_message& message : due) {
        handle(message.from_, message.to_, message.frame_);
    }
}

void gossip_fleet::deliver(std::size_t from, std::size_t to, const wire::frame& frame) {
    hosts_[from]->bytes_sent_ += net::encode_frame(frame).size();
    hosts_[to]->pulls_ += frame.__isset.pull_ ? 1 : 0;
    if (is_lost(from, to)) {
        return;
    }
    if (is_repeated(from, to)) {
        delayed_.push_back({clock_.now() + retransmission_time, from, to, frame});
    } else {
        handle(from, to, frame);
    }
}

void gossip_fleet::handle(std::size_t from, std::size_t to, const wire::frame& frame) {
    simulated_host& receiver = *hosts_[to];
    const std::string sender = gossip_host_name(from);
    const control::frame_sender reply = reply_sender(to, from);
    if (frame.__isset.pull_) {
        receiver.gossip_.on_pull(sender, frame.pull_, reply);
    } else if (frame.__isset.view_question_) {
        wire::frame answer;
        answer.__set_view_answer_(
            receiver.gossip_.on_view_request(sender, frame.view_question_, reply));
        reply(answer);
    } else if (frame.__isset.view_answer_) {
        receiver.gossip_.on_view_reply(sender, frame.view_answer_, reply);
    } else if (frame.__isset.busy_) {
        receiver.gossip_.on_busy(sender, frame.busy_);
    } else if (frame.__isset.update_) {
        const auto outcome = receiver.gossip_.on_update(sender, frame.update_, reply);
        if (outcome == control::offer_outcome::accepted) {
            const bool is_rules = frame.update_.value == wire::config_value::rules;
            receiver.on_accepted(is_rules ? control::config_value_kind::rules : hosts_kind);
        }
    }
}

}  // namespace dandelionridge::support
