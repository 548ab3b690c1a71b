// Random sequences of events on the records of attempts that a caller proxy and a target proxy
// keep, with an oracle: no attempt runs twice, and no attempt that the caller proxy settles as not
// run has run or ever runs.
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>

#include "base/random.h"
#include "policy/attempt_ledger.h"
#include "policy/sent_attempts.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

struct hello_frame {};
struct begin_frame {
    attempt_id attempt_;
    std::int64_t target_proxy_boot_ = 0;
};
struct resolve_frame {
    resolve_request request_;
};
struct welcome_frame {
    std::int64_t target_proxy_boot_ = 0;
    bool accepted_ = false;
};
struct refused_frame {
    attempt_id attempt_;
};
struct done_frame {
    attempt_id attempt_;
};
struct resolution_frame {
    std::int64_t link_ = 0;
    std::vector<sequence_status> statuses_;
};
using frame = std::variant<hello_frame, begin_frame, resolve_frame, welcome_frame, refused_frame,
                           done_frame, resolution_frame>;

// One caller proxy and one target proxy. Links lose frames only when they break, but one end may
// keep using a link after the other has given it up. Links may deliver late and repeat a frame.
class simulation {
public:
    simulation(std::uint64_t seed, ledger_rules rules) : random_(seed) {
        ledger_.boot_ = 1;
        ledger_.capacity_ = 2;
        ledger_.rules_ = rules;
    }

    // Runs a random sequence of events and returns the violation that the oracle found, or an empty
    // string.
    std::string run() {
        constexpr int steps = 120;
        for (int i = 0; i < steps && violation_.empty(); ++i) {
            step();
        }
        return violation_;
    }

private:
    struct link {
        std::deque<frame> to_target_proxy_;
        std::deque<frame> to_caller_proxy_;
    };

    void step() {
        switch (base::random_below(random_, 14)) {
            case 0:
            case 1:
                open_link();
                return;
            case 2:
            case 3:
                send_attempt();
                return;
            case 4:
                mark_link_lost(caller_proxy_);
                return;
            case 5:
                if (base::random_below(random_, 4) == 0) {
                    restart_target_proxy();
                }
                return;
            case 6:
            case 7:
                start_queued_attempt();
                return;
            case 8:
                end_running_attempt();
                return;
            case 9:
            case 10:
                deliver_to_caller_proxy();
                return;
            default:
                deliver_to_target_proxy();
        }
    }

    void open_link() {
        if (caller_proxy_.current_link_ || opening_) {
            opening_ = false;
            policy::mark_link_lost(caller_proxy_);
        }
        const std::int64_t number = allocate_link_number(caller_proxy_);
        opening_ = true;
        links_[number].to_target_proxy_.push_back(hello_frame{});
    }

    void send_attempt() {
        if (!caller_proxy_.current_link_) {
            return;
        }
        const std::int64_t boot = caller_proxy_.current_link_->target_proxy_boot_;
        const auto attempt = register_attempt(caller_proxy_);
        links_[attempt->link_].to_target_proxy_.push_back(begin_frame{*attempt, boot});
    }

    void restart_target_proxy() {
        ledger_.caller_proxies_.clear();
        ledger_.ended_.clear();
        ++ledger_.boot_;
        queue_.clear();
        running_.clear();
    }

