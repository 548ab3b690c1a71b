// TCP connections that carry frames between processes, and the listener that accepts them. A
// connection that was open during a pause of this process is closed as soon as the pause is found,
// whether it is in use or not.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/error.h"
#include "net/byte_socket.h"
#include "net/event_loop.h"
#include "net/frame_codec.h"
#include "net/frame_traffic.h"

namespace dandelionridge::net {

class frame_socket;

// Cause of an orderly end, as opposed to those that are worth a line in the log.
inline constexpr std::string_view closed_by_peer = "closed";

// Cause of the end of a connection that was open during a pause of this process.
inline constexpr std::string_view closed_by_pause = "paused";

// Receives the events of a socket. The socket may be closed, but not destroyed, from within these
// calls.
class frame_socket_events {
public:
    virtual ~frame_socket_events() = default;

    // The connection is established.
    virtual void on_open(frame_socket& socket) = 0;

    // The next frame from the peer.
    virtual void on_frame(frame_socket& socket, wire::frame&& frame) = 0;

    // The connection failed or was closed by the peer. `cause` names the reason for the log. Not
    // called after close().
    virtual void on_closed(frame_socket& socket, std::string_view cause) = 0;
};

// One connection. Its destructor closes it and discards unread and unsent bytes.
class frame_socket final : public byte_socket_events, public pause_listener {
public:
    // Starts to connect. Reports the result to `events` later, never from within this call. Adds
    // the bytes that are exchanged to `traffic`, which must outlive the socket.
    static std::unique_ptr<frame_socket> connect(event_loop& loop, const base::address& peer,
                                                 frame_socket_events& events,
                                                 frame_traffic& traffic);
    frame_socket(const frame_socket&) = delete;
    frame_socket& operator=(const frame_socket&) = delete;
    ~frame_socket() override;

    // Queues a frame for sending. Discards it if the socket is not open.
    void send(const wire::frame& frame);

    // Closes the connection at once and discards unread and unsent bytes.
    void close();

    bool is_open() const { return socket_ != nullptr && socket_->is_open(); }

    // Returns true if this process was paused since the socket was created. What is sent on it is
    // lost, because the socket is about to be closed.
    bool is_outdated() const { return loop_.pause_count() != pauses_at_creation_; }

    std::uint64_t bytes_sent() const { return bytes_sent_; }
    std::uint64_t bytes_received() const { return bytes_received_; }

    // Returns true if no bytes are queued for sending.
    bool all_sent() const { return socket_ == nullptr || socket_->unsent() == 0; }

    // Returns the number of bytes that were queued so far, sent or not.
    std::uint64_t bytes_queued() const;

    // Returns true if the peer's system has acknowledged the first `bytes` of the queued bytes, or
    // had when the connection was closed.
    bool has_delivered(std::uint64_t bytes) const;

    void on_open() override { events_.on_open(*this); }
    void on_bytes(std::string_view bytes) override;
    void on_sent(std::size_t bytes) override;
    void on_closed(close_reason reason) override;

    void on_pause() override;

private:
    friend class frame_server;

    frame_socket(event_loop& loop, frame_socket_events& events, frame_traffic& traffic);
    // Closes the connection and reports that to the events.
    void disconnect(std::string_view cause);

    event_loop& loop_;
    frame_socket_events& events_;
    frame_traffic& traffic_;
    std::unique_ptr<byte_socket> socket_;
    frame_decoder decoder_;
    // The loop's pause count when this socket was created.
    std::uint64_t pauses_at_creation_ = 0;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
};

// Listens for frame sockets.
class frame_server {
public:
    // Called with each new connection, which is open. The connection reports to the events that
    // create() was given.
    using accept_callback = std::function<void(std::unique_ptr<frame_socket>)>;

    // Starts to listen. Returns an error if the address cannot be used. The bytes that its
    // connections exchange are added to `traffic`, which must outlive them.
    static base::result<std::unique_ptr<frame_server>> create(event_loop& loop,
                                                              const base::address& address,
                                                              frame_socket_events& events,
                                                              frame_traffic& traffic,
                                                              accept_callback on_accept);
    frame_server(const frame_server&) = delete;
    frame_server& operator=(const frame_server&) = delete;
    ~frame_server();

private:
    frame_server(event_loop& loop, frame_socket_events& events, frame_traffic& traffic,
                 accept_callback on_accept);
    byte_socket_events* accept(std::unique_ptr<byte_socket> opened);

    event_loop& loop_;
    frame_socket_events& events_;
    frame_traffic& traffic_;
    accept_callback accept_callback_;
    std::unique_ptr<byte_server> listener_;
};

}  // namespace dandelionridge::net
