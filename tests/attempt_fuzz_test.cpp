// Random orders of events on the entry's and the guard's records of attempts, with an oracle: no
// attempt runs twice, and none that the entry believes not to have run has run or ever runs.
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
    resolve_request question_;
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

// One entry and one guard. Links lose frames only by being cut, but they may outlive their cut at
// one end, deliver late, and repeat a frame.
class world {
public:
    world(std::uint64_t seed, ledger_rules rules) : random_(seed) {
        ledger_.boot_ = 1;
        ledger_.capacity_ = 2;
        ledger_.rules_ = rules;
    }

    // Runs a history and returns what the oracle objects to, or an empty text.
    std::string run() {
        constexpr int steps = 120;
        for (int i = 0; i < steps && fault_.empty(); ++i) {
            step();
        }
        return fault_;
    }

private:
    struct link {
        std::deque<frame> to_guard_;
        std::deque<frame> to_entry_;
    };

    void step() {
        switch (base::random_below(random_, 14)) {
            case 0:
            case 1:
                open_link();
                return;
            case 2:
            case 3:
                write();
                return;
            case 4:
                mark_link_lost(entry_);
                return;
            case 5:
                if (base::random_below(random_, 4) == 0) {
                    restart_guard();
                }
                return;
            case 6:
            case 7:
                start_one();
                return;
            case 8:
                end_one();
                return;
            case 9:
            case 10:
                deliver_to_entry();
                return;
            default:
                deliver_to_guard();
        }
    }

    void open_link() {
        if (entry_.current_link_ || opening_) {
            opening_ = false;
            policy::mark_link_lost(entry_);
        }
        const std::int64_t number = allocate_link_number(entry_);
        opening_ = true;
        links_[number].to_guard_.push_back(hello_frame{});
    }

    void write() {
        if (!entry_.current_link_) {
            return;
        }
        const std::int64_t boot = entry_.current_link_->target_proxy_boot_;
        const auto attempt = register_attempt(entry_);
        links_[attempt->link_].to_guard_.push_back(begin_frame{*attempt, boot});
    }

    void restart_guard() {
        ledger_.caller_proxies_.clear();
        ledger_.ended_.clear();
        ++ledger_.boot_;
        queue_.clear();
        running_.clear();
    }

