// Interface through which gossip and quota send frames to other processes.
#pragma once

#include <functional>
#include <string>

namespace dandelionridge::wire {
class frame;
}

namespace dandelionridge::control {

// Sends a frame back to the peer whose message is being handled; valid during that call only.
using frame_sender = std::function<void(const wire::frame&)>;

class peer_sender {
public:
    virtual ~peer_sender() = default;

    // Sends a frame to the named host. Delivery is not guaranteed; unknown hosts are ignored.
    virtual void send(const std::string& host, const wire::frame& frame) = 0;

    // Returns true if a link to that host is open.
    virtual bool reachable(const std::string& host) const = 0;

    // Returns true if no process of that host was found: several attempts in a row to open a link
    // to it have failed, and none is open.
    virtual bool absent(const std::string& host) const = 0;
};

}  // namespace dandelionridge::control
