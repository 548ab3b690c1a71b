#include "control/retry_loans.h"

#include <utility>
#include <vector>

namespace dandelionridge::control {

namespace {

// Hosts that are asked for one retry.
constexpr std::size_t max_asked_hosts = 5;
constexpr base::duration reply_timeout = base::milliseconds(100);
// Time for all of them, since the request's failure is kept from its caller.
constexpr base::duration max_search_time = base::milliseconds(300);
// Random draws of a host to ask, of which some cannot be asked.
constexpr int max_draws = 16;

}  // namespace

std::string_view to_text(loan_reply reply) {
    switch (reply) {
        case loan_reply::lent:
            return "lent";
        case loan_reply::denied:
            return "denied";
        case loan_reply::none:
            break;
    }
    return "none";
}

retry_loans::retry_loans(const base::runtime_clock& clock, const configuration& configuration,
                         peer_sender& peers, std::string host, base::random_engine random)
    : clock_(clock),
      configuration_(configuration),
      peers_(peers),
      host_(std::move(host)),
      random_(random) {}

bool retry_loans::request(const std::string& service, retry_loan_listener& listener) {
    return ask_next({service, &listener, {}, {}, clock_.now() + max_search_time});
}

void retry_loans::cancel(retry_loan_listener& listener) {
    std::erase_if(pending_, [&](const auto& entry) { return entry.second.listener_ == &listener; });
}

wire::retry_loan retry_loans::on_request(const wire::retry_loan_request& request,
                                         retry_lender& lender) {
    wire::retry_loan reply;
    reply.request = request.request;
    reply.granted = lender.lend_retry(request.service_name);
    return reply;
}

void retry_loans::on_reply(const wire::retry_loan& reply) {
    const auto found = pending_.find(reply.request);
    if (found == pending_.end()) {
        return;
    }
    pending_request answered = std::move(found->second);
    pending_.erase(found);
    retry_loan_listener& listener = *answered.listener_;
    count(reply.granted ? loan_reply::lent : loan_reply::denied);
    if (reply.granted) {
        listener.on_retry_lent();
    } else if (!ask_next(std::move(answered))) {
        listener.on_no_retry_lent();
    }
}

void retry_loans::tick() {
    const base::instant now = clock_.now();
    std::vector<std::int64_t> overdue;
    for (const auto& [id, asked] : pending_) {
        if (now >= asked.reply_due_at_) {
            overdue.push_back(id);
        }
    }
    for (const std::int64_t id : overdue) {
        // An earlier listener may have cancelled this one.
        const auto found = pending_.find(id);
        if (found == pending_.end()) {
            continue;
        }
        pending_request unanswered = std::move(found->second);
        pending_.erase(found);
        retry_loan_listener& listener = *unanswered.listener_;
        count(loan_reply::none);
        if (!ask_next(std::move(unanswered))) {
            listener.on_no_retry_lent();
        }
    }
}

// Asks another host. Returns false if enough were asked or there is no other.
bool retry_loans::ask_next(pending_request request) {
    if (request.asked_hosts_.size() >= max_asked_hosts || clock_.now() >= request.ends_at_) {
        return false;
    }
    const std::optional<std::string> lender = pick_host(request.asked_hosts_);
    if (!lender) {
        return false;
    }
    wire::frame frame;
    frame.__isset.retry_loan_request_ = true;
    frame.retry_loan_request_.request = next_request_id_;
    frame.retry_loan_request_.service_name = request.service_;
    request.asked_hosts_.insert(*lender);
    request.reply_due_at_ = clock_.now() + reply_timeout;
    pending_.emplace(next_request_id_, std::move(request));
    ++next_request_id_;
    peers_.send(*lender, frame);
    return true;
}

// Returns a random host that can be reached and was not asked yet.
std::optional<std::string> retry_loans::pick_host(const std::set<std::string>& asked) {
    const std::vector<config::host_entry>& hosts = configuration_.hosts()->hosts_;
    for (int draw = 0; draw < max_draws && !hosts.empty(); ++draw) {
        const config::host_entry& host = hosts[base::random_below(random_, hosts.size())];
        if (host.name_ != host_ && !host.leaving_ && !asked.contains(host.name_) &&
            peers_.reachable(host.name_)) {
            return host.name_;
        }
    }
    return std::nullopt;
}

void retry_loans::count(loan_reply reply) {
    ++replies_.at(static_cast<std::size_t>(reply));
}

}  // namespace dandelionridge::control
