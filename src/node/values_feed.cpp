#include "node/values_feed.h"

#include <utility>

namespace dandelionridge::node {

values_feed::values_feed(net::event_loop& loop, const base::address& platform,
                         base::duration watch_wait, control::config_feed_callbacks events)
    : events_(std::move(events)),
      rules_(make_reader(loop, platform, watch_wait, control::config_value_kind::rules)),
      hosts_(make_reader(loop, platform, watch_wait, control::config_value_kind::hosts)) {
    rules_->start(0);
    hosts_->start(0);
}

std::unique_ptr<net::platform_reader> values_feed::make_reader(net::event_loop& loop,
                                                               const base::address& platform,
                                                               base::duration watch_wait,
                                                               control::config_value_kind kind) {
    const bool rules = kind == control::config_value_kind::rules;
    net::platform_reader_events events;
    events.published_ = [this, kind](const net::platform_version& published) {
        mark_reachable();
        events_.published_(kind, published.version_, published.lines_);
    };
    events.confirmed_ = [this, rules](base::instant when) {
        mark_reachable();
        if (rules) {
            events_.confirmed_(when);
        }
    };
    events.failed_ = [this](const base::error& why) {
        platform_available_ = false;
        events_.failed_(why);
    };
    return std::make_unique<net::platform_reader>(
        loop, net::platform_reader_options{platform, rules ? "rules" : "hosts", watch_wait},
        std::move(events));
}

void values_feed::mark_reachable() {
    if (!platform_available_) {
        platform_available_ = true;
        events_.recovered_();
    }
}

}  // namespace dandelionridge::node
