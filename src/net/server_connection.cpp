#include "net/server_connection.h"

#include <algorithm>
#include <utility>

#include "net/http_writer.h"

namespace dandelionridge::net {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_head_too_large = 431;

// Bytes of further requests that are buffered until these may be read. With more of them the
// socket is not read.
constexpr std::size_t max_pending_bytes = 128 * 1024;

// Time for which the rest of a request is read and discarded before its connection is closed:
// closing a connection with unread bytes resets it, and the response may be lost.
constexpr base::duration linger_time = base::seconds(1);

// Time between two checks whether a caller has left whose body is not read.
constexpr base::duration paused_check_interval = base::milliseconds(200);

}  // namespace

server_connection::server_connection(http_server& server, std::unique_ptr<byte_socket> socket)
    : server_(server),
      socket_(std::move(socket)),
      timer_(server.loop_),
      paused_timer_(server.loop_) {
    idle_since_ = server_.loop_.clock().now();
    wait_for_request();
}

server_connection::~server_connection() {
    while (!exchanges_.empty()) {
        end_last();
    }
    pending_.clear();
    update_held_bytes();
}

void server_connection::wait_for_request() {
    const base::instant idle_until = idle_since_ + server_.options_.limits_().idle_timeout_;
    timer_.start(idle_until - server_.loop_.clock().now(), [this] { on_idle_timeout(); });
}

// Closes the connection, unless its next request has arrived or the idle timeout was raised.
void server_connection::on_idle_timeout() {
    const base::instant now = server_.loop_.clock().now();
    if (socket_->has_unread()) {
        idle_since_ = now;
    }
    if (idle_since_ + server_.options_.limits_().idle_timeout_ > now) {
        wait_for_request();
        return;
    }
    drop();
}

// Begins to read a request, with the limits in force.
void server_connection::begin_request() {
    const caller_limits limits = server_.options_.limits_();
    reader_ = make_request_reader(*this, {limits.head_bytes_, limits.body_bytes_});
    timer_.start(limits.head_timeout_,
                 [this] { refuse(status_timeout, "the head of the request took too long"); });
}

void server_connection::drop() {
    if (dropped_) {
        return;
    }
    dropped_ = true;
    timer_.cancel();
    paused_timer_.cancel();
    socket_->close();
    while (!exchanges_.empty()) {
        end_last();
    }
    pending_.clear();
    update_held_bytes();
    server_.remove_connection(*this);
}

// Ends the last exchange. Destroys it later, since callbacks of its handler may be on the stack.
void server_connection::end_last() {
    std::unique_ptr<server_exchange> last = std::move(exchanges_.back());
    exchanges_.pop_back();
    if (reading_ == last.get()) {
        reading_ = nullptr;
    }
    if (last->started()) {
        --server_.open_exchanges_;
    }
    last->end();
    server_.loop_.defer([ended = std::shared_ptr<server_exchange>(std::move(last))] {});
}

// Makes the exchange at index `last` the last one of the connection: the requests behind it count
// as unread.
void server_connection::end_behind(std::size_t last) {
    std::size_t cancelled = 0;
    while (exchanges_.size() > last + 1) {
        cancelled += exchanges_.back()->started() ? 1 : 0;
        end_last();
    }
    exchanges_.back()->close_after_response();
    last_request_read_ = true;
    refusal_.reset();
    if (reading_ == nullptr) {
        timer_.cancel();
        pending_.clear();
    }
    if (cancelled > 0) {
        server_.options_.on_pipelining_(pipelining_event::cancelled, cancelled);
    }
    update_held_bytes();
    update_reading();
}

void server_connection::on_server_closing() {
    if (exchanges_.empty()) {
        return;
    }
    const std::size_t last = exchanges_.front()->head_sent() ? 1 : 0;
    if (last < exchanges_.size()) {
        end_behind(last);
    }
}

void server_connection::on_closing_response(server_exchange& exchange) {
    if (!exchanges_.empty() && exchanges_.front().get() == &exchange) {
        end_behind(0);
    }
}

void server_connection::abort(server_exchange& exchange) {
    if (exchanges_.front().get() == &exchange) {
        drop();
        return;
    }
    // The caller has no byte of this response. The one before it closes the connection, so that the
    // caller counts the request as unread.
    for (std::size_t i = 1; i < exchanges_.size(); ++i) {
        if (exchanges_[i].get() == &exchange) {
            end_behind(i - 1);
        }
    }
}

std::size_t server_connection::waiting_response_bytes() const {
    return policy::waiting_response_bytes(server_.options_.pipeline_limits_);
}

void server_connection::update_held_bytes() {
    std::size_t held = exchanges_.empty() ? 0 : pending_.size();
    for (const auto& exchange : exchanges_) {
        held += exchange->held_bytes();
    }
    if (held != held_bytes_) {
        server_.held_bytes_ = server_.held_bytes_ - held_bytes_ + held;
        held_bytes_ = held;
        server_.options_.on_held_bytes_(server_.held_bytes_);
    }
}

policy::pipeline_state server_connection::pipeline_state() const {
    std::size_t held = 0;
    for (const auto& exchange : exchanges_) {
        held += exchange->held_bytes();
    }
    return {exchanges_.size(), held, server_.options_.has_room_(), server_.closing_};
}

