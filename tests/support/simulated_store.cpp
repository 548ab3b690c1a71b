#include "support/simulated_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/base64.h"

namespace dandelionridge::support {

namespace {

using nlohmann::json;

constexpr base::duration slow_response_time = base::milliseconds(1100);

// Returns the number after "NAME=" in a path's query, or 0 if there is none.
std::int64_t query_number(const std::string& path, const std::string& name) {
    const std::size_t offset = path.find(name + "=");
    return offset == std::string::npos ? 0 : std::stoll(path.substr(offset + name.size() + 1));
}

bool is_relaxed(const std::string& path) {
    return path.find("serializable=1") != std::string::npos;
}

base::result<net::fetch_result> response(std::string body) {
    return net::fetch_result{200, {}, std::move(body)};
}

}  // namespace

std::int64_t simulated_store::put(const std::string& key, const std::string& value) {
    const change written{key, value, ++revision_, false, clock_.now()};
    items_[key] = written;
    history_.push_back(written);
    return revision_;
}

std::int64_t simulated_store::erase(const std::string& key) {
    items_.erase(key);
    history_.push_back({key, "", ++revision_, true, clock_.now()});
    return revision_;
}

const std::string& simulated_store::range_body() {
    if (range_body_revision_ != revision_) {
        range_body_revision_ = revision_;
        json items = json::array();
        for (const auto& [key, item] : items_) {
            items.push_back({{"key", key},
                             {"value", base::base64_encode(item.value_)},
                             {"revision", item.revision_}});
        }
        range_body_ =
            json{{"items", items}, {"hasMore", false}, {"storeRevision", revision_}}.dump();
    }
    return range_body_;
}

std::optional<std::string> simulated_store::watch_body(std::int64_t after, bool relaxed,
                                                       bool waited) const {
    const base::instant shown_until = clock_.now() - (relaxed ? relaxed_lag_ : base::duration{});
    json events = json::array();
    std::int64_t shown_revision = after;
    for (auto entry = history_.rbegin(); entry != history_.rend() && entry->revision_ > after;
         ++entry) {
        if (entry->written_at_ > shown_until) {
            continue;
        }
        shown_revision = std::max(shown_revision, entry->revision_);
        json event = {{"key", entry->key_}, {"revision", entry->revision_}};
        if (entry->deleted_) {
            event["deleted"] = true;
        } else {
            event["value"] = base::base64_encode(entry->value_);
        }
        events.insert(events.begin(), std::move(event));
    }
    if (events.empty() && !waited) {
        return std::nullopt;
    }
    return json{{"events", events}, {"storeRevision", shown_revision}}.dump();
}

void simulated_store::transfer(base::duration tick) {
    const double seconds = std::chrono::duration<double>(tick).count();
    std::vector<simulated_store_client*> receivers;
    for (simulated_store_client* client : clients_) {
        if (client->bytes_left() > 0) {
            receivers.push_back(client);
        }
    }
    // The slow ones first: what they leave of their share is for the others.
    std::sort(receivers.begin(), receivers.end(),
              [](const auto* a, const auto* b) { return a->link_rate() < b->link_rate(); });
    double budget = link_rate_ * seconds;
    std::size_t waiting = receivers.size();
    for (simulated_store_client* client : receivers) {
        const double share = budget / static_cast<double>(waiting--);
        const double bytes = std::min({share, client->link_rate() * seconds, client->bytes_left()});
        client->receive(bytes);
        budget -= bytes;
    }
}

simulated_store_client::simulated_store_client(simulated_store& store, double link_rate)
    : store_(store), link_rate_(link_rate) {
    store_.clients_.push_back(this);
}

simulated_store_client::~simulated_store_client() {
    std::erase(store_.clients_, this);
}

void simulated_store_client::receive(double bytes) {
    if (path_ == store_path::silent || store_.path_of_all() == store_path::silent) {
        return;
    }
    call_->received_at_ = now();
    call_->bytes_left_ -= bytes;
}

void simulated_store_client::call(const std::string& path, base::duration timeout,
                                  net::http_fetch::callback on_done) {
    current_calls_ += is_relaxed(path) ? 0 : 1;
    call_ = pending_call{path, now(), timeout, std::move(on_done), std::nullopt, 0};
}

void simulated_store_client::start_timer(platform::feed_timer timer, base::duration delay,
                                         std::function<void()> task) {
    timers_.at(static_cast<std::size_t>(timer)) = {now() + delay, std::move(task)};
}

bool simulated_store_client::is_started(platform::feed_timer timer) const {
    return timers_.at(static_cast<std::size_t>(timer)).has_value();
}

void simulated_store_client::cancel_timer(platform::feed_timer timer) {
    timers_.at(static_cast<std::size_t>(timer)).reset();
}

void simulated_store_client::step() {
    step_timers();
    if (!call_) {
        return;
    }
    auto outcome = outcome_of(*call_);
    if (outcome) {
        const pending_call done = std::move(*std::exchange(call_, std::nullopt));
        done.on_done_(std::move(*outcome));
    }
}

void simulated_store_client::step_timers() {
    for (std::optional<pending_timer>& timer : timers_) {
        if (timer && now() >= timer->due_) {
            const pending_timer due = std::move(*std::exchange(timer, std::nullopt));
            due.task_();
        }
    }
}

// Returns what the call has led to so far, if anything.
std::optional<base::result<net::fetch_result>> simulated_store_client::outcome_of(
    pending_call& call) {
    const auto failed = [](const char* problem) -> base::result<net::fetch_result> {
        return base::fail(base::error_kind::network, problem);
    };
    const base::duration waited = now() - call.started_at_;
    const store_path path = path_ == store_path::open ? store_.path_of_all() : path_;
    if (path == store_path::resets) {
        return failed("reset by the test");
    }
    const bool pauses = call.body_ && now() - call.received_at_ >= net::fetch_options{}.max_pause_;
    if (pauses || (!call.body_ && waited >= call.timeout_)) {
        return failed("timeout");
    }
    const bool too_early = path == store_path::slow && waited < slow_response_time;
    if (path == store_path::silent || too_early) {
        return std::nullopt;
    }
    if (!call.body_) {
        call.body_ = response_body(call);
        const bool takes_time = call.body_ && store_.has_link_rate();
        call.received_at_ = now();
        call.bytes_left_ = takes_time ? static_cast<double>(call.body_->size()) : 0;
    }
    if (!call.body_ || call.bytes_left_ > 0) {
        return std::nullopt;
    }
    return response(std::move(*call.body_));
}

// Returns the body of the response, or nothing as long as the store has none.
std::optional<std::string> simulated_store_client::response_body(const pending_call& call) {
    if (call.path_.find("kv-range") != std::string::npos) {
        return store_.range_body();
    }
    if (call.path_.find("kv-watch") == std::string::npos) {
        return "{}";
    }
    const base::duration waited = now() - call.started_at_;
    const bool wait_over = waited >= base::milliseconds(query_number(call.path_, "waitMs"));
    return store_.watch_body(query_number(call.path_, "after"), is_relaxed(call.path_), wait_over);
}

}  // namespace dandelionridge::support
