#ifndef GALENALINK_SCHEDULE_RUN_TIME_ESTIMATOR_HPP
#define GALENALINK_SCHEDULE_RUN_TIME_ESTIMATOR_HPP

#include "galenalink/schedule/types.hpp"
#include <memory>

namespace galenalink::schedule {

/**
 * @brief Estimates the run time of a queue's work in bounded memory.
 *
 * Quantiles come from the P-square estimator (Jain and Chlamtac, "The P2
 * algorithm for dynamic calculation of quantiles and histograms without
 * storing observations", CACM 28(10), 1985), five markers for each quantile.
 * P-square never discards observations, so a new sketch is started every
 * `WindowRuns` runs; the previous one provides the estimates until the new one
 * has enough runs. The declared run time is the estimate until a few runs are
 * observed.
 */
class run_time_estimator {
public:
  explicit run_time_estimator(duration Declared);
  run_time_estimator(run_time_estimator &&) noexcept;
  run_time_estimator &operator=(run_time_estimator &&) noexcept;
  ~run_time_estimator();

  /** @brief Adds the run time of a finished attempt. */
  void observe(duration Run);

  /** @brief Median run time. */
  [[nodiscard]] duration median() const;
  /** @brief 90th percentile of the run time. */
  [[nodiscard]] duration percentile90() const;
  /** @brief Mean run time; used to estimate the slot time of a backlog. */
  [[nodiscard]] duration mean() const noexcept;
  /** @brief True once estimates are based on observed runs. */
  [[nodiscard]] bool hasEnoughRuns() const noexcept;

  /** @brief Number of runs in one sketch. */
  static constexpr std::uint32_t WindowRuns = 256;

private:
  struct sketch_pair;
  std::unique_ptr<sketch_pair> Sketches;
  duration Declared;
  double Mean;
  std::uint32_t Count{0};
};

/**
 * @brief Estimates the class of a queue's work from its share of long runs.
 *
 * The share is the mean of a Beta distribution. Its counts are halved whenever
 * they reach a limit, so that the estimate follows a change of behaviour within
 * some ten runs. The declared class counts as two runs.
 */
class class_estimator {
public:
  explicit class_estimator(work_class Declared) noexcept;

  void observe(work_class Run) noexcept;

  /**
   * @brief Estimated class, with hysteresis: becomes `Long` when the share of
   * long runs exceeds 1/2, and `Short` when it falls to 1/4.
   */
  [[nodiscard]] work_class estimatedClass() const noexcept { return Class; }

private:
  double LongRuns;
  double TotalRuns{2};
  work_class Class;
};

} // namespace galenalink::schedule

#endif
