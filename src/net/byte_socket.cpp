#include "net/byte_socket.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "net/protocols.h"

namespace dandelionridge::net {

namespace {

// Return values of a libwebsockets callback: what the library does with the descriptor.
constexpr int keep_open = 0;
constexpr int close_now = -1;
constexpr std::size_t read_buffer_bytes = 64 * 1024;
// More sent bytes than this are removed from the output buffer, and more capacity than this is
// released when the buffer is empty.
constexpr std::size_t compact_threshold_bytes = 64 * 1024;
// Connections that the kernel queues until they are accepted.
constexpr int accept_backlog = 512;

void set_option(int fd, int level, int option, int value) {
    static_cast<void>(setsockopt(fd, level, option, &value, sizeof(value)));
}

void set_keepalive(int fd, const keepalive_options& options) {
    if (!options.enabled_) {
        return;
    }
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, options.idle_s_);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, options.interval_s_);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, options.count_);
}

// Returns false if the address is not a valid IPv4 address.
bool to_sockaddr(const base::address& address, sockaddr_in& endpoint) {
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(address.port_));
    return inet_pton(AF_INET, address.ip_.c_str(), &endpoint.sin_addr) == 1;
}

// Opens a non-blocking socket and starts to connect it to `peer`. Returns its descriptor, or -1 if
// that failed at once.
int start_connecting(const base::address& peer) {
    sockaddr_in endpoint{};
    if (!to_sockaddr(peer, endpoint)) {
        return -1;
    }
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

lws* adopt_descriptor(event_loop& loop, int fd, const char* protocol) {
    lws_sock_file_fd_type file{};
    file.filefd = fd;
    return lws_adopt_descriptor_vhost(loop.client_vhost(), LWS_ADOPT_RAW_FILE_DESC, file, protocol,
                                      nullptr);
}

bool would_block(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

}  // namespace

byte_socket::byte_socket(event_loop& loop, byte_socket_events* events)
    : loop_(loop), events_(events), deferred_close_(loop), write_retry_(loop) {}

std::unique_ptr<byte_socket> byte_socket::connect(event_loop& loop, const base::address& peer,
                                                  byte_socket_events& events,
                                                  keepalive_options keepalive) {
    std::unique_ptr<byte_socket> socket(new byte_socket(loop, &events));
    socket->keepalive_ = keepalive;
    const int fd = start_connecting(peer);
    if (fd < 0 || !socket->adopt(fd)) {
        byte_socket* failed = socket.get();
        socket->deferred_close_.start(base::duration::zero(), [failed] {
            failed->on_disconnected(close_reason::connection_lost);
        });
        return socket;
    }
    // The descriptor becomes writable once the connection is established or has failed.
    lws_callback_on_writable(socket->wsi_);
    return socket;
}

// Hands the descriptor to libwebsockets, which closes it together with the connection. Returns
// false on failure.
bool byte_socket::adopt(int fd) {
    wsi_ = adopt_descriptor(loop_, fd, byte_protocol);
    if (wsi_ == nullptr) {
        return false;
    }
    fd_ = fd;
    lws_set_opaque_user_data(wsi_, this);
    return true;
}

byte_socket::~byte_socket() {
    close();
}

void byte_socket::close() {
    open_ = false;
    deferred_close_.cancel();
    write_retry_.cancel();
    if (wsi_ != nullptr) {
        unacknowledged_at_close_ = unacknowledged();
        shutdown(fd_, SHUT_RDWR);
        lws_set_opaque_user_data(wsi_, nullptr);
        lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        wsi_ = nullptr;
    }
}

void byte_socket::end_sending() {
    if (wsi_ != nullptr) {
        shutdown(fd_, SHUT_WR);
    }
}

void byte_socket::send(std::string_view bytes) {
    if (wsi_ == nullptr) {
        return;
    }
    output_.append(bytes);
    if (open_) {
        lws_callback_on_writable(wsi_);
    }
}

bool byte_socket::has_unread() const {
    int arrived = 0;
    return wsi_ != nullptr && ioctl(fd_, FIONREAD, &arrived) == 0 && arrived > 0;
}

bool byte_socket::peer_has_closed() const {
    pollfd state{fd_, POLLRDHUP, 0};
    return wsi_ != nullptr && poll(&state, 1, 0) > 0 && state.revents != 0;
}

std::size_t byte_socket::unacknowledged() const {
    if (wsi_ == nullptr) {
        return unacknowledged_at_close_;
    }
    int in_kernel = 0;
    const bool known = ioctl(fd_, SIOCOUTQ, &in_kernel) == 0;
    return unsent() + (known ? static_cast<std::size_t>(in_kernel) : 0);
}

void byte_socket::pause() {
    if (wsi_ != nullptr && !std::exchange(paused_, true)) {
        lws_rx_flow_control(wsi_, 0);
    }
}

void byte_socket::resume() {
    if (wsi_ != nullptr && std::exchange(paused_, false)) {
        lws_rx_flow_control(wsi_, 1);
    }
}

// Completes connect(): reports the open connection, or that connecting failed.
int byte_socket::finish_connect() {
    int error = 0;
    socklen_t length = sizeof(error);
    if (getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
        on_disconnected(close_reason::connection_lost);
        return close_now;
    }
    lws* wsi = wsi_;
    open_ = true;
    set_keepalive(fd_, keepalive_);
    events_->on_open();
    return lws_get_opaque_user_data(wsi) == nullptr ? close_now : flush_output();
}

int byte_socket::on_readable() {
    static thread_local std::array<char, read_buffer_bytes> buffer;
    lws* wsi = wsi_;
    const ssize_t count = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count < 0 && would_block(errno)) {
        return keep_open;
    }
    if (count <= 0) {
        on_disconnected(count == 0 ? close_reason::peer_closed : close_reason::connection_lost);
        return close_now;
    }
    events_->on_bytes({buffer.data(), static_cast<std::size_t>(count)});
    return lws_get_opaque_user_data(wsi) == nullptr ? close_now : keep_open;
}

