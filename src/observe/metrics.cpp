#include "observe/metrics.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace dandelionridge::observe {

namespace {

namespace bh = boost::histogram;

// Buckets of a histogram of times, and the range that they cover, in seconds.
constexpr unsigned time_bins = 24;
constexpr double min_time_s = 0.0001;
constexpr double max_time_s = 60.0;

using time_axis = bh::axis::regular<double, bh::axis::transform::log>;
using time_histogram = decltype(bh::make_histogram(std::declval<time_axis>()));

time_histogram make_time_histogram() {
    return bh::make_histogram(time_axis(time_bins, min_time_s, max_time_s));
}

void render_counter(std::ostream& out, const char* name, const char* help, std::uint64_t value) {
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << " counter\n"
        << name << ' ' << value << '\n';
}

void render_labelled(std::ostream& out, const labelled_counter& counter) {
    out << "# HELP " << counter.name_ << ' ' << counter.help_ << "\n# TYPE " << counter.name_
        << " counter\n";
    for (const auto& [value, count] : counter.values_) {
        out << counter.name_ << '{' << counter.label_ << "=\"" << value << "\"} " << count << '\n';
    }
}

// Writes the cumulative buckets that Prometheus' text format requires. Returns the count of all
// observations.
std::uint64_t render_buckets(std::ostream& out, const char* name, const time_histogram& histogram) {
    std::uint64_t cumulative_count = 0;
    for (auto&& bucket : bh::indexed(histogram, bh::coverage::all)) {
        cumulative_count += static_cast<std::uint64_t>(*bucket);
        const double upper_bound_s = bucket.bin().upper();
        // Excludes the overflow bucket, whose upper bound is infinite.
        if (upper_bound_s < max_time_s * 2) {
            out << name << "_bucket{le=\"" << upper_bound_s << "\"} " << cumulative_count << '\n';
        }
    }
    out << name << "_bucket{le=\"+Inf\"} " << cumulative_count << '\n';
    return cumulative_count;
}

void render_histogram(std::ostream& out, const char* name, const char* help,
                      const time_histogram& histogram, double sum_s) {
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << " histogram\n";
    const std::uint64_t count = render_buckets(out, name, histogram);
    out << name << "_sum " << sum_s << '\n' << name << "_count " << count << '\n';
}

}  // namespace

struct metrics::histograms {
    time_histogram response_time_ = make_time_histogram();
    time_histogram detection_time_ = make_time_histogram();
};

metrics::metrics() : histograms_(std::make_unique<histograms>()) {}

metrics::~metrics() = default;

void metrics::count_response(base::duration elapsed) {
    ++responses_;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    response_seconds_ += seconds;
    histograms_->response_time_(seconds);
}

void metrics::count_detection(base::duration silent_for) {
    const double seconds = std::chrono::duration<double>(silent_for).count();
    detection_seconds_ += seconds;
    histograms_->detection_time_(seconds);
}

void metrics::count_refusal(const std::string& outcome, const std::string& reason) {
    ++refusals_[{outcome, reason}];
}

std::string metrics::render(const std::vector<gauge>& gauges,
                            const std::vector<labelled_counter>& counters) const {
    std::ostringstream out;
    render_counter(out, "dandelionridge_requests_total", "Requests of callers.", requests_);
    render_counter(out, "dandelionridge_answers_total", "Whole answers to callers.", responses_);
    render_counter(out, "dandelionridge_retries_total", "Attempts beyond the first.", retries_);
    render_counter(out, "dandelionridge_broken_answers_total", "Answers broken off visibly.",
                   broken_responses_);
    render_counter(out, "dandelionridge_known_failures_total",
                   "Requests refused because no target would have ended their run in time.",
                   known_failures_);
    constexpr const char* refusals_name = "dandelionridge_refusals_total";
    out << "# HELP " << refusals_name << " Refusals by truth and reason.\n# TYPE " << refusals_name
        << " counter\n";
    for (const auto& [labels, count] : refusals_) {
        out << refusals_name << "{outcome=\"" << labels.outcome_ << "\",reason=\"" << labels.reason_
            << "\"} " << count << '\n';
    }
    render_histogram(out, "dandelionridge_answer_seconds",
                     "Time from request to the end of a whole answer.", histograms_->response_time_,
                     response_seconds_);
    render_histogram(out, "dandelionridge_detection_seconds",
                     "Time from the first sign of a host's silence to the finding.",
                     histograms_->detection_time_, detection_seconds_);
    for (const labelled_counter& counter : counters) {
        render_labelled(out, counter);
    }
    for (const gauge& sample : gauges) {
        out << "# TYPE " << sample.name_ << " gauge\n"
            << sample.name_ << ' ' << sample.value_ << '\n';
    }
    return out.str();
}

}  // namespace dandelionridge::observe
