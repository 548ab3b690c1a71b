#include "net/frame_socket.h"

#include <utility>

#include "net/protocols.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::net {

namespace {

constexpr int keep_open = 0;
constexpr int close_now = -1;

}  // namespace

frame_socket::frame_socket(event_loop& loop, frame_socket_events& events)
    : loop_(loop), events_(events), deferred_loss_(loop), pauses_at_open_(loop.pause_count()) {}

std::unique_ptr<frame_socket> frame_socket::connect(event_loop& loop, const base::address& peer,
                                                    frame_socket_events& events) {
    std::unique_ptr<frame_socket> socket(new frame_socket(loop, events));
    lws_client_connect_info info{};
    info.context = loop.context();
    info.vhost = loop.client_vhost();
    info.address = peer.ip_.c_str();
    info.host = peer.ip_.c_str();
    info.port = peer.port_;
    info.method = "RAW";
    info.local_protocol_name = frame_protocol;
    // Attached only afterwards, so that a failure within this call is not reported from within it.
    socket->wsi_ = lws_client_connect_via_info(&info);
    if (socket->wsi_ == nullptr) {
        frame_socket* lost = socket.get();
        socket->deferred_loss_.start(base::duration::zero(), [lost] { lost->on_lost(); });
        return socket;
    }
    lws_set_opaque_user_data(socket->wsi_, socket.get());
    return socket;
}

frame_socket::~frame_socket() {
    close();
}

void frame_socket::close() {
    open_ = false;
    deferred_loss_.cancel();
    if (wsi_ != nullptr) {
        lws_set_opaque_user_data(wsi_, nullptr);
        lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        wsi_ = nullptr;
    }
}

void frame_socket::send(const wire::frame& frame) {
    if (!open_) {
        return;
    }
    output_.append(encode_frame(frame));
    lws_callback_on_writable(wsi_);
}

bool frame_socket::attached(lws* wsi) const {
    return lws_get_opaque_user_data(wsi) == this;
}

void frame_socket::on_opened(lws* wsi) {
    wsi_ = wsi;
    open_ = true;
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    events_.on_open(*this);
}

int frame_socket::on_bytes(std::string_view bytes) {
    lws* wsi = wsi_;
    if (loop_.pause_count() != pauses_at_open_) {
        // What arrived during a pause may be long out of date: nothing of it is acted on.
        on_lost();
        return close_now;
    }
    bytes_received_ += bytes.size();
    decoder_.append(bytes);
    for (;;) {
        base::result<std::optional<wire::frame>> next = decoder_.next();
        if (!next) {
            on_lost();
            return close_now;
        }
        if (!next->has_value()) {
            return keep_open;
        }
        events_.on_frame(*this, std::move(**next));
        if (lws_get_opaque_user_data(wsi) == nullptr) {
            return close_now;
        }
    }
}

int frame_socket::on_writable() {
    if (loop_.pause_count() != pauses_at_open_) {
        on_lost();
        return close_now;
    }
    const int written = output_.write_piece(wsi_, LWS_WRITE_RAW);
    if (written < 0) {
        on_lost();
        return close_now;
    }
    bytes_sent_ += static_cast<std::uint64_t>(written);
    if (!output_.empty()) {
        lws_callback_on_writable(wsi_);
    }
    return keep_open;
}

void frame_socket::on_lost() {
    close();
    events_.on_closed(*this);
}

frame_server::frame_server(event_loop& loop, frame_socket_events& events, acceptor accepted)
    : loop_(loop), events_(events), accepted_(std::move(accepted)) {}

base::result<std::unique_ptr<frame_server>> frame_server::create(event_loop& loop,
                                                                 const base::address& where,
                                                                 frame_socket_events& events,
                                                                 acceptor accepted) {
    std::unique_ptr<frame_server> server(new frame_server(loop, events, std::move(accepted)));
    const std::string name = "frames " + base::to_string(where);
    server->slot_ = &loop.add_listener(server.get(), name, where.ip_);
    lws_context_creation_info info{};
    info.options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = frame_protocol;
    info.options |= LWS_SERVER_OPTION_DISABLE_IPV6;
    info.port = where.port_;
    info.iface = server->slot_->ip_.c_str();
    info.vhost_name = server->slot_->name_.c_str();
    info.protocols = frame_server_protocols();
    info.user = server->slot_;
    server->vhost_ = lws_create_vhost(loop.context(), &info);
    if (server->vhost_ == nullptr) {
        return base::fail(base::error_kind::network,
                          "cannot listen on " + base::to_string(where) +
                              "; free the port or name another address in the settings");
    }
    return server;
}

frame_server::~frame_server() {
    if (slot_ != nullptr) {
        slot_->listener_ = nullptr;
    }
    if (vhost_ != nullptr) {
        lws_vhost_destroy(vhost_);
    }
}

void frame_server::accept(lws* wsi) {
    std::unique_ptr<frame_socket> socket(new frame_socket(loop_, events_));
    frame_socket* opened = socket.get();
    lws_set_opaque_user_data(wsi, opened);
    opened->wsi_ = wsi;
    opened->open_ = true;
    accepted_(std::move(socket));
    opened->on_opened(wsi);
}

int on_frame_event(lws* wsi, lws_callback_reasons reason, void* /*user*/, void* in,
                   std::size_t length) {
    if (reason == LWS_CALLBACK_RAW_ADOPT) {
        lws_vhost* vhost = lws_get_vhost(wsi);
        const auto* slot = static_cast<listener_slot*>(lws_vhost_user(vhost));
        auto* server = static_cast<frame_server*>(slot->listener_);
        if (server != nullptr) {
            server->accept(wsi);
        }
        return keep_open;
    }
    auto* socket = static_cast<frame_socket*>(lws_get_opaque_user_data(wsi));
    if (socket == nullptr) {
        return reason == LWS_CALLBACK_RAW_RX || reason == LWS_CALLBACK_RAW_WRITEABLE ? close_now
                                                                                     : keep_open;
    }
    switch (reason) {
        case LWS_CALLBACK_RAW_CONNECTED:
            socket->on_opened(wsi);
            return keep_open;
        case LWS_CALLBACK_RAW_RX:
            return socket->on_bytes({static_cast<const char*>(in), length});
        case LWS_CALLBACK_RAW_WRITEABLE:
            return socket->on_writable();
        case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        case LWS_CALLBACK_RAW_CLOSE:
        case LWS_CALLBACK_WSI_DESTROY:
            lws_set_opaque_user_data(wsi, nullptr);
            socket->wsi_ = nullptr;
            socket->on_lost();
            return keep_open;
        default:
            return keep_open;
    }
}

}  // namespace dandelionridge::net
