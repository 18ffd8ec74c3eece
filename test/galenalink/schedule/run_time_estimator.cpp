#include "galenalink/schedule/run_time_estimator.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <vector>

using namespace galenalink;
using namespace galenalink::schedule;

namespace {

/** Share of the values that are less than the given one. */
[[nodiscard]] double rankOf(const std::vector<double> &Values,
                            const duration Value) {
  const auto Below =
      std::count_if(Values.begin(), Values.end(), [&](const double Other) {
        return Other < static_cast<double>(Value.count());
      });
  return static_cast<double>(Below) / static_cast<double>(Values.size());
}

} // namespace

BOOST_AUTO_TEST_SUITE(run_times)

// Admission decisions are wrong if the estimated quantiles differ from the
// exact quantiles of the observed runs.
BOOST_AUTO_TEST_CASE(quantile_estimates_match_sorted_runs) {
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937 Random{Seed};
    std::lognormal_distribution<double> Times{std::log(200000.0), 0.8};
    run_time_estimator Estimator{std::chrono::seconds{30}};
    std::vector<double> Values;
    for (std::uint32_t Run = 0; Run < run_time_estimator::WindowRuns; ++Run) {
      Values.push_back(std::floor(Times(Random)));
      Estimator.observe(duration{static_cast<long>(Values.back())});
    }
    BOOST_TEST(std::abs(rankOf(Values, Estimator.median()) - 0.5) < 0.07);
    BOOST_TEST(std::abs(rankOf(Values, Estimator.percentile90()) - 0.9) < 0.05);
  }
}

// Declared run times can be far from the actual ones, so they must not be used
// after the first observed runs.
BOOST_AUTO_TEST_CASE(observed_runs_replace_declared_run_time) {
  run_time_estimator Estimator{std::chrono::seconds{60}};
  BOOST_TEST((Estimator.median() == std::chrono::seconds{60}));
  for (int Run = 0; Run < 5; ++Run)
    Estimator.observe(std::chrono::milliseconds{100});
  BOOST_TEST(Estimator.hasEnoughRuns());
  BOOST_TEST((Estimator.median() == std::chrono::milliseconds{100}));
}

// P-square never discards observations: without windows, after a release that
// is ten times slower, the estimate would stay at the old run times until there
// are as many new runs as old ones.
BOOST_AUTO_TEST_CASE(run_time_change_is_detected_within_two_windows) {
  run_time_estimator Estimator{std::chrono::seconds{1}};
  for (std::uint32_t Run = 0; Run < 20 * run_time_estimator::WindowRuns; ++Run)
    Estimator.observe(std::chrono::milliseconds{100});
  for (std::uint32_t Run = 0; Run < 2 * run_time_estimator::WindowRuns; ++Run)
    Estimator.observe(std::chrono::milliseconds{1000});
  BOOST_TEST((Estimator.median() > std::chrono::milliseconds{900}));
  BOOST_TEST((Estimator.mean() > std::chrono::milliseconds{900}));
}

// A single straggler must not move a queue of short work to the few slots for
// long work, and a queue of long work must not stay classified as short.
BOOST_AUTO_TEST_CASE(estimated_class_follows_share_of_long_runs) {
  class_estimator Estimator{work_class::Short};
  for (int Run = 0; Run < 400; ++Run) {
    Estimator.observe(Run % 20 == 0 ? work_class::Long : work_class::Short);
    BOOST_TEST((Estimator.estimatedClass() == work_class::Short));
  }
  int Runs = 0;
  while (Estimator.estimatedClass() == work_class::Short && Runs < 100) {
    Estimator.observe(work_class::Long);
    ++Runs;
  }
  BOOST_TEST(Runs <= 32);
  Estimator = class_estimator{work_class::Short};
  for (int Run = 0; Run < 3; ++Run)
    Estimator.observe(work_class::Long);
  BOOST_TEST((Estimator.estimatedClass() == work_class::Long));
}

BOOST_AUTO_TEST_SUITE_END()
