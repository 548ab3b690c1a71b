// Counters and histograms of one process, in Prometheus' text format.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"

namespace dandelionridge::observe {

// Labels of the refusal counters: the outcome, "not_run" or "unknown", and the reason.
struct refusal_labels {
    std::string outcome_;
    std::string reason_;

    auto operator<=>(const refusal_labels&) const = default;
};

// The current value of a metric that another module holds.
struct gauge {
    // Name with unit, by Prometheus' conventions.
    std::string name_;
    double value_ = 0;
};

// The current values of a counter that another module holds, by the value of one label.
struct labelled_counter {
    // Name with unit and the suffix "_total", by Prometheus' conventions.
    std::string name_;
    std::string help_;
    std::string label_;
    std::map<std::string, std::uint64_t> values_;
};

// The metrics of this process.
class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    // Counts a request of a caller.
    void count_request() { ++requests_; }

    // Counts a complete response to a caller that ended `elapsed` after its request arrived.
    void count_response(base::duration elapsed);
    void count_refusal(const std::string& outcome, const std::string& reason);

    // Counts an attempt beyond the first of its request.
    void count_retry() { ++retries_; }

    // Counts a response that was aborted, so that the caller sees that it is incomplete.
    void count_broken_response() { ++broken_responses_; }

    // Counts a request that was refused at once because it could not have ended in time.
    void count_known_failure() { ++known_failures_; }

    // Counts a host that was found silent `silent_for` after its first sign of silence.
    void count_detection(base::duration silent_for);

    // Returns all metrics and the given ones of other modules as text.
    std::string render(const std::vector<gauge>& gauges,
                       const std::vector<labelled_counter>& counters) const;

private:
    struct histograms;

    std::uint64_t requests_ = 0;
    std::uint64_t responses_ = 0;
    std::uint64_t retries_ = 0;
    std::uint64_t broken_responses_ = 0;
    std::uint64_t known_failures_ = 0;
    // Sum of the times that count_response() was given, in seconds.
    double response_seconds_ = 0;
    // Sum of the times that count_detection() was given, in seconds.
    double detection_seconds_ = 0;
    std::map<refusal_labels, std::uint64_t> refusals_;
    std::unique_ptr<histograms> histograms_;
};

}  // namespace dandelionridge::observe
