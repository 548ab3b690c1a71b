#include "config/settings.h"

#include <INIReader.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>

#include "config/rule_fields.h"

namespace dandelionridge::config {

namespace {

constexpr double max_slack = 1'000'000;
constexpr double max_warmup_overage = 100;
constexpr double min_memory_mb = 32;
constexpr double max_memory_mb = 1024 * 1024;
constexpr double min_link_mbps = 1;
constexpr double max_link_mbps = 1'000'000;
// A greater share would use more of the targets than the slowest responses are worth.
constexpr double max_hedging_share = 0.2;
constexpr double max_cost_ms_per_mb = 1'000'000;

// Changes are gathered for this part (one in gather_divisor) of their bound.
constexpr int gather_divisor = 4;

// Reads the values of keys from a settings file and keeps the first error.
class settings_reader {
public:
    settings_reader(const std::string& text, std::string name)
        : ini_(text.data(), text.size()), name_(std::move(name)) {
        if (ini_.ParseError() != 0) {
            record_error("line " + std::to_string(ini_.ParseError()),
                         "cannot be parsed; write '[section]' or 'key = value'");
        }
    }

    void text(const char* section, const char* key, std::string& out) {
        if (present(section, key, true)) {
            out = ini_.Get(section, key, "");
        }
    }

    void address(const char* section, const char* key, base::address& out) {
        if (!present(section, key, true)) {
            return;
        }
        const auto parsed = base::parse_address(ini_.Get(section, key, ""));
        if (parsed) {
            out = *parsed;
        } else {
            record_error(qualified_key(section, key), parsed.error().message_);
        }
    }

    void count(const char* section, const char* key, std::size_t& out) {
        if (!present(section, key, false)) {
            return;
        }
        const std::string value = ini_.Get(section, key, "");
        std::size_t number = 0;
        const auto [end, code] = std::from_chars(value.data(), value.data() + value.size(), number);
        if (code != std::errc() || end != value.data() + value.size() || number == 0) {
            record_error(qualified_key(section, key), "'" + value +
                                                          "' is not a count; write a whole number "
                                                          "above 0");
            return;
        }
        out = number;
    }

    void time(const char* section, const char* key, base::duration& out) {
        if (!present(section, key, false)) {
            return;
        }
        const std::string value = ini_.Get(section, key, "");
        const auto parsed = parse_duration(value);
        if (parsed) {
            out = *parsed;
        } else {
            record_error(qualified_key(section, key),
                         "'" + value + "' is not a duration; write it like 500ms or 2s");
        }
    }

    void optional_text(const char* section, const char* key, std::string& out) {
        if (present(section, key, false)) {
            out = ini_.Get(section, key, "");
        }
    }

    void optional_address(const char* section, const char* key, base::address& out) {
        if (present(section, key, false)) {
            address(section, key, out);
        }
    }

    void number(const char* section, const char* key, double min, double max, double& out) {
        if (!present(section, key, false)) {
            return;
        }
        const std::string value = ini_.Get(section, key, "");
        char* end = nullptr;
        const double parsed = std::strtod(value.c_str(), &end);
        if (value.empty() || *end != '\0' || !(parsed >= min && parsed <= max)) {
            std::ostringstream range;
            range << min << " to " << max;
            record_error(qualified_key(section, key),
                         "'" + value + "' is not a number from " + range.str());
            return;
        }
        out = parsed;
    }

    // Reads "zone-a:region-1,zone-b:region-1".
    void pairs(const char* section, const char* key, std::map<std::string, std::string>& out) {
        if (!present(section, key, false)) {
            return;
        }
        std::istringstream parts(ini_.Get(section, key, ""));
        std::string part;
        while (std::getline(parts, part, ',')) {
            const std::size_t colon = part.find(':');
            if (colon == std::string::npos || colon == 0 || colon + 1 == part.size()) {
                record_error(qualified_key(section, key),
                             "'" + part + "' is not a pair; write it like zone:region");
                return;
            }
            out[part.substr(0, colon)] = part.substr(colon + 1);
        }
    }

    // Reads one of two words as true for the first and false for the second.
    void choice(const char* section, const char* key, const char* true_word, const char* false_word,
                bool& out) {
        if (!present(section, key, false)) {
            return;
        }
        const std::string value = ini_.Get(section, key, "");
        if (value != true_word && value != false_word) {
            record_error(qualified_key(section, key), "'" + value + "' is not a known value; use " +
                                                          true_word + " or " + false_word);
            return;
        }
        out = value == true_word;
    }

    bool has_section(const char* section) const { return ini_.HasSection(section); }

    // Returns the first error. A key of the file that no call has read is an error too.
    std::optional<base::error> first_error(const std::string& text) {
        if (!error_) {
            find_unknown(text);
        }
        return error_;
    }

private:
    static std::string qualified_key(const std::string& section, const std::string& key) {
        return "[" + section + "] " + key;
    }

    bool present(const char* section, const char* key, bool required) {
        known_.insert(qualified_key(section, key));
        const bool found = ini_.HasValue(section, key) && !ini_.Get(section, key, "").empty();
        if (!found && (required || ini_.HasValue(section, key))) {
            record_error(qualified_key(section, key),
                         "has no value; add '" + std::string(key) + " = VALUE'");
        }
        return found;
    }