    void start_one() {
        if (queue_.empty()) {
            return;
        }
        const std::size_t index = base::random_below(random_, queue_.size());
        const ledger_key key = queue_[index];
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(index));
        if (base::random_below(random_, 4) == 0) {
            refuse_attempt(ledger_, key);
            answer(key, refused_frame{key.attempt_});
            return;
        }
        if (!start_attempt(ledger_, key)) {
            return;
        }
        if (++runs_[key.attempt_] > 1) {
            object("ran twice", key.attempt_);
        }
        if (said_not_run_.contains(key.attempt_)) {
            object("ran after 'not run'", key.attempt_);
        }
        running_.push_back(key);
    }

    void end_one() {
        if (running_.empty()) {
            return;
        }
        const ledger_key key = running_.front();
        running_.pop_front();
        end_attempt(ledger_, key);
        answer(key, done_frame{key.attempt_});
    }

    void answer(const ledger_key& key, frame what) {
        links_[key.attempt_.link_].to_entry_.push_back(std::move(what));
    }

    void object(const std::string& what, attempt_id attempt) {
        fault_ =
            what + ": " + std::to_string(attempt.link_) + "/" + std::to_string(attempt.sequence_);
    }

    std::int64_t some_link() {
        auto at = links_.begin();
        std::advance(at, base::random_below(random_, links_.size()));
        return at->first;
    }

    void deliver_to_guard() {
        if (links_.empty()) {
            return;
        }
        const std::int64_t number = some_link();
        auto& frames = links_[number].to_guard_;
        if (frames.empty()) {
            return;
        }
        const frame next = frames.front();
        // Now and then the same frame comes again.
        if (base::random_below(random_, 8) != 0) {
            frames.pop_front();
        }
        if (std::holds_alternative<hello_frame>(next)) {
            const bool accepted = accept_link(ledger_, caller_proxy_boot, number);
            links_[number].to_entry_.push_back(welcome_frame{ledger_.boot_, accepted});
        } else if (const auto* begin = std::get_if<begin_frame>(&next)) {
            on_begin(*begin);
        } else if (const auto* resolve = std::get_if<resolve_frame>(&next)) {
            on_resolve(number, resolve->question_);
        }
    }

    void on_begin(const begin_frame& begin) {
        const ledger_key key{caller_proxy_boot, begin.attempt_};
        if (admit_attempt(ledger_, key, begin.target_proxy_boot_) == admission::accepted) {
            queue_.push_back(key);
        }
    }

    void on_resolve(std::int64_t number, const resolve_request& question) {
        const link_resolution resolution =
            resolve_link(ledger_, caller_proxy_boot, question.link_, question.target_proxy_boot_,
                         question.sequences_);
        links_[number].to_entry_.push_back(resolution_frame{question.link_, resolution.statuses_});
    }

    void deliver_to_entry() {
        // The entry listens to its newest link only.
        if (entry_.last_link_ == 0) {
            return;
        }
        link& newest = links_[entry_.last_link_];
        if (newest.to_entry_.empty() || (!opening_ && !entry_.current_link_)) {
            return;
        }
        const frame next = newest.to_entry_.front();
        newest.to_entry_.pop_front();
        if (const auto* welcome = std::get_if<welcome_frame>(&next)) {
            on_welcome(newest, *welcome);
        } else if (const auto* refused = std::get_if<refused_frame>(&next)) {
            believe_not_run(refused->attempt_);
        } else if (const auto* done = std::get_if<done_frame>(&next)) {
            settle_attempt(entry_, done->attempt_);
        } else if (const auto* resolution = std::get_if<resolution_frame>(&next)) {
            for (const sequence_status& fate : resolution->statuses_) {
                if (fate.status_ == attempt_status::not_run) {
                    believe_not_run({resolution->link_, fate.sequence_});
                }
            }
        }
    }

    void on_welcome(link& newest, const welcome_frame& welcome) {
        if (!opening_ || !welcome.accepted_) {
            return;
        }
        opening_ = false;
        for (const resolve_request& question :
             confirm_link(entry_, welcome.target_proxy_boot_).resolve_requests_) {
            newest.to_guard_.push_back(resolve_frame{question});
        }
    }

    void believe_not_run(attempt_id attempt) {
        if (!settle_attempt(entry_, attempt)) {
            return;
        }
        said_not_run_.insert(attempt);
        if (runs_[attempt] > 0) {
            object("said 'not run' after it ran", attempt);
        }
    }

    static constexpr std::int64_t caller_proxy_boot = 77;

    base::random_engine random_;
    sent_attempts entry_;
    attempt_ledger ledger_;
    bool opening_ = false;
    std::map<std::int64_t, link> links_;
    std::deque<ledger_key> queue_;
    std::deque<ledger_key> running_;
    std::map<attempt_id, int> runs_;
    std::set<attempt_id> said_not_run_;
    std::string fault_;
};

constexpr std::uint64_t seeds = 20'000;

// The first seed to whose history the oracle objects, with the objection, or an empty text.
std::string first_fault(ledger_rules rules) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const std::string fault = world(seed, rules).run();
        if (!fault.empty()) {
            return "seed " + std::to_string(seed) + ": " + fault;
        }
    }
    return "";
}

struct mutant {
    const char* name_;
    bool ledger_rules::*rule_;
};

}  // namespace

TEST_CASE("no order of events runs an attempt twice or after 'not run'", "[attempt][fuzz]") {
    CHECK_THAT(first_fault({}), Catch::Equals(""));
}

TEST_CASE("each rule of the ledger is needed", "[attempt][fuzz]") {
    const mutant mutants[] = {
        {"boot", &ledger_rules::boot_},         {"bar", &ledger_rules::bar_},
        {"withdraw", &ledger_rules::withdraw_}, {"once", &ledger_rules::once_},
        {"keep", &ledger_rules::keep_},
    };
    for (const mutant& left_out : mutants) {
        ledger_rules rules;
        rules.*left_out.rule_ = false;
        INFO("without the rule " << left_out.name_);
        CHECK_THAT(first_fault(rules), !Catch::Equals(""));
    }
}

TEST_CASE("an attempt of a forgotten entry has an unknown fate", "[attempt]") {
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
    const std::int64_t asked[] = {1};
    CHECK(resolve_link(ledger, 77, 1, 1, asked).statuses_.front().status_ ==
          attempt_status::unknown);
    // Eviction of what was forgotten brings no record back.
    evict_caller_proxy(ledger, 77);
    for (std::int64_t i = 1; i <= 20; ++i) {
        const ledger_key other{78, {1, i}};
        admit_attempt(ledger, other, 1);
        start_attempt(ledger, other);
        end_attempt(ledger, other);
    }
    CHECK_FALSE(ledger.caller_proxies_.contains(77));
}
