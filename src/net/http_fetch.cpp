#include "net/http_fetch.h"

#include <algorithm>
#include <utility>

namespace dandelionridge::net {

namespace {

// Idle connections that were last used longer ago than this are not reused.
constexpr base::duration max_reused_idle_age = base::seconds(4);

}  // namespace

http_fetch::http_fetch(event_loop& loop, fetch_options options, callback done)
    : loop_(loop), options_(std::move(options)), done_(std::move(done)), timeout_timer_(loop) {
    start(max_reused_idle_age);
    timeout_timer_.start(options_.timeout_, [this] {
        fail("did not respond within " + std::to_string(base::whole_ms(options_.timeout_)) +
             " ms of the start of the request");
    });
}

// Destroys the request later, since one of its callbacks may be on the stack.
http_fetch::~http_fetch() {
    if (request_ != nullptr) {
        request_->detach();
        loop_.defer([ended = std::shared_ptr<http_client_request>(std::move(request_))] {});
    }
}

void http_fetch::start(base::duration max_idle_age) {
    http_request request;
    request.method_ = "GET";
    request.path_ = options_.path_;
    request.host_ = base::to_string(options_.server_);
    request_ = options_.pool_ == nullptr
                   ? http_client_request::start(loop_, options_.server_, std::move(request), *this)
                   : options_.pool_->start(std::move(request), max_idle_age, *this);
}

void http_fetch::on_response(const http_response& response) {
    on_progress();
    response_.status_ = response.status_;
    response_.headers_ = response.headers_;
}

void http_fetch::on_progress() {
    received_at_ = loop_.clock().now();
    if (!began_at_) {
        began_at_ = received_at_;
        timeout_timer_.start(options_.max_pause_, [this] { check_progress(); });
    }
}

// Gives up a response that has paused for too long or takes too long in all.
void http_fetch::check_progress() {
    const base::instant now = loop_.clock().now();
    const base::instant deadline =
        std::min(*received_at_ + options_.max_pause_, *began_at_ + options_.max_transfer_time_);
    if (now < deadline) {
        timeout_timer_.start(deadline - now, [this] { check_progress(); });
        return;
    }
    fail("sent " + std::to_string(response_.body_.size()) + " bytes of a response in " +
         std::to_string(base::whole_ms(now - *began_at_)) + " ms, the last one " +
         std::to_string(base::whole_ms(now - *received_at_)) + " ms ago, and did not end it");
}

void http_fetch::on_response_body(std::string_view bytes) {
    on_progress();
    response_.body_.append(bytes);
    if (response_.body_.size() > options_.max_bytes_) {
        request_->detach();
        fail("sent more than " + std::to_string(options_.max_bytes_) + " bytes");
    }
}

void http_fetch::on_end(bool complete) {
    if (complete) {
        finish(std::move(response_));
    } else {
        fail("sent an incomplete response");
    }
}

// The server may have closed a reused connection while it was idle, and a GET may be repeated: it
// is retried once, on a new connection.
void http_fetch::on_failed(client_failure /*failure*/) {
    if (!request_->idle_time() || retried_) {
        fail("sent no valid response");
        return;
    }
    retried_ = true;
    loop_.defer([ended = std::shared_ptr<http_client_request>(std::move(request_))] {});
    // A negative age excludes every idle connection.
    start(base::duration(-1));
}

void http_fetch::on_request_sent(std::size_t /*bytes*/) {}

void http_fetch::fail(const std::string& problem) {
    finish(base::fail(base::error_kind::network, base::to_string(options_.server_) + " " + problem +
                                                     "; check that it runs and can be reached"));
}

void http_fetch::finish(base::result<fetch_result> outcome) {
    timeout_timer_.cancel();
    const callback done = std::exchange(done_, nullptr);
    if (done) {
        done(std::move(outcome));
    }
}

}  // namespace dandelionridge::net
