#ifndef GALENALINK_JOB_PEAK_FORECAST_HPP
#define GALENALINK_JOB_PEAK_FORECAST_HPP

#include "galenalink/core/fwd.hpp"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace galenalink::job {

/** @brief One observed demand peak of a pool; still growing while the peak goes
 * on. */
struct demand_peak {
  std::string Pool;
  /** First and last arrival, ms since the Unix epoch. */
  wall_ms FirstMs{0};
  wall_ms LastMs{0};
  /** Mean of the arrival times, ms since the Unix epoch; accurate after few
   * arrivals. */
  double CenterMs{0};
  /** Total work that arrived, thousandths of a core times ms. */
  double Work{0};
  std::uint32_t Jobs{0};

  [[nodiscard]] bool operator==(const demand_peak &) const = default;
};

/**
 * @brief Predicts the next demand peak from past ones, so that VMs can be moved
 * before it starts. Assumes that the pools peak one after another at equal
 * intervals.
 */
class peak_forecast {
public:
  /** @param Work Thousandths of a core times ms. */
  void recordArrival(const std::string &Pool, double Work, wall_ms NowMs);

  /**
   * @brief Detects the start and the end of a pool's peak; call it regularly.
   * @param InitialCapacity Capacity of the pool at its initial size,
   * thousandths of a core.
   * @return Whether a peak has just started or ended.
   */
  bool observe(const std::string &Pool, double InitialCapacity, wall_ms NowMs);

  /** @return Work rate to provide capacity for, thousandths of a core: the rate
   * of the pool's peak if it starts within the lead time or goes on for longer
   * than that; 0 otherwise. */
  [[nodiscard]] double expectedRate(const std::string &Pool, wall_ms NowMs,
                                    wall_ms LeadMs) const;

  /** @return Pool that peaks next; empty if unknown. */
  [[nodiscard]] std::string nextPool(wall_ms NowMs) const;
  /** @brief Whether past peaks came at equal intervals. */
  [[nodiscard]] bool isPeriodic() const { return peakIntervalMs() > 0; }
  /** @brief Whether the pool's peak is over while other pools have not had
   * their first one, so that this pool is not next. */
  [[nodiscard]] bool peakedInFirstCycle(const std::string &Pool) const;

  [[nodiscard]] bool inPeak(const std::string &Pool) const {
    return PeakingPools.contains(Pool);
  }
  /** @return Recorded peaks, oldest first. */
  [[nodiscard]] const std::vector<demand_peak> &peaks() const noexcept {
    return Peaks;
  }
  void restore(std::vector<demand_peak> RestoredPeaks) {
    Peaks = std::move(RestoredPeaks);
  }

private:
  struct arrival {
    wall_ms TimeMs{0};
    double Work{0};
  };
  struct upcoming_peak {
    std::string Pool;
    wall_ms StartMs{0};
  };

  [[nodiscard]] const demand_peak *latestPeak(const std::string &Pool) const;
  [[nodiscard]] bool isComplete(const demand_peak &Peak) const {
    return &Peak != &Peaks.back() || !PeakingPools.contains(Peak.Pool);
  }
  [[nodiscard]] double peakIntervalMs() const;
  [[nodiscard]] std::optional<upcoming_peak> nextPeak(wall_ms NowMs) const;
  [[nodiscard]] std::string poolAfter(const std::string &Pool) const;
  [[nodiscard]] double typicalRate(const std::string &Pool) const;
  [[nodiscard]] double currentRate(const demand_peak &Peak,
                                   wall_ms NowMs) const;
  void beginPeak(const std::string &Pool, const std::deque<arrival> &Arrivals);

  /** Capacities at initial size of the pools that have had demand, thousandths
   * of a core. */
  std::map<std::string, double> InitialCapacities;
  std::map<std::string, std::deque<arrival>> RecentArrivals;
  std::set<std::string> PeakingPools;
  std::vector<demand_peak> Peaks;
};

} // namespace galenalink::job

#endif
