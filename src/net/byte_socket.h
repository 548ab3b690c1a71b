// TCP connections that carry plain bytes.
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
    // The peer sent all that it had to send, and closed.
    peer_closed,
    // It was reset, could not be opened, or its peer is gone.
    connection_lost,
};

// Receives what happens on a socket. The socket must not be destroyed from within these calls, but
// may be closed.
class byte_socket_events {
public:
    virtual ~byte_socket_events() = default;

    virtual void on_open() = 0;
    virtual void on_bytes(std::string_view bytes) = 0;

    // That many bytes have left the buffer of this process.
    virtual void on_sent(std::size_t bytes) = 0;

    // The connection is over; not called after close().
    virtual void on_closed(close_reason how) = 0;
};

// How soon a silent peer of an idle connection is found by the host's own probes.
struct keepalive_options {
    bool enabled_ = false;
    int idle_s_ = 1;
    int interval_s_ = 1;
    int count_ = 2;
};

// One connection. Closed when destroyed; what is unread or unsent by then is discarded.
class byte_socket {
public:
    // Starts to connect; the outcome is told later, never from within this call.
    static std::unique_ptr<byte_socket> connect(event_loop& loop, const base::address& peer,
                                                byte_socket_events& events,
                                                keepalive_options keepalive = {});
    byte_socket(const byte_socket&) = delete;
    byte_socket& operator=(const byte_socket&) = delete;
    ~byte_socket();

    // Appends to what waits to be sent. Bytes sent on a closed socket are lost.
    void send(std::string_view bytes);

    // Closes at once.
    void close();

    // Closes after the last byte that waits has been sent.
    void close_after_sending();

    // Events go to another listener from now on.
    void set_events(byte_socket_events& events) { events_ = &events; }

    // Stops and restarts reading.
    void pause();
    void resume();

    bool is_open() const { return open_; }
    std::size_t unsent() const { return output_.size() - written_; }

private:
    friend int on_byte_event(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                             std::size_t length);
    friend class byte_server;

    byte_socket(event_loop& loop, byte_socket_events* events);
    bool adopt(int fd);
    int on_readable();
    int on_writable();
    int connected();
    int write_some();
    int flush_output();
    void on_disconnected(close_reason how);

    event_loop& loop_;
    byte_socket_events* events_;
    lws* wsi_ = nullptr;
    int fd_ = -1;
    timer deferred_close_;
    timer write_retry_;
    std::string output_;
    std::size_t written_ = 0;
    keepalive_options keepalive_;
    bool open_ = false;
    bool closing_ = false;
};

// A listener. Hands each new connection to its owner, who says who hears its events.
class byte_server {
public:
    // Called with a socket that is open; returns who hears its events.
    using accept_callback = std::function<byte_socket_events*(std::unique_ptr<byte_socket>)>;

    static base::result<std::unique_ptr<byte_server>> create(event_loop& loop,
                                                             const base::address& address,
                                                             accept_callback accepted);
    byte_server(const byte_server&) = delete;
    byte_server& operator=(const byte_server&) = delete;
    ~byte_server();

    // Takes no new connections from now on. Connections that are open stay.
    void stop_listening();

private:
    friend int on_accept_event(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                               std::size_t length);

    byte_server(event_loop& loop, accept_callback accepted);
    bool listen_at(const base::address& address);
    void accept_pending();
    void close_listener();

    event_loop& loop_;
    accept_callback accept_callback_;
    lws* wsi_ = nullptr;
    int fd_ = -1;
};

}  // namespace dandelionridge::net