    void record_error(const std::string& location, const std::string& message) {
        if (!error_) {
            error_ = base::error{base::error_kind::bad_settings,
                                 name_ + ": " + location + ": " + message};
        }
    }

    // Records an error for the first unknown key. INIReader lists sections but not keys, so the
    // lines of the text are compared with the keys that were read.
    void find_unknown(const std::string& text) {
        std::istringstream lines(text);
        std::string line;
        std::string section;
        while (std::getline(lines, line)) {
            const std::size_t first = line.find_first_not_of(" \t");
            if (first == std::string::npos || line[first] == ';' || line[first] == '#') {
                continue;
            }
            if (line[first] == '[') {
                section = line.substr(first + 1, line.find(']') - first - 1);
                continue;
            }
            std::string key = line.substr(first, line.find_first_of("=:") - first);
            key.erase(key.find_last_not_of(" \t\r") + 1);
            if (!known_.contains(qualified_key(section, key))) {
                record_error(qualified_key(section, key),
                             "is not a setting; remove it or see "
                             "docs/SETTINGS.md for the name");
            }
        }
    }

    INIReader ini_;
    std::string name_;
    std::set<std::string> known_;
    std::optional<base::error> error_;
};

void read_locality(settings_reader& reader, settings& parsed) {
    policy::locality_limits limits;
    reader.number("locality", "zone_cost_ms_per_mb", 0, max_cost_ms_per_mb,
                  limits.zone_cost_ms_per_mb_);
    reader.number("locality", "region_cost_ms_per_mb", 0, max_cost_ms_per_mb,
                  limits.region_cost_ms_per_mb_);
    reader.number("locality", "max_spill_share", 0, 1, limits.max_spill_share_);
    if (reader.has_section("locality")) {
        parsed.locality_ = limits;
    }
}

}  // namespace

base::duration gather_time(const settings& settings) {
    return std::min(settings.rules_bound_, settings.leaving_bound_) / gather_divisor;
}

base::result<settings> parse_settings(const std::string& text, const std::string& name) {
    settings parsed;
    settings_reader reader(text, name);
    reader.text("host", "name", parsed.host_);
    reader.text("host", "zone", parsed.zone_);
    reader.pairs("host", "regions", parsed.regions_);
    reader.address("listen", "callers", parsed.caller_listen_address_);
    reader.address("listen", "peers", parsed.peer_listen_address_);
    reader.address("listen", "admin", parsed.admin_listen_address_);
    reader.address("platform", "address", parsed.platform_address_);
    reader.count("limits", "remembered_attempts", parsed.remembered_attempts_);
    reader.count("limits", "queued_requests", parsed.queued_requests_);
    reader.count("limits", "pipelined_requests", parsed.pipelined_requests_);
    reader.number("limits", "memory_mb", min_memory_mb, max_memory_mb, parsed.memory_mb_);
    reader.number("limits", "link_mbps", min_link_mbps, max_link_mbps, parsed.link_mbps_);
    reader.time("times", "drain_bound", parsed.drain_bound_);
    reader.time("times", "drain_idle", parsed.drain_idle_);
    reader.time("times", "freshness_bound", parsed.freshness_bound_);
    reader.time("times", "watch_wait", parsed.watch_wait_);
    reader.time("times", "rules_bound", parsed.rules_bound_);
    reader.time("times", "leaving_bound", parsed.leaving_bound_);
    reader.time("times", "view_bound", parsed.view_bound_);
    reader.time("times", "heartbeat", parsed.heartbeat_);
    bool use_store = false;
    reader.choice("platform", "form", "store", "values", use_store);
    parsed.protocol_ = use_store ? platform_protocol::store : platform_protocol::values;
    reader.optional_address("target", "address", parsed.target_address_);
    reader.optional_text("target", "service", parsed.target_service_);
    reader.choice("times", "freshness", "strict", "lenient", parsed.strict_freshness_);
    reader.number("retries", "ratio", 0, 1, parsed.retry_ratio_);
    reader.number("retries", "slack", 0, max_slack, parsed.retry_slack_);
    reader.time("retries", "window", parsed.retry_window_);
    reader.time("quota", "window", parsed.quota_window_);
    reader.number("quota", "overage", 0, 1, parsed.quota_overage_);
    reader.number("quota", "slack", 0, max_slack, parsed.quota_slack_);
    reader.number("warmup", "overage", 0, max_warmup_overage, parsed.warmup_overage_);
    reader.number("warmup", "slack", 0, max_slack, parsed.warmup_slack_);
    reader.number("ejection", "least_share", 0, 1, parsed.min_share_);
    reader.number("hedging", "max_share", 0, max_hedging_share, parsed.hedging_max_share_);
    read_locality(reader, parsed);
    if (const auto error = reader.first_error(text)) {
        return tl::unexpected(*error);
    }
    return parsed;
}

base::result<settings> read_settings(const std::string& file) {
    std::ifstream in(file);
    if (!in) {
        return base::fail(base::error_kind::bad_settings,
                          file + ": cannot be opened; give the path of a readable file");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return parse_settings(text.str(), file);
}

}  // namespace dandelionridge::config
