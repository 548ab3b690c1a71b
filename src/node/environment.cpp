#include "node/environment.h"

#include <utility>

#include "node/values_feed.h"

namespace dandelionridge::node {

environment values_environment() {
    environment result;
    result.parsers_ = control::line_parsers();
    result.make_feed_ =
        [](net::event_loop& loop, const config::settings& settings,
           control::config_feed_callbacks callbacks) -> std::unique_ptr<control::config_feed> {
        return std::make_unique<values_feed>(loop, settings.platform_address_, settings.watch_wait_,
                                             std::move(callbacks));
    };
    return result;
}

}  // namespace dandelionridge::node
