#include "net/frame_socket.h"

#include <utility>

#include "wire/gen/fleet_types.h"

namespace dandelionridge::net {

frame_socket::frame_socket(event_loop& loop, frame_socket_events& events, frame_traffic& traffic)
    : loop_(loop), events_(events), traffic_(traffic), pauses_at_creation_(loop.pause_count()) {
    loop_.add_pause_listener(*this);
}

std::unique_ptr<frame_socket> frame_socket::connect(event_loop& loop, const base::address& peer,
                                                    frame_socket_events& events,
                                                    frame_traffic& traffic) {
    std::unique_ptr<frame_socket> socket(new frame_socket(loop, events, traffic));
    socket->socket_ = byte_socket::connect(loop, peer, *socket);
    return socket;
}

frame_socket::~frame_socket() {
    loop_.remove_pause_listener(*this);
}

void frame_socket::close() {
    loop_.remove_pause_listener(*this);
    if (socket_ != nullptr) {
        socket_->close();
    }
}

void frame_socket::send(const wire::frame& frame) {
    if (!is_open()) {
        return;
    }
    const std::string bytes = encode_frame(frame);
    count_frame(traffic_.sent_, frame, bytes.size());
    socket_->send(bytes);
}

std::uint64_t frame_socket::bytes_queued() const {
    return bytes_sent_ + (socket_ == nullptr ? 0 : socket_->unsent());
}

bool frame_socket::has_delivered(std::uint64_t bytes) const {
    return socket_ == nullptr || bytes + socket_->unacknowledged() <= bytes_queued();
}

void frame_socket::on_bytes(std::string_view bytes) {
    if (is_outdated()) {
        // Frames that arrived during a pause may be long out of date, so none of them is processed.
        disconnect(closed_by_pause);
        return;
    }
    bytes_received_ += bytes.size();
    decoder_.append(bytes);
    while (is_open()) {
        base::result<std::optional<wire::frame>> next = decoder_.next();
        if (!next) {
            disconnect("invalid frame: " + next.error().message_);
            return;
        }
        if (!next->has_value()) {
            return;
        }
        count_frame(traffic_.received_, **next, decoder_.last_frame_bytes());
        events_.on_frame(*this, std::move(**next));
    }
}

void frame_socket::on_sent(std::size_t bytes) {
    bytes_sent_ += bytes;
    if (is_outdated()) {
        disconnect(closed_by_pause);
    }
}

void frame_socket::on_pause() {
    if (is_outdated()) {
        disconnect(closed_by_pause);
    }
}

void frame_socket::on_closed(close_reason reason) {
    loop_.remove_pause_listener(*this);
    events_.on_closed(*this,
                      reason == close_reason::connection_lost ? "connection lost" : closed_by_peer);
}

void frame_socket::disconnect(std::string_view cause) {
    close();
    events_.on_closed(*this, cause);
}

frame_server::frame_server(event_loop& loop, frame_socket_events& events, frame_traffic& traffic,
                           accept_callback on_accept)
    : loop_(loop), events_(events), traffic_(traffic), accept_callback_(std::move(on_accept)) {}

base::result<std::unique_ptr<frame_server>> frame_server::create(event_loop& loop,
                                                                 const base::address& address,
                                                                 frame_socket_events& events,
                                                                 frame_traffic& traffic,
                                                                 accept_callback on_accept) {
    std::unique_ptr<frame_server> server(
        new frame_server(loop, events, traffic, std::move(on_accept)));
    frame_server* self = server.get();
    auto listener = byte_server::create(loop, address, [self](std::unique_ptr<byte_socket> opened) {
        return self->accept(std::move(opened));
    });
    if (!listener) {
        return tl::unexpected(listener.error());
    }
    server->listener_ = std::move(*listener);
    return server;
}

frame_server::~frame_server() = default;

byte_socket_events* frame_server::accept(std::unique_ptr<byte_socket> opened) {
    std::unique_ptr<frame_socket> socket(new frame_socket(loop_, events_, traffic_));
    frame_socket* accepted = socket.get();
    accepted->socket_ = std::move(opened);
    accept_callback_(std::move(socket));
    accepted->on_open();
    return accepted;
}

}  // namespace dandelionridge::net
