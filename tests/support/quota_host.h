// One host that asks for the tokens of an organisation or grants them, with peers that reply only
// as a test says.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/fleet_quota.h"

namespace dandelionridge::support::quota_host {

inline const std::string organisation = "bends";
inline const std::vector<std::string> host_names = {"h0", "h1", "h2", "h3", "h4",
                                                    "h5", "h6", "h7", "h8", "h9"};
inline constexpr base::duration max_wait = base::milliseconds(400);

// Returns another organisation whose owners have the same ranks.
inline std::string find_other_organisation() {
    const auto ranked = policy::rank_owners(organisation, host_names);
    for (int i = 0;; ++i) {
        std::string name = "curves" + std::to_string(i);
        if (policy::rank_owners(name, host_names) == ranked) {
            return name;
        }
    }
}
inline const std::string other_organisation = find_other_organisation();
inline constexpr base::duration time_step = base::milliseconds(10);

// Peers that are reachable or not, and never reply by themselves.
class silent_peers final : public control::peer_sender {
public:
    void send(const std::string& host, const wire::frame& frame) override {
        sent_.emplace_back(host, frame);
    }
    bool reachable(const std::string& host) const override {
        ++lookups_;
        return !unreachable_.contains(host);
    }
    bool absent(const std::string& host) const override { return !reachable(host); }

    // Number of calls of reachable().
    mutable std::size_t lookups_ = 0;
    std::vector<std::pair<std::string, wire::frame>> sent_;
    std::set<std::string> unreachable_;
};

// A refusal with the names that its report only refers to.
struct recorded_refusal : control::quota_refusal {
    std::string organisation_name_;
    std::string owner_name_;
};

class recording_observer final : public control::quota_observer {
public:
    bool takes_events() const override { return true; }
    void on_refusal(const control::quota_refusal& refusal) override {
        refusals_.push_back(
            {refusal, std::string(refusal.organisation_), std::string(refusal.owner_)});
    }
    void on_owner_change(const control::quota_owner_change& change) override {
        changes_.push_back(change);
    }

    std::vector<recorded_refusal> refusals_;
    std::vector<control::quota_owner_change> changes_;
};

class counting_listener final : public control::quota_listener {
public:
    void on_admitted() override { ++admitted_; }
    void on_over_rate(base::duration /*retry_after*/) override { ++refused_; }

    int admitted_ = 0;
    int refused_ = 0;
};

// One host that asks silent peers for the tokens of an organisation.
class asking_host {
public:
    explicit asking_host(const std::string& name, const std::string& limit = "rate=20/s burst=20",
                         policy::quota_tolerance tolerance = {})
        : quota_(clock_, configuration_, peers_, name, tolerance) {
        clock_.pause();
        configuration_.offer_lines(
            control::config_value_kind::rules, 1,
            {"zone z1 # test", "organisation " + organisation + " " + limit + " # test",
             "organisation " + other_organisation + " " + limit + " # test"});
        std::vector<std::string> lines;
        lines.reserve(host_names.size());
        for (const std::string& host : host_names) {
            lines.push_back(R"({"host":")" + host +
                            R"(","zone":"z1","address":"10.0.0.1:1","state":"live","targets":[]})");
        }
        configuration_.offer_lines(control::config_value_kind::hosts, 1, lines);
        quota_.set_observer(observer_);
        quota_.on_hosts_changed();
    }

    void run(base::duration time) {
        const base::instant end = clock_.now() + time;
        while (clock_.now() < end) {
            clock_.advance(time_step);
            quota_.tick();
        }
    }

    void admit(base::duration wait = max_wait) { quota_.admit(organisation, 0, wait, listener_); }

    base::runtime_clock clock_;
    control::configuration configuration_;
    silent_peers peers_;
    recording_observer observer_;
    counting_listener listener_;
    control::fleet_quota quota_;
};

// Returns the last request that asked a host for tokens and was not a probe only.
inline wire::lease_request last_request(const asking_host& host) {
    const auto found =
        std::find_if(host.peers_.sent_.rbegin(), host.peers_.sent_.rend(),
                     [](const auto& sent) { return sent.second.lease_request_.tokens > 0; });
    REQUIRE(found != host.peers_.sent_.rend());
    return found->second.lease_request_;
}

// Returns the last request or probe that was sent to a host.
inline wire::lease_request last_sent_to(const asking_host& host, const std::string& peer) {
    const auto found = std::find_if(host.peers_.sent_.rbegin(), host.peers_.sent_.rend(),
                                    [&](const auto& sent) { return sent.first == peer; });
    REQUIRE(found != host.peers_.sent_.rend());
    return found->second.lease_request_;
}

// Has a peer grant what it was asked for.
inline void grant_request(asking_host& host, const wire::lease_request& request) {
    wire::lease_grant grant;
    grant.request = request.request;
    grant.organisation = organisation;
    grant.tokens = request.tokens;
    grant.granting = true;
    host.quota_.on_grant(grant);
}

// Has the peer that was last asked for tokens grant them.
inline void grant_last(asking_host& host) {
    grant_request(host, last_request(host));
}

inline std::uint64_t refused(const asking_host& host, control::quota_refusal_cause cause) {
    return host.quota_.counters().refused_requests_.at(static_cast<std::size_t>(cause));
}

inline std::string owner_at(std::size_t rank) {
    return policy::rank_owners(organisation, host_names).at(rank);
}

// Returns a host that is not among the ranked owners.
inline std::string other_host() {
    const auto ranked = policy::rank_owners(organisation, host_names);
    for (const std::string& host : host_names) {
        if (std::find(ranked.begin(), ranked.end(), host) == ranked.end()) {
            return host;
        }
    }
    return {};
}

}  // namespace dandelionridge::support::quota_host
