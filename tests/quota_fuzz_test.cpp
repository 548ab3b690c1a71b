// Random orders of events on the quota of one organisation in one zone, with an oracle: in every
// window the fleet admits at most the burst plus the rate times the window.
//
// Hosts hold lists of different versions, pause, lose their state, and are cut off; messages are
// lost, late, doubled and out of order.
#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "policy/quota_entry.h"
#include "policy/quota_owner.h"
#include "policy/quota_share.h"
#include "policy/zone_view.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

constexpr const char* organisation = "bends";
constexpr quota_share share{10.0, 5};
constexpr std::size_t host_count = 4;
constexpr base::duration step_time = base::milliseconds(50);

enum class message_kind { question, answer, request, grant, give_back };

struct message {
    message_kind kind_ = message_kind::question;
    std::size_t from_ = 0;
    std::size_t to_ = 0;
    base::instant asked_at_{};
    std::int64_t version_{};
    std::int64_t lease_{};
    std::int64_t tokens_{};
    std::vector<std::int64_t> finished_{};
};

struct host {
    std::string name_;
    base::instant paused_until_{};
    // Nothing of others comes or goes.
    base::instant cut_until_{};
    // No word of lists and versions comes in, but requests and grants do.
    base::instant deaf_until_{};
    std::size_t version_ = 0;
    zone_view view_;
    tenure tenure_;
    std::vector<list_epoch> epochs_;
    std::optional<quota_owner> owner_;
    quota_entry entry_;
};

class world {
public:
    world(std::uint64_t seed, quota_rules rules)
        : random_(seed), rules_(rules), steps_a_request_(2 + seed % 20) {
        lists_.push_back(names({0, 1, 2, 3}));
        for (std::size_t i = 0; i < host_count; ++i) {
            host fresh;
            fresh.name_ = "h" + std::to_string(i);
            hosts_.push_back(std::move(fresh));
            boot(i);
        }
    }

    // True if the oracle objects to the history.
    bool run() {
        constexpr int steps = 1500;
        for (int i = 0; i < steps; ++i) {
            now_ += step_time;
            if (chance(100)) {
                disturb();
            }
            for (std::size_t h = 0; h < hosts_.size(); ++h) {
                if (!paused(h)) {
                    live(h);
                }
            }
            deliver();
        }
        return over_admitted();
    }

    std::size_t admitted() const { return admitted_.size(); }

private:
    bool chance(std::uint64_t one_in) { return base::random_below(random_, one_in) == 0; }

    std::vector<std::string> names(const std::vector<std::size_t>& indices) const {
        std::vector<std::string> list;
        list.reserve(indices.size());
        for (const std::size_t index : indices) {
            list.push_back("h" + std::to_string(index));
        }
        return list;
    }

    base::instant some_time(std::uint64_t most_seconds) {
        return now_ + base::milliseconds(base::random_below(random_, most_seconds * 1000));
    }

    bool cut(std::size_t index) const { return now_ < hosts_[index].cut_until_; }
    bool deaf(std::size_t index) const { return now_ < hosts_[index].deaf_until_; }
    bool paused(std::size_t index) const { return now_ < hosts_[index].paused_until_; }

    // A host begins with nothing but the newest list.
    void boot(std::size_t index) {
        host& one = hosts_[index];
        one.view_ = {};
        one.view_.self_ = one.name_;
        one.tenure_ = {};
        one.epochs_.clear();
        one.owner_.reset();
        one.entry_ = {};
        adopt(one, lists_.size() - 1);
    }

    void adopt(host& one, std::size_t version) {
        one.version_ = version;
        set_members(one.view_, static_cast<std::int64_t>(version) + 1, lists_[version]);
        one.epochs_.push_back({now_, lists_[version]});
        if (!owned_since(organisation, one.name_, one.epochs_)) {
            one.owner_.reset();
        }
    }

