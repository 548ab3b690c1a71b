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

constexpr int poll_ms = 5;

sockaddr_in to_sockaddr(const base::address& where) {
    sockaddr_in binary{};
    binary.sin_family = AF_INET;
    binary.sin_port = htons(where.port_);
    inet_pton(AF_INET, where.ip_.c_str(), &binary.sin_addr);
    return binary;
}

bool readable(int fd) {
    pollfd one{fd, POLLIN, 0};
    return poll(&one, 1, 0) > 0;
}

}  // namespace

relay::relay(const base::address& listen_address, const base::address& upstream_address)
    : upstream_address_(upstream_address) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in at = to_sockaddr(listen_address);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
        listen(listener_, SOMAXCONN) != 0) {
        throw std::runtime_error("the relay cannot listen on " + base::to_string(listen_address));
    }
    thread_ = std::thread([this] { run(); });
}

relay::~relay() {
    stopped_ = true;
    thread_.join();
    for (const pipe& one : pipes_) {
        close(one.caller_proxy_fd_);
        close(one.target_proxy_fd_);
    }
    close(listener_);
}

void relay::hold_open_links(relay_direction direction) {
    const std::lock_guard lock(mutex_);
    for (pipe& one : pipes_) {
        (direction == relay_direction::to_target_proxy ? one.hold_to_target_proxy_
                                                       : one.hold_to_caller_proxy_) = true;
    }
}

void relay::release() {
    const std::lock_guard lock(mutex_);
    for (pipe& one : pipes_) {
        one.hold_to_target_proxy_ = false;
        one.hold_to_caller_proxy_ = false;
    }
}

void relay::accept_one() {
    const int entry = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    const int guard = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(entry, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(guard, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in at = to_sockaddr(upstream_address_);
    const bool connected =
        !refuse_links_ && connect(guard, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
    if (!connected) {
        close(entry);
        close(guard);
        return;
    }
    ++opened_;
    pipes_.push_back({entry, guard, false, false, false});
}

// Passes what is readable on. False once either side has ended.
bool relay::pump(int from, int to) {
    if (!readable(from)) {
        return true;
    }
    std::array<char, 16384> bytes{};
    const ssize_t count = read(from, bytes.data(), bytes.size());
    return count > 0 &&
           send(to, bytes.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
}

void relay::run() {
    while (!stopped_) {
        std::vector<pollfd> waited = {{listener_, POLLIN, 0}};
        {
            const std::lock_guard lock(mutex_);
            for (const pipe& one : pipes_) {
                waited.push_back(
                    {one.hold_to_target_proxy_ ? -1 : one.caller_proxy_fd_, POLLIN, 0});
                waited.push_back(
                    {one.hold_to_caller_proxy_ ? -1 : one.target_proxy_fd_, POLLIN, 0});
            }
        }
        poll(waited.data(), waited.size(), poll_ms);
        const std::lock_guard lock(mutex_);
        for (pipe& one : pipes_) {
            one.closed_ =
                (!one.hold_to_target_proxy_ && !pump(one.caller_proxy_fd_, one.target_proxy_fd_)) ||
                (!one.hold_to_caller_proxy_ && !pump(one.target_proxy_fd_, one.caller_proxy_fd_));
            if (one.closed_) {
                close(one.caller_proxy_fd_);
                close(one.target_proxy_fd_);
            }
        }
        std::erase_if(pipes_, [](const pipe& one) { return one.closed_; });
        if (readable(listener_)) {
            accept_one();
        }
    }
}

}  // namespace dandelionridge::support
