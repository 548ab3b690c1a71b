// What a process is told at its start: an INI file.
#pragma once

#include <string>

#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"

namespace dandelionridge::config {

struct settings {
    // [host]
    std::string host_;
    std::string zone_;
    // [listen]
    base::address callers_;
    base::address peers_;
    base::address admin_;
    // [platform]
    base::address platform_;
    // [limits]
    // Ended attempts whose fate the guard remembers.
    std::size_t remembered_attempts_ = 20'000;
    // Requests that wait for a slot on this host, over all organisations.
    std::size_t queued_requests_ = 1'000;
    // [times]
    // Longest time that a planned stop waits for requests in flight.
    base::duration drain_bound_ = base::seconds(30);
    // Time that idle callers are given to send one more request during a planned stop.
    base::duration drain_idle_ = base::seconds(1);
    // Age of the newest confirmation beyond which keyed routes are refused.
    base::duration freshness_bound_ = base::seconds(5);
    // Longest time that an entry may use a lease of quota tokens. The same on all hosts.
    base::duration lease_ = base::seconds(4);
    // Oldest agreement of its zone on which an owner of quota grants; shorter than a lease. The
    // same on all hosts.
    base::duration view_bound_ = base::seconds(2);
    // Longest wait of one watch on the platform.
    base::duration watch_wait_ = base::seconds(2);
};

// Reads a settings file. The error names the file, the key and the remedy.
base::result<settings> read_settings(const std::string& file);

// The same for text, with the name that errors give it.
base::result<settings> parse_settings(const std::string& text, const std::string& name);

}  // namespace dandelionridge::config
