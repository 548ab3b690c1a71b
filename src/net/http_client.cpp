#include "net/http_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "net/http_writer.h"

namespace dandelionridge::net {

namespace {

// Interval at which a pool looks for idle connections to close.
constexpr base::duration eviction_interval = base::milliseconds(500);

// An idle connection is closed this long before the server's keep-alive timeout would close it.
constexpr base::duration keep_alive_margin = base::milliseconds(500);

// Limits of a response's head and body, in bytes. The body's limit of 1 TiB is in practice none.
constexpr read_limits response_limits = {64 * 1024, std::uint64_t{1} << 40};

// A connection on which more bytes belong to other requests' responses is closed.
constexpr std::uint64_t max_skipped_bytes = 1024 * 1024;

// Returns the request's x-request-id, or an empty string.
std::string request_id_of(const http_request& request) {
    const std::string* id = find_header(request.headers_, request_id_header);
    return id == nullptr ? std::string() : *id;
}

// Returns N from "timeout=N" in the Keep-Alive header, in seconds, if there is one.
std::optional<int> keep_alive_seconds(const http_response& response) {
    const std::string* value = find_header(response.headers_, "keep-alive");
    constexpr std::string_view name = "timeout=";
    const std::size_t position = value == nullptr ? std::string::npos : value->find(name);
    if (position == std::string::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char* first = value->data() + position + name.size();
    const auto [end, code] = std::from_chars(first, value->data() + value->size(), seconds);
    return code == std::errc() ? std::optional(seconds) : std::nullopt;
}

}  // namespace

// An idle connection of a pool. It is closed and removed when the server sends bytes or closes it.
class pooled_connection final : public byte_socket_events {
public:
    pooled_connection(http_client_pool& pool, std::unique_ptr<byte_socket> socket,
                      base::instant last_used_at, base::instant close_at)
        : pool_(pool),
          socket_(std::move(socket)),
          last_used_at_(last_used_at),
          close_at_(close_at) {
        socket_->set_events(*this);
    }
    pooled_connection(const pooled_connection&) = delete;
    pooled_connection& operator=(const pooled_connection&) = delete;
    ~pooled_connection() override = default;

    void on_open() override {}
    void on_bytes(std::string_view /*bytes*/) override { remove_from_pool(); }
    void on_sent(std::size_t /*bytes*/) override {}
    void on_closed(close_reason /*reason*/) override { remove_from_pool(); }

    std::unique_ptr<byte_socket> take() { return std::move(socket_); }
    base::instant last_used_at() const { return last_used_at_; }
    base::instant close_at() const { return close_at_; }

private:
    void remove_from_pool() {
        socket_->close();
        const auto found = std::find_if(pool_.idle_.begin(), pool_.idle_.end(),
                                        [this](const auto& idle) { return idle.get() == this; });
        if (found != pool_.idle_.end()) {
            // Destroyed later, since a callback of the connection is on the stack.
            pool_.loop_.defer([ended = std::shared_ptr<pooled_connection>(std::move(*found))] {});
            pool_.idle_.erase(found);
        }
    }

