// The libwebsockets callbacks of this folder, by the names that connections ask for.
#pragma once

#include <libwebsockets.h>

namespace dandelionridge::net {

// Name of the protocol that carries frames between processes.
inline constexpr const char* frame_protocol = "frames";

// Name of the protocol of the loop's timer.
inline constexpr const char* alarm_protocol = "alarm";

// Name of the protocol of HTTP requests that this process makes.
inline constexpr const char* http_client_protocol = "http-client";

// Protocols of outgoing connections: HTTP requests and frame sockets.
const lws_protocols* client_protocols();

// Protocols of a listener for HTTP.
const lws_protocols* http_server_protocols();

// Protocols of a listener for frame sockets.
const lws_protocols* frame_server_protocols();

int on_http_server_event(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                         std::size_t length);
int on_http_client_event(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                         std::size_t length);
int on_alarm_event(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length);
int on_frame_event(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length);

}  // namespace dandelionridge::net
