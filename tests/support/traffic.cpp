#include "support/traffic.h"

#include "base/hash.h"

namespace dandelionridge::support {

namespace {

constexpr std::uint64_t kinds = 3;

}  // namespace

traffic::traffic(fleet& fleet, traffic_plan plan) : fleet_(fleet), plan_(std::move(plan)) {
    const std::size_t callers = plan_.keys_.size() * plan_.caller_proxies_.size();
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
    std::size_t entry = number % plan_.caller_proxies_.size();
    for (std::uint64_t turn = 0; !stopped_; ++turn) {
        send_one(caller, number, turn, entry);
    }
}

void traffic::send_one(caller& caller, std::size_t number, std::uint64_t turn,
                       std::size_t& caller_proxy) {
    const std::string id = "c" + std::to_string(number) + "-" + std::to_string(turn);
    const std::string& key = plan_.keys_[number / plan_.caller_proxies_.size()];
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
    request.url_ = fleet_.caller_address_of(plan_.caller_proxies_[caller_proxy]) + path;
    const caller_response answer = caller.send(request);
    if (answer.connect_failed_) {
        caller_proxy = (caller_proxy + 1) % plan_.caller_proxies_.size();
        return;
    }
    if (expected.empty()) {
        expected = download_bytes(path, 0, plan_.download_bytes_);
    }
    check_response(answer, post, expected, id + " at " + plan_.caller_proxies_[caller_proxy]);
}

void traffic::check_response(const caller_response& response, const sent_post& post,
                             const std::string& expected, const std::string& what) {
    const std::lock_guard lock(mutex_);
    ++requests_;
    ++counts_.requests_;
    sent_post judged = post;
    if (response.outcome() == "not_run") {
        ++counts_.not_run_;
        judged.said_not_run_ = true;
    } else if (!response.complete_ || response.outcome() == "unknown") {
        ++counts_.unknown_;
    } else if (response.status_ == 200 && response.body_.find(expected) != std::string::npos) {
        ++counts_.complete_;
        judged.complete_ = true;
    } else {
        ++counts_.incorrect_responses_;
        violations_.push_back(what + ": status " + std::to_string(response.status_) + ", body of " +
                              std::to_string(response.body_.size()) + " bytes");
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
            ++counts_.ran_twice_;
            violations_.push_back(post.id_ + " ran " + std::to_string(runs) + " times");
        }
        if ((post.said_not_run_ && runs > 0) || (post.complete_ && runs == 0)) {
            ++counts_.incorrect_responses_;
            violations_.push_back(post.id_ + " ran " + std::to_string(runs) +
                                  " times, against what its caller was told");
        }
    }
    return counts_;
}

std::vector<std::string> traffic::violations() const {
    const std::lock_guard lock(mutex_);
    return violations_;
}

}  // namespace dandelionridge::support
