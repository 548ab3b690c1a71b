#include "support/quota_simulation.h"

namespace dandelionridge::support::quota_simulation {

void request::on_admitted() {
    fleet_.admitted_.push_back(fleet_.clock_.now());
}

void request::on_over_rate(base::duration /*retry_after*/) {
    ++fleet_.refused_;
}

simulated_host::simulated_host(simulated_fleet& fleet, std::size_t index)
    : fleet_(fleet), index_(index) {}

void simulated_host::boot() {
    last_run_at_ = fleet_.clock_.now();
    configuration_ = std::make_unique<control::configuration>();
    configuration_->offer_lines(
        control::config_value_kind::rules, 1,
        {"zone z1 # test", "organisation " + organisation + " rate=20/s" + " burst=20 # test"});
    quota_ = std::make_unique<control::fleet_quota>(fleet_.clock_, *configuration_, *this,
                                                    fleet_.names_[index_], fleet_.tolerance_);
    set_hosts(fleet_.names_, 1);
}

void simulated_host::set_hosts(const std::vector<std::string>& names, std::int64_t version) {
    std::vector<std::string> lines;
    lines.reserve(names.size());
    for (const std::string& name : names) {
        lines.push_back(R"({"host":")" + name +
                        R"(","zone":"z1","address":"10.0.0.1:1","state":"live","targets":[]})");
    }
    configuration_->offer_lines(control::config_value_kind::hosts, version, lines);
    quota_->on_hosts_changed();
}

void simulated_host::send(const std::string& host, const wire::frame& frame) {
    const std::size_t peer = std::stoul(host.substr(1));
    fleet_.record_use(index_, peer);
    if (fleet_.connected(index_, peer)) {
        const auto delay = base::milliseconds(1 + base::random_below(fleet_.random_, 30));
        fleet_.messages_.push_back({fleet_.clock_.now() + delay, index_, peer, frame});
    }
}

bool simulated_host::reachable(const std::string& host) const {
    const std::size_t peer = std::stoul(host.substr(1));
    return peer != index_ && fleet_.link_open(index_, peer);
}

}  // namespace dandelionridge::support::quota_simulation
