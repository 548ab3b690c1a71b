// Messages between the processes of the fleet. One frame carries exactly one message. It is encoded
// in Thrift's compact protocol and preceded by its length, a 32-bit big-endian number.
namespace cpp dandelionridge.wire

// Identifies one execution attempt of a request. Unique within one boot of the caller proxy that
// assigns it: links are numbered from 1, and attempts from 1 on each link.
struct attempt_ref {
    1: i64 link
    2: i64 sequence
}

// Versions of the configuration values that the sender has in force.
struct config_versions {
    1: i64 rules
    2: i64 hosts
    // Age in milliseconds of the newest confirmation by the platform that the sender knows of.
    3: i64 confirmed_age_ms
}

struct header_field {
    1: string name
    2: string value
}

// State of a target, as reported by its target proxy.
struct target_report {
    1: string target
    // Attempts that hold a slot, and attempts that wait for one.
    2: i32 running
    3: i32 waiting
    4: i32 slots
    // Mean duration of a run at present, in milliseconds; zero if unknown.
    5: i32 run_ms
    6: bool ejected
    // The target accepts single idempotent requests until one succeeds.
    7: bool on_trial
    // Probability that the target is failing, in percent.
    8: i32 suspicion
    // The target has had no requests for a while. Its target proxy asks for an idempotent request,
    // which would show whether the target is healthy.
    9: bool idle
    // As run_ms, for each kind of run in the order of policy::run_kind; zero where unknown.
    10: list<i32> run_ms_by_kind
    // The target reported in a response that it is leaving.
    11: bool leaving
    // Start of the target, in milliseconds since 1970; zero if unknown. A target of the same name
    // that was started at another time is another one.
    12: i64 started_ms
    // Requests per second that the target takes from the whole fleet, if it names a limit.
    13: optional double rate_limit
}

// First frame on a link, from the side that opened it.
struct hello {
    1: i64 boot
    2: i64 link
    3: string host
    4: string zone
    5: config_versions versions
}

// Reply to hello. A link that is not accepted carries no further frame.
struct welcome {
    1: i64 boot
    2: string host
    3: bool accepted
    4: bool draining
    5: config_versions versions
    6: optional target_report report
    // The sender grants credit for the body of an attempt with body_waits.
    21: optional bool grants_body
}

// Starts one attempt. Written once, on the link that numbers it.
struct attempt_begin {
    1: attempt_ref attempt
    // Expected boot of the target proxy. A target proxy with another boot refuses the attempt.
    2: i64 guard_boot
    3: string request_id
    4: string organisation
    5: string key_id
    6: i64 rules_version
    7: string service_name
    8: string target_name
    9: string method
    10: string path
    11: list<header_field> headers
    12: optional i64 body_length
    // Time left until the deadline of the request, in milliseconds.
    13: i32 deadline_ms
    14: bool idempotent
    // Service of the target on the host where the request began; empty if there is none.
    15: string caller_service
    // Time left until the response misses its latency objective, in milliseconds; negative if it
    // already has, 0 if there is no objective.
    16: i32 objective_ms
    // Priority of the request; 0 is served first.
    17: i32 priority
    // The request was made by a target while that target runs another request.
    18: bool nested
    // False if the attempt must be refused at once when it cannot run immediately.
    19: bool may_wait
    // The target is used although it is ejected or on trial, because too few others are left. Its
    // target proxy does not refuse the attempt for that reason.
    20: bool allow_ejected
    // The body is sent in chunks, without a length.
    21: bool chunked_body
    // The route is of kind download. Durations of such runs are estimated separately.
    22: bool download
    // The request was sent to another target before.
    23: bool repeat
    // Rate limit of the target according to the report that the caller proxy received last. A target
    // proxy that was restarted applies it until the target's first response.
    24: optional double target_rate_limit
    // Number of bytes of the response's body that may be in flight to the caller proxy.
    25: optional i32 response_window
    // No part of the body is sent before the target proxy grants credit for it, which it does once
    // the attempt has a slot. Set only if the link's welcome has grants_body.
    31: optional bool body_waits
}

struct body_part {
    1: attempt_ref attempt
    2: binary bytes
    3: bool last
    // False on the last part if the end of the body could not be confirmed, so that the body may be
    // incomplete.
    4: bool whole
}

// Flow control: the receiver of a body accepts this many more bytes.
struct body_credit {
    1: attempt_ref attempt
    2: i32 bytes
}

struct attempt_cancel {
    1: attempt_ref attempt
}

struct answer_head {
    1: attempt_ref attempt
    2: i32 status
    3: list<header_field> headers
    4: optional i64 length
    6: optional target_report report
}

enum refusal_reason {
    target_unknown = 1
    target_unreachable = 2
    target_busy = 3
    key_withdrawn = 4
    configuration_lag = 5
    configuration_stale = 6
    wrong_boot = 7
    draining = 8
    deadline = 9
    overload = 10
    duplicate = 11
    target_ejected = 12
}

// The attempt did not run and never will.
struct attempt_refused {
    1: attempt_ref attempt
    2: refusal_reason reason
    3: i32 retry_after_ms
    4: optional target_report report
    // Version of the rules under which the target proxy decided.
    5: optional i64 rules_version
}

enum failure_reason {
    target_closed = 1
    target_timeout = 2
    answer_broken = 3
    answer_lost = 4
    // The target closed a kept connection before it responded. It may just have dropped the idle
    // connection, so this does not count as a failure of the target.
    connection_lost = 5
}

// The attempt may have run, and there is no complete response.
struct attempt_failed {
    1: attempt_ref attempt
    2: failure_reason reason
    3: optional target_report report
}

