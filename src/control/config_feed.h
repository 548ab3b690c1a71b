// The source from which a process reads its configuration.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "control/configuration.h"

namespace dandelionridge::control {

// Callbacks for the events of a configuration feed.
struct config_feed_callbacks {
    // A complete version has been read.
    std::function<void(config_value_kind, std::int64_t version,
                       const std::vector<std::string>& lines)>
        published_;
    // The platform replied to a request that began at the given time, and had nothing newer than
    // the versions that were passed to published_.
    std::function<void(base::instant)> confirmed_;
    // A request to the platform failed; the feed retries by itself. Further failures in a row need
    // not be reported.
    std::function<void(const base::error&)> failed_;
    // The platform replies, for the first time or again after a failure.
    std::function<void()> recovered_;
    // The platform has come back from a copy, in the given era and at the given revision of its
    // own, and is read anew. Called before the values read are passed to published_.
    std::function<void(std::int64_t era, std::int64_t revision)> restored_;
    // A hold has begun or ended, or its missing targets have changed. Called before published_ is
    // called with a list that lacks them.
    std::function<void(const platform_hold&)> hold_changed_;
};

// Watches the platform from construction on; no call is needed to start it.
class config_feed {
public:
    virtual ~config_feed() = default;

    // Returns the number of requests sent to the platform so far.
    virtual std::uint64_t request_count() const = 0;

    // Returns false if the last request to the platform failed or none has been answered yet.
    virtual bool platform_available() const = 0;

    // Sets whether the feed watches the platform. Without that it rests, once it has read
    // everything: the host learns of changes from others. `evidence_age`: age of the host's
    // evidence that what it knows is current. No effect on a feed that always watches.
    virtual void set_current_reads(bool /*enabled*/, base::duration /*evidence_age*/) {}

    // Returns the time as of which what was passed to published_ is known to be current, if the
    // platform delivers changes to a watch that waits for them. Empty if the feed does not know.
    virtual std::optional<base::instant> current_as_of() const { return std::nullopt; }
};

}  // namespace dandelionridge::control
