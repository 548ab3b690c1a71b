// Hosts that lend each other what their shares of the retry budget allow, without network.
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "control/retry_loans.h"
#include "policy/retry.h"

using namespace dandelionridge;

namespace {

const std::string service = "catalogue";
constexpr base::duration tick_interval = base::milliseconds(50);
// Longer than a lender may take to reply.
constexpr base::duration no_reply_time = base::milliseconds(200);

std::string host_name(std::size_t index) {
    return "h" + std::to_string(index);
}

std::vector<std::string> host_lines(std::size_t count) {
    std::vector<std::string> lines;
    lines.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        lines.push_back(R"({"host":")" + host_name(i) +
                        R"(","zone":"z1","address":"10.0.0.1:1","state":"live","targets":[]})");
    }
    return lines;
}

// Keeps the frames that are sent.
class recording_peers final : public control::peer_sender {
public:
    void send(const std::string& host, const wire::frame& frame) override {
        sent_.emplace_back(host, frame);
    }
    bool reachable(const std::string& host) const override { return host != unreachable_; }
    bool absent(const std::string& /*host*/) const override { return false; }

    std::vector<std::pair<std::string, wire::frame>> sent_;
    std::string unreachable_;
};

class recording_listener final : public control::retry_loan_listener {
public:
    void on_retry_lent() override { ++lent_; }
    void on_no_retry_lent() override { ++not_lent_; }

    int lent_ = 0;
    int not_lent_ = 0;
};

// The first of several hosts, whose peers reply as the test says.
class borrowing_host {
public:
    explicit borrowing_host(std::size_t hosts)
        : loans_(clock_, configuration_, peers_, host_name(0), base::random_engine(1)) {
        clock_.pause();
        configuration_.offer_lines(control::config_value_kind::hosts, 1, host_lines(hosts));
    }

    void run(base::duration time) {
        for (base::duration passed{}; passed < time; passed += tick_interval) {
            clock_.advance(tick_interval);
            loans_.tick();
        }
    }

    void reply_to_last(bool granted) {
        wire::retry_loan reply;
        reply.request = peers_.sent_.back().second.retry_loan_request_.request;
        reply.granted = granted;
        loans_.on_reply(reply);
    }

    base::runtime_clock clock_;
    control::configuration configuration_;
    recording_peers peers_;
    recording_listener listener_;
    control::retry_loans loans_;
};

class fleet;

// A host with its share of the retry budget, which asks and lends within a simulated fleet.
class budget_host final : public control::peer_sender, public control::retry_lender {
public:
    budget_host(fleet& fleet, std::size_t index);

    void send(const std::string& host, const wire::frame& frame) override;
    bool reachable(const std::string& /*host*/) const override { return true; }
    bool absent(const std::string& /*host*/) const override { return false; }
    bool lend_retry(const std::string& /*service*/) override;

    policy::retry_limits limits() const;

    fleet& fleet_;
    double rounding_;
    policy::retry_budget budget_;
    control::retry_loans loans_;
};

constexpr double retry_ratio = 0.1;
constexpr double retry_slack = 200;
constexpr base::duration window = base::seconds(10);

class fleet {
public:
    explicit fleet(std::size_t count) {
        clock_.pause();
        configuration_.offer_lines(control::config_value_kind::hosts, 1, host_lines(count));
        for (std::size_t i = 0; i < count; ++i) {
            hosts_.push_back(std::make_unique<budget_host>(*this, i));
        }
    }

    base::runtime_clock clock_;
    control::configuration configuration_;
    std::vector<std::unique_ptr<budget_host>> hosts_;
};

double rounding_of(std::size_t index) {
    constexpr std::uint64_t steps = 1000;
    base::random_engine random(index);
    return static_cast<double>(base::random_below(random, steps)) / steps;
}

budget_host::budget_host(fleet& fleet, std::size_t index)
    : fleet_(fleet),
      rounding_(rounding_of(index)),
      loans_(fleet.clock_, fleet.configuration_, *this, host_name(index),
             base::random_engine(index)) {}

policy::retry_limits budget_host::limits() const {
    return {retry_ratio, retry_slack / static_cast<double>(fleet_.hosts_.size()), window,
            rounding_};
}

// Delivers a request and its reply at once.
void budget_host::send(const std::string& host, const wire::frame& frame) {
    budget_host& lender = *fleet_.hosts_.at(std::stoul(host.substr(1)));
    loans_.on_reply(control::retry_loans::on_request(frame.retry_loan_request_, lender));
}

bool budget_host::lend_retry(const std::string& /*service*/) {
    return policy::claim_retry(budget_, limits(), 1, fleet_.clock_.now());
}

