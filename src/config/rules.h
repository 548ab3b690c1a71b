// The rules that operators write, as one immutable value.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace dandelionridge::config {

enum class request_class { foreground, background };

struct zone_rule {
    std::string name_;
    std::string region_;
};

struct service_rule {
    std::string name_;
    // Share of the service's live targets that ejections must leave, in percent.
    int floor_percent_ = 50;
    // Time that a request may take in all.
    base::duration timeout_ = base::seconds(10);
    // Requests that one target runs at a time, unless its own rule says otherwise.
    int slots_ = 1;
    request_class class_ = request_class::foreground;
    std::vector<std::string> idempotent_methods_ = {"GET", "HEAD"};
    // Header names, lower case, that pass in both directions beside the usual ones.
    std::vector<std::string> headers_;
};

// Whether a request may run more than once.
enum class idempotency {
    // As its method says: see service_rule::idempotent_methods_.
    by_method,
    idempotent,
    non_idempotent,
};

// A part of a route's traffic.
struct weighted_service {
    std::string service_;
    // Share of the requests, relative to the weights of the other parts.
    double weight_ = 1;
};

struct route_rule {
    std::string name_;
    // "HOST/PATH", where HOST may be "*" and PATH is a prefix of whole segments.
    std::string match_;
    // At least one; a request goes to one of them, drawn by weight.
    std::vector<weighted_service> services_;
    // Open to callers without a key.
    bool open_ = false;
    idempotency idempotency_ = idempotency::by_method;
    // Large answers: they are passed on as they come.
    bool download_ = false;
    // Time that a request may take in all; zero stands for the service's.
    base::duration timeout_{};
    // Targets to which one request may be sent.
    int attempts_ = 3;
    // 0 is served first.
    int priority_ = 0;
    // Time within which an answer has its full worth; zero if there is none.
    base::duration latency_objective_{};
};

struct organisation_rule {
    std::string name_;
    // Requests per second, over the whole fleet; 0 stands for no limit.
    double rate_ = 0;
    // Requests that may come at once after a quiet time, over the whole fleet.
    std::int64_t burst_ = 0;
    // Goes before the route's priority.
    std::optional<int> priority_;
};

// What callers may send, and how long they may take.
struct caller_limit_rule {
    std::uint32_t head_bytes_ = 16 * 1024;
    std::uint64_t body_bytes_ = 64 * 1024 * 1024;
    base::duration head_timeout_ = base::seconds(10);
    base::duration idle_timeout_ = base::seconds(75);
};

struct key_rule {
    std::string id_;
    std::string sha256_;
    std::string organisation_;
};

struct target_rule {
    std::string name_;
    // 0 stands for the slots of its service.
    int slots_ = 0;
    // False takes the target out of every choice.
    bool enabled_ = true;
};

template <class Rule>
using rule_map = std::unordered_map<std::string, Rule>;

// One accepted version of the rules. Never changed after it was made.
struct rule_set {
    std::int64_t version_ = 0;
    // Sorted by name, so that every process counts them alike.
    std::vector<zone_rule> zones_;
    rule_map<service_rule> services_;
    // By match.
    rule_map<route_rule> routes_;
    rule_map<organisation_rule> organisations_;
    // By SHA-256 in lower-case hexadecimal.
    rule_map<key_rule> keys_;
    // SHA-256 of each key, by key id.
    rule_map<std::string> key_digests_;
    rule_map<target_rule> targets_;
    caller_limit_rule limits_;
};

using rules_ptr = std::shared_ptr<const rule_set>;

// The route of the longest matching path prefix, an exact host going before "*". The path may
// carry a query.
const route_rule* find_route(const rule_set& rules, std::string_view host, std::string_view path);

// The rule of a key that a caller presents, or nothing if it is not in force.
const key_rule* find_key(const rule_set& rules, std::string_view key);

// True if the key of that id is in force for that organisation.
bool key_in_force(const rule_set& rules, const std::string& key_id,
                  const std::string& organisation);

// Slots of a target of a service.
int slots_of(const rule_set& rules, const service_rule& service, const std::string& target);

// False if a rule takes the target out.
bool is_target_enabled(const rule_set& rules, const std::string& target);

bool is_idempotent(const route_rule& route, const service_rule& service, std::string_view method);

// The part of a route's traffic that a draw in [0, 1) falls to.
const weighted_service& pick_service(const route_rule& route, double draw);

}  // namespace dandelionridge::config
