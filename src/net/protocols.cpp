#include "net/protocols.h"

namespace dandelionridge::net {

namespace {

constexpr std::size_t read_bytes = 16 * 1024;

constexpr lws_protocols end_of_list = {nullptr, nullptr, 0, 0, 0, nullptr, 0};

const lws_protocols client_list[] = {
    {http_client_protocol, on_http_client_event, 0, read_bytes, 0, nullptr, 0},
    {frame_protocol, on_frame_event, 0, read_bytes, 0, nullptr, 0},
    {alarm_protocol, on_alarm_event, 0, 0, 0, nullptr, 0},
    end_of_list,
};

const lws_protocols http_server_list[] = {
    {"http-server", on_http_server_event, 0, read_bytes, 0, nullptr, 0},
    end_of_list,
};

const lws_protocols frame_server_list[] = {
    {frame_protocol, on_frame_event, 0, read_bytes, 0, nullptr, 0},
    end_of_list,
};

}  // namespace

const lws_protocols* client_protocols() {
    return static_cast<const lws_protocols*>(client_list);
}

const lws_protocols* http_server_protocols() {
    return static_cast<const lws_protocols*>(http_server_list);
}

const lws_protocols* frame_server_protocols() {
    return static_cast<const lws_protocols*>(frame_server_list);
}

}  // namespace dandelionridge::net
