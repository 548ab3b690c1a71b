#include "support/traffic.h"

#include "base/hash.h"

namespace dandelionridge::support {

namespace {

constexpr std::uint64_t request_kinds = 3;

}  // namespace

traffic::traffic(fleet& fleet, traffic_plan plan) : fleet_(fleet), plan_(std::move(plan)) {
    const std::size_t callers = plan_.keys_.size() * plan_.caller_proxies_.size();
    threads_.reserve(callers);
    for (std::size_t caller_index = 0; caller_index < callers; ++caller_index) {
        threads_.emplace_back([this, caller_index] { run(caller_index); });
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

void traffic::run(std::size_t caller_index) {
    caller caller;
    std::size_t caller_proxy_index = caller_index % plan_.caller_proxies_.size();
    for (std::uint64_t sequence = 0; !stopped_; ++sequence) {
        send_one(caller, caller_index, sequence, caller_proxy_index);
    }
}

void traffic::send_one(caller& caller, std::size_t caller_index, std::uint64_t sequence,
                       std::size_t& caller_proxy_index) {
    const std::string id = "c" + std::to_string(caller_index) + "-" + std::to_string(sequence);
    const std::string& key = plan_.keys_[caller_index / plan_.caller_proxies_.size()];
    caller_request request;
    request.headers_ = {"Authorization: Bearer " + key, "X-Request-Id: " + id};
    sent_post post;
    std::string path;
    std::string expected;
    const std::uint64_t kind = sequence % request_kinds;
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
    request.url_ = fleet_.caller_address_of(plan_.caller_proxies_[caller_proxy_index]) + path;
    const caller_response response = caller.send(request);
    if (response.connect_failed_) {
        caller_proxy_index = (caller_proxy_index + 1) % plan_.caller_proxies_.size();
        return;
    }
    if (expected.empty()) {
        expected = download_bytes(path, 0, plan_.download_bytes_);
    }
    check_response(response, post, expected,
                   id + " at " + plan_.caller_proxies_[caller_proxy_index]);
}

void traffic::check_response(const caller_response& response, const sent_post& post,
                             const std::string& expected, const std::string& request_description) {
    const std::lock_guard lock(mutex_);
    ++requests_;
    ++counts_.requests_;
    sent_post checked_post = post;
    if (response.outcome() == "not_run") {
        ++counts_.not_run_;
        ++refusals_by_reason_[response.reason()];
        checked_post.reported_not_run_ = true;
    } else if (!response.complete_ || response.outcome() == "unknown") {
        ++counts_.unknown_;
    } else if (response.status_ == 200 && response.body_.find(expected) != std::string::npos) {
        ++counts_.complete_;
        checked_post.complete_ = true;
    } else {
        ++counts_.incorrect_responses_;
        violations_.push_back(request_description + ": status " + std::to_string(response.status_) +
                              ", body of " + std::to_string(response.body_.size()) + " bytes");
    }
    if (!checked_post.id_.empty()) {
        posts_.push_back(checked_post);
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
        if ((post.reported_not_run_ && runs > 0) || (post.complete_ && runs == 0)) {
            ++counts_.incorrect_responses_;
            violations_.push_back(post.id_ + " ran " + std::to_string(runs) +
                                  " times, contrary to the outcome reported to its caller");
        }
    }
    return counts_;
}

std::vector<std::string> traffic::violations() const {
    const std::lock_guard lock(mutex_);
    return violations_;
}

std::map<std::string, std::uint64_t> traffic::refusals_by_reason() const {
    const std::lock_guard lock(mutex_);
    return refusals_by_reason_;
}

}  // namespace dandelionridge::support
