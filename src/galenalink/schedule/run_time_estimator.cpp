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
constexpr std::uint32_t LeastRuns = 5;

/** Runs after which older ones fade from the mean. */
constexpr double MeanRuns = 64;

class sketch {
public:
  void add(const double Value) {
    Median(Value);
    High(Value);
  }
  [[nodiscard]] std::size_t count() const { return acc::count(Median); }
  [[nodiscard]] double median() const { return acc::p_square_quantile(Median); }
  [[nodiscard]] double high() const { return acc::p_square_quantile(High); }

private:
  quantile_sketch Median{acc::quantile_probability = 0.5};
  quantile_sketch High{acc::quantile_probability = 0.9};
};

[[nodiscard]] duration asDuration(const double Count) noexcept {
  return duration{static_cast<duration::rep>(std::max(Count, 1.0))};
}

} // namespace

struct run_time_estimator::sketches {
  /** The one in front collects. */
  std::array<sketch, 2> Turn;

  /** A full sketch answers before one that has just begun. */
  [[nodiscard]] const sketch *answering() const {
    if (Turn[0].count() >= Window / 4 || Turn[1].count() == 0)
      return Turn[0].count() >= LeastRuns ? Turn.data() : nullptr;
    return &Turn[1];
  }
};

run_time_estimator::run_time_estimator(const duration Declared)
    : Sketches{std::make_unique<sketches>()}, Declared{Declared},
      Mean{static_cast<double>(Declared.count())} {}

run_time_estimator::run_time_estimator(run_time_estimator &&) noexcept =
    default;
run_time_estimator &
run_time_estimator::operator=(run_time_estimator &&) noexcept = default;
run_time_estimator::~run_time_estimator() = default;

void run_time_estimator::observe(const duration Run) {
  const auto Value = static_cast<double>(std::max(Run, duration{1}).count());
  auto &Turn = Sketches->Turn;
  if (Turn[0].count() >= Window) {
    Turn[1] = Turn[0];
    Turn[0] = sketch{};
  }
  Turn[0].add(Value);
  if (Count < LeastRuns + MeanRuns)
    ++Count;
  // The declaration counts as the first run.
  Mean += (Value - Mean) / std::min(Count + 1.0, MeanRuns);
}

duration run_time_estimator::median() const {
  const auto *Sketch = Sketches->answering();
  return Sketch != nullptr ? asDuration(Sketch->median()) : Declared;
}

duration run_time_estimator::high() const {
  const auto *Sketch = Sketches->answering();
  return Sketch != nullptr ? asDuration(Sketch->high()) : Declared;
}

duration run_time_estimator::mean() const noexcept { return asDuration(Mean); }

bool run_time_estimator::learned() const noexcept { return Count >= LeastRuns; }

class_belief::class_belief(const work_class Declared) noexcept
    : Long{Declared == work_class::Long ? 2.0 : 0.0}, Believed{Declared} {}

void class_belief::observe(const work_class Run) noexcept {
  constexpr double MostRuns = 32;
  if (Total >= MostRuns) {
    Long /= 2;
    Total /= 2;
  }
  Total += 1;
  Long += Run == work_class::Long ? 1 : 0;
  if (Long > Total / 2)
    Believed = work_class::Long;
  else if (Long <= Total / 4)
    Believed = work_class::Short;
}

} // namespace galenalink::schedule