    void disturb() {
        host& one = hosts_[base::random_below(random_, hosts_.size())];
        switch (base::random_below(random_, 6)) {
            case 0:
                one.paused_until_ = some_time(6);
                return;
            case 1:
                one.cut_until_ = some_time(15);
                return;
            case 2:
            case 3:
                one.deaf_until_ = some_time(20);
                return;
            case 4:
                boot(static_cast<std::size_t>(&one - hosts_.data()));
                return;
            default:
                change_list();
        }
    }

    // Some hosts leave the list, others come back.
    void change_list() {
        std::vector<std::size_t> kept;
        for (std::size_t i = 0; i < host_count; ++i) {
            if (!chance(3)) {
                kept.push_back(i);
            }
        }
        if (kept.empty()) {
            kept.push_back(0);
        }
        lists_.push_back(names(kept));
    }

    void live(std::size_t index) {
        host& one = hosts_[index];
        const bool newer = one.version_ + 1 < lists_.size();
        // The lists spread at random and with delay; a host that knows of a newer one fetches it.
        const auto seen = static_cast<std::size_t>(one.view_.newest_seen_);
        if (newer && !cut(index) && !deaf(index) &&
            (chance(40) || (seen > one.version_ + 1 && chance(4)))) {
            adopt(one, one.version_ + 1);
        }
        update_tenure(one.tenure_, {}, majority_agreed(one.view_, now_), now_);
        if (chance(8)) {
            question_all(index);
        }
        if (chance(steps_a_request_)) {
            want(index);
        }
        for (const held_lease& idle : take_idle(one.entry_, now_)) {
            message back{message_kind::give_back, index, owner_index(idle.owner_), now_};
            back.lease_ = idle.id_;
            back.tokens_ = idle.tokens_;
            send(back);
        }
    }

    static std::size_t owner_index(const std::string& name) {
        return static_cast<std::size_t>(name.back() - '0');
    }

    void question_all(std::size_t index) {
        for (std::size_t other = 0; other < hosts_.size(); ++other) {
            if (other != index) {
                send({message_kind::question, index, other, now_});
            }
        }
    }

    // A request comes to an entry: it uses a token, or asks the owner by its own list.
    void want(std::size_t index) {
        host& one = hosts_[index];
        note_demand(one.entry_, now_);
        if (use_token(one.entry_, now_)) {
            admitted_.push_back(now_);
            return;
        }
        const std::string owner = owner_of_share(organisation, lists_[one.version_]);
        message request{message_kind::request, index, owner_index(owner), now_};
        request.tokens_ = static_cast<std::int64_t>(base::random_below(random_, 4)) + 1;
        request.finished_ = take_finished(one.entry_, owner);
        send(request);
    }

    void send(const message& sent) {
        const bool to_itself = sent.from_ == sent.to_;
        const bool cut_off = cut(sent.from_) || cut(sent.to_);
        const bool of_lists =
            sent.kind_ == message_kind::question || sent.kind_ == message_kind::answer;
        const bool unheard = of_lists && deaf(sent.to_);
        const bool lost = !to_itself && (cut_off || unheard || chance(10));
        if (!lost) {
            messages_.push_back(sent);
        }
        if (chance(10)) {
            messages_.push_back(sent);
        }
    }

    // Delivers some messages, in any order, the others later.
    void deliver() {
        std::vector<message> waiting;
        waiting.swap(messages_);
        std::shuffle(waiting.begin(), waiting.end(), random_);
        for (const message& one : waiting) {
            if (paused(one.to_) || chance(5)) {
                messages_.push_back(one);
            } else {
                receive(one);
            }
        }
    }