    http_client_pool& pool_;
    std::unique_ptr<byte_socket> socket_;
    base::instant last_used_at_;
    base::instant close_at_;
};

http_client_request::http_client_request(event_loop& loop, http_request request,
                                         http_client_events& events)
    : loop_(loop),
      request_(std::move(request)),
      id_(request_id_of(request_)),
      events_(&events),
      connect_timer_(loop) {
    body_sent_ = !request_.chunked_ && request_.body_length_.value_or(0) == 0;
    reset_reader();
}

std::unique_ptr<http_client_request> http_client_request::start(event_loop& loop,
                                                                const base::address& server,
                                                                http_request request,
                                                                http_client_events& events,
                                                                keepalive_options keepalive) {
    std::unique_ptr<http_client_request> started(
        new http_client_request(loop, std::move(request), events));
    started->socket_ = byte_socket::connect(loop, server, *started, keepalive);
    started->write_head();
    return started;
}

http_client_request::~http_client_request() = default;

void http_client_request::detach() {
    events_ = nullptr;
    connect_timer_.cancel();
    if (socket_ != nullptr) {
        socket_->close();
    }
}

void http_client_request::reset_reader() {
    const response_body body =
        request_.method_ == "HEAD" ? response_body::none : response_body::expected;
    reader_ = make_response_reader(*this, response_limits, body);
}

void http_client_request::write_head() {
    socket_->send(request_head_text(request_));
}

void http_client_request::send_body(std::string_view bytes, bool last) {
    if (socket_ == nullptr || body_sent_) {
        return;
    }
    if (!request_.chunked_) {
        socket_->send(bytes);
    } else if (!bytes.empty()) {
        socket_->send(chunk_text(bytes));
    }
    if (last) {
        body_sent_ = true;
        if (request_.chunked_) {
            socket_->send(last_chunk);
        }
    }
}

void http_client_request::pause_response() {
    if (socket_ != nullptr) {
        socket_->pause();
    }
}

void http_client_request::resume_response() {
    if (socket_ != nullptr) {
        socket_->resume();
    }
}

void http_client_request::on_sent(std::size_t bytes) {
    any_byte_sent_ = true;
    if (events_ != nullptr) {
        events_->on_request_sent(bytes);
    }
}

void http_client_request::on_bytes(std::string_view bytes) {
    while (events_ != nullptr && !bytes.empty()) {
        const std::size_t used = reader_->read(bytes);
        bytes.remove_prefix(used);
        has_trailing_bytes_ = !bytes.empty();
        if (skipped_bytes_ > max_skipped_bytes) {
            fail();
            return;
        }
        if (reader_->state() == read_state::incomplete) {
            return;
        }
        handle_reader_state();
    }
}

void http_client_request::handle_reader_state() {
    if (events_ == nullptr) {
        return;
    }
    if (reader_->state() == read_state::done) {
        finish_message();
    } else {
        fail();
    }
}

void http_client_request::finish_message() {
    server_closes_ = server_closes_ || !reader_->is_keep_alive();
    if (mismatched_response_) {
        mismatched_response_ = false;
        reset_reader();
        return;
    }
    end(true);
}

void http_client_request::on_response_head(http_response&& response) {
    const std::string* id = find_header(response.headers_, request_id_header);
    mismatched_response_ = id != nullptr && !id_.empty() && *id != id_;
    if (mismatched_response_) {
        saw_mismatched_response_ = true;
        return;
    }
    keep_alive_s_ = keep_alive_seconds(response);
    response_head_received_ = true;
    events_->on_response(response);
}

void http_client_request::on_body_bytes(std::string_view bytes) {
    if (mismatched_response_) {
        skipped_bytes_ += bytes.size();
    } else if (events_ != nullptr) {
        events_->on_response_body(bytes);
    }
}

void http_client_request::on_closed(close_reason reason) {
    if (events_ == nullptr) {
        return;
    }
    server_closes_ = true;
    if (reason == close_reason::peer_closed && !mismatched_response_) {
        reader_->end_of_stream();
        if (reader_->state() == read_state::done) {
            end(true);
            return;
        }
    }
    fail();
}

bool http_client_request::reusable() const {
    return pool_ != nullptr && !server_closes_ && !saw_mismatched_response_ &&
           !has_trailing_bytes_ && body_sent_ && socket_->is_open() && socket_->unsent() == 0;
}

void http_client_request::end(bool complete) {
    http_client_events* events = std::exchange(events_, nullptr);
    if (complete && reusable()) {
        pool_->add_idle(std::move(socket_), keep_alive_s_);
    } else {
        socket_->close();
    }
    events->on_end(complete);
}

// Reports an incomplete response if its head was received, and otherwise a failed request.
void http_client_request::fail() {
    if (response_head_received_) {
        end(false);
        return;
    }
    http_client_events* events = std::exchange(events_, nullptr);
    connect_timer_.cancel();
    socket_->close();
    events->on_failed(any_byte_sent_ ? client_failure::maybe_sent : client_failure::never_sent);
}

http_client_pool::http_client_pool(event_loop& loop, base::address server, pool_options options)
    : loop_(loop), server_(std::move(server)), options_(options), eviction_timer_(loop) {}

http_client_pool::~http_client_pool() = default;

std::unique_ptr<http_client_request> http_client_pool::start(http_request request,
                                                             base::duration max_idle_age,
                                                             http_client_events& events) {
    evict_expired();
    std::unique_ptr<http_client_request> started(
        new http_client_request(loop_, std::move(request), events));
    started->pool_ = this;
    const base::instant now = loop_.clock().now();
    if (!idle_.empty() && now - idle_.back()->last_used_at() <= max_idle_age) {
        started->socket_ = idle_.back()->take();
        started->idle_time_ = now - idle_.back()->last_used_at();
        idle_.pop_back();
        started->socket_->set_events(*started);
    } else {
        ++opened_;
        started->socket_ = byte_socket::connect(loop_, server_, *started, options_.keepalive_);
        started->connect_timer_.start(options_.connect_timeout_,
                                      [request = started.get()] { request->fail(); });
    }
    started->write_head();
    return started;
}

void http_client_pool::add_idle(std::unique_ptr<byte_socket> socket,
                                std::optional<int> keep_alive_s) {
    const base::instant now = loop_.clock().now();
    base::duration idle_time = options_.max_idle_time_;
    if (keep_alive_s) {
        idle_time =
            std::min<base::duration>(idle_time, base::seconds(*keep_alive_s) - keep_alive_margin);
    }
    if (idle_time <= base::duration::zero() || idle_.size() >= options_.max_idle_connections_) {
        socket->close();
        // Destroyed later, since a callback of the socket is on the stack.
        loop_.defer([ended = std::shared_ptr<byte_socket>(std::move(socket))] {});
        return;
    }
    // The next request reads from the start, and a close by the server is detected before it.
    socket->resume();
    idle_.push_back(
        std::make_unique<pooled_connection>(*this, std::move(socket), now, now + idle_time));
    if (idle_.size() == 1) {
        eviction_timer_.start(eviction_interval, [this] { evict_expired(); });
    }
}

void http_client_pool::evict_expired() {
    const base::instant now = loop_.clock().now();
    idle_.remove_if([&](const auto& idle) { return idle->close_at() <= now; });
    if (!idle_.empty()) {
        eviction_timer_.start(eviction_interval, [this] { evict_expired(); });
    }
}

void http_client_pool::clear() {
    idle_.clear();
}

}  // namespace dandelionridge::net
