#include "support/kept_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <memory>
#include <string_view>
#include <utility>

#include "net/http_reader.h"

namespace dandelionridge::support {

namespace {

constexpr std::size_t buffer_bytes = 64 * 1024;
constexpr long ms_per_second = 1000;

// Collects the parts of one response.
class response_collector final : public net::http_reader_events {
public:
    void on_request_head(net::http_request&& /*request*/) override {}
    void on_response_head(net::http_response&& response) override { head_ = std::move(response); }
    void on_body_bytes(std::string_view bytes) override { body_ += bytes; }

    std::string header(std::string_view name) const {
        const std::string* value = net::find_header(head_.headers_, name);
        return value == nullptr ? "" : *value;
    }

    net::http_response head_;
    std::string body_;
};

std::string host_and_port_of(const caller_request& request) {
    return request.url_.substr(0, request.url_.find('/'));
}

std::string text_of(const caller_request& request) {
    const std::string host = host_and_port_of(request);
    std::string text = request.method_ + " " + request.url_.substr(host.size()) + " HTTP/1.1\r\n";
    bool has_host = false;
    for (const std::string& header : request.headers_) {
        has_host = has_host || header.starts_with("Host:");
        text += header + "\r\n";
    }
    text += has_host ? "" : "Host: " + host + "\r\n";
    if (request.body_) {
        text += "Content-Length: " + std::to_string(request.body_->size()) + "\r\n";
    }
    return text + "\r\n" + request.body_.value_or("");
}

}  // namespace

kept_caller::~kept_caller() {
    disconnect();
}

void kept_caller::disconnect() {
    if (fd_ >= 0) {
        close(std::exchange(fd_, -1));
    }
}

bool kept_caller::connect_to(const std::string& host_and_port) {
    const std::size_t colon = host_and_port.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(host_and_port.substr(colon + 1))));
    inet_pton(AF_INET, host_and_port.substr(0, colon).c_str(), &address.sin_addr);
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        disconnect();
        return false;
    }
    const int no_delay = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
    ++connections_;
    return true;
}

// Returns true if the open connection was closed by its peer.
bool kept_caller::has_ended() const {
    char byte = 0;
    const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool kept_caller::send_all(const std::string& text) const {
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count < 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

kept_response kept_caller::send(const caller_request& request) {
    if (fd_ >= 0 && has_ended()) {
        disconnect();
    }
    if (fd_ < 0 && !connect_to(host_and_port_of(request))) {
        return {};
    }
    // A response may have arrived although not all of the request could be sent.
    static_cast<void>(send_all(text_of(request)));
    return receive(request);
}

kept_response kept_caller::receive(const caller_request& request) {
    const timeval timeout{request.timeout_ms_ / ms_per_second, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    response_collector collector;
    constexpr net::read_limits limits{64 * 1024, 64 * 1024 * 1024};
    const auto body_kind =
        request.method_ == "HEAD" ? net::response_body::none : net::response_body::expected;
    const auto reader = net::make_response_reader(collector, limits, body_kind);
    std::array<char, buffer_bytes> buffer{};
    while (reader->state() == net::read_state::incomplete) {
        const ssize_t count = recv(fd_, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            const bool timed_out = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
            disconnect();
            kept_response unanswered;
            unanswered.end_ = timed_out ? exchange_end::timed_out : exchange_end::cut;
            return unanswered;
        }
        reader->read({buffer.data(), static_cast<std::size_t>(count)});
    }
    const bool answered = reader->state() == net::read_state::done;
    if (!answered || collector.header("connection") == "close") {
        disconnect();
    }
    return {answered ? exchange_end::answered : exchange_end::cut, collector.head_.status_,
            collector.header("x-dandelionridge-outcome"), std::move(collector.body_)};
}

}  // namespace dandelionridge::support
