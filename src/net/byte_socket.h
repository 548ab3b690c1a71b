// TCP connections that carry bytes without framing, and the listener that accepts them.
#pragma once

#include <libwebsockets.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/error.h"
#include "net/event_loop.h"

namespace dandelionridge::net {

class byte_socket;

// How a connection ended.
enum class close_reason {
    // The peer closed the connection in an orderly way: all bytes that it sent were received.
    peer_closed,
    // The connection was reset, could not be established, or its peer stopped responding.
    connection_lost,
};

// Receives the events of a socket. The socket may be closed from within these calls, but must not
// be destroyed.
class byte_socket_events {
public:
    virtual ~byte_socket_events() = default;

    // The connection is established.
    virtual void on_open() = 0;

    // The next bytes from the peer. Valid only during the call.
    virtual void on_bytes(std::string_view bytes) = 0;

    // `bytes` bytes were handed over to the kernel.
    virtual void on_sent(std::size_t bytes) = 0;

    // The connection has ended. Not called after close().
    virtual void on_closed(close_reason reason) = 0;
};

// TCP keepalive: how soon the host detects that the peer of an idle connection is gone.
struct keepalive_options {
    bool enabled_ = false;
    // Idle time before the first probe, in seconds.
    int idle_s_ = 1;
    // Time between two probes, in seconds.
    int interval_s_ = 1;
    // Unanswered probes after which the connection counts as lost.
    int count_ = 2;
};

// One connection. Its destructor closes it and discards unread and unsent bytes.
class byte_socket {
public:
    // Starts to connect. Reports the result to `events` later, never from within this call.
    static std::unique_ptr<byte_socket> connect(event_loop& loop, const base::address& peer,
                                                byte_socket_events& events,
                                                keepalive_options keepalive = {});
    byte_socket(const byte_socket&) = delete;
    byte_socket& operator=(const byte_socket&) = delete;
    ~byte_socket();

    // Queues bytes for sending. Discards them if the socket is closed.
    void send(std::string_view bytes);

    // Closes the connection at once and discards unsent bytes.
    void close();

    // Signals to the peer that no more bytes follow. All bytes must be sent. Reading continues.
    void end_sending();

    // Sends all further events to `events`.
    void set_events(byte_socket_events& events) { events_ = &events; }

    // Stops reading until resume() is called.
    void pause();
    void resume();

    bool is_open() const { return open_; }

    // Returns true if bytes have arrived that on_bytes() has not passed on yet.
    bool has_unread() const;

    // Returns true if the peer has closed the connection, also while reading is paused and bytes
    // that it sent before are unread.
    bool peer_has_closed() const;

    // Returns the number of queued bytes that are not yet sent.
    std::size_t unsent() const { return output_.size() - written_; }

    // Returns the number of queued bytes that the peer's system has not acknowledged yet, or had
    // not when the connection was closed.
    std::size_t unacknowledged() const;

private:
    friend int on_byte_event(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                             std::size_t length);
    friend class byte_server;

    byte_socket(event_loop& loop, byte_socket_events* events);
    bool adopt(int fd);
    int on_readable();
    int on_writable();
    int finish_connect();
    int write_some();
    int flush_output();
    void on_disconnected(close_reason reason);

    event_loop& loop_;
    byte_socket_events* events_;
    lws* wsi_ = nullptr;
    int fd_ = -1;
    // Reports that connecting failed at once, after connect() has returned.
    timer deferred_close_;
    // Requests the next writable event.
    timer write_retry_;
    // Bytes to send, of which the first `written_` are sent.
    std::string output_;
    std::size_t written_ = 0;
    std::size_t unacknowledged_at_close_ = 0;
    keepalive_options keepalive_;
    bool open_ = false;
    bool paused_ = false;
};

// Listens on an address and hands each new connection to the owner's callback.
class byte_server {
public:
    // Called with each new socket, which is open. Returns the receiver of the socket's events.
    using accept_callback = std::function<byte_socket_events*(std::unique_ptr<byte_socket>)>;

    // Starts to listen. Returns an error if the address cannot be used.
    static base::result<std::unique_ptr<byte_server>> create(event_loop& loop,
                                                             const base::address& address,
                                                             accept_callback on_accept);
    byte_server(const byte_server&) = delete;
    byte_server& operator=(const byte_server&) = delete;
    ~byte_server();

    // Stops accepting connections. Open connections stay open.
    void stop_listening();

private:
    friend int on_accept_event(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                               std::size_t length);

    byte_server(event_loop& loop, accept_callback on_accept);
    bool listen_at(const base::address& address);
    // Accepts a bounded number of connections. Returns true if more may be waiting.
    bool accept_pending();
    void close_listener();

    event_loop& loop_;
    accept_callback accept_callback_;
    lws* wsi_ = nullptr;
    int fd_ = -1;
};

}  // namespace dandelionridge::net
