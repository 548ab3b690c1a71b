#include "support/target_stub.h"

#include <algorithm>

#include "base/hash.h"

namespace dandelionridge::support {

namespace {

constexpr std::size_t block_bytes = 32 * 1024;
constexpr std::uint64_t pattern_period = 251;

// Returns the number after "NAME=" in a path's query, or `fallback` if there is none.
std::uint64_t query_number(const std::string& path, const std::string& name,
                           std::uint64_t fallback) {
    const std::size_t name_offset = path.find(name + "=");
    return name_offset == std::string::npos
               ? fallback
               : std::stoull(path.substr(name_offset + name.size() + 1));
}

std::string etag_of(const std::string& path) {
    return "\"" + base::sha256_hex(path).substr(0, 16) + "\"";
}

}  // namespace

std::string download_bytes(const std::string& path, std::uint64_t from, std::uint64_t count) {
    const std::uint64_t seed = base::digest64(path);
    std::string bytes(count, '\0');
    for (std::uint64_t i = 0; i < count; ++i) {
        const std::uint64_t offset = from + i;
        bytes[i] = static_cast<char>((offset % pattern_period) ^ (offset >> 12U) ^ seed);
    }
    return bytes;
}

class target_handler final : public net::http_handler {
public:
    target_handler(target_stub& target, net::http_exchange& exchange, net::http_request request)
        : target_(target),
          exchange_(exchange),
          request_(std::move(request)),
          delay_(target.thread_.loop()) {
        const std::size_t in_flight = ++target_.in_flight_;
        target_.max_in_flight_ = std::max(target_.max_in_flight_.load(), in_flight);
        target_.record_text(request_.method_ + " " + request_.path_ + " " + request_.host_ + "\n");
        for (const net::http_header& header : request_.headers_) {
            target_.record_text(header.name_ + ": " + header.value_ + "\n");
        }
        if (!request_.chunked_ && request_.body_length_.value_or(0) == 0) {
            run();
        }
    }
    target_handler(const target_handler&) = delete;
    target_handler& operator=(const target_handler&) = delete;
    ~target_handler() override { --target_.in_flight_; }

    void on_body(std::string_view bytes) override { body_ += bytes; }

    void on_body_end() override {
        target_.record_text(body_ + "\n");
        run();
    }

    void on_sent(std::size_t /*bytes*/) override { continue_sending(); }

private:
    void run() {
        {
            const std::lock_guard lock(target_.mutex_);
            behaviour_ = target_.behaviour_;
        }
        if (behaviour_.mode_ == target_mode::shed) {
            net::http_response response;
            response.status_ = 503;
            response.headers_ = {{"retry-after", "1"}};
            net::send_response(exchange_, std::move(response), "shed\n");
            return;
        }
        const std::string* id = net::find_header(request_.headers_, "x-request-id");
        target_.record_run(id == nullptr ? "" : *id);
        if (behaviour_.mode_ == target_mode::hang) {
            return;
        }
        if (const auto deadline = deadline_before(behaviour_.delay_)) {
            delay_.start(*deadline + *behaviour_.deadline_response_lag_,
                         [this] { respond_at_deadline(); });
            return;
        }
        delay_.start(behaviour_.delay_, [this] { respond(); });
    }

    // Returns the time left to the request's deadline if the target honours it and it passes within
    // `delay`.
    std::optional<base::duration> deadline_before(base::duration delay) const {
        const std::string* text = net::find_header(request_.headers_, "x-deadline-ms");
        if (text == nullptr || !behaviour_.deadline_response_lag_) {
            return std::nullopt;
        }
        const base::duration deadline = base::milliseconds(std::stoll(*text));
        return deadline < delay ? std::optional(deadline) : std::nullopt;
    }

    void respond_at_deadline() {
        net::http_response response;
        response.status_ = 504;
        response.headers_ = behaviour_.headers_;
        add_request_id(response.headers_);
        net::send_response(exchange_, std::move(response), "deadline\n");
    }

    void add_request_id(std::vector<net::http_header>& headers) const {
        const std::string* id = net::find_header(request_.headers_, net::request_id_header);
        if (id != nullptr && behaviour_.echoes_request_id_) {
            headers.push_back({std::string(net::request_id_header), *id});
        }
    }

    void respond() {
        const bool closes = behaviour_.mode_ == target_mode::close_after_run ||
                            (behaviour_.mode_ == target_mode::close_every_other &&
                             ++target_.alternating_runs_ % 2 == 0);
        if (closes) {
            exchange_.abort();
            return;
        }
        if (behaviour_.mode_ == target_mode::stray_refusal) {
            net::http_response refusal;
            refusal.status_ = 503;
            refusal.headers_ = {{"x-not-executed", "full"}};
            net::send_response(exchange_, std::move(refusal), "full\n");
            return;
        }
        add_request_id(behaviour_.headers_);
        if (is_endless()) {
            begin_endless_body();
            return;
        }
        if (request_.path_.find("bytes=") != std::string::npos) {
            begin_download();
            return;
        }
        net::http_response response;
        response.status_ = behaviour_.mode_ == target_mode::server_error ? 500 : 200;
        response.headers_ = behaviour_.headers_;
        response.headers_.push_back({"content-type", "text/plain"});
        std::string body = target_.name() + " " + request_.method_ + " " + request_.path_ + " " +
                           base::sha256_hex(body_) + "\n";
        send_short_response(std::move(response), body);
    }

