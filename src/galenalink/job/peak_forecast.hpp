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

/** @brief One turn of demand of a pool, as far as it was seen. */
struct demand_peak {
  std::string Pool;
  /** First and last arrival, ms since 1970. */
  wall_ms FirstMs{0};
  wall_ms LastMs{0};
  /** Mean of the arrival times; few arrivals already show it well. */
  double CenterMs{0};
  /** All that arrived, thousandths of a core times ms. */
  double Work{0};
  std::uint32_t Jobs{0};

  [[nodiscard]] bool operator==(const demand_peak &) const = default;
};

/**
 * @brief Learns from the demand seen that pools have their turns one after the
 * other at equal distances, and tells when the next one is due, so that VMs
 * are there when it begins.
 */
class peak_forecast {
public:
  /** @param Work Thousandths of a core times ms. */
  void recordArrival(const std::string &Pool, double Work, wall_ms NowMs);

  /**
   * @brief Lets time pass for a pool.
   * @param Room Room of the pool at its home size, thousandths of a core.
   * @return Whether a turn has begun or ended with this.
   */
  bool observe(const std::string &Pool, double InitialCapacity, wall_ms NowMs);

  /** @return Rate of work to prepare for, thousandths of a core: that of the
   * pool's turn if it is due within the lead time or lasts longer than that;
   * 0 otherwise. */
  [[nodiscard]] double expectedRate(const std::string &Pool, wall_ms NowMs,
                                    wall_ms LeadMs) const;

  /** @return Pool whose turn is due next; empty if that is not known. */
  [[nodiscard]] std::string nextPool(wall_ms NowMs) const;
  /** @brief Whether turns have come at equal distances. */
  [[nodiscard]] bool isPeriodic() const { return peakIntervalMs() > 0; }
  /** @brief Whether the pool had its turn and others still wait for their
   * first one, so that its own is not the next. */
  [[nodiscard]] bool peakedInFirstCycle(const std::string &Pool) const;

  /** @return Whether the pool has its turn now. */
  [[nodiscard]] bool inPeak(const std::string &Pool) const {
    return PeakingPools.contains(Pool);
  }
  /** @return Turns, oldest first. */
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

  /** Home rooms of the pools that have had demand. */
  std::map<std::string, double> InitialCapacities;
  std::map<std::string, std::deque<arrival>> RecentArrivals;
  /** Pools in their turn. */
  std::set<std::string> PeakingPools;
  std::vector<demand_peak> Peaks;
};

} // namespace galenalink::job

#endif
