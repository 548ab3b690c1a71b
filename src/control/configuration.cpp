#include "control/configuration.h"

#include <algorithm>
#include <utility>

#include "config/rule_parser.h"

namespace dandelionridge::control {

namespace {

bool has_target_in(const config::host_entry& host, const std::set<std::string>& targets) {
    return std::any_of(
        host.targets_.begin(), host.targets_.end(),
        [&](const config::target_entry& target) { return targets.contains(target.name_); });
}

// Returns the newly listed hosts and, of those in use so far, the unlisted ones with a missing
// target.
config::hosts_ptr keep_missing_targets(const config::hosts_ptr& listed,
                                       const config::host_list& in_use,
                                       const std::set<std::string>& missing_targets) {
    std::vector<config::host_entry> hosts = listed->hosts_;
    for (const config::host_entry& host : in_use.hosts_) {
        if (has_target_in(host, missing_targets) &&
            config::find_host(*listed, host.name_) == nullptr) {
            hosts.push_back(host);
        }
    }
    if (hosts.size() == listed->hosts_.size()) {
        return listed;
    }
    // Cannot fail, since no host was added that is listed.
    return *config::make_host_list(listed->version_, std::move(hosts));
}

}  // namespace

config_parsers line_parsers() {
    config_parsers parsers;
    parsers.hosts_ = config::parse_hosts;
    parsers.rules_ = [](std::int64_t version,
                        const std::vector<std::string>& lines) -> base::result<config::rules_ptr> {
        config::parsed_rules parsed = config::parse_rules(version, lines);
        if (parsed.rules_ == nullptr) {
            return base::fail(base::error_kind::bad_rules,
                              config::to_string(parsed.errors_.front()));
        }
        return parsed.rules_;
    };
    return parsers;
}

configuration::configuration(config_parsers parsers)
    : parsers_(std::move(parsers)),
      rules_(std::make_shared<config::rule_set>()),
      hosts_(std::make_shared<config::host_list>()),
      listed_hosts_(hosts_) {}

const config_value_state& configuration::state(config_value_kind kind) const {
    return kind == config_value_kind::rules ? rules_state_ : hosts_state_;
}

config_value_state& configuration::mutable_state(config_value_kind kind) {
    return kind == config_value_kind::rules ? rules_state_ : hosts_state_;
}

std::optional<std::string> configuration::parse(config_value_kind kind, std::int64_t version,
                                                const std::vector<std::string>& source_lines) {
    if (kind == config_value_kind::hosts) {
        auto hosts = parsers_.hosts_(version, source_lines);
        if (!hosts) {
            return hosts.error().message_;
        }
        listed_hosts_ = std::move(*hosts);
        hosts_ = keep_missing_targets(listed_hosts_, *hosts_, hold_.missing_targets_);
        return std::nullopt;
    }
    auto rules = parsers_.rules_(version, source_lines);
    if (!rules) {
        return rules.error().message_;
    }
    rules_ = std::move(*rules);
    return std::nullopt;
}

offer_outcome configuration::apply(config_value_kind kind, config::versioned_lines lines,
                                   const std::vector<std::string>& source_lines) {
    config_value_state& value = mutable_state(kind);
    if (auto parse_error = parse(kind, lines.version_, source_lines)) {
        value.rejected_ = rejection{lines.version_, std::move(*parse_error)};
        return offer_outcome::rejected;
    }
    value.previous_ = std::exchange(value.lines_, std::move(lines));
    notify(kind);
    return offer_outcome::accepted;
}

void configuration::notify(config_value_kind kind) {
    for (const auto& listener : listeners_) {
        listener(kind);
    }
}

void configuration::set_hold(const platform_hold& hold) {
    if (hold.active_ && !hold_.active_) {
        hosts_version_before_hold_ = version(config_value_kind::hosts);
    }
    hold_ = hold;
    if (!hold_.active_ && hosts_ != listed_hosts_) {
        hosts_ = listed_hosts_;
        notify(config_value_kind::hosts);
    }
}

bool configuration::is_shared(config_value_kind kind) const {
    return kind == config_value_kind::rules || !hold_.active_;
}

std::int64_t configuration::shared_version(config_value_kind kind) const {
    return is_shared(kind) ? version(kind) : hosts_version_before_hold_;
}

offer_outcome configuration::offer_lines(config_value_kind kind, std::int64_t version,
                                         const std::vector<std::string>& lines) {
    config_value_state& value = mutable_state(kind);
    if (version <= value.lines_.version_) {
        ++value.ignored_stale_;
        return offer_outcome::stale;
    }
    return apply(kind, config::make_versioned_lines(version, lines), lines);
}

offer_outcome configuration::offer_delta(config_value_kind kind, const config::line_delta& delta) {
    config_value_state& value = mutable_state(kind);
    if (delta.version_ <= value.lines_.version_) {
        ++value.ignored_stale_;
        return offer_outcome::stale;
    }
    const config::versioned_lines empty;
    const config::versioned_lines& base = delta.base_ == 0 ? empty : value.lines_;
    auto changed = config::apply_delta(base, delta);
    if (!changed) {
        return offer_outcome::delta_mismatch;
    }
    const std::vector<std::string> source_lines = changed->lines_;
    return apply(kind, std::move(*changed), source_lines);
}

config::line_delta configuration::delta_from(config_value_kind kind,
                                             std::int64_t known_version) const {
    const config_value_state& value = state(kind);
    if (known_version != 0 && known_version == value.previous_.version_) {
        return config::make_delta(value.previous_, value.lines_);
    }
    return config::make_delta(config::versioned_lines{}, value.lines_);
}

void configuration::confirm(base::instant when) {
    if (!confirmed_at_ || when > *confirmed_at_) {
        confirmed_at_ = when;
    }
}

base::duration configuration::confirmed_age(base::instant now) const {
    return confirmed_at_ ? now - *confirmed_at_ : base::duration::max();
}

bool configuration::ready() const {
    return rules_state_.lines_.version_ > 0 && hosts_state_.lines_.version_ > 0;
}

void configuration::on_accepted(std::function<void(config_value_kind)> listener) {
    listeners_.push_back(std::move(listener));
}

}  // namespace dandelionridge::control
