#include "control/gossip.h"

#include <algorithm>
#include <utility>

namespace dandelionridge::control {

namespace {

constexpr std::size_t asked_elsewhere = 2;
constexpr base::duration pull_pause = base::milliseconds(300);
constexpr base::duration question_memory = base::seconds(10);
// Longest time that a process with a configuration waits for others before it serves.
constexpr base::duration settle_patience = base::seconds(2);
constexpr std::int64_t longest_age_ms = 1'000'000'000;

config_value_kind to_kind(wire::config_value value) {
    return value == wire::config_value::rules ? config_value_kind::rules : config_value_kind::hosts;
}

wire::config_value to_wire(config_value_kind kind) {
    return kind == config_value_kind::rules ? wire::config_value::rules : wire::config_value::hosts;
}

// Asks for a value newer than the version that is at hand.
wire::frame make_pull(config_value_kind kind, std::int64_t have) {
    wire::frame frame;
    frame.__isset.pull_ = true;
    frame.pull_.value = to_wire(kind);
    frame.pull_.have = have;
    return frame;
}

}  // namespace

gossip::gossip(const base::runtime_clock& clock, configuration& configuration, peer_sender& peers,
               gossip_options options)
    : clock_(clock),
      configuration_(configuration),
      peers_(peers),
      options_(std::move(options)),
      random_(base::make_random_engine()) {
    view_.self_ = options_.host_;
}

void gossip::on_hosts_changed() {
    std::vector<std::string> members;
    other_zone_hosts_.clear();
    for (const config::host_entry& host : configuration_.hosts()->hosts_) {
        if (host.zone_ == options_.zone_) {
            members.push_back(host.name_);
        } else {
            other_zone_hosts_.push_back(host.name_);
        }
    }
    policy::set_members(view_, configuration_.version(config_value_kind::hosts),
                        std::move(members));
    if (!synchronized_) {
        next_round_ = {};
    }
}

wire::config_versions gossip::versions() const {
    wire::config_versions versions;
    versions.rules = configuration_.version(config_value_kind::rules);
    versions.hosts = configuration_.version(config_value_kind::hosts);
    const auto age = base::whole_ms(configuration_.confirmed_age(clock_.now()));
    versions.confirmed_age_ms = std::min(age, longest_age_ms);
    return versions;
}

base::duration gossip::freshness_age() const {
    const base::instant now = clock_.now();
    const base::instant heard = policy::latest_majority_contact(view_, now);
    // A host that is alone in its zone has nobody's word but its own.
    const base::duration by_zone = view_.members_.size() > 1 ? now - heard : base::duration::max();
    return std::min(configuration_.confirmed_age(now), by_zone);
}

bool gossip::synchronized() {
    const base::instant now = clock_.now();
    if (synchronized_ || !configuration_.ready()) {
        return synchronized_;
    }
    if (!options_.strict_) {
        synchronized_ = true;
        return true;
    }
    if (!ready_at_) {
        ready_at_ = now;
    }
    const bool heard_zone = policy::latest_majority_contact(view_, now) > base::instant{};
    const bool heard = heard_zone && (other_zone_replied_ || other_zone_hosts_.empty());
    const bool behind = newest_rules_seen_ > configuration_.version(config_value_kind::rules) ||
                        view_.newest_seen_ > configuration_.version(config_value_kind::hosts);
    synchronized_ = (heard && !behind) || now - *ready_at_ > settle_patience;
    return synchronized_;
}

void gossip::tick(bool platform_available) {
    const base::instant now = clock_.now();
    if (now < next_round_ || (platform_available && !options_.strict_)) {
        return;
    }
    next_round_ = now + options_.interval_;
    std::erase_if(pending_requests_, [&](const auto& entry) {
        return now - entry.second.requested_at_ > question_memory;
    });
    if (options_.strict_) {
        for (const std::string& member : view_.members_) {
            if (member != options_.host_) {
                request_view(member);
            }
        }
    } else {
        request_some_views(view_.members_);
    }
    request_some_views(other_zone_hosts_);
}

void gossip::request_some_views(const std::vector<std::string>& hosts) {
    for (std::size_t i = 0; i < asked_elsewhere && !hosts.empty(); ++i) {
        const std::string& peer = hosts[base::random_below(random_, hosts.size())];
        if (peer != options_.host_) {
            request_view(peer);
        }
    }
}

void gossip::request_view(const std::string& peer) {
    wire::frame frame;
    frame.__isset.view_question_ = true;
    frame.view_question_.nonce = next_nonce_++;
    frame.view_question_.versions = versions();
    pending_requests_[frame.view_question_.nonce] = {peer, clock_.now()};
    peers_.send(peer, frame);
}

wire::view_answer gossip::on_view_request(const wire::view_question& question,
                                          const peer_reply& reply) {
    on_versions(question.versions, reply);
    wire::view_answer answer;
    answer.nonce = question.nonce;
    answer.versions = versions();
    return answer;
}

void gossip::on_view_reply(const std::string& peer, const wire::view_answer& answer,
                           const peer_reply& reply) {
    const auto found = pending_requests_.find(answer.nonce);
    if (found == pending_requests_.end() || found->second.peer_ != peer) {
        return;
    }
    const base::instant requested_at = found->second.requested_at_;
    pending_requests_.erase(found);
    policy::record_exchange(view_, peer, {requested_at, answer.versions.hosts});
    // The peer's confirmation is at least as recent as its age before the question.
    const bool in_zone =
        std::find(view_.members_.begin(), view_.members_.end(), peer) != view_.members_.end();
    other_zone_replied_ = other_zone_replied_ || !in_zone;
    configuration_.confirm(requested_at - base::milliseconds(answer.versions.confirmed_age_ms));
    on_versions(answer.versions, reply);
}

void gossip::on_versions(const wire::config_versions& seen, const peer_reply& reply) {
    policy::observe_version(view_, seen.hosts);
    newest_rules_seen_ = std::max(newest_rules_seen_, seen.rules);
    pull_if_behind(config_value_kind::rules, seen.rules, reply);
    pull_if_behind(config_value_kind::hosts, seen.hosts, reply);
}

void gossip::pull_if_behind(config_value_kind kind, std::int64_t version, const peer_reply& reply) {
    const std::int64_t have = configuration_.version(kind);
    const base::instant now = clock_.now();
    base::instant& last = pulled_at_[kind == config_value_kind::rules ? 0 : 1];
    if (version <= have || now - last < pull_pause) {
        return;
    }
    last = now;
    reply(make_pull(kind, have));
}

void gossip::on_pull(const wire::config_pull& pull, const peer_reply& reply) {
    const config_value_kind kind = to_kind(pull.value);
    if (configuration_.version(kind) <= pull.have) {
        return;
    }
    config::line_delta delta = configuration_.delta_from(kind, pull.have);
    wire::frame frame;
    frame.__isset.update_ = true;
    frame.update_.value = to_wire(kind);
    frame.update_.base = delta.base_;
    frame.update_.version = delta.version_;
    frame.update_.removed = std::move(delta.removed_);
    frame.update_.added = std::move(delta.added_);
    frame.update_.digest = static_cast<std::int64_t>(delta.digest_);
    reply(frame);
}

offer_outcome gossip::on_update(const wire::config_update& update, const peer_reply& reply) {
    const config_value_kind kind = to_kind(update.value);
    const config::line_delta delta{update.base, update.version, update.removed, update.added,
                                   static_cast<std::uint64_t>(update.digest)};
    const offer_outcome outcome = configuration_.offer_delta(kind, delta);
    if (outcome == offer_outcome::missing_base) {
        reply(make_pull(kind, 0));
    }
    return outcome;
}

}  // namespace dandelionridge::control
