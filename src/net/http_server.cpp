#include "net/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

#include "net/http_tokens.h"
#include "net/protocols.h"

namespace dandelionridge::net {

namespace {

constexpr int keepalive_s = 75;
constexpr std::size_t head_bytes = 8 * 1024;
constexpr unsigned short header_bytes = 8 * 1024;

constexpr int most_files = 8192;

constexpr int keep_open = 0;
constexpr int close_now = -1;

constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";

}  // namespace

class server_exchange final : public http_exchange {
public:
    server_exchange(http_server& server, lws* wsi) : server_(server), wsi_(wsi) {
        ++server_.open_exchanges_;
    }
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;
    ~server_exchange() override {
        handler_.reset();
        --server_.open_exchanges_;
    }

    void open(http_request request) {
        method_ = request.method_;
        close_after_ = request.chunked_;
        const bool expects_continue = read_header(wsi_, "expect").has_value();
        if (expects_continue) {
            interim_ = true;
            lws_callback_on_writable(wsi_);
        }
        handler_ = server_.factory_(*this, std::move(request));
    }

    void send_head(const http_answer& answer) override {
        answer_ = answer;
        without_body_ = answer_without_body(method_, answer.status_);
        lws_callback_on_writable(wsi_);
    }

    void send_body(std::string_view bytes) override {
        if (bytes.empty() || without_body_) {
            return;
        }
        if (in_chunks()) {
            std::array<char, 24> size{};
            const int count = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
            output_.append({size.data(), static_cast<std::size_t>(count)});
            output_.append(bytes);
            output_.append("\r\n");
        } else {
            output_.append(bytes);
        }
        lws_callback_on_writable(wsi_);
    }

    void finish() override {
        if (in_chunks() && !without_body_) {
            output_.append(last_chunk);
        }
        finished_ = true;
        lws_callback_on_writable(wsi_);
    }

    void abort() override {
        aborted_ = true;
        lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }

    void pause_body() override { lws_rx_flow_control(wsi_, 0); }
    void resume_body() override { lws_rx_flow_control(wsi_, 1); }

    int on_writable() {
        if (interim_) {
            return write_interim();
        }
        if (answer_ && !head_written_) {
            return write_head();
        }
        if (!output_.empty()) {
            const int written = output_.write_piece(wsi_, LWS_WRITE_HTTP);
            if (written < 0) {
                return close_now;
            }
            handler_->on_sent(static_cast<std::size_t>(written));
            lws_callback_on_writable(wsi_);
            return keep_open;
        }
        if (finished_ && head_written_) {
            return complete();
        }
        return keep_open;
    }

    http_handler* handler() { return handler_.get(); }
    bool aborted() const { return aborted_; }

private:
    bool in_chunks() const { return answer_ && !answer_->length_; }

    int write_interim() {
        interim_ = false;
        output_buffer line;
        line.append(continue_line);
        if (!head_written_ && !answer_ && line.write_piece(wsi_, LWS_WRITE_HTTP_HEADERS) < 0) {
            return close_now;
        }
        lws_callback_on_writable(wsi_);
        return keep_open;
    }

    int write_head() {
        std::array<unsigned char, LWS_PRE + head_bytes> buffer{};
        unsigned char* start = buffer.data() + LWS_PRE;
        unsigned char* at = start;
        unsigned char* end = buffer.data() + buffer.size() - 1;
        if (server_.closing_) {
            close_after_ = true;
        }
        if (lws_add_http_header_status(wsi_, static_cast<unsigned int>(answer_->status_), &at,
                                       end) != 0 ||
            !add_headers(&at, end) || lws_finalize_write_http_header(wsi_, start, &at, end) != 0) {
            return close_now;
        }
        head_written_ = true;
        lws_callback_on_writable(wsi_);
        return keep_open;
    }

    bool add(const char* name, std::string_view value, unsigned char** at, unsigned char* end) {
        return lws_add_http_header_by_name(wsi_, reinterpret_cast<const unsigned char*>(name),
                                           reinterpret_cast<const unsigned char*>(value.data()),
                                           static_cast<int>(value.size()), at, end) == 0;
    }

    bool add_headers(unsigned char** at, unsigned char* end) {
        for (const http_header& header : answer_->headers_) {
            if (!add((header.name_ + ":").c_str(), header.value_, at, end)) {
                return false;
            }
        }
        if (close_after_ && !add("connection:", "close", at, end)) {
            return false;
        }
        if (answer_->length_) {
            return add("content-length:", std::to_string(*answer_->length_), at, end);
        }
        return without_body_ || add("transfer-encoding:", "chunked", at, end);
    }

    int complete();

