// Checks that an attempt runs at most once and that a status of not_run is true. Models one caller
// proxy (process entry), the target proxy that it tries first (process guard), and the run on
// another target that a status of not_run permits. Mirrors src/policy/sent_attempts and
// src/policy/attempt_ledger.
//
// Link 0 carries the attempt; later links query its status. The network may deliver frames late,
// also on links that were given up, and may repeat the attempt's frame. The target proxy may
// restart at any time, before and after the run; frames in transit then reach its next boot.
//
// switches: NO_BOOT NO_BAR NO_WITHDRAW NO_ONCE NO_KEEP

#define LINKS 3
#define BOOTS 3

mtype = { hello, begin, resolve };
mtype = { welcome, not_run, running, done, unknown };
mtype = { none, queued, in_slot, ended, refused };

chan to_guard[LINKS] = [3] of { mtype, byte };
chan to_entry[LINKS] = [3] of { mtype, byte };

byte runs = 0;
bool retried = false;

byte guard_boot = 1;
bool barred = false;
bool seen = false;
bool evicted = false;
mtype stage = none;

inline run_once() {
    runs++;
    assert(runs <= 1)
}

inline on_begin(boot) {
    if
#ifndef NO_BOOT
    :: boot != guard_boot -> skip
#endif
#ifndef NO_BAR
    :: barred -> skip
#endif
#ifndef NO_ONCE
    :: seen -> skip
#endif
    :: else -> stage = queued; seen = true
    fi
}

inline on_resolve(link, boot) {
    if
#ifndef NO_BOOT
    :: boot != guard_boot -> to_entry[link]!unknown, guard_boot
#endif
    :: else ->
        barred = true;
        if
        :: stage == queued ->
#ifndef NO_WITHDRAW
            stage = refused;
#endif
            to_entry[link]!not_run, guard_boot
        :: stage == in_slot -> to_entry[link]!running, guard_boot
        :: stage == ended -> to_entry[link]!done, guard_boot
        :: stage == refused -> to_entry[link]!not_run, guard_boot
        :: stage == none ->
            if
#ifndef NO_KEEP
            :: evicted -> to_entry[link]!unknown, guard_boot
#endif
            :: else -> to_entry[link]!not_run, guard_boot
            fi
        fi
    fi
}

active proctype guard() {
    byte link;
    byte boot;
    mtype kind;
    bool repeated = false;
    do
    :: atomic {
        if
        :: to_guard[0]?kind, boot -> link = 0
        :: to_guard[1]?kind, boot -> link = 1
        :: to_guard[2]?kind, boot -> link = 2
        fi;
        if
        :: kind == hello -> to_entry[link]!welcome, guard_boot
        :: kind == begin ->
            on_begin(boot);
            // The frame may be delivered once more.
            if
            :: !repeated -> repeated = true; to_guard[link]!begin, boot
            :: true -> skip
            fi
        :: kind == resolve -> on_resolve(link, boot)
        fi
       }
    :: atomic { stage == queued -> stage = in_slot; run_once() }
    :: atomic { stage == queued -> stage = refused }
    :: atomic { stage == in_slot -> stage = ended }
    :: atomic { stage == ended -> stage = none; evicted = true }
    :: atomic {
        guard_boot < BOOTS ->
        guard_boot++;
        stage = none;
        barred = false;
        seen = false;
        evicted = false
       }
    od
}

active proctype entry() {
    byte link = 0;
    byte boot;
    byte written_boot;
    mtype fate;

    // The first link carries the attempt, once.
    to_guard[0]!hello, 0;
    to_entry[0]?welcome, written_boot;
    to_guard[0]!begin, written_boot;

    // The link is given up; later links query the status.
    do
    :: link == LINKS - 1 -> break
    :: else ->
        link++;
        to_guard[link]!hello, 0;
        if
        :: to_entry[link]?welcome, boot ->
            if
#ifndef NO_BOOT
            :: boot != written_boot -> break
#endif
            :: else ->
                to_guard[link]!resolve, written_boot;
                if
                :: to_entry[link]?fate, boot ->
                    if
                    :: fate == not_run ->
                        atomic { retried = true; run_once() }
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
