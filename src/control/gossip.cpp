#include "control/gossip.h"

#include <algorithm>
#include <map>
#include <utility>

#include "config/line_history.h"
#include "control/packed_update.h"

namespace dandelionridge::control {

namespace {

// Number of hosts picked at random for version requests, for each list of hosts and round.
constexpr std::size_t sampled_hosts = 2;
// Further delay of a pull from another zone, in which a peer of the own zone may offer the version.
constexpr base::duration other_zone_delay = base::milliseconds(250);
// Number of rounds between the hosts that watch the platform in one round of the others: what such
// a host lacks, all others of its zone lack too.
constexpr int watcher_rounds = 2;
// Delay of a pull between hosts that watch the platform, in which the own watch may still deliver.
constexpr base::duration watcher_pull_delay = base::milliseconds(150);
constexpr base::duration pending_request_expiry = base::seconds(10);
// Time after which a process with a configuration serves even if it could not compare it with its
// peers.
constexpr base::duration max_sync_wait = base::seconds(2);
// Interval at which a host without recent evidence asks hosts that do not watch the platform.
constexpr base::duration search_interval = base::milliseconds(250);
// A pull that has been without a reply for this long may have failed, as far as the bounds on
// changes are concerned.
constexpr base::duration usual_reply_time = base::milliseconds(400);
// Time after the start in which a host neither expects replies nor needs them: it has just read the
// platform, and its links are opened.
constexpr base::duration start_time = base::milliseconds(1500);
// Age reported for any older confirmation, and while there was none.
constexpr std::int64_t max_reported_age_ms = 1'000'000'000;

config_value_kind to_kind(wire::config_value value) {
    return value == wire::config_value::rules ? config_value_kind::rules : config_value_kind::hosts;
}

wire::config_value to_wire(config_value_kind kind) {
    return kind == config_value_kind::rules ? wire::config_value::rules : wire::config_value::hosts;
}

// Makes a request for a newer version of the value than the known lines.
wire::frame make_pull(config_value_kind kind, const known_lines& known) {
    wire::frame frame;
    frame.__isset.pull_ = true;
    frame.pull_.value = to_wire(kind);
    frame.pull_.have = known.version_;
    frame.pull_.__set_takes_packed(true);
    if (known.digest_) {
        frame.pull_.__set_digest(static_cast<std::int64_t>(*known.digest_));
    }
    return frame;
}

known_lines to_known_lines(const wire::config_pull& pull) {
    known_lines known{pull.have, std::nullopt};
    if (pull.__isset.digest) {
        known.digest_ = static_cast<std::uint64_t>(pull.digest);
    }
    return known;
}

wire::frame make_update(config_value_kind kind, config::line_delta delta) {
    wire::frame frame;
    frame.__isset.update_ = true;
    frame.update_.value = to_wire(kind);
    frame.update_.base = delta.base_;
    frame.update_.version = delta.version_;
    frame.update_.removed = std::move(delta.removed_);
    frame.update_.added = std::move(delta.added_);
    frame.update_.digest = static_cast<std::int64_t>(delta.digest_);
    return frame;
}

wire::frame make_busy(config_value_kind kind, std::int64_t version,
                      std::vector<std::string> other_sources) {
    wire::frame frame;
    frame.__isset.busy_ = true;
    frame.busy_.value = to_wire(kind);
    frame.busy_.version = version;
    frame.busy_.hosts = std::move(other_sources);
    return frame;
}

// States how old the evidence for each value is. Without any, the reply says nothing of it.
void set_evidence(wire::view_answer& reply, const policy::evidence_times& evidence,
                  base::instant now) {
    const auto age_ms = [&](base::instant as_of) {
        return static_cast<std::int32_t>(
            std::min(base::whole_ms(now - as_of), max_reported_age_ms));
    };
    if (evidence == policy::evidence_times{}) {
        return;
    }
    reply.__set_rules_age_ms(age_ms(evidence.rules_));
    if (age_ms(evidence.hosts_) != reply.rules_age_ms) {
        reply.__set_hosts_age_ms(age_ms(evidence.hosts_));
    }
}

}  // namespace

gossip::gossip(const base::runtime_clock& clock, configuration& configuration, peer_sender& peers,
               gossip_options options, base::random_engine random)
    : clock_(clock),
      configuration_(configuration),
      peers_(peers),
      options_(std::move(options)),
      random_(random),
      started_at_(clock.now()),
      copy_budget_(policy::make_copy_budget(options_.link_bytes_per_second_, clock.now())) {
    view_.self_ = options_.host_;
    watchers_.next_zone_ = random_();
    watchers_.next_other_ = random_();
}

void gossip::on_hosts_changed() {
    std::vector<std::string> members;
    std::map<std::string, std::vector<std::string>> hosts_by_zone;
    other_zone_hosts_.clear();
    for (const config::host_entry& host : configuration_.hosts()->hosts_) {
        (host.zone_ == options_.zone_ ? members : other_zone_hosts_).push_back(host.name_);
        hosts_by_zone[host.zone_].push_back(host.name_);
    }
    policy::set_members(view_, configuration_.version(config_value_kind::hosts),
                        std::move(members));
    policy::set_hosts(watchers_, hosts_by_zone, options_.zone_, options_.host_, absent_check());
    if (!synchronized_) {
        next_round_ = {};
    }
}

wire::config_versions gossip::versions() const {
    wire::config_versions versions;
    versions.rules = configuration_.shared_version(config_value_kind::rules);
    versions.hosts = configuration_.shared_version(config_value_kind::hosts);
    const auto age = base::whole_ms(configuration_.confirmed_age(clock_.now()));
    versions.confirmed_age_ms =
        configuration_.rejects_newest() ? max_reported_age_ms : std::min(age, max_reported_age_ms);
    return versions;
}

base::duration gossip::freshness_age() const {
    const base::instant now = clock_.now();
    const base::instant last_contact = policy::latest_majority_contact(view_, now);
    // A host that is alone in its zone has no peer that could confirm its view.
    const base::duration by_zone =
        view_.members_.size() > 1 ? now - last_contact : base::duration::max();
    return std::min(configuration_.confirmed_age(now), by_zone);
}

bool gossip::synchronized() {
    const base::instant now = clock_.now();
    if (synchronized_ || !configuration_.ready()) {
        return synchronized_;
    }
    if (!options_.strict_) {
        synchronized_ = true;
        return true;
    }
    if (!ready_at_) {
        ready_at_ = now;
    }
    const bool zone_contacted = policy::latest_majority_contact(view_, now) > base::instant{};
    const bool contacted = zone_contacted && (other_zone_replied_ || other_zone_hosts_.empty());
    const bool outdated = newest_rules_seen_ > configuration_.version(config_value_kind::rules) ||
                          view_.newest_seen_ > configuration_.version(config_value_kind::hosts);
    synchronized_ = (contacted && !outdated) || now - *ready_at_ > max_sync_wait;
    return synchronized_;
}

void gossip::tick(bool platform_available) {
    const base::instant now = clock_.now();
    pull_from_known_source(config_value_kind::rules);
    pull_from_known_source(config_value_kind::hosts);
    note_passed_on_evidence();
    if (!options_.strict_) {
        check_evidence(platform_available);
    }
    if (!options_.strict_ && watches_platform()) {
        exchange_between_watchers(now);
    }
    if (now < next_round_) {
        return;
    }
    next_round_ = now + options_.interval_;
    policy::choose_watchers(watchers_, absent_check());
    std::erase_if(pending_requests_, [&](const auto& entry) {
        return now - entry.second.requested_at_ > pending_request_expiry;
    });
    request_views(platform_available);
}

void gossip::request_views(bool platform_available) {
    if (options_.strict_) {
        for (const std::string& member : view_.members_) {
            if (member != options_.host_) {
                request_view(member);
            }
        }
        request_some_views(other_zone_hosts_);
        return;
    }
    if (!watches_platform()) {
        request_watchers_view();
    }
    if (!platform_available) {
        request_some_views(view_.members_);
        request_some_views(other_zone_hosts_);
    }
}

// Returns true if a newer version has been known for so short a time that it is about to be pulled.
// Further requests would add to the load of the hosts that send it.
bool gossip::pulls_from_peer() const {
    const base::duration usual_pull_time = options_.platform_lead_ + 2 * options_.interval_;
    const auto pulls = [&](const value_exchange& exchange) {
        const policy::config_pull& pull = exchange.pull_;
        const bool has_source =
            std::any_of(pull.sources_.begin(), pull.sources_.end(),
                        [&](const auto& source) { return peers_.reachable(source.peer_); });
        return pull.behind_since_ && has_source &&
               clock_.now() - *pull.behind_since_ < usual_pull_time;
    };
    return pulls(rules_exchange_) || pulls(hosts_exchange_);
}

void gossip::request_watchers_view() {
    if (waits_for_pull()) {
        return;
    }
    request_views_of(policy::watchers_to_ask(watchers_, reachable_check(), clock_.now()));
}

void gossip::request_views_of(const std::vector<std::string>& hosts) {
    for (const std::string& host : hosts) {
        request_view(host);
    }
}

void gossip::record_own_reads(base::instant current_as_of) {
    policy::merge(evidence_.own_, {current_as_of, current_as_of});
}

// Keeps the evidence for what peers may pull: there is none for a value whose newest version was
// rejected here, nor for a host list that is not passed on.
void gossip::note_passed_on_evidence() {
    passed_on_evidence_ = evidence();
    if (configuration_.rejects_newest(config_value_kind::rules)) {
        passed_on_evidence_.rules_ = {};
    }
    if (configuration_.rejects_newest(config_value_kind::hosts) ||
        !configuration_.is_shared(config_value_kind::hosts)) {
        passed_on_evidence_.hosts_ = {};
    }
}

// Returns the evidence that a reply shows. A peer that does not name its age goes by the platform's
// confirmation, which says nothing of what it passes on.
policy::evidence_times gossip::evidence_in(const wire::view_answer& reply,
                                           base::instant requested_at) const {
    if (reply.__isset.rules_age_ms) {
        // No evidence is newer than the question, whatever a peer says.
        const std::int32_t rules_age_ms = std::max(0, reply.rules_age_ms);
        const std::int32_t hosts_age_ms =
            reply.__isset.hosts_age_ms ? std::max(0, reply.hosts_age_ms) : rules_age_ms;
        return {requested_at - base::milliseconds(rules_age_ms),
                requested_at - base::milliseconds(hosts_age_ms)};
    }
    const bool confirmed =
        base::milliseconds(reply.versions.confirmed_age_ms) <= options_.max_view_age_;
    return confirmed ? policy::evidence_times{requested_at, requested_at}
                     : policy::evidence_times{};
}

// Takes over a peer's evidence for each value, at once or as soon as this host has the peer's
// version.
void gossip::record_peer_evidence(const wire::config_versions& versions,
                                  const policy::evidence_times& shown) {
    policy::record_pending(evidence_.pending_rules_, versions.rules, shown.rules_);
    policy::record_pending(evidence_.pending_hosts_, versions.hosts, shown.hosts_);
    apply_pending_evidence();
}

void gossip::apply_pending_evidence() {
    // A version that was rejected here cannot be put in force, whatever the evidence.
    const auto known_version = [&](config_value_kind kind) {
        const auto& rejected = configuration_.state(kind).rejected_;
        return std::max(configuration_.version(kind), rejected ? rejected->version_ : 0);
    };
    const base::instant rules =
        policy::take_evidence(evidence_.pending_rules_, known_version(config_value_kind::rules));
    const base::instant hosts =
        policy::take_evidence(evidence_.pending_hosts_, known_version(config_value_kind::hosts));
    policy::merge(evidence_.by_peers_, {rules, hosts});
}

// Returns true if a newer version is on its way, so that missing evidence is no reason to read the
// platform. A pull that takes unusually long may have failed.
bool gossip::waits_for_pull() const {
    const auto is_overdue = [&](const value_exchange& exchange) {
        const auto& outstanding = exchange.pull_.outstanding_;
        return outstanding && clock_.now() - outstanding->sent_at_ >= usual_reply_time;
    };
    return pulls_from_peer() && !is_overdue(rules_exchange_) && !is_overdue(hosts_exchange_);
}

// Looks for evidence elsewhere where the hosts that watch the platform do not show any: at those of
// other zones, at any host, and at the platform itself.
void gossip::check_evidence(bool platform_available) {
    const base::instant now = clock_.now();
    const bool just_started = now - started_at_ < start_time;
    if (watches_platform() || !platform_available || just_started) {
        policy::skip_check(evidence_);
        return;
    }
    if (waits_for_pull()) {
        return;
    }
    request_views_of(policy::watchers_after_silence(watchers_, reachable_check(), now));
    policy::check_evidence(evidence_, watchers_.asked_at_, configuration_.hosts()->hosts_.size(),
                           random_);
    if (policy::lacks_evidence(evidence_) && !evidence_.reads_currently_ && now >= next_search_) {
        next_search_ = now + search_interval;
        request_some_views(view_.members_);
    }
}

// Requests the view of one other host that watches the platform.
void gossip::exchange_between_watchers(base::instant now) {
    if (now < next_watcher_round_) {
        return;
    }
    next_watcher_round_ = now + options_.interval_ / watcher_rounds;
    if (const auto watcher = policy::next_watcher(watchers_, reachable_check())) {
        request_view(*watcher);
    }
}

// Requests the view of other zones' watching hosts if that of the own zone learns nothing new.
void gossip::record_watcher_reply(const std::string& peer, bool recent) {
    if (watches_platform() || options_.strict_) {
        return;
    }
    for (const std::string& other :
         policy::record_reply(watchers_, peer, recent, reachable_check())) {
        request_view(other);
    }
}

policy::reachable_check gossip::reachable_check() const {
    return [this](const std::string& host) { return peers_.reachable(host); };
}

policy::absent_check gossip::absent_check() const {
    return [this](const std::string& host) { return peers_.absent(host); };
}

void gossip::request_some_views(const std::vector<std::string>& hosts) {
    for (std::size_t i = 0; i < sampled_hosts && !hosts.empty(); ++i) {
        const std::string& peer = hosts[base::random_below(random_, hosts.size())];
        if (peer != options_.host_) {
            request_view(peer);
        }
    }
}

void gossip::request_view(const std::string& peer) {
    wire::frame frame;
    frame.__isset.view_question_ = true;
    frame.view_question_.nonce = next_nonce_++;
    frame.view_question_.versions = versions();
    pending_requests_[frame.view_question_.nonce] = {peer, clock_.now()};
    peers_.send(peer, frame);
}

wire::view_answer gossip::on_view_request(const std::string& peer,
                                          const wire::view_question& request,
                                          const frame_sender& send_reply) {
    on_versions(peer, request.versions, send_reply);
    wire::view_answer reply;
    reply.nonce = request.nonce;
    reply.versions = versions();
    set_evidence(reply, passed_on_evidence_, clock_.now());
    return reply;
}

void gossip::on_view_reply(const std::string& peer, const wire::view_answer& reply,
                           const frame_sender& send_reply) {
    const auto found = pending_requests_.find(reply.nonce);
    if (found == pending_requests_.end() || found->second.peer_ != peer) {
        return;
    }
    const base::instant requested_at = found->second.requested_at_;
    pending_requests_.erase(found);
    policy::record_exchange(view_, peer, {requested_at, reply.versions.hosts});
    // The peer measured the age after the request was sent, so the platform's confirmation is not
    // older than that age before the request.
    other_zone_replied_ = other_zone_replied_ || !is_in_zone(peer);
    const base::instant confirmed_at =
        requested_at - base::milliseconds(reply.versions.confirmed_age_ms);
    configuration_.confirm(confirmed_at);
    const policy::evidence_times shown = evidence_in(reply, requested_at);
    // Hosts that read currently for lack of evidence must not end that on each other's account.
    if (!evidence_.reads_currently_ || policy::is_watcher(watchers_, peer)) {
        record_peer_evidence(reply.versions, shown);
    }
    record_watcher_reply(peer, requested_at - policy::oldest(shown) <= options_.interval_);
    on_versions(peer, reply.versions, send_reply);
}

bool gossip::is_in_zone(const std::string& host) const {
    return std::find(view_.members_.begin(), view_.members_.end(), host) != view_.members_.end();
}

base::duration gossip::pull_delay(const std::string& peer) const {
    if (options_.strict_) {
        return base::duration::zero();
    }
    if (platform_failing_ || !reads_currently()) {
        return is_in_zone(peer) ? base::duration::zero() : other_zone_delay;
    }
    if (watches_platform() && policy::is_watcher(watchers_, peer)) {
        return watcher_pull_delay;
    }
    const bool zone_may_offer = !is_in_zone(peer) && watchers_.zone_replied_;
    return options_.platform_lead_ + (zone_may_offer ? other_zone_delay : base::duration::zero());
}

void gossip::on_versions(const std::string& peer, const wire::config_versions& seen,
                         const frame_sender& send_reply) {
    policy::observe_version(view_, seen.hosts);
    newest_rules_seen_ = std::max(newest_rules_seen_, seen.rules);
    pull_if_behind(config_value_kind::rules, seen.rules, peer, send_reply);
    pull_if_behind(config_value_kind::hosts, seen.hosts, peer, send_reply);
}

void gossip::pull_if_behind(config_value_kind kind, std::int64_t version, const std::string& peer,
                            const frame_sender& send_reply) {
    const auto& rejected = configuration_.state(kind).rejected_;
    if (version <= configuration_.version(kind) || (rejected && version == rejected->version_)) {
        return;
    }
    const base::instant now = clock_.now();
    policy::config_pull& pull = exchange_of(kind).pull_;
    policy::add_source(pull, peer, version, now);
    if (policy::may_request(pull, now) && now - *pull.behind_since_ >= pull_delay(peer)) {
        policy::record_request(pull, peer, now);
        send_reply(make_pull(kind, lines_in_force(kind)));
    }
}

// Pulls a version that peers are known to have. Without this, a process whose platform gives out
// older versions would depend on a second message, which an idle peer does not send.
void gossip::pull_from_known_source(config_value_kind kind) {
    const base::instant now = clock_.now();
    policy::config_pull& pull = exchange_of(kind).pull_;
    policy::expire_request(pull, random_, now);
    if (!policy::may_request(pull, now)) {
        return;
    }
    const std::vector<std::string> sources = eligible_sources(pull);
    if (sources.empty()) {
        return;
    }
    const std::string& source = sources[base::random_below(random_, sources.size())];
    policy::record_request(pull, source, now);
    peers_.send(source, make_pull(kind, lines_in_force(kind)));
}

// Returns the sources that can be reached and need not be waited for any longer. A host that is not
// listed here can only be replied to.
std::vector<std::string> gossip::eligible_sources(const policy::config_pull& pull) const {
    const base::duration behind = clock_.now() - *pull.behind_since_;
    std::vector<std::string> eligible;
    for (const policy::config_pull::source& source : pull.sources_) {
        if (behind >= pull_delay(source.peer_) && peers_.reachable(source.peer_)) {
            eligible.push_back(source.peer_);
        }
    }
    return eligible;
}

known_lines gossip::lines_in_force(config_value_kind kind) const {
    const config::versioned_lines& lines = configuration_.state(kind).lines_;
    return {lines.version_, lines.digest_};
}

void gossip::on_accepted(config_value_kind kind) {
    apply_pending_evidence();
    policy::forget_sources_up_to(exchange_of(kind).pull_, configuration_.version(kind));
}

// Returns the update for a pull. Hosts mostly pull the same, so the last one is kept.
const gossip::prepared_update& gossip::prepare_update(config_value_kind kind,
                                                      const wire::config_pull& pull) {
    prepared_update& prepared = exchange_of(kind).prepared_;
    if (prepared.pull_ == pull && prepared.frame_.update_.version == configuration_.version(kind)) {
        return prepared;
    }
    prepared.pull_ = pull;
    // A program that does not take packed lines may expect other lines, too.
    prepared.frame_ = make_update(kind, pull.takes_packed || kind == config_value_kind::hosts
                                            ? configuration_.delta_from(kind, to_known_lines(pull))
                                            : configuration_.all_lines_for_older(kind));
    wire::config_update& update = prepared.frame_.update_;
    prepared.lines_ = update.removed.size() + update.added.size();
    if (pull.takes_packed) {
        pack_lines(update);
    }
    prepared.bytes_ = update.packed.size() + config::total_bytes(update.removed) +
                      config::total_bytes(update.added);
    return prepared;
}

std::optional<sent_value> gossip::on_pull(const std::string& peer, const wire::config_pull& pull,
                                          const frame_sender& send_reply) {
    const config_value_kind kind = to_kind(pull.value);
    const std::int64_t version = configuration_.version(kind);
    if (!configuration_.is_shared(kind) || version <= pull.have) {
        send_reply(make_busy(kind, configuration_.shared_version(kind), {}));
        return std::nullopt;
    }
    const prepared_update& prepared = prepare_update(kind, pull);
    policy::copy_receivers& receivers = exchange_of(kind).receivers_;
    if (prepared.lines_ > 0 && !policy::claim_copy(copy_budget_, prepared.bytes_, clock_.now())) {
        send_reply(make_busy(kind, version, policy::receivers_of(receivers, version)));
        return std::nullopt;
    }
    policy::record_receiver(receivers, version, peer);
    send_reply(prepared.frame_);
    return sent_value{kind, prepared.frame_.update_.base, version, prepared.lines_,
                      prepared.bytes_};
}

void gossip::on_busy(const std::string& peer, const wire::config_busy& busy) {
    const config_value_kind kind = to_kind(busy.value);
    policy::config_pull& pull = exchange_of(kind).pull_;
    if (busy.version <= configuration_.version(kind)) {
        policy::record_no_source(pull, peer);
        return;
    }
    policy::record_busy(pull, peer, busy.version, busy.hosts, random_, clock_.now());
    policy::forget_sources_up_to(pull, configuration_.version(kind));
}

offer_outcome gossip::on_update(const std::string& peer, wire::config_update update,
                                const frame_sender& send_reply) {
    const config_value_kind kind = to_kind(update.value);
    const bool readable = unpack_lines(update).has_value();
    const config::line_delta delta{update.base, update.version, std::move(update.removed),
                                   std::move(update.added),
                                   static_cast<std::uint64_t>(update.digest)};
    // Without its lines, a delta does not match its digest.
    const offer_outcome outcome =
        readable ? configuration_.offer_delta(kind, delta) : offer_outcome::delta_mismatch;
    policy::config_pull& pull = exchange_of(kind).pull_;
    policy::record_reply(pull, peer);
    if (outcome == offer_outcome::rejected) {
        policy::forget_sources_up_to(pull, update.version);
    } else if (outcome == offer_outcome::delta_mismatch) {
        // The lines in force may have changed since the pull.
        const bool other_base = update.base != configuration_.version(kind);
        policy::record_request(pull, peer, clock_.now());
        send_reply(make_pull(kind, other_base ? lines_in_force(kind) : known_lines{}));
    }
    return outcome;
}

}  // namespace dandelionridge::control
