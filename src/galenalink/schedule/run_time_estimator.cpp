#include "galenalink/schedule/run_time_estimator.hpp"
#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace galenalink::schedule {

namespace {

namespace acc = boost::accumulators;
using quantile_sketch = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::p_square_quantile>>;

/** With fewer runs, the five markers hold the raw observations. */
constexpr std::uint32_t MinRuns = 5;

/** Number of runs over which the weight of older runs in the mean decays. */
constexpr double MeanWindowRuns = 64;

class sketch {
public:
  void add(const double Value) {
    Median(Value);
    Percentile90(Value);
  }
  [[nodiscard]] std::size_t count() const { return acc::count(Median); }
  [[nodiscard]] double median() const { return acc::p_square_quantile(Median); }
  [[nodiscard]] double percentile90() const {
    return acc::p_square_quantile(Percentile90);
  }

private:
  quantile_sketch Median{acc::quantile_probability = 0.5};
  quantile_sketch Percentile90{acc::quantile_probability = 0.9};
};

[[nodiscard]] duration asDuration(const double Count) noexcept {
  return duration{static_cast<duration::rep>(std::max(Count, 1.0))};
}

} // namespace

struct run_time_estimator::sketch_pair {
  /** The first sketch collects new runs; the second is the previous one. */
  std::array<sketch, 2> Windows;

  /**
   * Sketch that provides the estimates: the previous one until the new one has
   * a quarter of a window. Null if there are too few runs.
   */
  [[nodiscard]] const sketch *selectSketch() const {
    if (Windows[0].count() >= WindowRuns / 4 || Windows[1].count() == 0)
      return Windows[0].count() >= MinRuns ? Windows.data() : nullptr;
    return &Windows[1];
  }
};

run_time_estimator::run_time_estimator(const duration Declared)
    : Sketches{std::make_unique<sketch_pair>()}, Declared{Declared},
      Mean{static_cast<double>(Declared.count())} {}

run_time_estimator::run_time_estimator(run_time_estimator &&) noexcept =
    default;
run_time_estimator &
run_time_estimator::operator=(run_time_estimator &&) noexcept = default;
run_time_estimator::~run_time_estimator() = default;

void run_time_estimator::observe(const duration Run) {
  const auto Value = static_cast<double>(std::max(Run, duration{1}).count());
  auto &Windows = Sketches->Windows;
  if (Windows[0].count() >= WindowRuns) {
    Windows[1] = Windows[0];
    Windows[0] = sketch{};
  }
  Windows[0].add(Value);
  if (Count < MinRuns + MeanWindowRuns)
    ++Count;
  // The declared run time counts as the first run.
  Mean += (Value - Mean) / std::min(Count + 1.0, MeanWindowRuns);
}

duration run_time_estimator::median() const {
  const auto *Sketch = Sketches->selectSketch();
  return Sketch != nullptr ? asDuration(Sketch->median()) : Declared;
}

duration run_time_estimator::percentile90() const {
  const auto *Sketch = Sketches->selectSketch();
  return Sketch != nullptr ? asDuration(Sketch->percentile90()) : Declared;
}

duration run_time_estimator::mean() const noexcept { return asDuration(Mean); }

bool run_time_estimator::hasEnoughRuns() const noexcept {
  return Count >= MinRuns;
}

class_estimator::class_estimator(const work_class Declared) noexcept
    : LongRuns{Declared == work_class::Long ? 2.0 : 0.0}, Class{Declared} {}

void class_estimator::observe(const work_class Run) noexcept {
  constexpr double MaxRuns = 32;
  if (TotalRuns >= MaxRuns) {
    LongRuns /= 2;
    TotalRuns /= 2;
  }
  TotalRuns += 1;
  LongRuns += Run == work_class::Long ? 1 : 0;
  if (LongRuns > TotalRuns / 2)
    Class = work_class::Long;
  else if (LongRuns <= TotalRuns / 4)
    Class = work_class::Short;
}

} // namespace galenalink::schedule
