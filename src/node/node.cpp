#include "node/node.h"

#include <algorithm>
#include <utility>

#include "base/random.h"
#include "config/host_list_changes.h"
#include "config/regions.h"
#include "node/log_names.h"

namespace dandelionridge::node {

namespace {

constexpr base::duration tick_interval = base::milliseconds(50);
// Number of times that each host of the zone is asked for its versions within `view_bound_`, which
// is the maximum age of the replies.
constexpr int view_requests_per_bound = 4;
// Time that a watch without changes takes beyond its wait, at most.
constexpr base::duration watch_margin = base::seconds(1);
constexpr double bytes_per_megabit = 1'000'000.0 / 8;
// The source of versions that were read from the platform, in events.
constexpr const char* platform_source = "platform";

const char* to_text(control::offer_outcome outcome) {
    switch (outcome) {
        case control::offer_outcome::accepted:
            return "accepted";
        case control::offer_outcome::stale:
            return "old";
        case control::offer_outcome::rejected:
            return "rejected";
        case control::offer_outcome::delta_mismatch:
            break;
    }
    return "gap";
}

std::int64_t generate_boot_id() {
    base::random_engine random = base::make_random_engine();
    return base::random_id(random);
}

// Returns the number of bytes that bodies of responses may fill.
std::size_t response_bytes_limit(const config::settings& settings) {
    constexpr double bytes_per_mb = 1024 * 1024;
    return static_cast<std::size_t>(settings.memory_mb_ * bytes_per_mb) /
           policy::response_memory_divisor;
}

}  // namespace

node::node(const base::runtime_clock& clock, config::settings settings, environment environment)
    : clock_(clock),
      settings_(std::move(settings)),
      environment_(std::move(environment)),
      identity_{generate_boot_id(),
                settings_.host_,
                settings_.zone_,
                [this] { return gossip_.versions(); },
                [this] { return gossip_.synchronized(); },
                [this] { return gossip_.freshness_age(); }},
      events_({settings_.host_, settings_.zone_, identity_.boot_}),
      configuration_(environment_.parsers_),
      recorded_hosts_(configuration_.hosts()),
      gossip_(clock, configuration_, *this,
              {settings_.host_, settings_.zone_, settings_.view_bound_ / view_requests_per_bound,
               settings_.strict_freshness_, config::gather_time(settings_),
               2 * settings_.watch_wait_ + watch_margin, settings_.link_mbps_ * bytes_per_megabit}),
      quota_(clock, configuration_, *this, settings_.host_,
             {settings_.quota_window_, settings_.quota_overage_, settings_.quota_slack_}),
      quota_log_(clock, events_),
      retry_loans_(clock, configuration_, *this, settings_.host_),
      response_memory_{response_bytes_limit(settings_)} {
    quota_.set_observer(quota_log_);
}

// Runs the deferred functions after each step, because a function deferred by a component may still
// refer to it.
node::~node() {
    if (loop_ == nullptr) {
        return;
    }
    feed_.reset();
    admin_.reset();
    loop_->run_deferred();
    caller_proxy_.reset();
    loop_->run_deferred();
    target_proxy_.reset();
    loop_->run_deferred();
    links_.reset();
    loop_->run_deferred();
}

base::result<std::unique_ptr<node>> node::create(const base::runtime_clock& clock,
                                                 config::settings settings,
                                                 environment environment) {
    std::unique_ptr<node> created(new node(clock, std::move(settings), std::move(environment)));
    const base::result<bool> opened = created->open();
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    return created;
}

base::result<bool> node::open() {
    auto loop = net::event_loop::create(clock_);
    if (!loop) {
        return tl::unexpected(loop.error());
    }
    loop_ = std::move(*loop);
    drain_timer_ = std::make_unique<net::timer>(*loop_);
    tick_timer_ = std::make_unique<net::timer>(*loop_);
    links_ = std::make_unique<link_pool>(*loop_, identity_, traffic_, events_, *this);
    members_ = std::make_unique<member_view>(clock_, settings_.host_, configuration_, *links_,
                                             events_, metrics_);
    auto created_target_proxy =
        target_proxy::create(*loop_, settings_, environment_.headers_, identity_, configuration_,
                             response_memory_, traffic_, events_, *this);
    if (!created_target_proxy) {
        return tl::unexpected(created_target_proxy.error());
    }
    target_proxy_ = std::move(*created_target_proxy);
    auto created_caller_proxy = caller_proxy::create(
        {*loop_, settings_, environment_.headers_, identity_, configuration_, quota_, retry_loans_,
         *links_, members_->known(), response_memory_, metrics_, events_,
         [this] { target_proxy_->record_failed_nested_call(); },
         [this] { return target_proxy_->repeat_share(); }});
    if (!created_caller_proxy) {
        return tl::unexpected(created_caller_proxy.error());
    }
    caller_proxy_ = std::move(*created_caller_proxy);
    if (auto admin = open_admin(); !admin) {
        return admin;
    }
    configuration_.on_accepted([this](control::config_value_kind kind) { on_accepted(kind); });
    loop_->set_stall_handler([this] {
        quota_.on_stall();
        members_->on_stall();
        record("stalled", {});
    });
    open_feed();
    tick();
    record("started", {{"callers", base::to_string(settings_.caller_listen_address_)},
                       {"peers", base::to_string(settings_.peer_listen_address_)}});
    return true;
}

void node::open_feed() {
    control::config_feed_callbacks callbacks;
    callbacks.published_ = [this](control::config_value_kind kind, std::int64_t version,
                                  const std::vector<std::string>& lines) {
        on_published(kind, version, lines);
    };
    callbacks.confirmed_ = [this](base::instant confirmed_at) {
        configuration_.confirm(confirmed_at);
    };
    callbacks.failed_ = [this](const base::error& error) {
        // A rejected value fails too, but from a platform that answers.
        gossip_.set_platform_failing(!feed_->platform_available());
        record("platform_failed", {{"error", error.message_}});
    };
    callbacks.recovered_ = [this] {
        gossip_.set_platform_failing(false);
        record("platform_answers", {});
    };
    callbacks.restored_ = [this](std::int64_t era, std::int64_t revision) {
        record("platform_restored",
               {{"era", std::to_string(era)}, {"revision", std::to_string(revision)}});
    };
    callbacks.hold_changed_ = [this](const control::platform_hold& hold) { on_hold(hold); };
    feed_ = environment_.make_feed_(*loop_, settings_, std::move(callbacks));
}

void node::on_hold(const control::platform_hold& hold) {
    record("missing_entries_kept", {{"holding", hold.active_ ? "true" : "false"},
                                    {"count", std::to_string(hold.missing_targets_.size())},
                                    {"restored", hold.restored_ ? "true" : "false"}});
    configuration_.set_hold(hold);
    record_target_changes("hold");
}

// Runs the periodic work of the controllers.
void node::tick() {
    if (const auto current_as_of = feed_->current_as_of()) {
        gossip_.record_own_reads(*current_as_of);
    }
    gossip_.tick(feed_->platform_available());
    set_current_reads();
    quota_.tick();
    retry_loans_.tick();
    members_->tick();
    tick_timer_->start(tick_interval, [this] { tick(); });
}

// Lets the feed read currently as long as this host needs it.
void node::set_current_reads() {
    const bool enabled = gossip_.reads_currently();
    if (enabled == reads_currently_) {
        return;
    }
    reads_currently_ = enabled;
    feed_->set_current_reads(enabled, gossip_.evidence_age());
    record("current_reads", {{"enabled", enabled ? "true" : "false"},
                             {"for_others", gossip_.watches_platform() ? "true" : "false"}});
}

void node::on_accepted(control::config_value_kind kind) {
    gossip_.on_accepted(kind);
    if (kind == control::config_value_kind::hosts) {
        gossip_.on_hosts_changed();
        set_current_reads();
        members_->on_hosts_changed();
        links_->update_hosts(*configuration_.hosts());
        quota_.on_hosts_changed();
        caller_proxy_->expire_stale_targets();
    }
    target_proxy_->on_configuration_changed();
}

void node::on_published(control::config_value_kind kind, std::int64_t version,
                        const std::vector<std::string>& lines) {
    record_offer(kind, version, configuration_.offer_lines(kind, version, lines), platform_source);
}

// Records what became of an offered version. `source` is the peer that offered it, or
// platform_source.
void node::record_offer(control::config_value_kind kind, std::int64_t version,
                        control::offer_outcome outcome, const std::string& source) {
    if (outcome == control::offer_outcome::stale) {
        return;
    }
    std::vector<observe::event_field> fields = {{"value", to_text(kind)},
                                                {"version", std::to_string(version)},
                                                {"outcome", to_text(outcome)}};
    if (outcome == control::offer_outcome::rejected) {
        fields.push_back({"error", configuration_.state(kind).rejected_->message_});
    }
    if (source == platform_source) {
        record("configuration", std::move(fields));
    } else {
        fields.push_back({"peer", source});
        record("configuration_from_peer", std::move(fields));
    }
    if (outcome == control::offer_outcome::accepted && kind == control::config_value_kind::rules) {
        record_unknown_regions();
    }
    if (outcome == control::offer_outcome::accepted && kind == control::config_value_kind::hosts) {
        record_outdated_targets();
        record_target_changes(source);
    }
}

// Records which targets the host list in force shows in a state that is older than the known one.
void node::record_outdated_targets() {
    const std::set<std::string>& outdated = configuration_.outdated_targets();
    if (outdated.empty()) {
        return;
    }
    const std::vector<std::string> names(outdated.begin(), outdated.end());
    record("outdated_entries_ignored",
           {{"count", std::to_string(names.size())}, {"targets", join_names(names)}});
}

// Records which targets the host list in force adds, marks as leaving or removes.
void node::record_target_changes(const std::string& source) {
    const config::host_list_changes changes =
        config::changes_between(*recorded_hosts_, *configuration_.hosts());
    record_evacuations(*recorded_hosts_, source);
    recorded_hosts_ = configuration_.hosts();
    if (config::is_empty(changes)) {
        return;
    }
    record("targets_changed", {{"version", std::to_string(recorded_hosts_->version_)},
                               {"source", source},
                               {"added", join_names(changes.added_)},
                               {"returned", join_names(changes.returned_)},
                               {"leaving", join_names(changes.leaving_)},
                               {"removed", join_names(changes.removed_)}});
}

// Records the regions that the rules in force name but no zone is in, each once.
void node::record_unknown_regions() {
    for (const std::string& region : config::unknown_regions(*configuration_.rules())) {
        if (recorded_unknown_regions_.insert(region).second) {
            record(
                "unknown_region",
                {{"region", region},
                 {"remedy", "the name allows no target; correct it in the rules or add a zone"}});
        }
    }
}

// Records which evacuations of zones begin or end with the host list in force.
void node::record_evacuations(const config::host_list& before, const std::string& source) {
    const config::host_list& hosts = *configuration_.hosts();
    const policy::evacuation_changes changes =
        policy::changes_between(before.evacuated_zones_, hosts.evacuated_zones_);
    const auto record_zone = [&](const char* event, const std::string& zone) {
        const auto targets =
            std::count_if(hosts.hosts_.begin(), hosts.hosts_.end(),
                          [&](const config::host_entry& host) { return host.zone_ == zone; });
        record(event, {{"zone", zone},
                       {"version", std::to_string(hosts.version_)},
                       {"source", source},
                       {"hosts", std::to_string(targets)}});
    };
    for (const std::string& zone : changes.started_) {
        record_zone("evacuation_started", zone);
    }
    for (const std::string& zone : changes.withdrawn_) {
        record_zone("evacuation_withdrawn", zone);
    }
}

void node::run() {
    loop_->run();
    record("stopped", {});
}

void node::reload(config::settings settings) {
    loop_->post([this, new_settings = std::move(settings)] {
        settings_.drain_bound_ = new_settings.drain_bound_;
        settings_.drain_idle_ = new_settings.drain_idle_;
        settings_.freshness_bound_ = new_settings.freshness_bound_;
        settings_.retry_ratio_ = new_settings.retry_ratio_;
        settings_.retry_slack_ = new_settings.retry_slack_;
        settings_.retry_window_ = new_settings.retry_window_;
        settings_.min_share_ = new_settings.min_share_;
        settings_.hedging_max_share_ = new_settings.hedging_max_share_;
        settings_.locality_ = new_settings.locality_;
        record("reloaded", {});
    });
}

void node::on_peer_versions(const std::string& peer, const wire::config_versions& versions,
                            const control::frame_sender& reply) {
    links_->on_peer_connected(peer);
    members_->on_heard(peer, 0, clock_.now());
    gossip_.on_versions(peer, versions, reply);
}

void node::on_peer_unanswered(const std::string& peer, base::instant sent_at, bool link_silent) {
    members_->on_unanswered(peer, sent_at, link_silent);
}

void node::on_peer_heard(const std::string& peer, std::int64_t boot, base::instant heard_at) {
    members_->on_heard(peer, boot, heard_at);
}

bool node::is_reported_silent(const std::string& peer) const {
    return policy::is_confirmed_by_others(members_->known(), peer);
}

bool node::reachable(const std::string& host) const {
    return links_->is_reachable(host) && !members_->is_silent(host);
}

bool node::absent(const std::string& host) const {
    return links_->is_absent(host);
}

void node::on_control_frame(const std::string& peer, wire::frame&& frame,
                            const control::frame_sender& reply) {
    wire::frame reply_frame;
    if (frame.__isset.view_question_) {
        reply_frame.__set_view_answer_(gossip_.on_view_request(peer, frame.view_question_, reply));
        reply(reply_frame);
    } else if (frame.__isset.view_answer_) {
        gossip_.on_view_reply(peer, frame.view_answer_, reply);
    } else if (frame.__isset.pull_) {
        on_pull(peer, frame.pull_, reply);
    } else if (frame.__isset.busy_) {
        gossip_.on_busy(peer, frame.busy_);
    } else if (frame.__isset.update_) {
        on_update(peer, frame.update_, reply);
    } else if (frame.__isset.lease_request_) {
        if (const auto grant = quota_.on_request(frame.lease_request_, peer)) {
            reply_frame.__set_lease_grant_(*grant);
            reply(reply_frame);
        }
    } else if (frame.__isset.lease_grant_) {
        quota_.on_grant(frame.lease_grant_);
    } else if (frame.__isset.retry_loan_request_) {
        reply_frame.__set_retry_loan_(
            control::retry_loans::on_request(frame.retry_loan_request_, *caller_proxy_));
        reply(reply_frame);
    } else if (frame.__isset.retry_loan_) {
        retry_loans_.on_reply(frame.retry_loan_);
    } else if (frame.__isset.membership_) {
        members_->on_notice(peer, frame.membership_);
    }
}

void node::on_pull(const std::string& peer, const wire::config_pull& pull,
                   const control::frame_sender& reply) {
    const auto sent = gossip_.on_pull(peer, pull, reply);
    if (sent && sent->lines_ > 0) {
        record("configuration_sent", {{"value", to_text(sent->kind_)},
                                      {"base", std::to_string(sent->base_)},
                                      {"version", std::to_string(sent->version_)},
                                      {"lines", std::to_string(sent->lines_)},
                                      {"bytes", std::to_string(sent->bytes_)},
                                      {"peer", peer}});
    }
}

void node::on_update(const std::string& peer, const wire::config_update& update,
                     const control::frame_sender& reply) {
    const auto kind = update.value == wire::config_value::rules ? control::config_value_kind::rules
                                                                : control::config_value_kind::hosts;
    record_offer(kind, update.version, gossip_.on_update(peer, update, reply), peer);
}

void node::send(const std::string& host, const wire::frame& frame) {
    if (const config::host_entry* entry = config::find_host(*configuration_.hosts(), host)) {
        links_->link_to(*entry).send_control(frame);
    }
}

void node::on_peer_draining(const std::string& peer, bool draining) {
    caller_proxy_->set_draining(peer, draining);
}

void node::on_target_report(const wire::target_report& report) {
    caller_proxy_->record_report(report);
}

void node::record(std::string_view kind, std::vector<observe::event_field> fields) {
    events_.record(clock_.wall_ms(), kind, std::move(fields));
}

}  // namespace dandelionridge::node