    http_server& server_;
    lws* wsi_;
    std::string method_;
    std::unique_ptr<http_handler> handler_;
    std::optional<http_answer> answer_;
    output_buffer output_;
    bool interim_ = false;
    bool head_written_ = false;
    bool without_body_ = false;
    bool finished_ = false;
    bool aborted_ = false;
    bool close_after_ = false;
};

namespace {

server_exchange* exchange_of(lws* wsi) {
    return static_cast<server_exchange*>(lws_get_opaque_user_data(wsi));
}

// The listener of a connection, or null if it is gone.
http_server* server_of(lws* wsi) {
    lws_vhost* vhost = lws_get_vhost(wsi);
    if (vhost == nullptr) {
        return nullptr;
    }
    return static_cast<http_server*>(static_cast<listener_slot*>(lws_vhost_user(vhost))->listener_);
}

// Ends the exchange on a connection, if there is one.
void drop_exchange(lws* wsi) {
    server_exchange* exchange = exchange_of(wsi);
    lws_set_opaque_user_data(wsi, nullptr);
    delete exchange;
}

std::optional<http_request> read_request(lws* wsi, const http_server_options& options) {
    const std::optional<request_line> line = read_request_line(wsi);
    if (!line) {
        return std::nullopt;
    }
    http_request request;
    request.method_ = line->method_;
    request.path_ = line->path_;
    request.host_ = read_header(wsi, "host").value_or("");
    request.headers_ = read_headers(wsi, options.headers_());
    request.chunked_ = read_header(wsi, "transfer-encoding").has_value();
    if (const auto length = read_header(wsi, "content-length")) {
        std::uint64_t bytes = 0;
        const auto [end, code] =
            std::from_chars(length->data(), length->data() + length->size(), bytes);
        if (code != std::errc() || end != length->data() + length->size()) {
            return std::nullopt;
        }
        request.body_length_ = bytes;
    }
    return request;
}

}  // namespace

int server_exchange::complete() {
    lws* wsi = wsi_;
    const bool close_after = close_after_;
    drop_exchange(wsi);
    if (close_after) {
        return close_now;
    }
    return lws_http_transaction_completed(wsi) != 0 ? close_now : keep_open;
}

void send_answer(http_exchange& exchange, http_answer answer, std::string_view body) {
    answer.length_ = body.size();
    exchange.send_head(answer);
    exchange.send_body(body);
    exchange.finish();
}

http_server::http_server(event_loop& loop, http_server_options options,
                         http_handler_factory factory)
    : loop_(loop), options_(std::move(options)), factory_(std::move(factory)) {}

base::result<std::unique_ptr<http_server>> http_server::create(event_loop& loop,
                                                               http_server_options options,
                                                               http_handler_factory factory) {
    std::unique_ptr<http_server> server(
        new http_server(loop, std::move(options), std::move(factory)));
    const base::address& where = server->options_.address_;
    const std::string name = "http " + base::to_string(where);
    server->slot_ = &loop.add_listener(server.get(), name, where.ip_);
    lws_context_creation_info info{};
    info.options |= LWS_SERVER_OPTION_DISABLE_IPV6;
    info.port = where.port_;
    info.iface = server->slot_->ip_.c_str();
    info.vhost_name = server->slot_->name_.c_str();
    info.protocols = http_server_protocols();
    info.user = server->slot_;
    info.keepalive_timeout = keepalive_s;
    info.max_http_header_data = header_bytes;
    info.server_string = "dandelionridge";
    server->vhost_ = lws_create_vhost(loop.context(), &info);
    if (server->vhost_ == nullptr) {
        return base::fail(base::error_kind::network,
                          "cannot listen on " + base::to_string(where) +
                              "; free the port or name another address in the settings");
    }
    return server;
}

http_server::~http_server() {
    if (slot_ != nullptr) {
        slot_->listener_ = nullptr;
    }
    for (lws* wsi : connections_) {
        drop_exchange(wsi);
    }
    if (vhost_ != nullptr) {
        lws_vhost_destroy(vhost_);
    }
}

void http_server::close_idle() {
    for (lws* wsi : connections_) {
        if (exchange_of(wsi) == nullptr) {
            lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        }
    }
}

// The library has no call for this: the listening socket is found among the open files by its
// address, and shut down. The library then closes it by itself.
void http_server::stop_listening() {
    for (int fd = 0; fd < most_files; ++fd) {
        int listening = 0;
        socklen_t length = sizeof(listening);
        sockaddr_in bound{};
        socklen_t bound_length = sizeof(bound);
        const bool listens =
            getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &length) == 0 && listening != 0;
        if (!listens || getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &bound_length) != 0) {
            continue;
        }
        in_addr wanted{};
        inet_pton(AF_INET, options_.address_.ip_.c_str(), &wanted);
        const bool same = bound.sin_family == AF_INET &&
                          ntohs(bound.sin_port) == options_.address_.port_ &&
                          bound.sin_addr.s_addr == wanted.s_addr;
        if (same) {
            shutdown(fd, SHUT_RDWR);
        }
    }
}

int http_server::on_request(lws* wsi) {
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    auto request = read_request(wsi, options_);
    if (!request) {
        return close_now;
    }
    auto* exchange = new server_exchange(*this, wsi);
    lws_set_opaque_user_data(wsi, exchange);
    exchange->open(std::move(*request));
    return keep_open;
}

int on_http_server_event(lws* wsi, lws_callback_reasons reason, void* /*user*/, void* in,
                         std::size_t length) {
    http_server* server = server_of(wsi);
    if (server == nullptr) {
        return keep_open;
    }
    switch (reason) {
        case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
            server->connections_.insert(wsi);
            return keep_open;
        case LWS_CALLBACK_HTTP:
            return server->on_request(wsi);
        case LWS_CALLBACK_HTTP_BODY:
            if (server_exchange* exchange = exchange_of(wsi)) {
                exchange->handler()->on_body({static_cast<const char*>(in), length});
            }
            return keep_open;
        case LWS_CALLBACK_HTTP_BODY_COMPLETION:
            if (server_exchange* exchange = exchange_of(wsi)) {
                exchange->handler()->on_body_end();
            }
            return keep_open;
        case LWS_CALLBACK_HTTP_WRITEABLE:
            if (server_exchange* exchange = exchange_of(wsi)) {
                return exchange->aborted() ? close_now : exchange->on_writable();
            }
            return keep_open;
        case LWS_CALLBACK_CLOSED_HTTP:
        case LWS_CALLBACK_WSI_DESTROY:
            drop_exchange(wsi);
            server->connections_.erase(wsi);
            return keep_open;
        default:
            return lws_callback_http_dummy(wsi, reason, nullptr, in, length);
    }
}

}  // namespace dandelionridge::net
