#include "config/rule_parser.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

#include "config/rule_fields.h"
#include "config/rule_line.h"

namespace dandelionridge::config {

namespace {

constexpr std::int64_t max_slots = 10'000;
constexpr std::int64_t max_burst = 10'000'000;
constexpr std::int64_t max_priority = 1'000;
constexpr std::int64_t no_priority = -1;
constexpr std::int64_t max_route_attempts = 10;
constexpr std::int64_t max_body_bytes = std::int64_t{1} << 40;
constexpr std::size_t sha256_digits = 64;

// Headers that no rule may cause to be forwarded.
constexpr std::array<std::string_view, 10> reserved_headers = {
    "authorization",  "cookie", "set-cookie", "x-api-key",         "connection",
    "content-length", "host",   "upgrade",    "transfer-encoding", "te",
};

using optional_error = std::optional<base::error>;

optional_error make_error(std::string message) {
    return base::error{base::error_kind::bad_rules, std::move(message)};
}

template <class Rule>
optional_error insert(rule_map<Rule>& rules, const std::string& name, Rule rule) {
    if (!rules.emplace(name, std::move(rule)).second) {
        return make_error("'" + name + "' is defined twice; keep one of the two lines");
    }
    return std::nullopt;
}

optional_error add_zone(rule_set& rules, const rule_line& line) {
    rule_fields fields(line);
    zone_rule zone{line.name_, fields.text("region", "")};
    const bool exists = std::any_of(rules.zones_.begin(), rules.zones_.end(),
                                    [&](const zone_rule& z) { return z.name_ == zone.name_; });
    if (exists) {
        return make_error("'" + line.name_ + "' is defined twice; keep one of the two lines");
    }
    rules.zones_.push_back(std::move(zone));
    return fields.error();
}

optional_error check_headers(const std::vector<std::string>& headers) {
    for (const std::string& header : headers) {
        const bool valid_characters =
            std::all_of(header.begin(), header.end(), [](unsigned char c) {
                return std::islower(c) != 0 || std::isdigit(c) != 0 || c == '-';
            });
        if (!valid_characters || header.empty()) {
            return make_error("'" + header +
                              "' is not a lower-case header name; use a-z, 0-9 and '-'");
        }
        if (std::find(reserved_headers.begin(), reserved_headers.end(), header) !=
            reserved_headers.end()) {
            return make_error("'" + header +
                              "' is never forwarded to a target; remove it from headers");
        }
    }
    return std::nullopt;
}

optional_error add_service(rule_set& rules, const rule_line& line) {
    rule_fields fields(line);
    service_rule service;
    service.name_ = line.name_;
    service.floor_percent_ =
        static_cast<int>(fields.integer("floor_percent", 0, 100, service.floor_percent_));
    service.timeout_ = fields.duration("timeout", service.timeout_);
    service.slots_ = static_cast<int>(fields.integer("slots", 1, max_slots, service.slots_));
    service.class_ = fields.choice("class", "background", "foreground", false)
                         ? request_class::background
                         : request_class::foreground;
    service.idempotent_methods_ = fields.words("idempotent", service.idempotent_methods_);
    service.headers_ = fields.words("headers", {});
    service.warmup_time_ = fields.duration("warmup", {});
    service.warmup_rate_ = fields.rate("warmup_rate", 0);
    if (optional_error error = check_headers(service.headers_)) {
        return error;
    }
    if (optional_error error = fields.error()) {
        return error;
    }
    if ((service.warmup_time_ > base::duration::zero()) != (service.warmup_rate_ > 0)) {
        return make_error(
            "'warmup' and 'warmup_rate' belong together; write both, like warmup=3s "
            "warmup_rate=12/s, or none");
    }
    return insert(rules.services_, line.name_, std::move(service));
}

// Parses "orders" or "orders:90,orders-next:10" into the services of a route.
optional_error parse_services(route_rule& route, std::string_view text) {
    while (!text.empty()) {
        const std::string_view part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(part.size() + 1, text.size()));
        const std::size_t colon = part.find(':');
        weighted_service service{std::string(part.substr(0, colon)), 1};
        if (colon != std::string_view::npos) {
            const std::string_view digits = part.substr(colon + 1);
            int weight = 0;
            const auto [end, code] =
                std::from_chars(digits.data(), digits.data() + digits.size(), weight);
            if (code != std::errc() || end != digits.data() + digits.size() || weight <= 0) {
                return make_error("'" + std::string(part) +
                                  "' has no weight above 0; write it like orders:90");
            }
            service.weight_ = weight;
        }
        if (service.service_.empty()) {
            return make_error(
                "'service' has an empty service name; write it like orders or orders:90,next:10");
        }
        route.services_.push_back(std::move(service));
    }
    return std::nullopt;
}

optional_error set_kind(route_rule& route, const std::string& kind) {
    if (kind == "idempotent" || kind == "download") {
        route.idempotency_ = idempotency::idempotent;
        route.download_ = kind == "download";
    } else if (kind == "non_idempotent") {
        route.idempotency_ = idempotency::non_idempotent;
    } else if (kind != "by_method") {
        return make_error(
            "'kind=" + kind +
            "' is not a known value; use by_method, idempotent, non_idempotent or download");
    }
    return std::nullopt;
}

// Reads "regions=a,b".
optional_error parse_regions(rule_fields& fields, allowed_regions& regions) {
    regions = fields.words("regions", {});
    if (std::find(regions.begin(), regions.end(), "") != regions.end()) {
        return make_error("'regions' has an empty name; write it like regions=west,east");
    }
    return std::nullopt;
}

optional_error add_route(rule_set& rules, const rule_line& line) {
    rule_fields fields(line);
    route_rule route;
    route.name_ = line.name_;
    route.match_ = fields.required_text("match");
    const std::string services = fields.required_text("service");
    route.open_ = fields.choice("access", "open", "key", false);
    const std::string kind = fields.text("kind", "by_method");
    route.timeout_ = fields.duration("timeout", {});
    route.attempts_ = static_cast<int>(fields.integer("attempts", 1, max_route_attempts, 3));
    route.priority_ = static_cast<int>(fields.integer("priority", 0, max_priority, 0));
    route.latency_objective_ = fields.duration("objective", {});
    if (optional_error error = parse_regions(fields, route.allowed_regions_)) {
        return error;
    }
    if (optional_error error = fields.error()) {
        return error;
    }
    if (optional_error error = parse_services(route, services)) {
        return error;
    }
    if (optional_error error = set_kind(route, kind)) {
        return error;
    }
    if (route.match_.find('/') == std::string::npos || route.match_.front() == '/') {
        return make_error("'match=" + route.match_ + "' is not HOST/PATH; write it like */orders");
    }
    const std::string match = route.match_;
    return insert(rules.routes_, match, std::move(route));
}

optional_error add_organisation(rule_set& rules, const rule_line& line) {
    rule_fields fields(line);
    organisation_rule organisation;
    organisation.name_ = line.name_;
    organisation.rate_ = fields.required_rate("rate");
    organisation.burst_ = fields.required_integer("burst", 1, max_burst);
    const std::int64_t priority = fields.integer("priority", 0, max_priority, no_priority);
    if (priority != no_priority) {
        organisation.priority_ = static_cast<int>(priority);
    }
    if (optional_error error = parse_regions(fields, organisation.allowed_regions_)) {
        return error;
    }
    if (optional_error error = fields.error()) {
        return error;
    }
    return insert(rules.organisations_, line.name_, std::move(organisation));
}

bool is_sha256(const std::string& text) {
    return text.size() == sha256_digits && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

optional_error add_key(rule_set& rules, const rule_line& line) {
    rule_fields fields(line);
    key_rule key{line.name_, fields.required_text("sha256"), fields.required_text("organisation")};
    if (optional_error error = fields.error()) {
        return error;
    }
    if (!is_sha256(key.sha256_)) {
        return make_error(
            "'sha256' is not 64 lower-case hexadecimal digits; hash the key with "
            "SHA-256 and never write the key itself");
    }
    if (optional_error error = insert(rules.key_digests_, key.id_, std::string(key.sha256_))) {
        return error;
    }
    const std::string digest = key.sha256_;
    if (!rules.keys_.emplace(digest, std::move(key)).second) {
        return make_error("another line has the same key; generate a new key for this line");
    }
    return std::nullopt;
}

optional_error add_limits(rule_set& rules, const rule_line& line) {
    rule_fields fields(line);
    caller_limit_rule& limits = rules.limits_;
    limits.head_bytes_ = static_cast<std::uint32_t>(
        fields.integer("head_bytes", 1024, 1024 * 1024, limits.head_bytes_));
    limits.body_bytes_ = static_cast<std::uint64_t>(fields.integer(
        "body_bytes", 0, max_body_bytes, static_cast<std::int64_t>(limits.body_bytes_)));
    limits.head_timeout_ = fields.duration("head_timeout", limits.head_timeout_);
    limits.idle_timeout_ = fields.duration("idle_timeout", limits.idle_timeout_);
    return fields.error();
}

optional_error add_target(rule_set& rules, const rule_line& line) {
    rule_fields fields(line);
    target_rule target;
    target.name_ = line.name_;
    target.slots_ = static_cast<int>(fields.integer("slots", 1, max_slots, 0));
    target.enabled_ = fields.choice("state", "in", "out", true);
    if (optional_error error = fields.error()) {
        return error;
    }
    return insert(rules.targets_, line.name_, std::move(target));
}

struct verb {
    std::string_view name_;
    optional_error (*add_)(rule_set&, const rule_line&);
};

constexpr std::array<verb, 7> verbs = {{
    {"zone", add_zone},
    {"service", add_service},
    {"route", add_route},
    {"organisation", add_organisation},
    {"key", add_key},
    {"target", add_target},
    {"limits", add_limits},
}};

optional_error add_line(rule_set& rules, std::string_view text) {
    const base::result<rule_line> line = parse_rule_line(text);
    if (!line) {
        return line.error();
    }
    for (const verb& candidate : verbs) {
        if (candidate.name_ == line->verb_) {
            return candidate.add_(rules, *line);
        }
    }
    return make_error(
        "'" + line->verb_ +
        "' is not a verb; use zone, service, route, organisation, key, target or limits");
}

void check_references(const rule_set& rules, std::vector<rule_error>& errors) {
    for (const auto& [match, route] : rules.routes_) {
        for (const weighted_service& part : route.services_) {
            if (!rules.services_.contains(part.service_)) {
                errors.push_back({0, "route '" + route.name_ + "' refers to service '" +
                                         part.service_ + "', which no line declares; add it"});
            }
        }
    }
    for (const auto& [digest, key] : rules.keys_) {
        if (!rules.organisations_.contains(key.organisation_)) {
            errors.push_back({0, "key '" + key.id_ + "' refers to organisation '" +
                                     key.organisation_ + "', which no line declares; add it"});
        }
    }
    if (rules.zones_.empty()) {
        errors.push_back({0, "no zone is declared; add a line 'zone NAME # REQUESTER'"});
    }
}

}  // namespace

std::string to_string(const rule_error& error) {
    if (error.line_ == 0) {
        return error.message_;
    }
    return "line " + std::to_string(error.line_) + ": " + error.message_;
}

parsed_rules parse_rules(std::int64_t version, std::span<const std::string> lines) {
    auto rules = std::make_shared<rule_set>();
    rules->version_ = version;
    parsed_rules parsed;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (is_blank_line(lines[i])) {
            continue;
        }
        if (const optional_error error = add_line(*rules, lines[i])) {
            parsed.errors_.push_back({i + 1, error->message_});
        }
    }
    if (parsed.errors_.empty()) {
        check_references(*rules, parsed.errors_);
    }
    if (parsed.errors_.empty()) {
        std::sort(rules->zones_.begin(), rules->zones_.end(),
                  [](const zone_rule& a, const zone_rule& b) { return a.name_ < b.name_; });
        parsed.rules_ = std::move(rules);
    }
    return parsed;
}

std::vector<std::string> split_lines(std::string_view text) {
    std::vector<std::string> lines;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        lines.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

}  // namespace dandelionridge::config
