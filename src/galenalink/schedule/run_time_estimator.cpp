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

/** The five markers hold the observations themselves before this. */
constexpr std::uint32_t MinRuns = 5;

/** Runs after which older ones fade from the mean. */
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
  /** The one in front collects. */
  std::array<sketch, 2> Windows;

  /** A full sketch answers before one that has just begun. */
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
  // The declaration counts as the first run.
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
    : Long{Declared == work_class::Long ? 2.0 : 0.0}, EstimatedClass{Declared} {
}

void class_estimator::observe(const work_class Run) noexcept {
  constexpr double MaxRuns = 32;
  if (Total >= MaxRuns) {
    Long /= 2;
    Total /= 2;
  }
  Total += 1;
  Long += Run == work_class::Long ? 1 : 0;
  if (Long > Total / 2)
    EstimatedClass = work_class::Long;
  else if (Long <= Total / 4)
    EstimatedClass = work_class::Short;
}

} // namespace galenalink::schedule