    void send_short_response(net::http_response response, const std::string& body) {
        switch (behaviour_.mode_) {
            case target_mode::truncated_body:
                response.length_ = body.size() + 100;
                break;
            case target_mode::truncated_chunked_body:
                break;
            case target_mode::trailing_bytes:
                response.length_ = body.size();
                break;
            default:
                if (!behaviour_.chunked_) {
                    response.length_ = body.size();
                }
        }
        const bool truncated = behaviour_.mode_ == target_mode::truncated_body ||
                               behaviour_.mode_ == target_mode::truncated_chunked_body;
        exchange_.send_head(response);
        exchange_.send_body(body);
        if (behaviour_.mode_ == target_mode::trailing_bytes) {
            exchange_.send_body("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray");
        }
        if (truncated) {
            abort_after_send_ = true;
        } else {
            exchange_.finish();
        }
    }

    void begin_download() {
        const std::uint64_t size = query_number(request_.path_, "bytes", 0);
        offset_ = 0;
        end_offset_ = size;
        net::http_response response;
        response.status_ = behaviour_.mode_ == target_mode::server_error ? 500 : 200;
        response.headers_ = behaviour_.headers_;
        response.headers_.push_back({"etag", etag_of(request_.path_)});
        response.headers_.push_back({"accept-ranges", "bytes"});
        const std::string* range = net::find_header(request_.headers_, "range");
        if (range != nullptr && range->starts_with("bytes=")) {
            offset_ = std::stoull(range->substr(6));
            response.status_ = 206;
            response.headers_.push_back({"content-range", "bytes " + std::to_string(offset_) + "-" +
                                                              std::to_string(size - 1) + "/" +
                                                              std::to_string(size)});
        }
        if (behaviour_.mode_ == target_mode::truncated_body ||
            behaviour_.mode_ == target_mode::truncated_chunked_body) {
            truncation_offset_ = offset_ + (end_offset_ - offset_) / 2;
        }
        if (!behaviour_.chunked_ && behaviour_.mode_ != target_mode::truncated_chunked_body) {
            response.length_ = end_offset_ - offset_;
        }
        downloading_ = true;
        exchange_.send_head(response);
        continue_sending();
    }

    bool is_endless() const {
        return behaviour_.mode_ == target_mode::endless_body ||
               behaviour_.mode_ == target_mode::endless_error ||
               behaviour_.mode_ == target_mode::endless_valid_body;
    }

    void begin_endless_body() {
        net::http_response response;
        response.status_ = behaviour_.mode_ == target_mode::endless_error ? 500 : 200;
        response.headers_ = behaviour_.headers_;
        exchange_.send_head(response);
        exchange_.send_body(std::string(block_bytes, 'x'));
    }

    void continue_sending() {
        if (is_endless()) {
            exchange_.send_body(std::string(block_bytes, 'x'));
            return;
        }
        if (abort_after_send_) {
            exchange_.abort();
            return;
        }
        if (!downloading_) {
            return;
        }
        const std::uint64_t stop_offset = truncation_offset_ > 0 ? truncation_offset_ : end_offset_;
        const std::uint64_t count = std::min<std::uint64_t>(block_bytes, stop_offset - offset_);
        if (count > 0) {
            exchange_.send_body(download_bytes(request_.path_, offset_, count));
            offset_ += count;
            return;
        }
        downloading_ = false;
        if (truncation_offset_ > 0) {
            exchange_.abort();
        } else {
            exchange_.finish();
        }
    }

    target_stub& target_;
    net::http_exchange& exchange_;
    net::http_request request_;
    net::timer delay_;
    target_behaviour behaviour_;
    std::string body_;
    std::uint64_t offset_ = 0;
    std::uint64_t end_offset_ = 0;
    std::uint64_t truncation_offset_ = 0;
    bool downloading_ = false;
    bool abort_after_send_ = false;
};

target_stub::target_stub(std::string name, const base::address& address) : name_(std::move(name)) {
    thread_.run([&] {
        net::http_server_options options;
        options.checks_framing_ = false;
        options.address_ = address;
        server_ = std::move(net::http_server::create(
                                thread_.loop(), std::move(options),
                                [this](net::http_exchange& exchange, net::http_request request) {
                                    return std::make_unique<target_handler>(*this, exchange,
                                                                            std::move(request));
                                })
                                .value());
    });
}

target_stub::~target_stub() {
    // The handlers, which refer to this stub, are destroyed by deferred functions.
    thread_.run([&] {
        server_.reset();
        thread_.loop().run_deferred();
    });
}

void target_stub::set(target_behaviour behaviour) {
    const std::lock_guard lock(mutex_);
    behaviour_ = std::move(behaviour);
}

void target_stub::drain() {
    thread_.run([&] { server_->stop_listening(); });
}

std::map<std::string, int> target_stub::runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::size_t target_stub::total_runs() const {
    const std::lock_guard lock(mutex_);
    std::size_t total = 0;
    for (const auto& [id, count] : runs_) {
        total += static_cast<std::size_t>(count);
    }
    return total;
}

std::vector<base::instant> target_stub::run_times() const {
    const std::lock_guard lock(mutex_);
    return run_times_;
}

std::string target_stub::transcript() const {
    const std::lock_guard lock(mutex_);
    return transcript_;
}

void target_stub::record_run(const std::string& request_id) {
    const std::lock_guard lock(mutex_);
    ++runs_[request_id];
    run_times_.push_back(thread_.loop().clock().now());
}

void target_stub::record_text(const std::string& text) {
    const std::lock_guard lock(mutex_);
    transcript_ += text;
}

}  // namespace dandelionridge::support