    void receive(const message& got) {
        host& to = hosts_[got.to_];
        const auto own_version = static_cast<std::int64_t>(to.version_) + 1;
        switch (got.kind_) {
            case message_kind::question:
                send({message_kind::answer, got.to_, got.from_, got.asked_at_, own_version});
                return;
            case message_kind::answer:
                note_exchange(to.view_, hosts_[got.from_].name_, {got.asked_at_, got.version_});
                return;
            case message_kind::request:
                grant(to, got);
                return;
            case message_kind::grant:
                add_lease(to.entry_, hosts_[got.from_].name_, got.lease_, got.tokens_,
                          got.asked_at_ + quota_times{}.lease_, now_);
                return;
            case message_kind::give_back:
                if (to.owner_) {
                    return_lease(*to.owner_, got.lease_, got.tokens_, now_);
                }
        }
    }

    void grant(host& to, const message& got) {
        const auto since = owned_since(organisation, to.name_, to.epochs_);
        if (!since) {
            return;
        }
        if (!to.owner_) {
            to.owner_ = make_owner({}, rules_, share, *since);
        }
        for (const std::int64_t finished : got.finished_) {
            return_lease(*to.owner_, finished, 0, now_);
        }
        // A doubled request gets a lease of its own.
        const lease_offer offer = grant_lease(*to.owner_, to.tenure_, rules_, got.tokens_, now_);
        if (offer.tokens_ > 0) {
            message answer{message_kind::grant, got.to_, got.from_, got.asked_at_};
            answer.lease_ = offer.id_;
            answer.tokens_ = offer.tokens_;
            messages_.push_back(answer);
        }
    }

    bool over_admitted() const {
        for (std::size_t first = 0; first < admitted_.size(); ++first) {
            for (std::size_t last = first; last < admitted_.size(); ++last) {
                const std::chrono::duration<double> window = admitted_[last] - admitted_[first];
                const auto count = static_cast<double>(last - first + 1);
                if (count >
                    static_cast<double>(share.burst_) + share.rate_ * window.count() + 1e-6) {
                    return true;
                }
            }
        }
        return false;
    }

    base::random_engine random_;
    quota_rules rules_;
    std::uint64_t steps_a_request_;
    base::instant now_{base::seconds(1000)};
    std::vector<std::vector<std::string>> lists_;
    std::vector<host> hosts_;
    std::vector<message> messages_;
    std::vector<base::instant> admitted_;
};

constexpr std::uint64_t seeds = 300;

struct verdict {
    std::uint64_t first_fault_ = 0;
    std::size_t admitted_ = 0;
};

verdict run_all(quota_rules rules) {
    verdict found;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        world one(seed, rules);
        if (one.run() && found.first_fault_ == 0) {
            found.first_fault_ = seed;
        }
        found.admitted_ += one.admitted();
    }
    return found;
}

struct mutant {
    const char* name_;
    bool quota_rules::*rule_;
};

}  // namespace

TEST_CASE("no order of events admits more than burst plus rate times the window",
          "[promise-quota][fuzz]") {
    const verdict found = run_all({});
    CHECK(found.first_fault_ == 0);
    // The histories do admit requests, so that the oracle has something to judge.
    CHECK(found.admitted_ > seeds * 20);
}

TEST_CASE("each rule of the quota is needed", "[promise-quota][fuzz]") {
    const mutant mutants[] = {
        {"wait", &quota_rules::wait_},
        {"majority", &quota_rules::majority_},
        {"reserve", &quota_rules::reserve_},
    };
    for (const mutant& left_out : mutants) {
        quota_rules rules;
        rules.*left_out.rule_ = false;
        INFO("without the rule " << left_out.name_);
        CHECK(run_all(rules).first_fault_ != 0);
    }
}

TEST_CASE("the shares of all zones add up to the organisation's rate and burst", "[quota]") {
    const std::vector<std::string> zones = {"z1", "z2", "z3"};
    for (const std::int64_t burst : {1, 2, 3, 4, 5, 100}) {
        std::int64_t tokens = 0;
        double rate = 0;
        for (const std::string& zone : zones) {
            const quota_share part = share_of_zone("bends", 12.0, burst, zones, zone);
            tokens += part.burst_;
            rate += part.rate_;
        }
        CHECK(tokens == burst);
        CHECK(rate == Approx(12.0));
    }
}
