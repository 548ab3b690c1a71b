// Table of the libwebsockets protocols of this folder. A protocol binds a name, which is given when
// a descriptor is adopted, to the callback that handles the descriptor's events.
#pragma once

#include <libwebsockets.h>

namespace dandelionridge::net {

// Protocol of connections.
inline constexpr const char* byte_protocol = "bytes";

// Protocol of listening sockets.
inline constexpr const char* accept_protocol = "accept";

// Protocol of the loop's timer descriptor.
inline constexpr const char* timer_protocol = "timer";

// Returns the table of all protocols, for the loop's vhost.
const lws_protocols* protocols();

int on_byte_event(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length);
int on_accept_event(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                    std::size_t length);
int on_timer_event(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length);

}  // namespace dandelionridge::net
