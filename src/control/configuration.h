// The rules and the host list in force, and the fence that keeps versions from going back.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "config/host_list.h"
#include "config/rules.h"
#include "config/versioned_lines.h"

namespace dandelionridge::control {

enum class config_value_kind { rules, hosts };

// Make a value of the lines of a version.
struct config_parsers {
    std::function<base::result<config::rules_ptr>(std::int64_t version,
                                                  const std::vector<std::string>& lines)>
        rules_;
    std::function<base::result<config::hosts_ptr>(std::int64_t version,
                                                  const std::vector<std::string>& lines)>
        hosts_;
};

// Those for rule lines and host lines.
config_parsers line_parsers();

// What became of an offered version.
enum class offer_outcome {
    accepted,
    // At or below the version in force: counted and ignored.
    stale,
    // It breaks the grammar; the version in force stays.
    rejected,
    // It is based on lines that are not at hand; all lines are needed.
    missing_base,
};

struct rejection {
    std::int64_t version_ = 0;
    std::string message_;
};

// One of the two values, with the newest version that was refused.
struct config_value_state {
    config::versioned_lines lines_;
    // What the version before was, to send changes instead of everything.
    config::versioned_lines previous_;
    std::optional<rejection> rejected_;
    std::uint64_t ignored_old_ = 0;
};

// Holds both values. Knows nothing of sockets; callers bring versions and times.
class configuration {
public:
    explicit configuration(config_parsers parsers = line_parsers());

    // All lines of a version, as the platform gives them.
    offer_outcome offer_lines(config_value_kind kind, std::int64_t version,
                              const std::vector<std::string>& lines);

    // A change from a peer.
    offer_outcome offer_delta(config_value_kind kind, const config::line_delta& delta);

    // The change that brings a peer that has `have` to the version in force.
    config::line_delta delta_from(config_value_kind kind, std::int64_t have) const;

    // The platform confirmed at that time that the versions in force are its newest.
    void confirm(base::instant when);

    // Age of the newest confirmation; the longest duration if there was none.
    base::duration confirmed_age(base::instant now) const;

    const config::rules_ptr& rules() const { return rules_; }
    const config::hosts_ptr& hosts() const { return hosts_; }
    std::int64_t version(config_value_kind kind) const { return state(kind).lines_.version_; }
    const config_value_state& state(config_value_kind kind) const;

    // True once both values have a version.
    bool ready() const;

    // Called after each accepted version.
    void on_accepted(std::function<void(config_value_kind)> listener);

private:
    config_value_state& mutable_state(config_value_kind kind);
    offer_outcome apply(config_value_kind kind, config::versioned_lines lines,
                        const std::vector<std::string>& text);
    std::optional<std::string> parse(config_value_kind kind, std::int64_t version,
                                     const std::vector<std::string>& text);

    config_parsers parsers_;
    config_value_state rules_state_;
    config_value_state hosts_state_;
    config::rules_ptr rules_;
    config::hosts_ptr hosts_;
    std::optional<base::instant> confirmed_at_;
    std::vector<std::function<void(config_value_kind)>> listeners_;
};

}  // namespace dandelionridge::control