// Writes as much of the output as the socket accepts. Returns the number of bytes written, or -1 if
// the connection is broken.
int byte_socket::write_some() {
    if (unsent() == 0) {
        return 0;
    }
    const ssize_t count =
        ::send(fd_, output_.data() + written_, unsent(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count < 0) {
        return would_block(errno) ? 0 : -1;
    }
    written_ += static_cast<std::size_t>(count);
    if (written_ == output_.size()) {
        output_.clear();
        written_ = 0;
        if (output_.capacity() > compact_threshold_bytes) {
            output_.shrink_to_fit();
        }
    } else if (written_ > compact_threshold_bytes) {
        output_.erase(0, written_);
        written_ = 0;
    }
    return static_cast<int>(count);
}

int byte_socket::on_writable() {
    return open_ ? flush_output() : finish_connect();
}

int byte_socket::flush_output() {
    lws* wsi = wsi_;
    const int written = write_some();
    if (written < 0) {
        on_disconnected(close_reason::connection_lost);
        return close_now;
    }
    if (written > 0) {
        events_->on_sent(static_cast<std::size_t>(written));
    }
    if (lws_get_opaque_user_data(wsi) == nullptr) {
        return close_now;
    }
    if (unsent() > 0) {
        // libwebsockets loses a request for a writable event that is made from within its own
        // callback, so a timer makes it.
        write_retry_.start(base::duration::zero(), [this] {
            if (wsi_ != nullptr) {
                lws_callback_on_writable(wsi_);
            }
        });
    }
    return keep_open;
}

void byte_socket::on_disconnected(close_reason reason) {
    close();
    events_->on_closed(reason);
}

byte_server::byte_server(event_loop& loop, accept_callback on_accept)
    : loop_(loop), accept_callback_(std::move(on_accept)) {}

base::result<std::unique_ptr<byte_server>> byte_server::create(event_loop& loop,
                                                               const base::address& address,
                                                               accept_callback on_accept) {
    std::unique_ptr<byte_server> server(new byte_server(loop, std::move(on_accept)));
    if (!server->listen_at(address)) {
        return base::fail(base::error_kind::network,
                          "cannot listen on " + base::to_string(address) +
                              "; free the port or set another address in the settings");
    }
    return server;
}

bool byte_server::listen_at(const base::address& address) {
    sockaddr_in endpoint{};
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ < 0 || !to_sockaddr(address, endpoint)) {
        return false;
    }
    set_option(fd_, SOL_SOCKET, SO_REUSEADDR, 1);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) != 0 ||
        listen(fd_, accept_backlog) != 0) {
        close(fd_);
        return false;
    }
    wsi_ = adopt_descriptor(loop_, fd_, accept_protocol);
    if (wsi_ == nullptr) {
        return false;
    }
    lws_set_opaque_user_data(wsi_, this);
    return true;
}

byte_server::~byte_server() {
    close_listener();
}

void byte_server::stop_listening() {
    // Peers that have already connected are accepted first, so that they are served.
    while (accept_pending()) {
    }
    close_listener();
}

void byte_server::close_listener() {
    if (wsi_ != nullptr) {
        shutdown(fd_, SHUT_RDWR);
        lws_set_opaque_user_data(wsi_, nullptr);
        lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        wsi_ = nullptr;
    }
}

bool byte_server::accept_pending() {
    constexpr int max_accepts_per_call = 32;
    for (int accepted = 0; accepted < max_accepts_per_call && wsi_ != nullptr; ++accepted) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return false;
        }
        set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
        std::unique_ptr<byte_socket> socket(new byte_socket(loop_, nullptr));
        if (!socket->adopt(fd)) {
            continue;
        }
        byte_socket* opened = socket.get();
        opened->open_ = true;
        opened->events_ = accept_callback_(std::move(socket));
    }
    return wsi_ != nullptr;
}

int on_accept_event(lws* wsi, lws_callback_reasons reason, void* /*user*/, void* /*in*/,
                    std::size_t /*length*/) {
    auto* server = static_cast<byte_server*>(lws_get_opaque_user_data(wsi));
    if (reason != LWS_CALLBACK_RAW_RX_FILE) {
        return keep_open;
    }
    if (server == nullptr) {
        return close_now;
    }
    server->accept_pending();
    return keep_open;
}

int on_byte_event(lws* wsi, lws_callback_reasons reason, void* /*user*/, void* /*in*/,
                  std::size_t /*length*/) {
    auto* socket = static_cast<byte_socket*>(lws_get_opaque_user_data(wsi));
    if (socket == nullptr) {
        // close() was called.
        const bool is_io_event =
            reason == LWS_CALLBACK_RAW_RX_FILE || reason == LWS_CALLBACK_RAW_WRITEABLE_FILE;
        return is_io_event ? close_now : keep_open;
    }
    switch (reason) {
        case LWS_CALLBACK_RAW_RX_FILE:
            return socket->open_ ? socket->on_readable() : socket->finish_connect();
        case LWS_CALLBACK_RAW_WRITEABLE_FILE:
            return socket->on_writable();
        case LWS_CALLBACK_RAW_CLOSE_FILE:
        case LWS_CALLBACK_WSI_DESTROY:
            lws_set_opaque_user_data(wsi, nullptr);
            socket->wsi_ = nullptr;
            socket->on_disconnected(close_reason::connection_lost);
            return keep_open;
        default:
            return keep_open;
    }
}

}  // namespace dandelionridge::net
