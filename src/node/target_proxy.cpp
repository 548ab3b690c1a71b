#include "node/target_proxy.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "node/wire_attempt.h"

namespace dandelionridge::node {

namespace {

// Part of the memory for responses that those kept for lost links may fill.
constexpr std::size_t kept_responses_divisor = 4;
constexpr std::size_t kept_idempotent_responses_divisor = 8;
// Time in which a lost link is noticed and another one opened. A later repetition is a new run.
constexpr base::duration idempotent_response_age = base::seconds(5);

constexpr base::duration expiry_interval = base::seconds(60);
// The records of a caller proxy are evicted after this time without a link, which is far longer
// than any request may take.
constexpr base::duration max_disconnected_time = base::seconds(1800);

wire::attempt_state to_wire_state(policy::attempt_status status) {
    switch (status) {
        case policy::attempt_status::not_run:
            return wire::attempt_state::not_run;
        case policy::attempt_status::running:
            return wire::attempt_state::running;
        case policy::attempt_status::done:
            return wire::attempt_state::done;
        case policy::attempt_status::unknown:
            break;
    }
    return wire::attempt_state::unknown;
}

}  // namespace

target_proxy::target_proxy(net::event_loop& loop, const config::settings& settings,
                           const config::header_policy& headers, const link_identity& identity,
                           const control::configuration& configuration,
                           policy::response_memory& memory, observe::event_log& events,
                           link_listener& listener)
    : loop_(loop),
      settings_(settings),
      headers_(headers),
      identity_(identity),
      configuration_(configuration),
      memory_(memory),
      events_(events),
      listener_(listener),
      responses_(memory.limit_ / kept_responses_divisor, base::duration::max()),
      idempotent_responses_(memory.limit_ / kept_idempotent_responses_divisor,
                            idempotent_response_age),
      unclaimed_timer_(loop),
      expiry_timer_(loop),
      check_timer_(loop),
      random_(base::make_random_engine()),
      started_at_(loop.clock().now()),
      activity_(events),
      placement_log_(loop, events, "refused_for_placement",
                     "dandelionridge_placement_refusals_total",
                     "Attempts refused because of where or how cold their target is, by cause.") {
    check_targets();
    expiry_timer_.start(expiry_interval, [this] { expire_disconnected_caller_proxies(); });
    ledger_.boot_ = identity.boot_;
    ledger_.capacity_ = settings.remembered_attempts_;
}

target_proxy::~target_proxy() = default;

base::result<std::unique_ptr<target_proxy>> target_proxy::create(
    net::event_loop& loop, const config::settings& settings, const config::header_policy& headers,
    const link_identity& identity, const control::configuration& configuration,
    policy::response_memory& memory, net::frame_traffic& traffic, observe::event_log& events,
    link_listener& listener) {
    std::unique_ptr<target_proxy> proxy(new target_proxy(loop, settings, headers, identity,
                                                         configuration, memory, events, listener));
    target_proxy* self = proxy.get();
    auto server = net::frame_server::create(loop, settings.peer_listen_address_, *self, traffic,
                                            [self](std::unique_ptr<net::frame_socket> socket) {
                                                net::frame_socket* key = socket.get();
                                                self->connections_[key].socket_ = std::move(socket);
                                            });
    if (!server) {
        return tl::unexpected(server.error());
    }
    proxy->server_ = std::move(*server);
    return proxy;
}

void target_proxy::record_cut_runs() const {
    const base::instant now = loop_.clock().now();
    for (const auto& [key, attempt] : attempts_) {
        if (attempt->running()) {
            events_.record(
                loop_.clock().wall_ms(), "run_cut",
                {{"request", attempt->begin().request_id},
                 {"target", attempt->begin().target_name},
                 {"run_ms", std::to_string(base::whole_ms(now - attempt->run_started_at()))}});
        } else if (attempt->ended()) {
            events_.record(loop_.clock().wall_ms(), "response_cut",
                           {{"request", attempt->begin().request_id},
                            {"target", attempt->begin().target_name}});
        }
    }
}

bool target_proxy::all_delivered() const {
    const base::instant now = loop_.clock().now();
    const bool awaits_caller_proxy = std::any_of(
        replies_lost_at_.begin(), replies_lost_at_.end(),
        [&](const auto& lost) { return now - lost.second < policy::max_reconnect_wait; });
    return !awaits_caller_proxy &&
           std::all_of(connections_.begin(), connections_.end(), [](const auto& entry) {
               const connection& link = entry.second;
               return link.socket_->all_sent() && link.socket_->has_delivered(link.replies_end_);
           });
}

// Sends a frame that decides on an attempt or carries its response.
void target_proxy::send_reply(connection& link, const wire::frame& frame) {
    link.socket_->send(frame);
    link.replies_end_ = link.socket_->bytes_queued();
}

void target_proxy::on_open(net::frame_socket& /*socket*/) {}

void target_proxy::on_frame(net::frame_socket& socket, wire::frame&& frame) {
    const auto found = connections_.find(&socket);
    if (found == connections_.end()) {
        return;
    }
    connection& link = found->second;
    if (frame.__isset.hello_) {
        on_hello(link, frame.hello_);
    } else if (!link.handshake_done_) {
        return;
    } else if (frame.__isset.begin_) {
        on_begin(link, std::move(frame.begin_));
    } else if (frame.__isset.body_) {
        if (target_proxy_attempt* attempt = find_attempt(link, frame.body_.attempt)) {
            attempt->on_request_body(frame.body_);
        }
    } else if (frame.__isset.credit_) {
        if (target_proxy_attempt* attempt = find_attempt(link, frame.credit_.attempt)) {
            attempt->on_credit(frame.credit_.bytes);
        }
    } else if (frame.__isset.cancel_) {
        on_cancel(link, frame.cancel_);
    } else if (frame.__isset.resolve_) {
        on_resolve(link, frame.resolve_);
    } else if (frame.__isset.ping_) {
        on_ping(link, frame.ping_);
    } else {
        listener_.on_control_frame(link.host_, std::move(frame), make_reply_sender(link));
    }
}

control::frame_sender target_proxy::make_reply_sender(const connection& link) {
    return [socket = link.socket_.get()](const wire::frame& reply) { socket->send(reply); };
}

void target_proxy::on_hello(connection& link, const wire::hello& hello) {
    const bool accepted =
        !link.handshake_done_ && policy::accept_link(ledger_, hello.boot, hello.link);
    link.host_ = hello.host;
    link.caller_proxy_boot_ = hello.boot;
    link.link_ = hello.link;
    link.handshake_done_ = accepted;
    wire::frame frame;
    frame.__isset.welcome_ = true;
    frame.welcome_.boot = identity_.boot_;
    frame.welcome_.host = identity_.host_;
    frame.welcome_.accepted = accepted;
    frame.welcome_.draining = stop_.has_value();
    frame.welcome_.versions = identity_.versions_();
    frame.welcome_.__set_grants_body(true);
    if (!targets_.empty()) {
        frame.welcome_.__set_report(make_report(targets_.begin()->second));
    }
    link.socket_->send(frame);
    if (!accepted) {
        ++counters_.links_refused_;
        return;
    }
    close_earlier_links(link);
    links_[{hello.boot, hello.link}] = link.socket_.get();
    set_replaced_at(hello.boot, loop_.clock().now());
    cancel_runs_of_earlier_boots(link);
    disconnected_since_.erase(hello.boot);
    listener_.on_peer_versions(link.host_, hello.versions, make_reply_sender(link));
}

void target_proxy::on_closed(net::frame_socket& socket, std::string_view cause) {
    const auto found = connections_.find(&socket);
    if (found == connections_.end()) {
        return;
    }
    connection lost = std::move(found->second);
    connections_.erase(found);
    if (cause != net::closed_by_peer) {
        events_.record(loop_.clock().wall_ms(), "link_dropped",
                       {{"peer", lost.host_}, {"cause", std::string(cause)}});
    }
    if (lost.handshake_done_) {
        links_.erase({lost.caller_proxy_boot_, lost.link_});
        disconnected_since_[lost.caller_proxy_boot_] = loop_.clock().now();
        if (!lost.socket_->has_delivered(lost.replies_end_)) {
            replies_lost_at_[lost.caller_proxy_boot_] = loop_.clock().now();
        }
        end_link_attempts(lost);
    }
    loop_.defer([owned = std::shared_ptr<net::frame_socket>(std::move(lost.socket_))] {});
}

void target_proxy::on_ping(connection& link, const wire::ping& ping) {
    wire::frame frame;
    frame.__isset.pong_ = true;
    frame.pong_.nonce = ping.nonce;
    frame.pong_.versions = identity_.versions_();
    if (!targets_.empty()) {
        frame.pong_.__set_report(make_report(targets_.begin()->second));
    }
    link.socket_->send(frame);
    listener_.on_peer_versions(link.host_, ping.versions, make_reply_sender(link));
}

target_proxy_attempt* target_proxy::find_attempt(const connection& link,
                                                 const wire::attempt_ref& ref) {
    const auto found = attempts_.find({link.caller_proxy_boot_, from_wire(ref)});
    return found == attempts_.end() ? nullptr : found->second.get();
}

admission_view target_proxy::make_admission_view() const {
    return {*configuration_.rules(),
            *configuration_.hosts(),
            settings_,
            settings_.strict_freshness_ ? identity_.freshness_age_() : base::duration::zero(),
            previously_listed_,
            departures_};
}

void target_proxy::on_cancel(connection& link, const wire::attempt_cancel& cancel) {
    target_proxy_attempt* attempt = find_attempt(link, cancel.attempt);
    if (attempt == nullptr) {
        return;
    }
    if (attempt->ended()) {
        finish(*attempt);
        return;
    }
    if (attempt->running() && !attempt->begin().idempotent && !attempt->request_body_incomplete()) {
        // A non-idempotent run is not interrupted: a partly executed request is worse than a lost
        // response. A run whose body will never be complete can only be cancelled.
        attempt->discard_response();
        return;
    }
    if (attempt->running()) {
        attempt->cancel();
        return;
    }
    remove_from_queue(*attempt);
    policy::refuse_attempt(ledger_, attempt->key());
    finish(*attempt);
}

// Removes an attempt from the open attempts. Its response is kept if a caller proxy may still
// request it.
void target_proxy::finish(target_proxy_attempt& attempt) {
    const auto found = attempts_.find(attempt.key());
    assert(found != attempts_.end());
    std::unique_ptr<target_proxy_attempt> ended = std::move(found->second);
    ended->retire();
    attempts_.erase(found);
    store_or_destroy(std::move(ended));
}

void target_proxy::store_or_destroy(std::unique_ptr<target_proxy_attempt> attempt) {
    if (response_store::should_keep(*attempt)) {
        response_store& store = attempt->begin().idempotent ? idempotent_responses_ : responses_;
        store.add(std::move(attempt), loop_.clock().now());
        return;
    }
    // Destroyed later, because callbacks of the attempt may be on the stack.
    loop_.defer([owned = std::shared_ptr<target_proxy_attempt>(std::move(attempt))] {});
}

void target_proxy::on_resolve(connection& link, const wire::resolve& request) {
    const link_key queried_link{link.caller_proxy_boot_, request.link};
    if (request.link >= link.link_) {
        return;
    }
    const policy::link_resolution resolution =
        policy::resolve_link(ledger_, queried_link.caller_proxy_boot_, queried_link.link_,
                             request.guard_boot, request.sequences);
    for (const std::int64_t sequence : resolution.withdrawn_) {
        const auto waiting =
            attempts_.find({queried_link.caller_proxy_boot_, {queried_link.link_, sequence}});
        if (waiting != attempts_.end()) {
            remove_from_queue(*waiting->second);
            finish(*waiting->second);
        }
    }
    cancel_unclaimed_runs(queried_link, request.sequences, "not asked for");
    wire::frame frame;
    frame.__isset.resolution_ = true;
    frame.resolution_.link = request.link;
    for (const policy::sequence_status& resolved_status : resolution.statuses_) {
        wire::resolved_attempt resolved;
        resolved.sequence = resolved_status.sequence_;
        resolved.state = to_wire_state(resolved_status.status_);
        frame.resolution_.attempts.push_back(resolved);
        events_.record(loop_.clock().wall_ms(), "attempt_asked",
                       {{"peer", link.host_},
                        {"attempt", std::to_string(queried_link.link_) + "/" +
                                        std::to_string(resolved_status.sequence_)},
                        {"fate", std::to_string(static_cast<int>(resolved.state))}});
    }
    send_reply(link, frame);
    successor_links_[queried_link] = {link.caller_proxy_boot_, link.link_};
    for (const policy::sequence_status& resolved_status : resolution.statuses_) {
        if (resolved_status.status_ == policy::attempt_status::running ||
            resolved_status.status_ == policy::attempt_status::done) {
            reroute_response(
                {queried_link.caller_proxy_boot_, {queried_link.link_, resolved_status.sequence_}},
                {link.caller_proxy_boot_, link.link_});
        }
    }
    replies_lost_at_.erase(link.caller_proxy_boot_);
}

// Sends the response to an attempt of a lost link on the link that requested the attempt's status,
// or a failure if the response is no longer available.
void target_proxy::reroute_response(const policy::ledger_key& key,
                                    const link_key& requesting_link) {
    const auto open = attempts_.find(key);
    if (open != attempts_.end() && open->second->ended()) {
        finish(*open->second);
    }
    const auto running = attempts_.find(key);
    if (running != attempts_.end()) {
        // The response is sent when the run ends, unless part of it was streamed already.
        if (running->second->response().streaming_) {
            send_to_caller_proxy(*running->second,
                                 make_failure(key.attempt_, wire::failure_reason::answer_lost));
        }
        running->second->on_later_link();
        return;
    }
    target_proxy_attempt* ended = responses_.find(key);
    if (ended == nullptr) {
        ended = idempotent_responses_.find(key);
    }
    if (ended != nullptr && ended->resend_response()) {
        return;
    }
    if (connection* link = find_link(requesting_link)) {
        send_reply(*link, make_failure(key.attempt_, wire::failure_reason::answer_lost));
    }
}

// Evicts the records of caller proxies that have most likely exited. There are 22,000 restarts a
// day, so these records would accumulate otherwise.
void target_proxy::expire_disconnected_caller_proxies() {
    const base::instant now = loop_.clock().now();
    std::erase_if(replies_lost_at_, [&](const auto& lost) {
        return now - lost.second >= policy::max_reconnect_wait;
    });
    std::erase_if(disconnected_since_, [&](const auto& disconnected) {
        const std::int64_t boot = disconnected.first;
        const auto open_link = links_.lower_bound({boot, 0});
        if (open_link != links_.end() && open_link->first.caller_proxy_boot_ == boot) {
            return true;
        }
        if (now - disconnected.second < max_disconnected_time) {
            return false;
        }
        policy::evict_caller_proxy(ledger_, boot);
        std::erase_if(successor_links_, [&](const auto& successor) {
            return successor.first.caller_proxy_boot_ == boot;
        });
        return true;
    });
    expiry_timer_.start(expiry_interval, [this] { expire_disconnected_caller_proxies(); });
}

// Returns the open link of that key, or the one that replaced it, or null if neither is open.
target_proxy::connection* target_proxy::find_link(const link_key& key) {
    link_key current = key;
    for (;;) {
        const auto open_link = links_.find(current);
        if (open_link != links_.end()) {
            const auto found = connections_.find(open_link->second);
            return found == connections_.end() ? nullptr : &found->second;
        }
        const auto next = successor_links_.find(current);
        if (next == successor_links_.end()) {
            return nullptr;
        }
        current = next->second;
    }
}

bool target_proxy::has_link(const target_proxy_attempt& attempt) {
    return find_link(own_link(attempt.key())) != nullptr;
}

bool target_proxy::send_to_caller_proxy(const target_proxy_attempt& attempt,
                                        const wire::frame& frame) {
    if (attempt.response_discarded()) {
        return false;
    }
    connection* link = find_link(own_link(attempt.key()));
    if (link == nullptr) {
        replies_lost_at_[attempt.key().caller_proxy_boot_] = loop_.clock().now();
        return false;
    }
    send_reply(*link, frame);
    return true;
}

}  // namespace dandelionridge::node
