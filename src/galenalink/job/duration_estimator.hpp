#ifndef GALENALINK_JOB_DURATION_ESTIMATOR_HPP
#define GALENALINK_JOB_DURATION_ESTIMATOR_HPP

#include "galenalink/job/types.hpp"
#include <algorithm>
#include <cmath>
#include <map>

namespace galenalink::job {

/**
 * @brief Predicts task durations. Corrects the callers' estimates by the ratio
 * of actual to estimated duration of earlier runs in the same queue.
 */
class duration_estimator {
public:
  /** @brief Updates the averages with the actual duration of a run. */
  void addSample(const std::string &Queue, const std::uint32_t EstimateMs,
                 const double ActualMs) noexcept {
    if (ActualMs <= 0)
      return;
    auto &Entry = Queues[Queue];
    const double Weight = std::max(0.05, 1.0 / ++Entry.Count);
    Entry.MeanMs += Weight * (ActualMs - Entry.MeanMs);
    if (EstimateMs == 0)
      return;
    const double LogRatio = std::log(ActualMs / EstimateMs);
    Entry.LogRatio += Weight * (LogRatio - Entry.LogRatio);
  }

  /** @return Expected duration, ms. A single estimate may be far off, so the
   * result is the geometric mean of the corrected estimate and the mean of the
   * queue. */
  [[nodiscard]] double predictMs(const std::string &Queue,
                                 const std::uint32_t EstimateMs) const {
    const auto Found = Queues.find(Queue);
    const double Estimate = EstimateMs == 0 ? DefaultDurationMs : EstimateMs;
    if (Found == Queues.end())
      return Estimate;
    const double Corrected = Estimate * std::exp(Found->second.LogRatio);
    return std::sqrt(Corrected * std::max(Found->second.MeanMs, 1.0));
  }

  /** @brief Moving averages of a queue. */
  struct entry {
    double Count{0};
    double MeanMs{0};
    /** Mean of ln(actual / estimated duration). */
    double LogRatio{0};

    [[nodiscard]] bool operator==(const entry &) const = default;
  };
  [[nodiscard]] const std::map<std::string, entry> &entries() const noexcept {
    return Queues;
  }
  void restore(std::map<std::string, entry> Entries) {
    Queues = std::move(Entries);
  }

private:
  /** Used for a task without an estimate. */
  static constexpr double DefaultDurationMs = 1000;

  std::map<std::string, entry> Queues;
};

} // namespace galenalink::job

#endif