// Permanently bars a link, so that no further attempt on it is accepted, and requests the states of
// attempts on it.
struct resolve {
    1: i64 link
    2: i64 guard_boot
    3: list<i64> sequences
}

// State of an attempt, as reported when its link is queried. If it is running or done, its response
// follows on the link of the query, or attempt_failed with answer_lost if the response is not kept
// in full.
enum attempt_state {
    // The attempt did not run and never will.
    not_run = 1
    // The attempt holds a slot or is on its way to the target. Its response follows when it ends.
    running = 2
    // The attempt ran and has ended. Its response follows if it is kept.
    done = 3
    // The attempt may have run.
    unknown = 4
}

struct resolved_attempt {
    1: i64 sequence
    2: attempt_state state
}

struct resolution {
    1: i64 link
    2: list<resolved_attempt> attempts
}

struct ping {
    1: i64 nonce
    2: config_versions versions
}

struct pong {
    1: i64 nonce
    2: config_versions versions
    3: optional target_report report
}

// The sender is shutting down and accepts no new attempts.
struct drain_notice {
    1: string host
}

enum config_value {
    rules = 1
    hosts = 2
}

// Requests a configuration value if the receiver has a newer version than `have`.
struct config_pull {
    1: config_value value
    2: i64 have
    // Digest of all lines of version `have`, as in config_update.
    3: optional i64 digest
    // The sender takes updates with packed lines.
    4: optional bool takes_packed
}

// The lines of an update.
struct changed_lines {
    1: list<string> removed
    2: list<string> added
}

// Changes a configuration value from version `base` to version `version`. Version 0 is empty.
struct config_update {
    1: config_value value
    2: i64 base
    3: i64 version
    // Lines to remove and to add.
    4: list<string> removed
    5: list<string> added
    // Digest of all lines of the new version, independent of their order.
    6: i64 digest
    // In place of the lines: changed_lines in the compact protocol, compressed by zlib (RFC 1950),
    // and its size in bytes before that.
    7: optional binary packed
    8: optional i32 unpacked_bytes
}

// Reply to config_pull: the sender has sent so much of late that it sends no copy at present.
struct config_busy {
    1: config_value value
    2: i64 version
    // Hosts that were sent this version and may send it on.
    3: list<string> hosts
}

// Requests the versions of a peer. The reply shows how recent the requester's view is.
struct view_question {
    1: i64 nonce
    2: config_versions versions
}

struct view_answer {
    1: i64 nonce
    2: config_versions versions
    // Time in milliseconds for which a change at the platform may be missing from the rules that
    // the sender passes on. Set if the sender knows it.
    3: optional i32 rules_age_ms
    // The same for the host list, if it is another time.
    4: optional i32 hosts_age_ms
}

// Requests tokens of an organisation's quota.
struct lease_request {
    // Number of the request, which the reply repeats.
    1: i64 request
    2: string organisation
    3: i32 tokens
    // The sender passes on the request of a host that may not reach the owner itself.
    4: optional bool relayed
    // An owner that ranks before the receiver has not replied to the sender: the receiver, which
    // may have to take over, checks the owners that rank before it.
    5: optional bool owner_silent
    // The sender takes over and asks whether the receiver reaches an owner that ranks before it.
    6: optional bool asks_support
}

// Reply to lease_request. Grants tokens that the requester may use for a short time.
struct lease_grant {
    1: i64 request
    2: string organisation
    3: i32 tokens
    // Time after which a new request may succeed, in milliseconds.
    4: i32 retry_after_ms
    // False if the sender does not act as the owner of the organisation's quota.
    5: bool granting
    // The sender has begun to act as the owner and grants tokens after retry_after_ms.
    6: optional bool taking_over
    // Reply to asks_support: the sender reaches no owner that ranks before the requester.
    7: optional bool supports
}

// Asks the receiver to charge a retry of a request to the service to its own share of the retry
// budget, so that the sender may retry the request.
struct retry_loan_request {
    // Number of the request, which the reply repeats.
    1: i64 request
    2: string service_name
}

// Reply to retry_loan_request.
struct retry_loan {
    1: i64 request
    // The retry was charged to the sender's share of the budget.
    2: bool granted
}

enum host_state {
    alive = 1
    // The host left a ping of the reporter unanswered.
    suspected = 2
    // As suspected, and the sender knows of a second source.
    silent = 3
}

struct host_notice {
    1: string host
    // Short form of the boot that the notice is about, from 1.
    2: i32 boot_tag
    3: host_state state
    // Time since the beginning of the silence or, if the host is alive, since it was heard.
    4: i32 age_ms
    // The host that found it, if it is not the sender.
    5: optional string reporter
}

// What the sender knows of other hosts. Needs no reply.
struct membership_notice {
    1: list<host_notice> hosts
}

struct frame {
    1: optional hello hello_
    2: optional welcome welcome_
    3: optional attempt_begin begin_
    4: optional body_part body_
    5: optional body_credit credit_
    6: optional attempt_cancel cancel_
    7: optional answer_head head_
    8: optional attempt_refused refused_
    9: optional attempt_failed failed_
    10: optional resolve resolve_
    11: optional resolution resolution_
    12: optional ping ping_
    13: optional pong pong_
    14: optional drain_notice drain_
    15: optional config_pull pull_
    16: optional config_update update_
    17: optional lease_request lease_request_
    18: optional lease_grant lease_grant_
    19: optional target_report report_
    20: optional view_question view_question_
    21: optional view_answer view_answer_
    22: optional config_busy busy_
    23: optional membership_notice membership_
    24: optional retry_loan_request retry_loan_request_
    25: optional retry_loan retry_loan_
}
