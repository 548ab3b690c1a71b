#include "config/host_list.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/rule_line.h"

namespace dandelionridge::config {

namespace {

using nlohmann::json;

base::result<std::string> text_of(const json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string() || found->get<std::string>().empty()) {
        return base::fail(base::error_kind::bad_hosts, std::string("'") + key +
                                                           "' is missing or not a string; add it "
                                                           "to the host's line");
    }
    return found->get<std::string>();
}

base::result<base::address> address_of(const json& object) {
    const auto text = text_of(object, "address");
    if (!text) {
        return tl::unexpected(text.error());
    }
    return base::parse_address(*text);
}

base::result<std::int64_t> started_ms_of(const json& object) {
    const auto found = object.find("started_ms");
    if (found == object.end()) {
        return 0;
    }
    if (!found->is_number_integer() || found->get<std::int64_t>() < 0) {
        return base::fail(
            base::error_kind::bad_hosts,
            "'started_ms' is not a whole number of milliseconds; correct or remove it");
    }
    return found->get<std::int64_t>();
}

base::result<target_entry> parse_target(const json& object) {
    const auto name = text_of(object, "target");
    const auto service = text_of(object, "service");
    const auto address = address_of(object);
    if (!name) {
        return tl::unexpected(name.error());
    }
    if (!service) {
        return tl::unexpected(service.error());
    }
    if (!address) {
        return tl::unexpected(address.error());
    }
    const auto started_ms = started_ms_of(object);
    if (!started_ms) {
        return tl::unexpected(started_ms.error());
    }
    return target_entry{*name, *service, *address, 0, false, *started_ms};
}

base::result<bool> is_leaving(const json& object) {
    const auto state = text_of(object, "state");
    if (!state || (*state != "live" && *state != "leaving")) {
        return base::fail(base::error_kind::bad_hosts, "'state' must be live or leaving");
    }
    return *state == "leaving";
}

base::result<host_entry> parse_host(const std::string& line) {
    const json object = json::parse(line, nullptr, false);
    if (!object.is_object()) {
        return base::fail(base::error_kind::bad_hosts,
                          "a line is not a JSON object; write one JSON object per host");
    }
    const auto name = text_of(object, "host");
    const auto zone = text_of(object, "zone");
    const auto address = address_of(object);
    if (!name) {
        return tl::unexpected(name.error());
    }
    if (!zone) {
        return tl::unexpected(zone.error());
    }
    if (!address) {
        return tl::unexpected(address.error());
    }
    const auto leaving = is_leaving(object);
    if (!leaving) {
        return tl::unexpected(leaving.error());
    }
    host_entry host{*name, *zone, *address, *leaving, {}};
    const auto targets = object.find("targets");
    if (targets == object.end() || !targets->is_array()) {
        return base::fail(base::error_kind::bad_hosts,
                          "'targets' is missing or not a list; add a list");
    }
    for (const json& target : *targets) {
        auto parsed = parse_target(target);
        if (!parsed) {
            return tl::unexpected(parsed.error());
        }
        host.targets_.push_back(std::move(*parsed));
    }
    return host;
}

void index_services(host_list& hosts) {
    for (std::size_t h = 0; h < hosts.hosts_.size(); ++h) {
        const auto& targets = hosts.hosts_[h].targets_;
        for (std::size_t t = 0; t < targets.size(); ++t) {
            hosts.by_service_[targets[t].service_].push_back({h, t});
        }
    }
}

}  // namespace

base::result<hosts_ptr> parse_hosts(std::int64_t version, const std::vector<std::string>& lines) {
    std::vector<host_entry> hosts;
    for (const std::string& line : lines) {
        if (is_blank_line(line)) {
            continue;
        }
        auto host = parse_host(line);
        if (!host) {
            return tl::unexpected(host.error());
        }
        hosts.push_back(std::move(*host));
    }
    return make_host_list(version, std::move(hosts));
}

base::result<hosts_ptr> make_host_list(std::int64_t version, std::vector<host_entry> entries,
                                       std::int64_t restores) {
    auto hosts = std::make_shared<host_list>();
    hosts->version_ = version;
    hosts->restores_ = restores;
    hosts->hosts_ = std::move(entries);
    std::sort(hosts->hosts_.begin(), hosts->hosts_.end(),
              [](const host_entry& a, const host_entry& b) { return a.name_ < b.name_; });
    const auto duplicate = std::adjacent_find(
        hosts->hosts_.begin(), hosts->hosts_.end(),
        [](const host_entry& a, const host_entry& b) { return a.name_ == b.name_; });
    if (duplicate != hosts->hosts_.end()) {
        return base::fail(base::error_kind::bad_hosts,
                          "host '" + duplicate->name_ + "' is listed twice; keep one line");
    }
    index_services(*hosts);
    return hosts;
}

hosts_ptr with_evacuated_zones(const hosts_ptr& hosts, const std::set<std::string>& zones) {
    if (hosts->evacuated_zones_ == zones) {
        return hosts;
    }
    auto changed = std::make_shared<host_list>(*hosts);
    changed->evacuated_zones_ = zones;
    return changed;
}

const target_entry* find_target_entry(const host_entry& host, std::string_view target,
                                      std::string_view service) {
    const auto found =
        std::find_if(host.targets_.begin(), host.targets_.end(), [&](const target_entry& entry) {
            return entry.name_ == target && entry.service_ == service;
        });
    return found == host.targets_.end() ? nullptr : &*found;
}

const host_entry* find_host(const host_list& hosts, std::string_view name) {
    const auto found =
        std::lower_bound(hosts.hosts_.begin(), hosts.hosts_.end(), name,
                         [](const host_entry& h, std::string_view n) { return h.name_ < n; });
    return found != hosts.hosts_.end() && found->name_ == name ? &*found : nullptr;
}

}  // namespace dandelionridge::config
