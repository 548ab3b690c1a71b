#include "net/protocols.h"

namespace dandelionridge::net {

namespace {

constexpr lws_protocols end_of_list = {nullptr, nullptr, 0, 0, 0, nullptr, 0};

const lws_protocols protocol_list[] = {
    {byte_protocol, on_byte_event, 0, 0, 0, nullptr, 0},
    {accept_protocol, on_accept_event, 0, 0, 0, nullptr, 0},
    {timer_protocol, on_timer_event, 0, 0, 0, nullptr, 0},
    end_of_list,
};

}  // namespace

const lws_protocols* protocols() {
    return static_cast<const lws_protocols*>(protocol_list);
}

}  // namespace dandelionridge::net
