#include "net/http_fetch.h"

#include <utility>

namespace dandelionridge::net {

namespace {

// A kept connection that rested longer is not taken.
constexpr base::duration longest_rest = base::seconds(4);

}  // namespace

http_fetch::http_fetch(event_loop& loop, fetch_options options, callback done)
    : loop_(loop), options_(std::move(options)), done_(std::move(done)), timeout_(loop) {
    start(longest_rest);
    timeout_.start(options_.timeout_, [this] { fail("did not answer in time"); });
}

// The request's own callback may be on the stack.
http_fetch::~http_fetch() {
    if (request_ != nullptr) {
        request_->silence();
        loop_.defer([ended = std::shared_ptr<http_client_request>(std::move(request_))] {});
    }
}

void http_fetch::start(base::duration freshness) {
    http_request request;
    request.method_ = "GET";
    request.path_ = options_.path_;
    request.host_ = base::to_string(options_.server_);
    request_ = options_.pool_ == nullptr
                   ? http_client_request::start(loop_, options_.server_, std::move(request), *this)
                   : options_.pool_->start(std::move(request), freshness, *this);
}

void http_fetch::on_answer(const http_answer& answer) {
    answer_.status_ = answer.status_;
    answer_.headers_ = answer.headers_;
}

void http_fetch::on_answer_body(std::string_view bytes) {
    answer_.body_.append(bytes);
    if (answer_.body_.size() > options_.most_bytes_) {
        request_->silence();
        fail("sent more than " + std::to_string(options_.most_bytes_) + " bytes");
    }
}

void http_fetch::on_end(bool whole) {
    if (whole) {
        finish(std::move(answer_));
    } else {
        fail("broke its answer off");
    }
}

// A kept connection that the server has closed meanwhile: a read may be asked once more.
void http_fetch::on_failed(client_failure /*failure*/) {
    if (!request_->reused() || again_) {
        fail("cannot be reached");
        return;
    }
    again_ = true;
    loop_.defer([ended = std::shared_ptr<http_client_request>(std::move(request_))] {});
    start(base::duration(-1));
}

void http_fetch::on_request_sent(std::size_t /*bytes*/) {}

void http_fetch::fail(const std::string& what) {
    finish(base::fail(base::error_kind::network, base::to_string(options_.server_) + " " + what +
                                                     "; check that it runs and can be reached"));
}

void http_fetch::finish(base::result<fetched> outcome) {
    timeout_.cancel();
    const callback done = std::exchange(done_, nullptr);
    if (done) {
        done(std::move(outcome));
    }
}

}  // namespace dandelionridge::net
