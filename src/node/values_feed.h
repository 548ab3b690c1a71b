// Reads the rules and the host list from a platform that stores each as a list of lines under a
// name.
#pragma once

#include <memory>

#include "control/config_feed.h"
#include "net/event_loop.h"
#include "net/platform_reader.h"

namespace dandelionridge::node {

class values_feed final : public control::config_feed {
public:
    values_feed(net::event_loop& loop, const base::address& platform, base::duration watch_wait,
                control::config_feed_callbacks callbacks);

    std::uint64_t request_count() const override {
        return rules_reader_->request_count() + hosts_reader_->request_count();
    }
    bool platform_available() const override { return platform_available_; }

private:
    std::unique_ptr<net::platform_reader> make_reader(net::event_loop& loop,
                                                      const base::address& platform,
                                                      base::duration watch_wait,
                                                      control::config_value_kind kind);
    void mark_platform_available();

    control::config_feed_callbacks callbacks_;
    std::unique_ptr<net::platform_reader> rules_reader_;
    std::unique_ptr<net::platform_reader> hosts_reader_;
    bool platform_available_ = false;
};

}  // namespace dandelionridge::node
