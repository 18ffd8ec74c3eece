#ifndef GALENALINK_SCHEDULE_RUN_TIME_ESTIMATOR_HPP
#define GALENALINK_SCHEDULE_RUN_TIME_ESTIMATOR_HPP

#include "galenalink/schedule/types.hpp"
#include <memory>

namespace galenalink::schedule {

/**
 * @brief Learns the run time of a queue in bounded memory.
 *
 * Quantiles come from the P-square estimator (Jain and Chlamtac, "The P2
 * algorithm for dynamic calculation of quantiles and histograms without
 * storing observations", CACM 28(10), 1985), five markers for each quantile.
 * It never forgets, so two sketches take turns: one answers while the other
 * collects the next `Window` runs. The declared run time is the estimate until
 * a few runs were observed.
 */
class run_time_estimator {
public:
  explicit run_time_estimator(duration Declared);
  run_time_estimator(run_time_estimator &&) noexcept;
  run_time_estimator &operator=(run_time_estimator &&) noexcept;
  ~run_time_estimator();

  /** @brief Takes in the run time of an attempt that finished. */
  void observe(duration Run);

  /** @brief Median run time. */
  [[nodiscard]] duration median() const;
  /** @brief Run time that one run in ten exceeds. */
  [[nodiscard]] duration percentile90() const;
  /** @brief Mean run time, for the slot time that a backlog needs. */
  [[nodiscard]] duration mean() const noexcept;
  /** @brief True once observations count more than the declaration. */
  [[nodiscard]] bool hasEnoughRuns() const noexcept;

  /** @brief Runs that are collected by one sketch. */
  static constexpr std::uint32_t WindowRuns = 256;

private:
  struct sketch_pair;
  std::unique_ptr<sketch_pair> Sketches;
  duration Declared;
  double Mean;
  std::uint32_t Count{0};
};

/**
 * @brief Belief that the work of a queue is long, from the share of its runs
 * that were long.
 *
 * Mean of a Beta distribution whose counts are halved now and then, so that a
 * change of behaviour is believed within some ten runs. The declaration counts
 * as two runs.
 */
class class_estimator {
public:
  explicit class_estimator(work_class Declared) noexcept;

  void observe(work_class Run) noexcept;

  /** @brief Changes only when the share passes a half or falls to a quarter. */
  [[nodiscard]] work_class estimatedClass() const noexcept {
    return EstimatedClass;
  }

private:
  double Long;
  double Total{2};
  work_class EstimatedClass;
};

} // namespace galenalink::schedule

#endif