// Returns true if received bytes may be passed to a reader.
bool server_connection::may_read() const {
    const policy::pipeline_limits& limits = server_.options_.pipeline_limits_;
    if (reading_ != nullptr) {
        // The body of a request that has not started is buffered.
        return reading_->started() || pipeline_state().held_bytes_ < limits.bytes_;
    }
    if (last_request_read_ || refusal_) {
        return false;
    }
    return reader_ != nullptr || policy::may_read_next(limits, pipeline_state());
}

void server_connection::update_reading() {
    const bool by_handler =
        reading_ != nullptr && reading_->started() && reading_->paused() && !reading_->finished();
    const bool by_bound = pending_.size() > max_pending_bytes && !may_read();
    if (by_handler || by_bound) {
        socket_->pause();
    } else {
        socket_->resume();
    }
    if (by_handler) {
        watch_paused_caller();
    } else {
        paused_timer_.cancel();
    }
}

// A caller may leave while its body waits, which reading would show.
void server_connection::watch_paused_caller() {
    paused_timer_.start(paused_check_interval, [this] {
        if (socket_->peer_has_closed()) {
            drop();
        } else {
            watch_paused_caller();
        }
    });
}

void server_connection::on_bytes(std::string_view bytes) {
    pipelined_ = pipelined_ || (!exchanges_.empty() && reading_ == nullptr);
    const bool discarded = (last_request_read_ && reading_ == nullptr) || refusal_.has_value();
    if (dropped_ || refused_ || discarded) {
        return;
    }
    pending_.append(bytes);
    read_pending();
}

// Reads the buffered bytes as far as the bounds allow.
void server_connection::read_pending() {
    if (in_read_) {
        return;
    }
    in_read_ = true;
    while (!dropped_ && !refused_ && !pending_.empty() && may_read()) {
        if (reader_ == nullptr) {
            begin_request();
        }
        const std::string bytes = std::exchange(pending_, {});
        const std::size_t used = reader_->read(bytes);
        pending_ = bytes.substr(used) + pending_;
        handle_reader_state();
    }
    in_read_ = false;
    if (dropped_ || refused_) {
        return;
    }
    const bool at_bound = !pending_.empty() && server_.options_.pipeline_limits_.requests_ > 1 &&
                          !may_read() && !server_.closing_;
    if (at_bound && !at_bound_) {
        server_.options_.on_pipelining_(pipelining_event::bounded, 1);
    }
    at_bound_ = at_bound;
    update_held_bytes();
    update_reading();
}

void server_connection::handle_reader_state() {
    if (dropped_ || refused_) {
        return;
    }
    switch (reader_->state()) {
        case read_state::incomplete:
            return;
        case read_state::done: {
            reader_.reset();
            server_exchange* read = std::exchange(reading_, nullptr);
            if (read != nullptr) {
                read->on_request_end();
            }
            if (last_request_read_ || (read != nullptr && read->closes_connection())) {
                last_request_read_ = true;
                pending_.clear();
            }
            start_ahead();
            send_finished();
            return;
        }
        case read_state::malformed:
            refuse(status_bad_request, "the request cannot be read");
            return;
        case read_state::head_too_large:
            refuse(status_head_too_large, "the head of the request is too large");
            return;
        case read_state::body_too_large:
            refuse(status_body_too_large, "the body of the request is too large");
            return;
    }
}

// Refuses the request that is being read. What the caller still sends is read and discarded. If the
// request's own response has started, closes the connection at once.
void server_connection::refuse(int status, std::string_view message) {
    const bool at_front = reading_ != nullptr && reading_ == exchanges_.front().get();
    if (at_front && reading_->head_sent()) {
        drop();
        return;
    }
    if (reading_ != nullptr) {
        end_last();
    }
    timer_.cancel();
    reader_.reset();
    pending_.clear();
    refusal_ = refusal{status, std::string(message)};
    update_held_bytes();
    update_reading();
    if (exchanges_.empty()) {
        send_refusal(*refusal_);
    }
}

// Sends an error response, after which the caller closes the connection.
void server_connection::send_refusal(const refusal& error) {
    http_response response;
    response.status_ = error.status_;
    response.length_ = error.message_.size();
    response.headers_ = {{"content-type", "text/plain"}};
    constexpr bool close = true;
    socket_->send(response_head_text(response, close) + error.message_);
    refused_ = true;
    linger();
}

void server_connection::linger() {
    timer_.start(linger_time, [this] { drop(); });
}

void server_connection::on_request_head(http_request&& request) {
    timer_.cancel();
    request.received_at_ = server_.loop_.clock().now();
    if (last_request_read_) {
        return;
    }
    exchanges_.push_back(std::make_unique<server_exchange>(*this, std::move(request)));
    reading_ = exchanges_.back().get();
    if (exchanges_.size() > 1) {
        pipelined_ = true;
        return;
    }
    reading_->move_to_front();
    start(*reading_);
}

void server_connection::on_body_bytes(std::string_view bytes) {
    if (reading_ != nullptr && !dropped_) {
        reading_->on_body_bytes(bytes);
    }
}

}  // namespace dandelionridge::net
