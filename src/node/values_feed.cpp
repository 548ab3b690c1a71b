#include "node/values_feed.h"

#include <utility>

namespace dandelionridge::node {

values_feed::values_feed(net::event_loop& loop, const base::address& platform,
                         base::duration watch_wait, control::config_feed_callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      rules_reader_(make_reader(loop, platform, watch_wait, control::config_value_kind::rules)),
      hosts_reader_(make_reader(loop, platform, watch_wait, control::config_value_kind::hosts)) {
    rules_reader_->start(0);
    hosts_reader_->start(0);
}

std::unique_ptr<net::platform_reader> values_feed::make_reader(net::event_loop& loop,
                                                               const base::address& platform,
                                                               base::duration watch_wait,
                                                               control::config_value_kind kind) {
    const bool is_rules = kind == control::config_value_kind::rules;
    net::platform_reader_events events;
    events.published_ = [this, kind](const net::platform_version& version) {
        mark_platform_available();
        callbacks_.published_(kind, version.version_, version.lines_);
    };
    events.confirmed_ = [this, is_rules](base::instant confirmed_at) {
        mark_platform_available();
        if (is_rules) {
            callbacks_.confirmed_(confirmed_at);
        }
    };
    events.failed_ = [this](const base::error& error) {
        platform_available_ = false;
        callbacks_.failed_(error);
    };
    return std::make_unique<net::platform_reader>(
        loop, net::platform_reader_options{platform, is_rules ? "rules" : "hosts", watch_wait},
        std::move(events));
}

void values_feed::mark_platform_available() {
    if (!platform_available_) {
        platform_available_ = true;
        callbacks_.recovered_();
    }
}

}  // namespace dandelionridge::node
