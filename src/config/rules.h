// The rules that operators write, as one immutable value, and look-ups in them.
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

// Class of a service's requests. Background requests that wait for a slot are served last, except
// those made by running requests.
enum class request_class { foreground, background };

struct zone_rule {
    std::string name_;
    std::string region_;
};

struct service_rule {
    std::string name_;
    // Minimum share of the service's live targets that ejections must leave in use, in percent. The
    // value is parsed but has no effect: settings::min_share_ applies to all services.
    int floor_percent_ = 50;
    // Total time that a request may take.
    base::duration timeout_ = base::seconds(10);
    // Number of requests that one target runs concurrently, unless target_rule::slots_ or
    // target_entry::slots_ is set.
    int slots_ = 1;
    request_class class_ = request_class::foreground;
    std::vector<std::string> idempotent_methods_ = {"GET", "HEAD"};
    // Names of headers, lower case, that are forwarded in both directions in addition to those of
    // filter/forwarded_headers.
    std::vector<std::string> headers_;
    // Time for which a target is cold after its start, and the requests per second that it takes
    // while it is cold; 0: cold targets are treated like warm ones.
    base::duration warmup_time_{};
    double warmup_rate_ = 0;
};

// Whether a request may run more than once.
enum class idempotency {
    // Depends on the method: see service_rule::idempotent_methods_.
    by_method,
    idempotent,
    non_idempotent,
};

// A service that receives a part of a route's requests.
struct weighted_service {
    std::string service_;
    // Share of the requests, relative to the weights of the route's other services.
    double weight_ = 1;
};

// Regions in which requests may be served; empty: in all.
using allowed_regions = std::vector<std::string>;

struct route_rule {
    std::string name_;
    // "HOST/PATH", where HOST may be "*" and PATH is a prefix of whole segments.
    std::string match_;
    // At least one; each request goes to one of them, selected at random by weight.
    std::vector<weighted_service> services_;
    // True: callers need no key.
    bool open_ = false;
    idempotency idempotency_ = idempotency::by_method;
    // Responses are large and are forwarded as they arrive.
    bool download_ = false;
    // Total time that a request may take; zero: service_rule::timeout_ applies.
    base::duration timeout_{};
    // Maximum number of targets to which one request may be sent.
    int attempts_ = 3;
    // Lower numbers are served first; 0 is the highest priority.
    int priority_ = 0;
    // Time within which a response has its full value to the caller; zero: no objective.
    base::duration latency_objective_{};
    allowed_regions allowed_regions_;
};

struct organisation_rule {
    std::string name_;
    // Requests per second over the whole fleet; 0: no limit.
    double rate_ = 0;
    // Requests over the whole fleet that may arrive at once after an idle period.
    std::int64_t burst_ = 0;
    // Overrides the route's priority if set.
    std::optional<int> priority_;
    allowed_regions allowed_regions_;
};

// Limits on the size of callers' requests and on the time that callers may take.
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
    // 0: service_rule::slots_ applies.
    int slots_ = 0;
    // False: the target is never chosen.
    bool enabled_ = true;
};

template <class Rule>
using rule_map = std::unordered_map<std::string, Rule>;

// One accepted version of the rules. Never changed once built.
struct rule_set {
    std::int64_t version_ = 0;
    // Sorted by name, so that every process numbers them alike.
    std::vector<zone_rule> zones_;
    rule_map<service_rule> services_;
    // By route_rule::match_.
    rule_map<route_rule> routes_;
    rule_map<organisation_rule> organisations_;
    // By the SHA-256 of the key in lower-case hexadecimal.
    rule_map<key_rule> keys_;
    // SHA-256 of each key, by key id.
    rule_map<std::string> key_digests_;
    rule_map<target_rule> targets_;
    caller_limit_rule limits_;
};

using rules_ptr = std::shared_ptr<const rule_set>;

// Returns the route with the longest matching path prefix, or null. Routes of the exact host take
// precedence over those of "*". The host may have a port and the path a query; both are ignored.
const route_rule* find_route(const rule_set& rules, std::string_view host, std::string_view path);

// Returns the rule of a key that a caller presents, or null if the key is not in force.
const key_rule* find_key(const rule_set& rules, std::string_view key);

// Returns true if the key of that id is in force for that organisation.
bool key_in_force(const rule_set& rules, const std::string& key_id,
                  const std::string& organisation);

// Returns the number of slots of a target: that of its own rule, else that of the service.
int slots_of(const rule_set& rules, const service_rule& service, const std::string& target);

// Returns false if a rule disables the target.
bool is_target_enabled(const rule_set& rules, const std::string& target);

bool is_idempotent(const route_rule& route, const service_rule& service, std::string_view method);

// Returns the service of the route that `draw`, a random number in [0, 1), selects by weight.
const weighted_service& pick_service(const route_rule& route, double draw);

}  // namespace dandelionridge::config
