// Checks that an attempt runs at most once and that a status of not_run is true. Models one attempt
// of one caller proxy, the target proxy that receives it, and the retry on another target that a
// status of not_run permits. Mirrors src/policy/sent_attempts and src/policy/attempt_ledger.
//
// Link 0 carries the attempt; later links query its status. The network may deliver frames late,
// even on a link that the caller proxy has given up as lost, and may deliver the begin frame twice.
// The target proxy may restart at any time, before or after the run; frames in transit then reach
// its next boot.
//
// Each switch disables the rule of that name in src/policy/attempt_ledger.h. NO_BOOT also disables
// the caller proxy's comparison of boots.
//
// switches: NO_BOOT NO_BAR NO_WITHDRAW NO_ONCE NO_KEEP

#define LINK_COUNT 3
#define BOOT_COUNT 3

// Frames from the caller proxy.
mtype = { hello, begin, resolve };
// The reply to hello, and the statuses that answer a resolve frame.
mtype = { welcome, not_run, running, done, unknown };
// Stages of the attempt on the target proxy. in_slot and ended are attempt_stage::running and
// attempt_stage::done of the code; those names are statuses here.
mtype = { no_record, queued, in_slot, ended, refused };

// Channels by link. The byte is a boot of the target proxy: in begin and resolve the boot that the
// attempt was sent to (0 in hello), in replies the boot that sent them.
chan to_target_proxy[LINK_COUNT] = [3] of { mtype, byte };
chan to_caller_proxy[LINK_COUNT] = [3] of { mtype, byte };

// Runs of the attempt on all targets. The retry counts as one, so that a false not_run shows as a
// second run.
byte run_count = 0;
bool retried = false;

// State of the target proxy. A restart increments the boot and clears the rest, which is its record
// of link 0 and of the attempt on it.
byte target_proxy_boot = 1;
bool barred = false;
bool admitted = false;
bool evicted = false;
mtype stage = no_record;

inline record_run() {
    run_count++;
    assert(run_count <= 1)
}

// Handles a begin frame, as admit_attempt() does. `boot` is the boot that the frame names.
inline on_begin(boot) {
    if
#ifndef NO_BOOT
    :: boot != target_proxy_boot -> skip
#endif
#ifndef NO_BAR
    :: barred -> skip
#endif
#ifndef NO_ONCE
    :: admitted -> skip
#endif
    :: else -> stage = queued; admitted = true
    fi
}

// Handles a resolve frame, as resolve_link() does: bars link 0 and reports the attempt's status.
// `link` is the link that carries the query and its reply; `boot` is the boot that the frame names.
inline on_resolve(link, boot) {
    if
#ifndef NO_BOOT
    :: boot != target_proxy_boot -> to_caller_proxy[link]!unknown, target_proxy_boot
#endif
    :: else ->
        barred = true;
        if
        :: stage == queued ->
#ifndef NO_WITHDRAW
            stage = refused;
#endif
            to_caller_proxy[link]!not_run, target_proxy_boot
        :: stage == in_slot -> to_caller_proxy[link]!running, target_proxy_boot
        :: stage == ended -> to_caller_proxy[link]!done, target_proxy_boot
        :: stage == refused -> to_caller_proxy[link]!not_run, target_proxy_boot
        :: stage == no_record ->
            if
#ifndef NO_KEEP
            :: evicted -> to_caller_proxy[link]!unknown, target_proxy_boot
#endif
            :: else -> to_caller_proxy[link]!not_run, target_proxy_boot
            fi
        fi
    fi
}

active proctype target_proxy() {
    byte link;
    byte boot;
    mtype frame_type;
    bool duplicated = false;
    do
    :: atomic {
        if
        :: to_target_proxy[0]?frame_type, boot -> link = 0
        :: to_target_proxy[1]?frame_type, boot -> link = 1
        :: to_target_proxy[2]?frame_type, boot -> link = 2
        fi;
        if
        :: frame_type == hello -> to_caller_proxy[link]!welcome, target_proxy_boot
        :: frame_type == begin ->
            on_begin(boot);
            // The network may deliver the frame a second time.
            if
            :: !duplicated -> duplicated = true; to_target_proxy[link]!begin, boot
            :: true -> skip
            fi
        :: frame_type == resolve -> on_resolve(link, boot)
        fi
       }
    :: atomic { stage == queued -> stage = in_slot; record_run() }
    :: atomic { stage == queued -> stage = refused }
    :: atomic { stage == in_slot -> stage = ended }
    :: atomic { stage == ended || stage == refused -> stage = no_record; evicted = true }
    :: atomic {
        target_proxy_boot < BOOT_COUNT ->
        target_proxy_boot++;
        stage = no_record;
        barred = false;
        admitted = false;
        evicted = false
       }
    od
}

active proctype caller_proxy() {
    byte link = 0;
    byte boot;
    // Boot of the target proxy that the attempt was sent to.
    byte sent_to_boot;
    mtype status;

    // Link 0 carries the attempt, which is sent once.
    to_target_proxy[0]!hello, 0;
    to_caller_proxy[0]?welcome, sent_to_boot;
    to_target_proxy[0]!begin, sent_to_boot;

    // Link 0 is lost. Each later link queries the status, unless it is lost before the reply
    // arrives; then the next link does.
    do
    :: link == LINK_COUNT - 1 -> break
    :: else ->
        link++;
        to_target_proxy[link]!hello, 0;
        if
        :: to_caller_proxy[link]?welcome, boot ->
            if
#ifndef NO_BOOT
            :: boot != sent_to_boot -> break
#endif
            :: else ->
                to_target_proxy[link]!resolve, sent_to_boot;
                if
                :: to_caller_proxy[link]?status, boot ->
                    if
                    :: status == not_run ->
                        atomic { retried = true; record_run() }
                    :: else -> skip
                    fi;
                    break
                :: true -> skip
                fi
            fi
        :: true -> skip
        fi
    od
}
