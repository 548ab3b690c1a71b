#include "support/traffic.h"

#include "base/hash.h"

namespace dandelionridge::support {

namespace {

constexpr std::uint64_t kinds = 3;

}  // namespace

traffic::traffic(fleet& fleet, traffic_plan plan) : fleet_(fleet), plan_(std::move(plan)) {
    const std::size_t callers = plan_.keys_.size() * plan_.entries_.size();
    threads_.reserve(callers);
    for (std::size_t number = 0; number < callers; ++number) {
        threads_.emplace_back([this, number] { run(number); });
    }
}

traffic::~traffic() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void traffic::run(std::size_t number) {
    caller caller;
    std::size_t entry = number % plan_.entries_.size();
    for (std::uint64_t turn = 0; !stopped_; ++turn) {
        send_one(caller, number, turn, entry);
    }
}

void traffic::send_one(caller& caller, std::size_t number, std::uint64_t turn, std::size_t& entry) {
    const std::string id = "c" + std::to_string(number) + "-" + std::to_string(turn);
    const std::string& key = plan_.keys_[number / plan_.entries_.size()];
    caller_request request;
    request.headers_ = {"Authorization: Bearer " + key, "X-Request-Id: " + id};
    sent_post post;
    std::string path;
    std::string expected;
    const std::uint64_t kind = turn % kinds;
    if (kind == 0 && !plan_.read_service_.empty()) {
        path = "/" + plan_.read_service_ + "/" + id;
        expected = "GET " + path + " ";
    } else if (kind == 1 && !plan_.post_service_.empty()) {
        path = "/" + plan_.post_service_ + "/" + id;
        request.method_ = "POST";
        request.body_ = "booking " + id;
        expected = "POST " + path + " " + base::sha256_hex(*request.body_);
        post.id_ = id;
    } else if (kind == 2 && !plan_.download_service_.empty()) {
        path = "/" + plan_.download_service_ + "/" + id +
               "?bytes=" + std::to_string(plan_.download_bytes_);
    } else {
        return;
    }
    request.url_ = fleet_.callers_of(plan_.entries_[entry]) + path;
    const caller_answer answer = caller.send(request);
    if (answer.not_connected_) {
        entry = (entry + 1) % plan_.entries_.size();
        return;
    }
    if (expected.empty()) {
        expected = download_bytes(path, 0, plan_.download_bytes_);
    }
    judge(answer, post, expected, id + " at " + plan_.entries_[entry]);
}

void traffic::judge(const caller_answer& answer, const sent_post& post, const std::string& expected,
                    const std::string& what) {
    const std::lock_guard lock(mutex_);
    ++requests_;
    ++counts_.requests_;
    sent_post judged = post;
    if (answer.outcome() == "not_run") {
        ++counts_.not_run_;
        judged.said_not_run_ = true;
    } else if (!answer.whole_ || answer.outcome() == "unknown") {
        ++counts_.unknown_;
    } else if (answer.status_ == 200 && answer.body_.find(expected) != std::string::npos) {
        ++counts_.whole_;
        judged.whole_ = true;
    } else {
        ++counts_.wrong_;
        complaints_.push_back(what + ": status " + std::to_string(answer.status_) + ", body of " +
                              std::to_string(answer.body_.size()) + " bytes");
    }
    if (!judged.id_.empty()) {
        posts_.push_back(judged);
    }
}

traffic_counts traffic::finish() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
        thread.join();
    }
    threads_.clear();
    std::map<std::string, int> all_runs = fleet_.all_runs();
    for (const sent_post& post : posts_) {
        const int runs = all_runs[post.id_];
        if (runs > 1) {
            ++counts_.doubled_;
            complaints_.push_back(post.id_ + " ran " + std::to_string(runs) + " times");
        }
        if ((post.said_not_run_ && runs > 0) || (post.whole_ && runs == 0)) {
            ++counts_.wrong_;
            complaints_.push_back(post.id_ + " ran " + std::to_string(runs) +
                                  " times, against what its caller was told");
        }
    }
    return counts_;
}

std::vector<std::string> traffic::complaints() const {
    const std::lock_guard lock(mutex_);
    return complaints_;
}

}  // namespace dandelionridge::support