// Requests come to random hosts, and one in ten needs a retry. Returns the share of these that got
// one, and checks that the fleet stays within its budget.
double served_share(std::size_t host_count, bool borrow) {
    constexpr int requests = 2000;
    constexpr int requests_per_failure = 10;
    constexpr base::duration request_interval = window / requests;
    fleet fleet(host_count);
    base::random_engine random(7);
    int failures = 0;
    int retries = 0;
    for (int i = 0; i < requests; ++i) {
        fleet.clock_.advance(request_interval);
        const base::instant now = fleet.clock_.now();
        budget_host& host = *fleet.hosts_[base::random_below(random, host_count)];
        policy::record_request(host.budget_, host.limits(), 0, now);
        if (base::random_below(random, requests_per_failure) != 0) {
            continue;
        }
        ++failures;
        recording_listener listener;
        bool retried = policy::claim_retry(host.budget_, host.limits(), 1, now);
        if (!retried && borrow) {
            host.loans_.request(service, listener);
            retried = listener.lent_ == 1;
        }
        retries += retried ? 1 : 0;
    }
    CHECK(retries <= retry_ratio * requests + retry_slack);
    return static_cast<double>(retries) / failures;
}

}  // namespace

// Guards against: reads fail in a large fleet although most of its retry budget is unused, because
// each host's share allows less than the few failures that happen to come to it.
TEST_CASE("requests of a large fleet are retried while the fleet's budget lasts") {
    CHECK(served_share(234, false) < 0.9);
    CHECK(served_share(234, true) > 0.99);
}

// Guards against: borrowed retries exceed the fleet's budget.
TEST_CASE("hosts that lend retries together keep the fleet's budget") {
    constexpr std::size_t hosts = 40;
    fleet fleet(hosts);
    int lent = 0;
    for (int i = 0; i < 1000; ++i) {
        recording_listener listener;
        fleet.hosts_[static_cast<std::size_t>(i) % hosts]->loans_.request(service, listener);
        lent += listener.lent_;
    }
    CHECK(lent > 0);
    CHECK(lent <= retry_slack);
}

// Guards against: a request waits for a host that has no retry left, or is ended although another
// host has one.
TEST_CASE("a retry that one host denies is requested from another one") {
    borrowing_host host(4);
    REQUIRE(host.loans_.request(service, host.listener_));
    const std::string first = host.peers_.sent_.back().first;
    host.reply_to_last(false);
    CHECK(host.listener_.not_lent_ == 0);
    CHECK(host.peers_.sent_.back().first != first);
    host.reply_to_last(true);
    CHECK(host.listener_.lent_ == 1);
}

// Guards against: a request hangs because the host that it asked is frozen.
TEST_CASE("a host that does not reply is replaced by another one") {
    borrowing_host host(4);
    REQUIRE(host.loans_.request(service, host.listener_));
    const std::string first = host.peers_.sent_.back().first;
    host.run(no_reply_time);
    CHECK(host.peers_.sent_.back().first != first);
    host.reply_to_last(true);
    CHECK(host.listener_.lent_ == 1);
}

// Guards against: a request without any lender is never ended.
TEST_CASE("a request ends once enough hosts have denied a retry or not replied") {
    borrowing_host host(20);
    REQUIRE(host.loans_.request(service, host.listener_));
    host.reply_to_last(false);
    host.run(10 * no_reply_time);
    CHECK(host.listener_.not_lent_ == 1);
    CHECK(host.listener_.lent_ == 0);
}

// Guards against: a late reply starts a retry of a request that has ended.
TEST_CASE("a reply that comes late or after a cancellation has no effect") {
    borrowing_host host(20);
    REQUIRE(host.loans_.request(service, host.listener_));
    const wire::frame first = host.peers_.sent_.back().second;
    host.run(no_reply_time);
    wire::retry_loan late;
    late.request = first.retry_loan_request_.request;
    late.granted = true;
    host.loans_.on_reply(late);
    CHECK(host.listener_.lent_ == 0);
    host.loans_.cancel(host.listener_);
    host.reply_to_last(true);
    CHECK(host.listener_.lent_ == 0);
}

// Guards against: a single host, or one that reaches no other, waits for a lender.
TEST_CASE("without a reachable host there is no lender") {
    borrowing_host alone(1);
    CHECK_FALSE(alone.loans_.request(service, alone.listener_));
    borrowing_host cut_off(2);
    cut_off.peers_.unreachable_ = host_name(1);
    CHECK_FALSE(cut_off.loans_.request(service, cut_off.listener_));
}
