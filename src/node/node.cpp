#include "node/node.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/random.h"

namespace dandelionridge::node {

namespace {

constexpr base::duration tick_interval = base::milliseconds(20);
// Questions to each host of the zone within the bound on the age of their answers.
constexpr int questions_a_view = 4;
constexpr base::duration drain_check_interval = base::milliseconds(50);
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

const char* to_text(control::value_kind kind) {
    return kind == control::value_kind::rules ? "rules" : "hosts";
}

const char* to_text(control::offer_outcome outcome) {
    switch (outcome) {
        case control::offer_outcome::accepted:
            return "accepted";
        case control::offer_outcome::old:
            return "old";
        case control::offer_outcome::rejected:
            return "rejected";
        case control::offer_outcome::gap:
            break;
    }
    return "gap";
}

std::int64_t draw_boot_id() {
    base::random_engine random = base::make_random_engine();
    return base::random_id(random);
}

// Answers one admin request; it takes no bodies.
class admin_handler final : public net::http_handler {
public:
    void on_body(std::string_view /*bytes*/) override {}
    void on_body_end() override {}
    void on_sent(std::size_t /*bytes*/) override {}
};

}  // namespace

node::node(const base::runtime_clock& clock, config::settings settings)
    : clock_(clock),
      settings_(std::move(settings)),
      identity_{draw_boot_id(),
                settings_.host_,
                settings_.zone_,
                [this] { return gossip_.versions(); },
                [this] { return gossip_.settled(); },
                [this] { return gossip_.freshness_age(); }},
      events_({settings_.host_, settings_.zone_, identity_.boot_}),
      gossip_(clock, configuration_, *this,
              {settings_.host_, settings_.zone_, settings_.view_bound_ / questions_a_view}),
      quota_(clock, configuration_, gossip_.view(), *this,
             {settings_.host_,
              settings_.zone_,
              {.lease_ = settings_.lease_, .view_bound_ = settings_.view_bound_}}) {}

node::~node() = default;

base::result<std::unique_ptr<node>> node::create(const base::runtime_clock& clock,
                                                 config::settings settings) {
    std::unique_ptr<node> made(new node(clock, std::move(settings)));
    const base::result<bool> opened = made->open();
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    return made;
}

base::result<bool> node::open() {
    auto loop = net::event_loop::create(clock_);
    if (!loop) {
        return tl::unexpected(loop.error());
    }
    loop_ = std::move(*loop);
    drain_timer_ = std::make_unique<net::timer>(*loop_);
    tick_timer_ = std::make_unique<net::timer>(*loop_);
    links_ = std::make_unique<link_pool>(*loop_, identity_, events_, *this);
    auto opened_guard = guard::create(*loop_, settings_, identity_, configuration_, events_, *this);
    if (!opened_guard) {
        return tl::unexpected(opened_guard.error());
    }
    guard_ = std::move(*opened_guard);
    auto opened_entry =
        entry::create(*loop_, settings_, identity_, configuration_, quota_, *links_, metrics_);
    if (!opened_entry) {
        return tl::unexpected(opened_entry.error());
    }
    entry_ = std::move(*opened_entry);
    if (auto admin = open_admin(); !admin) {
        return admin;
    }
    make_readers();
    configuration_.on_accepted([this](control::value_kind kind) { on_accepted(kind); });
    tick();
    record("started", {{"callers", base::to_string(settings_.callers_)},
                       {"peers", base::to_string(settings_.peers_)}});
    return true;
}

base::result<bool> node::open_admin() {
    static const std::vector<std::string> no_headers;
    net::http_server_options options{
        settings_.admin_, []() -> const std::vector<std::string>& { return no_headers; }};
    auto admin = net::http_server::create(
        *loop_, std::move(options),
        [this](net::http_exchange& exchange, const net::http_request& request) {
            net::http_answer answer;
            std::string type;
            const std::string body = answer_admin(request.path_, answer.status_, type);
            answer.headers_ = {{"content-type", type}};
            net::send_answer(exchange, std::move(answer), body);
            return std::make_unique<admin_handler>();
        });
    if (!admin) {
        return tl::unexpected(admin.error());
    }
    admin_ = std::move(*admin);
    return true;
}

void node::make_readers() {
    rules_reader_ = make_reader(control::value_kind::rules);
    hosts_reader_ = make_reader(control::value_kind::hosts);
}

// What controllers do in their own time.
void node::tick() {
    gossip_.tick();
    quota_.tick();
    const bool reads = gossip_.should_read();
    for (const auto kind : {control::value_kind::rules, control::value_kind::hosts}) {
        net::platform_reader& reader =
            kind == control::value_kind::rules ? *rules_reader_ : *hosts_reader_;
        if (reads) {
            reader.start(configuration_.version(kind));
        } else {
            reader.stop();
        }
    }
    tick_timer_->start(tick_interval, [this] { tick(); });
}

void node::on_accepted(control::value_kind kind) {
    if (kind == control::value_kind::hosts) {
        gossip_.on_hosts_changed();
        quota_.on_hosts_changed();
    }
}

std::unique_ptr<net::platform_reader> node::make_reader(control::value_kind kind) {
    net::platform_reader_options options{settings_.platform_, to_text(kind), settings_.watch_wait_};
    net::platform_reader_events events;
    events.published_ = [this, kind](const net::platform_version& published) {
        on_published(kind, published);
    };
    events.confirmed_ = [this, kind](base::instant when) {
        if (kind == control::value_kind::rules) {
            configuration_.confirm(when);
        }
    };
    events.failed_ = [this](const base::error& why) {
        record("platform_failed", {{"error", why.message_}});
    };
    return std::make_unique<net::platform_reader>(*loop_, std::move(options), std::move(events));
}

void node::on_published(control::value_kind kind, const net::platform_version& published) {
    const control::offer_outcome outcome =
        configuration_.offer_lines(kind, published.version_, published.lines_);
    std::vector<observe::event_field> fields = {{"value", to_text(kind)},
                                                {"version", std::to_string(published.version_)},
                                                {"outcome", to_text(outcome)}};
    if (outcome == control::offer_outcome::rejected) {
        fields.push_back({"error", configuration_.state(kind).rejected_->message_});
    }
    record("configuration", std::move(fields));
    if (outcome == control::offer_outcome::accepted) {
        gossip_.on_published(kind);
    }
}

void node::run() {
    loop_->run();
    record("stopped", {});
}

void node::stop() {
    loop_->post([this] { begin_drain(); });
}

void node::begin_drain() {
    if (draining_) {
        return;
    }
    draining_ = true;
    drain_began_ = clock_.now();
    record("draining", {{"calls", std::to_string(entry_->open_calls())},
                        {"attempts", std::to_string(guard_->open_attempts())}});
    guard_->drain();
    entry_->drain();
    check_drained();
}

// Ends the process once nothing is in flight, or when the bound has passed.
void node::check_drained() {
    const base::duration passed = clock_.now() - drain_began_;
    if (passed >= settings_.drain_idle_ && entry_->taking()) {
        entry_->stop_taking();
    }
    const bool quiet =
        !entry_->taking() && guard_->open_attempts() == 0 && entry_->open_calls() == 0;
    if (quiet || passed >= settings_.drain_bound_) {
        entry_->close_idle_callers();
        loop_->stop();
        return;
    }
    drain_timer_->start(drain_check_interval, [this] { check_drained(); });
}

void node::on_peer_versions(const std::string& peer, const wire::config_versions& seen) {
    gossip_.on_versions(peer, seen);
}

void node::on_control_frame(const std::string& peer, wire::frame&& frame,
                            const frame_reply& reply) {
    wire::frame answer;
    if (frame.__isset.view_question_) {
        answer.__set_view_answer_(gossip_.on_question(peer, frame.view_question_));
        reply(answer);
    } else if (frame.__isset.view_answer_) {
        gossip_.on_answer(peer, frame.view_answer_);
    } else if (frame.__isset.pull_) {
        gossip_.on_pull(peer, frame.pull_);
    } else if (frame.__isset.update_) {
        on_update(peer, frame.update_);
    } else if (frame.__isset.lease_request_) {
        answer.__set_lease_grant_(quota_.on_request(frame.lease_request_));
        reply(answer);
    } else if (frame.__isset.lease_grant_) {
        quota_.on_grant(peer, frame.lease_grant_);
    } else if (frame.__isset.lease_return_) {
        quota_.on_return(frame.lease_return_);
    }
}

void node::on_update(const std::string& peer, const wire::config_update& update) {
    const control::offer_outcome outcome = gossip_.on_update(peer, update);
    if (outcome != control::offer_outcome::old) {
        record("configuration_from_peer",
               {{"peer", peer},
                {"value", update.value == wire::config_value::rules ? "rules" : "hosts"},
                {"version", std::to_string(update.version)},
                {"outcome", to_text(outcome)}});
    }
}

void node::send(const std::string& host, const wire::frame& frame) {
    if (const config::host_entry* entry = config::find_host(*configuration_.hosts(), host)) {
        links_->to(*entry).send_control(frame);
    }
}

void node::on_peer_draining(const std::string& peer) {
    entry_->set_draining(peer);
}

void node::record(std::string_view kind, std::vector<observe::event_field> fields) {
    events_.record(clock_.wall_ms(), kind, std::move(fields));
}

std::string node::answer_admin(const std::string& path, int& status, std::string& type) const {
    status = status_ok;
    type = "application/json";
    if (path == "/status") {
        return status_json();
    }
    if (path == "/events") {
        return events_.to_json();
    }
    type = "text/plain; version=0.0.4";
    if (path == "/metrics") {
        return render_metrics();
    }
    if (path == "/healthz") {
        const bool serving = identity_.settled_() && !draining_;
        status = serving ? status_ok : status_unavailable;
        return serving ? "serving\n" : "not serving\n";
    }
    status = status_not_found;
    return "unknown path; try /status, /events, /metrics or /healthz\n";
}

std::string node::status_json() const {
    nlohmann::json values;
    for (const auto kind : {control::value_kind::rules, control::value_kind::hosts}) {
        const control::value_state& state = configuration_.state(kind);
        nlohmann::json value = {{"version", state.lines_.version_},
                                {"lines", state.lines_.lines_.size()},
                                {"ignored_old", state.ignored_old_}};
        if (state.rejected_) {
            value["rejected_version"] = state.rejected_->version_;
            value["rejected_why"] = state.rejected_->message_;
        }
        values[to_text(kind)] = std::move(value);
    }
    const guard_counters& counters = guard_->counters();
    const nlohmann::json status = {
        {"host", settings_.host_},
        {"zone", settings_.zone_},
        {"boot", identity_.boot_},
        {"draining", draining_},
        {"configuration", values},
        {"confirmed_age_ms", base::whole_ms(configuration_.confirmed_age(clock_.now()))},
        {"freshness_age_ms", base::whole_ms(gossip_.freshness_age())},
        {"reads_platform", gossip_.should_read()},
        {"quota_tenure", quota_.holds_tenure()},
        {"pauses", loop_->pause_count()},
        {"links", links_->size()},
        {"calls", entry_->open_calls()},
        {"platform_calls", rules_reader_->calls() + hosts_reader_->calls()},
        {"guard",
         {{"open", guard_->open_attempts()},
          {"started", counters.started_},
          {"answered", counters.answered_},
          {"refused", counters.refused_},
          {"failed", counters.failed_},
          {"links_refused", counters.links_refused_}}},
    };
    return status.dump(2) + "\n";
}

std::string node::render_metrics() const {
    const guard_counters& counters = guard_->counters();
    return metrics_.render({
        {"dandelionridge_rules_version",
         static_cast<double>(configuration_.version(control::value_kind::rules))},
        {"dandelionridge_hosts_version",
         static_cast<double>(configuration_.version(control::value_kind::hosts))},
        {"dandelionridge_guard_attempts", static_cast<double>(guard_->open_attempts())},
        {"dandelionridge_guard_started", static_cast<double>(counters.started_)},
        {"dandelionridge_links", static_cast<double>(links_->size())},
    });
}

}  // namespace dandelionridge::node
