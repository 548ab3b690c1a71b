// The libwebsockets callbacks of this folder, by the names that descriptors ask for.
#pragma once

#include <libwebsockets.h>

namespace dandelionridge::net {

// Name of the protocol of a connection.
inline constexpr const char* byte_protocol = "bytes";

// Name of the protocol of a listening socket.
inline constexpr const char* accept_protocol = "accept";

// Name of the protocol of the loop's timer.
inline constexpr const char* timer_protocol = "alarm";

// All protocols, for the loop's one vhost.
const lws_protocols* protocols();

int on_byte_event(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length);
int on_accept_event(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                    std::size_t length);
int on_timer_event(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length);

}  // namespace dandelionridge::net