    void start_queued_attempt() {
        if (queue_.empty()) {
            return;
        }
        const std::size_t index = base::random_below(random_, queue_.size());
        const ledger_key key = queue_[index];
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(index));
        if (base::random_below(random_, 4) == 0) {
            refuse_attempt(ledger_, key);
            send_to_caller_proxy(key, refused_frame{key.attempt_});
            return;
        }
        if (!start_attempt(ledger_, key)) {
            return;
        }
        if (++runs_[key.attempt_] > 1) {
            report_violation("ran twice", key.attempt_);
        }
        if (reported_not_run_.contains(key.attempt_)) {
            report_violation("ran after its status was not_run", key.attempt_);
        }
        running_.push_back(key);
    }

    void end_running_attempt() {
        if (running_.empty()) {
            return;
        }
        const ledger_key key = running_.front();
        running_.pop_front();
        end_attempt(ledger_, key);
        send_to_caller_proxy(key, done_frame{key.attempt_});
    }

    void send_to_caller_proxy(const ledger_key& key, frame reply) {
        links_[key.attempt_.link_].to_caller_proxy_.push_back(std::move(reply));
    }

    void report_violation(const std::string& description, attempt_id attempt) {
        violation_ = description + ": " + std::to_string(attempt.link_) + "/" +
                     std::to_string(attempt.sequence_);
    }

    std::int64_t random_link() {
        auto it = links_.begin();
        std::advance(it, base::random_below(random_, links_.size()));
        return it->first;
    }

    void deliver_to_target_proxy() {
        if (links_.empty()) {
            return;
        }
        const std::int64_t number = random_link();
        auto& frames = links_[number].to_target_proxy_;
        if (frames.empty()) {
            return;
        }
        const frame next = frames.front();
        // One frame in eight is delivered again.
        if (base::random_below(random_, 8) != 0) {
            frames.pop_front();
        }
        if (std::holds_alternative<hello_frame>(next)) {
            const bool accepted = accept_link(ledger_, caller_proxy_boot, number);
            links_[number].to_caller_proxy_.push_back(welcome_frame{ledger_.boot_, accepted});
        } else if (const auto* begin = std::get_if<begin_frame>(&next)) {
            on_begin(*begin);
        } else if (const auto* resolve = std::get_if<resolve_frame>(&next)) {
            on_resolve(number, resolve->request_);
        }
    }

    void on_begin(const begin_frame& begin) {
        const ledger_key key{caller_proxy_boot, begin.attempt_};
        if (admit_attempt(ledger_, key, begin.target_proxy_boot_) == admission::accepted) {
            queue_.push_back(key);
        }
    }

    void on_resolve(std::int64_t number, const resolve_request& request) {
        const link_resolution resolution =
            resolve_link(ledger_, caller_proxy_boot, request.link_, request.target_proxy_boot_,
                         request.sequences_);
        links_[number].to_caller_proxy_.push_back(
            resolution_frame{request.link_, resolution.statuses_});
    }

    void deliver_to_caller_proxy() {
        // The caller proxy reads from its newest link only.
        if (caller_proxy_.last_link_ == 0) {
            return;
        }
        link& newest = links_[caller_proxy_.last_link_];
        if (newest.to_caller_proxy_.empty() || (!opening_ && !caller_proxy_.current_link_)) {
            return;
        }
        const frame next = newest.to_caller_proxy_.front();
        newest.to_caller_proxy_.pop_front();
        if (const auto* welcome = std::get_if<welcome_frame>(&next)) {
            on_welcome(newest, *welcome);
        } else if (const auto* refused = std::get_if<refused_frame>(&next)) {
            settle_as_not_run(refused->attempt_);
        } else if (const auto* done = std::get_if<done_frame>(&next)) {
            settle_attempt(caller_proxy_, done->attempt_);
        } else if (const auto* resolution = std::get_if<resolution_frame>(&next)) {
            for (const sequence_status& status : resolution->statuses_) {
                const attempt_id attempt{resolution->link_, status.sequence_};
                if (status.status_ == attempt_status::not_run) {
                    settle_as_not_run(attempt);
                } else if (status.status_ != attempt_status::unknown) {
                    record_response_expected(caller_proxy_, attempt);
                }
            }
        }
    }

    void on_welcome(link& newest, const welcome_frame& welcome) {
        if (!opening_ || !welcome.accepted_) {
            return;
        }
        opening_ = false;
        for (const resolve_request& request :
             confirm_link(caller_proxy_, welcome.target_proxy_boot_).resolve_requests_) {
            newest.to_target_proxy_.push_back(resolve_frame{request});
        }
    }

    void settle_as_not_run(attempt_id attempt) {
        if (!settle_attempt(caller_proxy_, attempt)) {
            return;
        }
        reported_not_run_.insert(attempt);
        if (runs_[attempt] > 0) {
            report_violation("status is not_run after it ran", attempt);
        }
    }

    static constexpr std::int64_t caller_proxy_boot = 77;

    base::random_engine random_;
    sent_attempts caller_proxy_;
    attempt_ledger ledger_;
    bool opening_ = false;
    std::map<std::int64_t, link> links_;
    std::deque<ledger_key> queue_;
    std::deque<ledger_key> running_;
    std::map<attempt_id, int> runs_;
    std::set<attempt_id> reported_not_run_;
    std::string violation_;
};

constexpr std::uint64_t seed_count = 20'000;

// Returns the first seed for which the oracle finds a violation, with that violation, or an empty
// string.
std::string first_violation(ledger_rules rules) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        const std::string violation = simulation(seed, rules).run();
        if (!violation.empty()) {
            return "seed " + std::to_string(seed) + ": " + violation;
        }
    }
    return "";
}

struct omitted_rule {
    const char* name_;
    bool ledger_rules::*rule_;
};

}  // namespace

TEST_CASE("no sequence of events runs an attempt twice or after its status was not_run",
          "[attempt][fuzz]") {
    CHECK_THAT(first_violation({}), Catch::Equals(""));
}

TEST_CASE("the oracle finds a violation if any one rule of the ledger is omitted",
          "[attempt][fuzz]") {
    const omitted_rule omitted_rules[] = {
        {"boot", &ledger_rules::boot_},         {"bar", &ledger_rules::bar_},
        {"withdraw", &ledger_rules::withdraw_}, {"once", &ledger_rules::once_},
        {"keep", &ledger_rules::keep_},
    };
    for (const omitted_rule& omitted : omitted_rules) {
        ledger_rules rules;
        rules.*omitted.rule_ = false;
        INFO("without the rule " << omitted.name_);
        CHECK_THAT(first_violation(rules), !Catch::Equals(""));
    }
}

TEST_CASE("an attempt of an evicted caller proxy has an unknown status", "[attempt]") {
    attempt_ledger ledger;
    ledger.boot_ = 1;
    ledger.capacity_ = 10;
    const ledger_key ran{77, {1, 1}};
    REQUIRE(accept_link(ledger, 77, 1));
    REQUIRE(admit_attempt(ledger, ran, 1) == admission::accepted);
    REQUIRE(start_attempt(ledger, ran));
    end_attempt(ledger, ran);
    evict_caller_proxy(ledger, 77);
    CHECK(ledger.caller_proxies_.empty());
    REQUIRE(accept_link(ledger, 77, 2));
    const std::int64_t queried[] = {1};
    CHECK(resolve_link(ledger, 77, 1, 1, queried).statuses_.front().status_ ==
          attempt_status::unknown);
    // The eviction of ended attempts does not create a record for an evicted caller proxy again.
    evict_caller_proxy(ledger, 77);
    for (std::int64_t i = 1; i <= 20; ++i) {
        const ledger_key other{78, {1, i}};
        admit_attempt(ledger, other, 1);
        start_attempt(ledger, other);
        end_attempt(ledger, other);
    }
    CHECK_FALSE(ledger.caller_proxies_.contains(77));
}
