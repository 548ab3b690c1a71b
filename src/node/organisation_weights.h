// The organisations' weights under the rules in force, computed once per version of the rules, and
// the runs that each organisation got.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/rules.h"
#include "observe/event.h"
#include "observe/metrics.h"

namespace dandelionridge::node {

class organisation_weights {
public:
    // Returns the weight of an organisation; that of the mean if the rules do not name it.
    double weight_of(const config::rules_ptr& rules, const std::string& organisation);

    // Returns the inputs of the weights, for the log, if those rules changed them.
    std::vector<observe::event_field> update(const config::rules_ptr& rules);

    void record_started(const std::string& organisation) { ++started_[organisation]; }

    // Returns the number of runs that were started, by organisation.
    observe::labelled_counter started() const;

private:
    // The rules for which the mean was computed.
    config::rules_ptr rules_;
    double mean_rate_ = 0;
    std::size_t limited_ = 0;
    std::map<std::string, std::uint64_t> started_;
};

}  // namespace dandelionridge::node
