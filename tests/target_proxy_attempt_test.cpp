// One attempt in the target proxy, with a mock of its owner and a target that a thread plays.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "node/target_proxy_attempt.h"

using namespace dandelionridge;

namespace {

const std::string whole_response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

struct parsed_request {
    std::string body_;
    bool whole_ = false;
};

parsed_request parse_request(const std::string& text) {
    struct body_reader final : public net::http_reader_events {
        void on_request_head(net::http_request&& /*request*/) override {}
        void on_response_head(net::http_response&& /*response*/) override {}
        void on_body_bytes(std::string_view bytes) override { body_ += bytes; }

        std::string body_;
    };
    body_reader body;
    const auto reader = net::make_request_reader(body, {});
    reader->read(text);
    return {body.body_, reader->state() == net::read_state::done};
}

// A target with two connections. The first serves one request, and is reset once the test says so.
// The second serves one request, which the test can read.
class resetting_target {
public:
    resetting_target() {
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* endpoint = reinterpret_cast<sockaddr*>(&address);
        socklen_t length = sizeof(address);
        REQUIRE(bind(listener_, endpoint, length) == 0);
        REQUIRE(listen(listener_, 2) == 0);
        getsockname(listener_, endpoint, &length);
        address_ = {"127.0.0.1", ntohs(address.sin_port)};
        thread_ = std::thread([this] { serve(); });
    }
    resetting_target(const resetting_target&) = delete;
    resetting_target& operator=(const resetting_target&) = delete;
    ~resetting_target() {
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }

    const base::address& address() const { return address_; }

    // Resets the first connection. Returns when that is done.
    void reset_first_connection() {
        reset_requested_.set_value();
        reset_done_.get_future().wait();
    }

    // Returns what the second connection received, up to the end of the request.
    std::string second_request() { return second_request_.get_future().get(); }

private:
    // Reads one request, or what the peer sends of it before it closes the connection.
    static std::string read_request(int fd) {
        std::string text;
        char buffer[4096];
        while (!parse_request(text).whole_) {
            const ssize_t count = read(fd, buffer, sizeof(buffer));
            if (count <= 0) {
                break;
            }
            text.append(buffer, static_cast<std::size_t>(count));
        }
        return text;
    }

    static void respond(int fd) {
        send(fd, whole_response.data(), whole_response.size(), MSG_NOSIGNAL);
    }

    void serve() {
        const int first = accept(listener_, nullptr, nullptr);
        read_request(first);
        respond(first);
        reset_requested_.get_future().wait();
        const linger no_linger{1, 0};
        setsockopt(first, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
        close(first);
        reset_done_.set_value();
        const int second = accept(listener_, nullptr, nullptr);
        if (second < 0) {
            second_request_.set_value("");
            return;
        }
        second_request_.set_value(read_request(second));
        respond(second);
        close(second);
    }

    int listener_ = -1;
    base::address address_;
    std::promise<void> reset_requested_;
    std::promise<void> reset_done_;
    std::promise<std::string> second_request_;
    std::thread thread_;
};

// Records what the attempt reports.
class owner_mock final : public node::target_proxy_attempt_owner {
public:
    void send_to_caller_proxy(const node::target_proxy_attempt& /*attempt*/,
                              const wire::frame& frame) override {
        frames_.push_back(frame);
    }
    void on_target_response(const node::target_proxy_attempt& /*attempt*/,
                            const net::http_response& /*response*/) override {}
    void on_run_ended(node::target_proxy_attempt& /*attempt*/,
                      node::attempt_result result) override {
        result_ = result;
    }
    void on_wait_expired(node::target_proxy_attempt& /*attempt*/) override {}
    void on_connection_dropped(const node::target_proxy_attempt& /*attempt*/,
                               base::duration /*idle_time*/) override {}
    wire::target_report make_report_for(const node::target_proxy_attempt& /*attempt*/) override {
        return {};
    }

    std::vector<wire::frame> frames_;
    // How the last run ended; not set while one is in progress.
    std::optional<node::attempt_result> result_;
};

wire::attempt_begin make_begin(const std::string& method) {
    wire::attempt_begin begin;
    begin.method = method;
    begin.path = "/x";
    begin.deadline_ms = 20'000;
    return begin;
}

wire::body_part make_part(const std::string& bytes, bool last) {
    wire::body_part part;
    part.bytes = bytes;
    part.last = last;
    return part;
}

// A fleet's side of one target: the loop, the owner of its attempts, and the pool.
struct target_side {
    explicit target_side(const base::address& target)
        : loop_(std::move(net::event_loop::create(clock_).value())), pool_(*loop_, target, {}) {}

    // Leaves an idle connection in the pool.
    void run_first_request() {
        node::target_proxy_attempt attempt(*loop_, owner_, headers_, {}, make_begin("GET"));
        attempt.run(pool_, base::seconds(60));
        wait_for_end();
        REQUIRE(owner_.result_ == node::attempt_result::responded);
        REQUIRE(pool_.idle() == 1);
        owner_.result_.reset();
    }

    // Processes events until a run has ended, at most for five seconds.
    void wait_for_end() {
        bool timed_out = false;
        net::timer give_up(*loop_);
        give_up.start(base::seconds(5), [&] { timed_out = true; });
        while (!owner_.result_ && !timed_out) {
            loop_->run_once();
        }
    }

    const base::runtime_clock clock_;
    const config::header_policy headers_;
    std::unique_ptr<net::event_loop> loop_;
    owner_mock owner_;
    net::http_client_pool pool_;
};

}  // namespace

// Guards against: an order was run with an empty body, because its kept connection was reset before
// a byte was written and only the head and the end of the body went out on the next one (UNASKED).
TEST_CASE("a request that goes out on a second connection has its whole body", "[node]") {
    struct body_case {
        const char* name_;
        std::vector<std::string> parts_before_run_;
        std::vector<std::string> parts_after_run_;
    };
    const std::vector<body_case> cases = {
        {"whole before the run", {"first,last"}, {}},
        {"one part before the run", {"first,"}, {"last"}},
        {"all parts after the start of the run", {}, {"first,", "last"}},
    };
    const std::string body = "first,last";
    const body_case test_case = GENERATE_COPY(from_range(cases));
    const bool chunked = GENERATE(false, true);
    INFO(test_case.name_ << (chunked ? ", in chunks" : ", by length"));
    resetting_target target;
    target_side side(target.address());
    side.run_first_request();

    wire::attempt_begin begin = make_begin("POST");
    begin.chunked_body = chunked;
    if (!chunked) {
        begin.__set_body_length(static_cast<std::int64_t>(body.size()));
    }
    node::target_proxy_attempt attempt(*side.loop_, side.owner_, side.headers_, {}, begin);
    std::size_t delivered = 0;
    const auto deliver = [&](const std::vector<std::string>& parts) {
        for (const std::string& part : parts) {
            delivered += part.size();
            attempt.on_request_body(make_part(part, delivered == body.size()));
        }
    };
    deliver(test_case.parts_before_run_);
    attempt.run(side.pool_, base::seconds(60));
    deliver(test_case.parts_after_run_);
    target.reset_first_connection();
    side.wait_for_end();
    const std::optional<node::attempt_result> result = side.owner_.result_;
    attempt.cancel();
    const parsed_request request = parse_request(target.second_request());
    CHECK(request.whole_);
    CHECK(request.body_ == body);
    CHECK(result == node::attempt_result::responded);
}
