#include "support/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <vector>

namespace dandelionridge::support {

namespace {

constexpr int poll_timeout_ms = 5;

sockaddr_in to_sockaddr(const base::address& address) {
    sockaddr_in binary{};
    binary.sin_family = AF_INET;
    binary.sin_port = htons(address.port_);
    inet_pton(AF_INET, address.ip_.c_str(), &binary.sin_addr);
    return binary;
}

bool readable(int fd) {
    pollfd polled{fd, POLLIN, 0};
    return poll(&polled, 1, 0) > 0;
}

}  // namespace

relay::relay(const base::address& listen_address, const base::address& upstream_address)
    : upstream_address_(upstream_address) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in socket_address = to_sockaddr(listen_address);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&socket_address),
             sizeof(socket_address)) != 0 ||
        listen(listener_, SOMAXCONN) != 0) {
        throw std::runtime_error("the relay cannot listen on " + base::to_string(listen_address));
    }
    thread_ = std::thread([this] { run(); });
}

relay::~relay() {
    stopped_ = true;
    thread_.join();
    for (const relayed_link& link : links_) {
        close(link.caller_proxy_fd_);
        close(link.target_proxy_fd_);
    }
    close(listener_);
}

void relay::hold_open_links(relay_direction direction) {
    const std::lock_guard lock(mutex_);
    for (relayed_link& link : links_) {
        (direction == relay_direction::to_target_proxy ? link.hold_to_target_proxy_
                                                       : link.hold_to_caller_proxy_) = true;
    }
}

void relay::cut_open_links_after(std::size_t bytes_to_caller_proxy) {
    const std::lock_guard lock(mutex_);
    for (relayed_link& link : links_) {
        link.bytes_until_cut_ = bytes_to_caller_proxy;
    }
}

void relay::release() {
    const std::lock_guard lock(mutex_);
    for (relayed_link& link : links_) {
        link.hold_to_target_proxy_ = false;
        link.hold_to_caller_proxy_ = false;
    }
}

void relay::accept_one() {
    const int caller_proxy_fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    const int target_proxy_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(caller_proxy_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(target_proxy_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in socket_address = to_sockaddr(upstream_address_);
    const bool connected =
        !refuse_links_ &&
        connect(target_proxy_fd, reinterpret_cast<const sockaddr*>(&socket_address),
                sizeof(socket_address)) == 0;
    if (!connected) {
        close(caller_proxy_fd);
        close(target_proxy_fd);
        return;
    }
    ++opened_;
    links_.push_back({caller_proxy_fd, target_proxy_fd, false, false, false, {}});
}

// Forwards the bytes that can be read without blocking. Returns false if either side has closed, or
// the link is to be cut because `until_cut` bytes were forwarded.
bool relay::forward_available(int from, int to, std::optional<std::size_t>* until_cut) const {
    if (!readable(from)) {
        return true;
    }
    std::this_thread::sleep_for(delay_.load());
    std::array<char, 16384> bytes{};
    const bool counted = until_cut != nullptr && until_cut->has_value();
    const std::size_t room = counted ? std::min(bytes.size(), **until_cut) : bytes.size();
    const ssize_t count = room == 0 ? 0 : read(from, bytes.data(), room);
    if (counted && count > 0) {
        **until_cut -= static_cast<std::size_t>(count);
    }
    return count > 0 &&
           send(to, bytes.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
}

void relay::run() {
    while (!stopped_) {
        std::vector<pollfd> polled_fds = {{listener_, POLLIN, 0}};
        {
            const std::lock_guard lock(mutex_);
            for (const relayed_link& link : links_) {
                polled_fds.push_back(
                    {link.hold_to_target_proxy_ ? -1 : link.caller_proxy_fd_, POLLIN, 0});
                polled_fds.push_back(
                    {link.hold_to_caller_proxy_ ? -1 : link.target_proxy_fd_, POLLIN, 0});
            }
        }
        poll(polled_fds.data(), polled_fds.size(), poll_timeout_ms);
        const std::lock_guard lock(mutex_);
        for (relayed_link& link : links_) {
            link.closed_ = (!link.hold_to_target_proxy_ &&
                            !forward_available(link.caller_proxy_fd_, link.target_proxy_fd_)) ||
                           (!link.hold_to_caller_proxy_ &&
                            !forward_available(link.target_proxy_fd_, link.caller_proxy_fd_,
                                               &link.bytes_until_cut_));
            if (link.closed_) {
                close(link.caller_proxy_fd_);
                close(link.target_proxy_fd_);
            }
        }
        std::erase_if(links_, [](const relayed_link& link) { return link.closed_; });
        if (readable(listener_)) {
            accept_one();
        }
    }
}

}  // namespace dandelionridge::support
