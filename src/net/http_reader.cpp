#include "net/http_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <utility>

namespace dandelionridge::net {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using beast_string_view = boost::beast::string_view;

constexpr int min_status = 100;
constexpr int status_switching_protocols = 101;
constexpr int min_final_status = 200;
constexpr int max_status = 599;

// A response that follows more interim responses than this is not waited for.
constexpr int max_interim_responses = 32;

std::string lower(beast_string_view value) {
    std::string lowered(value.data(), value.size());
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

// Returns the state of a reader whose parser failed with this error.
read_state state_after(const error_code& error) {
    if (error == http::error::header_limit) {
        return read_state::head_too_large;
    }
    if (error == http::error::body_limit) {
        return read_state::body_too_large;
    }
    return read_state::malformed;
}

// Returns false for a status that no response to a request of ours has. Requests offer no change of
// protocol, so what follows status 101 could not be read.
bool is_valid_status(int status) {
    return status >= min_status && status <= max_status && status != status_switching_protocols;
}

// Passes the parts of one message from the Beast parser to the events.
template <bool IsRequest>
class message_parser final : public http::basic_parser<IsRequest> {
public:
    explicit message_parser(http_reader_events& events) : events_(events) {}

    // Returns true if the message is an interim (1xx) response.
    bool interim() const { return interim_; }

    // Passes on the bytes of the body that were parsed since the last call: in one piece, however
    // small the chunks are in which they came.
    void report_body() {
        const std::string body = std::exchange(body_, {});
        if (!body.empty()) {
            events_.on_body_bytes(body);
        }
    }

private:
    void on_request_impl(http::verb /*verb*/, beast_string_view method, beast_string_view target,
                         int /*version*/, error_code& /*error*/) override {
        request_.method_.assign(method.data(), method.size());
        request_.path_.assign(target.data(), target.size());
    }

    void on_response_impl(int status, beast_string_view /*reason*/, int /*version*/,
                          error_code& error) override {
        if (!is_valid_status(status)) {
            error = http::error::bad_status;
            return;
        }
        response_.status_ = status;
        interim_ = status < min_final_status;
    }

    void on_field_impl(http::field /*name*/, beast_string_view name, beast_string_view value,
                       error_code& /*error*/) override {
        if (head_complete_) {
            // Ignores a trailer field of a chunked body.
            return;
        }
        http_header header{lower(name), std::string(value.data(), value.size())};
        if (IsRequest && header.name_ == "host") {
            request_.host_ = std::move(header.value_);
            return;
        }
        (IsRequest ? request_.headers_ : response_.headers_).push_back(std::move(header));
    }

    void on_header_impl(error_code& /*error*/) override {
        head_complete_ = true;
        std::optional<std::uint64_t> length;
        if (const auto declared = this->content_length()) {
            length = *declared;
        }
        if constexpr (IsRequest) {
            request_.chunked_ = this->chunked();
            request_.body_length_ = length;
            events_.on_request_head(std::move(request_));
        } else if (!interim_) {
            response_.length_ = length;
            events_.on_response_head(std::move(response_));
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                           error_code& /*error*/) override {}

    std::size_t on_body_impl(beast_string_view body, error_code& /*error*/) override {
        body_.append(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, beast_string_view /*extensions*/,
                              error_code& /*error*/) override {}

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast_string_view body,
                                   error_code& /*error*/) override {
        body_.append(body.data(), body.size());
        return body.size();
    }

    void on_finish_impl(error_code& /*error*/) override {}

    http_reader_events& events_;
    http_request request_;
    http_response response_;
    // Bytes of the body that are not reported yet.
    std::string body_;
    bool head_complete_ = false;
    bool interim_ = false;
};

template <bool IsRequest>
class parser_reader final : public http_reader {
public:
    parser_reader(http_reader_events& events, read_limits limits, response_body body)
        : events_(events), limits_(limits), body_(body) {
        restart();
    }

    std::size_t read(std::string_view bytes) override {
        // The parser needs a whole head in one piece, so bytes that it did not consume are kept.
        pending_.append(bytes);
        std::size_t used = 0;
        while (state_ == read_state::incomplete && used < pending_.size()) {
            error_code error;
            const std::size_t count = parser_->put(
                boost::asio::buffer(pending_.data() + used, pending_.size() - used), error);
            used += count;
            if (error == http::error::need_more) {
                break;
            }
            if (error) {
                state_ = state_after(error);
                break;
            }
            begun_ = true;
            if (parser_->is_done()) {
                finish();
            } else if (count == 0) {
                break;
            }
        }
        parser_->report_body();
        begun_ = begun_ || !pending_.empty();
        const std::size_t unused = pending_.size() - used;
        if (state_ == read_state::incomplete && unused > limits_.head_bytes_) {
            // A part of the framing that does not end.
            state_ = read_state::malformed;
        }
        if (state_ == read_state::incomplete) {
            pending_.erase(0, used);
            return bytes.size();
        }
        pending_.clear();
        return bytes.size() - std::min(unused, bytes.size());
    }

    void end_of_stream() override {
        if (state_ != read_state::incomplete || !parser_->got_some()) {
            return;
        }
        error_code error;
        parser_->put_eof(error);
        state_ = !error && parser_->is_done() ? read_state::done : read_state::malformed;
    }

    read_state state() const override { return state_; }
    bool begun() const override { return begun_; }
    bool is_keep_alive() const override { return parser_->keep_alive(); }
    bool ends_at_close() const override { return parser_->is_header_done() && parser_->need_eof(); }

private:
    void restart() {
        parser_ = std::make_unique<message_parser<IsRequest>>(events_);
        parser_->eager(true);
        parser_->header_limit(limits_.head_bytes_);
        parser_->body_limit(limits_.body_bytes_);
        parser_->skip(body_ == response_body::none);
    }

    // Ends the message, or begins the next one after an interim response.
    void finish() {
        if (parser_->interim() && ++interim_responses_ <= max_interim_responses) {
            restart();
            return;
        }
        if (parser_->interim()) {
            state_ = read_state::malformed;
            return;
        }
        state_ = read_state::done;
    }

    http_reader_events& events_;
    read_limits limits_;
    response_body body_;
    std::unique_ptr<message_parser<IsRequest>> parser_;
    std::string pending_;
    read_state state_ = read_state::incomplete;
    bool begun_ = false;
    int interim_responses_ = 0;
};

}  // namespace

std::unique_ptr<http_reader> make_request_reader(http_reader_events& events, read_limits limits) {
    return std::make_unique<parser_reader<true>>(events, limits, response_body::expected);
}

std::unique_ptr<http_reader> make_response_reader(http_reader_events& events, read_limits limits,
                                                  response_body body) {
    return std::make_unique<parser_reader<false>>(events, limits, body);
}

std::string_view reason_phrase(int status) {
    const beast_string_view phrase = http::obsolete_reason(static_cast<http::status>(status));
    return {phrase.data(), phrase.size()};
}

}  // namespace dandelionridge::net
