#include "config/rules.h"

#include <algorithm>

#include "base/hash.h"

namespace dandelionridge::config {

namespace {

template <class Rule>
const Rule* find(const rule_map<Rule>& rules, const std::string& name) {
    const auto found = rules.find(name);
    return found == rules.end() ? nullptr : &found->second;
}

// Looks up the whole path, then each shorter prefix of whole segments, then "/".
const route_rule* find_under_host(const rule_set& rules, std::string_view host,
                                  std::string_view path) {
    std::string match(host);
    match += path;
    for (;;) {
        if (const route_rule* route = find(rules.routes_, match)) {
            return route;
        }
        if (match.size() <= host.size() + 1) {
            return nullptr;
        }
        const std::size_t slash = match.rfind('/', match.size() - 2);
        const bool ends_in_slash = match.back() == '/';
        if (ends_in_slash) {
            match.pop_back();
        } else {
            match.resize(slash + 1);
        }
    }
}

}  // namespace

const route_rule* find_route(const rule_set& rules, std::string_view host, std::string_view path) {
    host = host.substr(0, host.rfind(':'));
    path = path.substr(0, path.find('?'));
    const route_rule* exact = find_under_host(rules, host, path);
    return exact != nullptr ? exact : find_under_host(rules, "*", path);
}

const key_rule* find_key(const rule_set& rules, std::string_view key) {
    const std::string digest = base::sha256_hex(key);
    const key_rule* rule = find(rules.keys_, digest);
    const bool matches = rule != nullptr && base::equal_constant_time(rule->sha256_, digest);
    return matches ? rule : nullptr;
}

bool key_in_force(const rule_set& rules, const std::string& key_id,
                  const std::string& organisation) {
    const std::string* digest = find(rules.key_digests_, key_id);
    if (digest == nullptr) {
        return false;
    }
    const key_rule* rule = find(rules.keys_, *digest);
    return rule != nullptr && rule->organisation_ == organisation;
}

int slots_of(const rule_set& rules, const service_rule& service, const std::string& target) {
    const target_rule* rule = find(rules.targets_, target);
    return rule != nullptr && rule->slots_ > 0 ? rule->slots_ : service.slots_;
}

bool is_target_enabled(const rule_set& rules, const std::string& target) {
    const target_rule* rule = find(rules.targets_, target);
    return rule == nullptr || rule->enabled_;
}

bool is_idempotent(const route_rule& route, const service_rule& service, std::string_view method) {
    if (route.idempotency_ != idempotency::by_method) {
        return route.idempotency_ == idempotency::idempotent;
    }
    const auto& methods = service.idempotent_methods_;
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

const weighted_service& pick_service(const route_rule& route, double draw) {
    double total = 0;
    for (const weighted_service& service : route.services_) {
        total += service.weight_;
    }
    double remaining = draw * total;
    for (const weighted_service& service : route.services_) {
        remaining -= service.weight_;
        if (remaining < 0) {
            return service;
        }
    }
    return route.services_.back();
}

}  // namespace dandelionridge::config
