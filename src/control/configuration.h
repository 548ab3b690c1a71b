// The rules and the host list in force. Versions only rise: an offered version that is not newer
// than the one in force is ignored.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "config/host_list.h"
#include "config/line_history.h"
#include "config/rules.h"
#include "config/versioned_lines.h"
#include "control/known_targets.h"
#include "policy/evacuation.h"

namespace dandelionridge::control {

enum class config_value_kind { rules, hosts };

// Returns the name of a value in events and in the status.
const char* to_text(config_value_kind kind);

// Functions that parse the lines of one version into a value.
struct config_parsers {
    std::function<base::result<config::rules_ptr>(std::int64_t version,
                                                  const std::vector<std::string>& lines)>
        rules_;
    std::function<base::result<config::hosts_ptr>(std::int64_t version,
                                                  const std::vector<std::string>& lines)>
        hosts_;
    // Returns the lines of rules as older programs expect them; empty if they expect the same.
    std::function<std::vector<std::string>(const std::vector<std::string>& lines)> older_rules_;
};

// Returns the parsers for rule lines and host lines.
config_parsers line_parsers();

// Result of offering a version.
enum class offer_outcome {
    accepted,
    // At or below the version in force: counted and ignored.
    stale,
    // The lines do not conform to the grammar; the version in force stays.
    rejected,
    // The delta does not apply to the lines in force: its base or its digest differs. The peer must
    // send all lines.
    delta_mismatch,
};

// The lines that a peer has in force.
struct known_lines {
    // 0 if it has none.
    std::int64_t version_ = 0;
    // Empty if the peer did not send it.
    std::optional<std::uint64_t> digest_;
};

// A version that was rejected.
struct rejection {
    std::int64_t version_ = 0;
    // The parser's error message.
    std::string message_;
};

// State of one of the two values.
struct config_value_state {
    config::versioned_lines lines_;
    // What changed in the last versions, so that peers can be sent a delta instead of all lines.
    config::line_history history_;
    // The last version that was rejected, with the reason; empty if there was none.
    std::optional<rejection> rejected_;
    // Offers ignored because their version was not newer than the one in force.
    std::uint64_t ignored_stale_ = 0;
};

// A time after an outage of the platform, or after it came back from a copy, in which its list of
// targets may lack some that are still there.
struct platform_hold {
    bool active_ = false;
    // Names of the targets that the platform's list lost in the outage or since.
    std::set<std::string> missing_targets_;
    // The platform came back from a copy so recently that it may still list targets as they were
    // before.
    bool restored_ = false;

    bool operator==(const platform_hold&) const = default;
};

// Holds both values. Does no I/O; callers supply versions and times.
class configuration {
public:
    explicit configuration(config_parsers parsers = line_parsers());

    // Offers all lines of a version, as the platform publishes them.
    offer_outcome offer_lines(config_value_kind kind, std::int64_t version,
                              const std::vector<std::string>& lines);

    // Offers a delta received from a peer.
    offer_outcome offer_delta(config_value_kind kind, const config::line_delta& delta);

    // Returns the delta that brings a peer at the known version to the version in force. It is
    // empty if the lines are the same and only their version is another one, and holds all lines,
    // with base 0, if the peer's lines are not among the last ones.
    config::line_delta delta_from(config_value_kind kind, const known_lines& known) const;

    // Returns all lines for a peer with an older program.
    config::line_delta all_lines_for_older(config_value_kind kind) const;

    // Sets the hold. While it is active, the missing targets stay in use on this host if they were
    // in use before, and the host list is not passed on to peers: a list that was read just after
    // an outage may lack targets that are still there. After a restore, neither is a list with
    // entries or evacuations that are older than those known, which stay in use instead.
    void set_hold(const platform_hold& hold);

    // Returns the version of a value that peers may pull; 0 for a host list that is not passed on.
    std::int64_t shared_version(config_value_kind kind) const;

    // Returns true if the value in force may be passed on to peers.
    bool is_shared(config_value_kind kind) const;

    // Records that the platform confirmed at `when` that the versions in force are its newest. No
    // effect if a later confirmation is known.
    void confirm(base::instant when);

    // Returns the age of the newest confirmation; duration::max() if there was none.
    base::duration confirmed_age(base::instant now) const;

    // Returns the listed targets that are used, or left out, as they were known before the platform
    // came back from a copy.
    const std::set<std::string>& outdated_targets() const { return outdated_targets_; }

    // rules() and hosts() return the values in force: never null, and empty before the first
    // version. hosts() also contains the targets that a hold keeps in use.
    const config::rules_ptr& rules() const { return rules_; }
    const config::hosts_ptr& hosts() const { return hosts_; }
    std::int64_t version(config_value_kind kind) const { return state(kind).lines_.version_; }
    const config_value_state& state(config_value_kind kind) const;

    // Returns true once both values have a version.
    bool ready() const;

    // Returns true if the newest version of the value, or of any value, was rejected, so that an
    // older one is in force.
    bool rejects_newest(config_value_kind kind) const;
    bool rejects_newest() const;

    // Adds a listener that is called after each accepted version.
    void on_accepted(std::function<void(config_value_kind)> listener);

private:
    config_value_state& mutable_state(config_value_kind kind);
    offer_outcome apply(config_value_kind kind, config::versioned_lines lines,
                        const std::vector<std::string>& source_lines);
    void notify(config_value_kind kind);
    void use_listed_hosts();
    std::optional<std::string> parse(config_value_kind kind, std::int64_t version,
                                     const std::vector<std::string>& source_lines);

    config_parsers parsers_;
    config_value_state rules_state_;
    config_value_state hosts_state_;
    config::rules_ptr rules_;
    config::hosts_ptr hosts_;
    // The newest host list, as it was offered.
    config::hosts_ptr listed_hosts_;
    platform_hold hold_;
    removed_targets removed_targets_;
    // A list that may come from a copy is in force: entries that are known to be newer are kept.
    bool keeps_newer_entries_ = false;
    std::set<std::string> outdated_targets_;
    policy::evacuations evacuations_;
    std::optional<base::instant> confirmed_at_;
    std::vector<std::function<void(config_value_kind)>> listeners_;
};

}  // namespace dandelionridge::control
