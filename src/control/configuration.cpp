#include "control/configuration.h"

#include <utility>

#include "config/rule_parser.h"

namespace dandelionridge::control {

namespace {

// Returns true if the lines that a peer has are those of this version.
bool has_lines(const known_lines& known, const config::versioned_lines& lines) {
    if (known.version_ == 0) {
        return false;
    }
    return known.digest_ ? *known.digest_ == lines.digest_ : known.version_ == lines.version_;
}

}  // namespace

const char* to_text(control::config_value_kind kind) {
    return kind == control::config_value_kind::rules ? "rules" : "hosts";
}

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
        // A peer may have read the copy before this process.
        const bool is_first = hosts_state_.lines_.version_ == 0;
        if (!is_first && (*hosts)->restores_ > listed_hosts_->restores_) {
            keeps_newer_entries_ = true;
        }
        listed_hosts_ = std::move(*hosts);
        if (listed_hosts_->lists_evacuations_) {
            policy::apply_list(evacuations_, listed_hosts_->evacuated_zones_,
                               listed_hosts_->restores_);
        }
        use_listed_hosts();
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
    if (value.lines_.version_ > 0 && lines.digest_ != value.lines_.digest_) {
        config::record_change(value.history_, value.lines_, lines);
    }
    value.lines_ = std::move(lines);
    notify(kind);
    return offer_outcome::accepted;
}

void configuration::notify(config_value_kind kind) {
    for (const auto& listener : listeners_) {
        listener(kind);
    }
}

// Puts the listed hosts in force, but for the targets that stay as they are in use.
void configuration::use_listed_hosts() {
    outdated_targets_.clear();
    if (keeps_newer_entries_) {
        outdated_targets_ = find_outdated(*listed_hosts_, *hosts_, removed_targets_);
    }
    const config::hosts_ptr before = hosts_;
    hosts_ = config::with_evacuated_zones(
        keep_in_use(listed_hosts_, *before, outdated_targets_, hold_.missing_targets_),
        evacuations_.in_force_);
    record_removals(removed_targets_, *before, *hosts_);
}

void configuration::set_hold(const platform_hold& hold) {
    const bool missing_over = hold_.active_ && !hold.active_;
    const bool restore_over = hold_.restored_ && !hold.restored_;
    hold_ = hold;
    if (hold.restored_ || restore_over) {
        keeps_newer_entries_ = hold.restored_;
    }
    if (!missing_over && !restore_over) {
        return;
    }
    if (restore_over) {
        policy::end_restore(evacuations_);
    }
    const config::hosts_ptr before = hosts_;
    use_listed_hosts();
    if (hosts_ != before) {
        notify(config_value_kind::hosts);
    }
}

bool configuration::is_shared(config_value_kind kind) const {
    return kind == config_value_kind::rules ||
           (!hold_.active_ && outdated_targets_.empty() && policy::follows_list(evacuations_));
}

std::int64_t configuration::shared_version(config_value_kind kind) const {
    return is_shared(kind) ? version(kind) : 0;
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
                                             const known_lines& known) const {
    const config_value_state& value = state(kind);
    if (has_lines(known, value.lines_)) {
        return {known.version_, value.lines_.version_, {}, {}, value.lines_.digest_};
    }
    // Hosts read the same lines at different revisions of the platform, so the digest goes first.
    if (auto delta =
            config::delta_since(value.history_, known.version_, known.digest_, value.lines_)) {
        return *std::move(delta);
    }
    return config::make_delta(config::versioned_lines{}, value.lines_);
}

config::line_delta configuration::all_lines_for_older(config_value_kind kind) const {
    const config::versioned_lines& lines = state(kind).lines_;
    const bool differs = kind == config_value_kind::rules && parsers_.older_rules_;
    return config::make_delta({}, differs ? config::make_versioned_lines(
                                                lines.version_, parsers_.older_rules_(lines.lines_))
                                          : lines);
}

void configuration::confirm(base::instant when) {
    if (!confirmed_at_ || when > *confirmed_at_) {
        confirmed_at_ = when;
    }
}

base::duration configuration::confirmed_age(base::instant now) const {
    return confirmed_at_ ? now - *confirmed_at_ : base::duration::max();
}

bool configuration::rejects_newest(config_value_kind kind) const {
    const config_value_state& value = state(kind);
    return value.rejected_ && value.rejected_->version_ > value.lines_.version_;
}

bool configuration::rejects_newest() const {
    return rejects_newest(config_value_kind::rules) || rejects_newest(config_value_kind::hosts);
}

bool configuration::ready() const {
    return rules_state_.lines_.version_ > 0 && hosts_state_.lines_.version_ > 0;
}

void configuration::on_accepted(std::function<void(config_value_kind)> listener) {
    listeners_.push_back(std::move(listener));
}

}  // namespace dandelionridge::control
