// What differs between the platforms that a process can run on.
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

using feed_factory = std::function<std::unique_ptr<control::config_feed>(
    net::event_loop& loop, const config::settings& settings,
    control::config_feed_callbacks events)>;

struct environment {
    config::header_policy headers_;
    control::config_parsers parsers_;
    feed_factory make_feed_;
    // Besides /healthz, the path at which the platform asks whether this process may serve.
    std::string ready_path_ = "/healthz";
};

// The product's own: rule lines, host lines, and the platform that keeps them under names.
environment values_environment();

}  // namespace dandelionridge::node
