#include "support/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <limits>
#include <stdexcept>

namespace dandelionridge::support {

namespace {

constexpr int poll_timeout_ms = 5;
// Most bytes of one link in its turn while the rate is limited.
constexpr std::size_t bytes_per_turn = 1024;
// Part of a second's bytes that a budget gathers at most.
constexpr double gathered_seconds = 0.05;

sockaddr_in to_sockaddr(const base::address& address) {
    sockaddr_in binary{};
    binary.sin_family = AF_INET;
    binary.sin_port = htons(address.port_);
    inet_pton(AF_INET, address.ip_.c_str(), &binary.sin_addr);
    return binary;
}

void refill(std::optional<byte_budget>& budget, std::chrono::steady_clock::time_point now) {
    if (!budget) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - budget->refilled_at_;
    const auto rate = static_cast<double>(budget->bytes_per_second_);
    const double most = std::max(rate * gathered_seconds, static_cast<double>(bytes_per_turn));
    budget->available_ = std::min(budget->available_ + rate * elapsed.count(), most);
    budget->refilled_at_ = now;
}

// Returns the bytes that a link may forward in its turn: 0 while there are too few for a turn.
std::size_t allowed_bytes(const std::optional<byte_budget>& budget) {
    if (!budget) {
        return std::numeric_limits<std::size_t>::max();
    }
    return budget->available_ < static_cast<double>(bytes_per_turn) ? 0 : bytes_per_turn;
}

std::optional<byte_budget> make_budget(std::optional<std::size_t> bytes_per_second) {
    if (!bytes_per_second) {
        return std::nullopt;
    }
    return byte_budget{*bytes_per_second, 0, std::chrono::steady_clock::now()};
}

bool readable(int fd) {
    pollfd polled{fd, POLLIN, 0};
    return poll(&polled, 1, 0) > 0;
}

}  // namespace

relay::relay(const base::address& listen_address, const base::address& upstream_address,
             std::optional<std::size_t> bytes_per_second)
    : upstream_address_(upstream_address) {
    to_target_proxy_.budget_ = make_budget(bytes_per_second);
    to_caller_proxy_.budget_ = make_budget(bytes_per_second);
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

// Forwards the bytes that can be read without blocking and are within the budget. Returns false if
// either side has closed, or the link is to be cut because `until_cut` bytes were forwarded.
bool relay::forward_available(int from, int to, relayed_flow& flow,
                              std::optional<std::size_t>* until_cut) const {
    const std::size_t budget = allowed_bytes(flow.budget_);
    if (budget == 0 || !readable(from)) {
        return true;
    }
    std::this_thread::sleep_for(delay_.load());
    std::array<char, 16384> bytes{};
    const bool counted = until_cut != nullptr && until_cut->has_value();
    const std::size_t limit = std::min(bytes.size(), budget);
    const std::size_t room = counted ? std::min(limit, **until_cut) : limit;
    const ssize_t count = room == 0 ? 0 : read(from, bytes.data(), room);
    if (count <= 0) {
        return false;
    }
    if (counted) {
        **until_cut -= static_cast<std::size_t>(count);
    }
    if (flow.budget_) {
        flow.budget_->available_ -= static_cast<double>(count);
    }
    flow.forwarded_ += static_cast<std::uint64_t>(count);
    return send(to, bytes.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
}

std::uint64_t relay::forwarded(relay_direction direction) const {
    const std::lock_guard lock(mutex_);
    return direction == relay_direction::to_target_proxy ? to_target_proxy_.forwarded_
                                                         : to_caller_proxy_.forwarded_;
}

void relay::refill_budgets() {
    const auto now = std::chrono::steady_clock::now();
    refill(to_target_proxy_.budget_, now);
    refill(to_caller_proxy_.budget_, now);
}

// Returns the listener and both sides of each link. A side whose bytes are held, or are beyond the
// budget, is left out of the wait by a negative descriptor.
std::vector<pollfd> relay::make_polled_fds() const {
    const bool may_call = allowed_bytes(to_target_proxy_.budget_) > 0;
    const bool may_reply = allowed_bytes(to_caller_proxy_.budget_) > 0;
    std::vector<pollfd> polled_fds = {{listener_, POLLIN, 0}};
    for (const relayed_link& link : links_) {
        const bool polls_caller = may_call && !link.hold_to_target_proxy_;
        const bool polls_target = may_reply && !link.hold_to_caller_proxy_;
        polled_fds.push_back({polls_caller ? link.caller_proxy_fd_ : -1, POLLIN, 0});
        polled_fds.push_back({polls_target ? link.target_proxy_fd_ : -1, POLLIN, 0});
    }
    return polled_fds;
}

// Forwards on the links whose sides were found readable, and closes those that have ended.
void relay::forward_polled(std::span<const pollfd> polled_fds) {
    std::size_t index = 1;
    for (relayed_link& link : links_) {
        const bool from_caller = polled_fds[index++].revents != 0 && !link.hold_to_target_proxy_;
        const bool from_target = polled_fds[index++].revents != 0 && !link.hold_to_caller_proxy_;
        link.closed_ =
            (from_caller &&
             !forward_available(link.caller_proxy_fd_, link.target_proxy_fd_, to_target_proxy_)) ||
            (from_target && !forward_available(link.target_proxy_fd_, link.caller_proxy_fd_,
                                               to_caller_proxy_, &link.bytes_until_cut_));
        if (link.closed_) {
            close(link.caller_proxy_fd_);
            close(link.target_proxy_fd_);
        }
    }
    std::erase_if(links_, [](const relayed_link& link) { return link.closed_; });
}

void relay::run() {
    while (!stopped_) {
        std::vector<pollfd> polled_fds;
        {
            const std::lock_guard lock(mutex_);
            refill_budgets();
            polled_fds = make_polled_fds();
        }
        poll(polled_fds.data(), polled_fds.size(), poll_timeout_ms);
        const std::lock_guard lock(mutex_);
        forward_polled(polled_fds);
        // The next round begins with another link, so that the budget goes round.
        if (!links_.empty()) {
            links_.splice(links_.end(), links_, links_.begin());
        }
        if (readable(listener_)) {
            accept_one();
        }
    }
}

}  // namespace dandelionridge::support
