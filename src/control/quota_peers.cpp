#include "control/quota_peers.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dandelionridge::control {

namespace {

// Intervals at which a silent host is asked whether it replies again. The shortest one is below
// policy::quota_handover_delay: a host that took over must stop before the owner that ranks before
// it grants tokens again.
constexpr base::duration min_probe_interval = base::milliseconds(100);
constexpr base::duration max_probe_interval = base::milliseconds(800);

// A question is forgotten after this time. Until then, a late reply shows that its host responds.
constexpr base::duration question_expiry = base::seconds(1);

}  // namespace

void quota_peers::ask(const std::string& host, const wire::lease_request& request,
                      base::duration timeout) {
    const base::instant now = clock_.now();
    questions_[request.request] = {host, request.organisation, now, now + timeout};
    wire::frame frame;
    frame.__set_lease_request_(request);
    peers_.send(host, frame);
}

void quota_peers::probe(const std::string& host, const std::string& organisation,
                        bool owner_silent) {
    if (is_asked(host)) {
        return;
    }
    wire::lease_request request;
    request.request = next_request_id();
    request.organisation = organisation;
    request.__set_relayed(true);
    if (owner_silent) {
        request.__set_owner_silent(true);
    }
    ask(host, request, direct_reply_timeout);
}

// Returns whether a reply of the host is due soon.
bool quota_peers::is_asked(const std::string& host) const {
    const base::instant now = clock_.now();
    return std::any_of(questions_.begin(), questions_.end(), [&](const auto& entry) {
        return entry.second.host_ == host && now <= entry.second.reply_due_at_ &&
               entry.second.reply_due_at_ <= now + direct_reply_timeout;
    });
}

void quota_peers::record_response(const std::string& host, base::instant asked_until) {
    silent_.erase(host);
    std::erase_if(questions_, [&](const auto& entry) {
        return entry.second.host_ == host && entry.second.asked_at_ <= asked_until;
    });
}

void quota_peers::record_reply(std::int64_t request_id) {
    const auto found = questions_.find(request_id);
    if (found == questions_.end()) {
        return;
    }
    const question answered = found->second;
    record_response(answered.host_, answered.asked_at_);
}

void quota_peers::forget_questions() {
    questions_.clear();
    silent_.clear();
}

void quota_peers::find_silent_hosts() {
    const base::instant now = clock_.now();
    for (const auto& [id, asked] : questions_) {
        if (now > asked.reply_due_at_) {
            silent_.try_emplace(asked.host_,
                                silent_host{asked.organisation_, now, min_probe_interval});
        }
    }
    std::erase_if(questions_, [&](const auto& entry) {
        return now - entry.second.asked_at_ > question_expiry;
    });
    std::erase_if(silent_, [&](const auto& entry) { return !peers_.reachable(entry.first); });
}

void quota_peers::tick(const std::set<std::string>& watched) {
    find_silent_hosts();
    const base::instant now = clock_.now();
    // Sending may find a stall, which clears the silent hosts.
    std::vector<std::pair<std::string, std::string>> probes;
    for (auto& [host, state] : silent_) {
        if (watched.contains(host)) {
            state.probe_interval_ = min_probe_interval;
        }
        if (now - state.probed_at_ >= state.probe_interval_) {
            state.probed_at_ = now;
            state.probe_interval_ = std::min(max_probe_interval, 2 * state.probe_interval_);
            probes.emplace_back(host, state.organisation_);
        }
    }
    for (const auto& [host, organisation] : probes) {
        probe(host, organisation);
    }
}

}  // namespace dandelionridge::control
