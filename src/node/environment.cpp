#include "node/environment.h"

#include <utility>

#include "node/values_feed.h"

namespace dandelionridge::node {

environment values_environment() {
    environment made;
    made.parsers_ = control::line_parsers();
    made.make_feed_ =
        [](net::event_loop& loop, const config::settings& settings,
           control::config_feed_callbacks events) -> std::unique_ptr<control::config_feed> {
        return std::make_unique<values_feed>(loop, settings.platform_address_, settings.watch_wait_,
                                             std::move(events));
    };
    return made;
}

}  // namespace dandelionridge::node
