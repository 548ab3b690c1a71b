// The parts of a process that depend on the platform it runs on.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "config/header_policy.h"
#include "config/settings.h"
#include "control/config_feed.h"
#include "control/configuration.h"
#include "net/event_loop.h"

namespace dandelionridge::node {

// Creates the feed that reads the configuration from the platform.
using feed_factory = std::function<std::unique_ptr<control::config_feed>(
    net::event_loop& loop, const config::settings& settings,
    control::config_feed_callbacks callbacks)>;

struct environment {
    config::header_policy headers_;
    control::config_parsers parsers_;
    feed_factory make_feed_;
    // Path of the platform's readiness check, in addition to /healthz.
    std::string ready_path_ = "/healthz";
    // Time after which the platform no longer sends callers to a host that is not ready.
    base::duration readiness_lag_{};
};

// Returns the environment of the product's own platform, which stores rules and hosts as lists of
// lines under names.
environment values_environment();

}  // namespace dandelionridge::node
