// Where a process reads its configuration from.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "control/configuration.h"

namespace dandelionridge::control {

// Hears what a feed reads.
struct config_feed_callbacks {
    // A whole version has been read.
    std::function<void(config_value_kind, std::int64_t version,
                       const std::vector<std::string>& lines)>
        published_;
    // The platform answered a call that began at that time, and had nothing newer.
    std::function<void(base::instant)> confirmed_;
    // A call failed; the feed tries again by itself.
    std::function<void(const base::error&)> failed_;
    // The platform answers again after a failure.
    std::function<void()> recovered_;
};

// Watches the platform by itself from its making on.
class config_feed {
public:
    virtual ~config_feed() = default;

    // Calls made so far.
    virtual std::uint64_t calls() const = 0;

    // False while the last call failed.
    virtual bool platform_available() const = 0;
};

}  // namespace dandelionridge::control
