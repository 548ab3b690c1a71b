#include "net/http_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "net/http_writer.h"

namespace dandelionridge::net {

namespace {

constexpr base::duration sweep_interval = base::milliseconds(500);

// Closed this long before the server would close it by itself.
constexpr base::duration close_ahead = base::milliseconds(500);

constexpr read_limits answer_limits = {64 * 1024, std::uint64_t{1} << 40};

std::string id_of(const http_request& request) {
    const std::string* id = find_header(request.headers_, "x-request-id");
    return id == nullptr ? std::string() : *id;
}

// The seconds of "timeout=N" in a Keep-Alive header.
std::optional<int> keep_alive_seconds(const http_response& answer) {
    const std::string* value = find_header(answer.headers_, "keep-alive");
    constexpr std::string_view name = "timeout=";
    const std::size_t at = value == nullptr ? std::string::npos : value->find(name);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char* first = value->data() + at + name.size();
    const auto [end, code] = std::from_chars(first, value->data() + value->size(), seconds);
    return code == std::errc() ? std::optional(seconds) : std::nullopt;
}

}  // namespace

// A connection that waits for its next request. Whatever comes on it ends it.
class pooled_connection final : public byte_socket_events {
public:
    pooled_connection(http_client_pool& pool, std::unique_ptr<byte_socket> socket,
                      base::instant used_at, base::instant close_at)
        : pool_(pool), socket_(std::move(socket)), used_at_(used_at), close_at_(close_at) {
        socket_->set_events(*this);
    }
    pooled_connection(const pooled_connection&) = delete;
    pooled_connection& operator=(const pooled_connection&) = delete;
    ~pooled_connection() override = default;

    void on_open() override {}
    void on_bytes(std::string_view /*bytes*/) override { leave(); }
    void on_sent(std::size_t /*bytes*/) override {}
    void on_closed(close_reason /*how*/) override { leave(); }

    std::unique_ptr<byte_socket> take() { return std::move(socket_); }
    base::instant used_at() const { return used_at_; }
    base::instant close_at() const { return close_at_; }

private:
    void leave() {
        socket_->close();
        const auto place = std::find_if(pool_.idle_.begin(), pool_.idle_.end(),
                                        [this](const auto& kept) { return kept.get() == this; });
        if (place != pool_.idle_.end()) {
            // Its own callback is on the stack.
            pool_.loop_.defer([ended = std::shared_ptr<pooled_connection>(std::move(*place))] {});
            pool_.idle_.erase(place);
        }
    }

    http_client_pool& pool_;
    std::unique_ptr<byte_socket> socket_;
    base::instant used_at_;
    base::instant close_at_;
};

http_client_request::http_client_request(event_loop& loop, http_request request,
                                         http_client_events& events)
    : loop_(loop), request_(std::move(request)), id_(id_of(request_)), events_(&events) {
    body_sent_ = !request_.chunked_ && request_.body_length_.value_or(0) == 0;
    new_reader();
}

std::unique_ptr<http_client_request> http_client_request::start(event_loop& loop,
                                                                const base::address& server,
                                                                http_request request,
                                                                http_client_events& events,
                                                                keepalive_options probes) {
    std::unique_ptr<http_client_request> started(
        new http_client_request(loop, std::move(request), events));
    started->socket_ = byte_socket::connect(loop, server, *started, probes);
    started->write_head();
    return started;
}

http_client_request::~http_client_request() = default;

void http_client_request::detach() {
    events_ = nullptr;
    if (socket_ != nullptr) {
        socket_->close();
    }
}

void http_client_request::new_reader() {
    const response_body body =
        request_.method_ == "HEAD" ? response_body::none : response_body::expected;
    reader_ = make_response_reader(*this, answer_limits, body);
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
        if (reader_->state() == read_state::open) {
            return;
        }
        after_read();
    }
}

void http_client_request::after_read() {
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
        new_reader();
        return;
    }
    end(true);
}

void http_client_request::on_response_head(http_response&& response) {
    const std::string* id = find_header(response.headers_, "x-request-id");
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
    if (!mismatched_response_ && events_ != nullptr) {
        events_->on_response_body(bytes);
    }
}

void http_client_request::on_closed(close_reason how) {
    if (events_ == nullptr) {
        return;
    }
    server_closes_ = true;
    if (how == close_reason::peer_closed && !mismatched_response_) {
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
    http_client_events* listener = std::exchange(events_, nullptr);
    if (complete && reusable()) {
        pool_->add_idle(std::move(socket_), keep_alive_s_);
    } else {
        socket_->close();
    }
    listener->on_end(complete);
}

// Before the answer began the request failed; afterwards the answer is cut.
void http_client_request::fail() {
    if (response_head_received_) {
        end(false);
        return;
    }
    http_client_events* listener = std::exchange(events_, nullptr);
    socket_->close();
    listener->on_failed(any_byte_sent_ ? client_failure::maybe_sent : client_failure::never_sent);
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
    if (!idle_.empty() && now - idle_.back()->used_at() <= max_idle_age) {
        started->socket_ = idle_.back()->take();
        idle_.pop_back();
        started->reused_ = true;
        started->socket_->set_events(*started);
    } else {
        ++opened_;
        started->socket_ = byte_socket::connect(loop_, server_, *started, options_.keepalive_);
    }
    started->write_head();
    return started;
}

void http_client_pool::add_idle(std::unique_ptr<byte_socket> socket,
                                std::optional<int> keep_alive_s) {
    const base::instant now = loop_.clock().now();
    base::duration bound = options_.max_idle_time_;
    if (keep_alive_s) {
        bound = std::min<base::duration>(bound, base::seconds(*keep_alive_s) - close_ahead);
    }
    if (bound <= base::duration::zero() || idle_.size() >= options_.max_idle_connections_) {
        socket->close();
        // Its own callback is on the stack.
        loop_.defer([ended = std::shared_ptr<byte_socket>(std::move(socket))] {});
        return;
    }
    idle_.push_back(
        std::make_unique<pooled_connection>(*this, std::move(socket), now, now + bound));
    if (idle_.size() == 1) {
        eviction_timer_.start(sweep_interval, [this] { evict_expired(); });
    }
}

void http_client_pool::evict_expired() {
    const base::instant now = loop_.clock().now();
    idle_.remove_if([&](const auto& kept) { return kept->close_at() <= now; });
    if (!idle_.empty()) {
        eviction_timer_.start(sweep_interval, [this] { evict_expired(); });
    }
}

void http_client_pool::clear() {
    idle_.clear();
}

}  // namespace dandelionridge::net
