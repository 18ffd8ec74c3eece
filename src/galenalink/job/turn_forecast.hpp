#ifndef GALENALINK_JOB_TURN_FORECAST_HPP
#define GALENALINK_JOB_TURN_FORECAST_HPP

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
struct turn {
  std::string Pool;
  /** First and last arrival, ms since 1970. */
  wall_ms FirstMs{0};
  wall_ms LastMs{0};
  /** Mean of the arrival times; few arrivals already show it well. */
  double CenterMs{0};
  /** All that arrived, thousandths of a core times ms. */
  double Work{0};
  std::uint32_t Jobs{0};

  [[nodiscard]] bool operator==(const turn &) const = default;
};

/**
 * @brief Learns from the demand seen that pools have their turns one after the
 * other at equal distances, and tells when the next one is due, so that VMs
 * are there when it begins.
 */
class turn_forecast {
public:
  /** @param Work Thousandths of a core times ms. */
  void arrived(const std::string &Pool, double Work, wall_ms NowMs);

  /**
   * @brief Lets time pass for a pool.
   * @param Room Room of the pool at its home size, thousandths of a core.
   * @return Whether a turn has begun or ended with this.
   */
  bool observe(const std::string &Pool, double Room, wall_ms NowMs);

  /** @return Rate of work to prepare for, thousandths of a core: that of the
   * pool's turn if it is due within the lead time or lasts longer than that;
   * 0 otherwise. */
  [[nodiscard]] double expected(const std::string &Pool, wall_ms NowMs,
                                wall_ms LeadMs) const;

  /** @return Pool whose turn is due next; empty if that is not known. */
  [[nodiscard]] std::string nextPool(wall_ms NowMs) const;
  /** @brief Whether turns have come at equal distances. */
  [[nodiscard]] bool regular() const { return gapMs() > 0; }
  /** @brief Whether the pool had its turn and others still wait for their
   * first one, so that its own is not the next. */
  [[nodiscard]] bool waitsForOthers(const std::string &Pool) const;

  /** @return Whether the pool has its turn now. */
  [[nodiscard]] bool active(const std::string &Pool) const {
    return Active.contains(Pool);
  }
  /** @return Turns, oldest first. */
  [[nodiscard]] const std::vector<turn> &turns() const noexcept {
    return Turns;
  }
  void restore(std::vector<turn> Seen) { Turns = std::move(Seen); }

private:
  struct arrival {
    wall_ms AtMs{0};
    double Work{0};
  };
  struct due {
    std::string Pool;
    wall_ms StartMs{0};
  };

  [[nodiscard]] const turn *newestOf(const std::string &Pool) const;
  [[nodiscard]] bool complete(const turn &Turn) const {
    return &Turn != &Turns.back() || !Active.contains(Turn.Pool);
  }
  [[nodiscard]] double gapMs() const;
  [[nodiscard]] std::optional<due> next(wall_ms NowMs) const;
  [[nodiscard]] std::string follower(const std::string &Pool) const;
  [[nodiscard]] double rateOf(const std::string &Pool) const;
  [[nodiscard]] double currentRate(const turn &Turn, wall_ms NowMs) const;
  void begin(const std::string &Pool, const std::deque<arrival> &Arrivals);

  /** Home rooms of the pools that have had demand. */
  std::map<std::string, double> Rooms;
  std::map<std::string, std::deque<arrival>> Recent;
  /** Pools in their turn. */
  std::set<std::string> Active;
  std::vector<turn> Turns;
};

} // namespace galenalink::job

#endif
