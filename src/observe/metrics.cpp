#include "observe/metrics.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace dandelionridge::observe {

namespace {

namespace bh = boost::histogram;

constexpr unsigned time_bins = 24;
constexpr double shortest_s = 0.0001;
constexpr double longest_s = 60.0;

using time_axis = bh::axis::regular<double, bh::axis::transform::log>;
using time_histogram = decltype(bh::make_histogram(std::declval<time_axis>()));

time_histogram make_time_histogram() {
    return bh::make_histogram(time_axis(time_bins, shortest_s, longest_s));
}

void render_counter(std::ostream& out, const char* name, const char* help, std::uint64_t value) {
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << " counter\n"
        << name << ' ' << value << '\n';
}

// Cumulative buckets, as Prometheus wants them. Returns the count of all.
std::uint64_t render_buckets(std::ostream& out, const char* name, const time_histogram& histogram) {
    std::uint64_t sum = 0;
    for (auto&& cell : bh::indexed(histogram, bh::coverage::all)) {
        sum += static_cast<std::uint64_t>(*cell);
        const double upper = cell.bin().upper();
        if (upper < longest_s * 2) {
            out << name << "_bucket{le=\"" << upper << "\"} " << sum << '\n';
        }
    }
    out << name << "_bucket{le=\"+Inf\"} " << sum << '\n';
    return sum;
}

}  // namespace

struct metrics::histograms {
    time_histogram answer_time_ = make_time_histogram();
};

metrics::metrics() : histograms_(std::make_unique<histograms>()) {}

metrics::~metrics() = default;

void metrics::count_response(base::duration elapsed) {
    ++responses_;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    response_seconds_ += seconds;
    histograms_->answer_time_(seconds);
}

void metrics::count_refusal(const std::string& outcome, const std::string& reason) {
    ++refusals_[{outcome, reason}];
}

std::string metrics::render(const std::vector<gauge>& gauges) const {
    std::ostringstream out;
    render_counter(out, "dandelionridge_requests_total", "Requests of callers.", requests_);
    render_counter(out, "dandelionridge_answers_total", "Whole answers to callers.", responses_);
    render_counter(out, "dandelionridge_retries_total", "Attempts beyond the first.", retries_);
    render_counter(out, "dandelionridge_broken_answers_total", "Answers broken off visibly.",
                   broken_responses_);
    constexpr const char* refused = "dandelionridge_refusals_total";
    out << "# HELP " << refused << " Refusals by truth and reason.\n# TYPE " << refused
        << " counter\n";
    for (const auto& [labels, count] : refusals_) {
        out << refused << "{outcome=\"" << labels.outcome_ << "\",reason=\"" << labels.reason_
            << "\"} " << count << '\n';
    }
    constexpr const char* took = "dandelionridge_answer_seconds";
    out << "# HELP " << took << " Time from request to the end of a whole answer.\n# TYPE " << took
        << " histogram\n";
    const std::uint64_t count = render_buckets(out, took, histograms_->answer_time_);
    out << took << "_sum " << response_seconds_ << '\n' << took << "_count " << count << '\n';
    for (const gauge& one : gauges) {
        out << "# TYPE " << one.name_ << " gauge\n" << one.name_ << ' ' << one.value_ << '\n';
    }
    return out.str();
}

}  // namespace dandelionridge::observe
