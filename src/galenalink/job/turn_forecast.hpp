#ifndef GALENALINK_JOB_TURN_FORECAST_HPP
#define GALENALINK_JOB_TURN_FORECAST_HPP

#include "galenalink/core/fwd.hpp"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenalink::job {

/** @brief One turn of demand of a pool, as it was seen. */
struct turn {
  std::string Pool;
  /** When it began, ms since 1970. */
  wall_ms StartMs{0};
  /** Mean rate of arriving work in it, thousandths of a core. */
  double Rate{0};

  [[nodiscard]] bool operator==(const turn &) const = default;
};

/**
 * @brief Learns from the demand seen that pools have their turns one after the
 * other at equal distances, and tells when the next one is due, so that VMs
 * are there when it begins.
 */
class turn_forecast {
public:
  /**
   * @param Rate Rate of arriving work, thousandths of a core.
   * @param Room Room of the pool at its home size.
   * @return Whether a turn has begun with this.
   */
  bool observe(const std::string &Pool, double Rate, double Room,
               wall_ms NowMs);

  /** @return Rate to prepare for if a turn of the pool is due within the lead
   * time; 0 otherwise. */
  [[nodiscard]] double expected(const std::string &Pool, wall_ms NowMs,
                                wall_ms LeadMs) const;

  /** @return Pool whose turn is due next; empty if there is no pattern. */
  [[nodiscard]] std::string nextPool() const;
  /** @brief Whether turns have come regularly, one for each pool at least.
   * @param Pools Pools that have turns. */
  [[nodiscard]] bool regular() const;
  void setPools(const std::size_t Count) noexcept { Pools = Count; }

  [[nodiscard]] const std::vector<turn> &turns() const noexcept {
    return Turns;
  }
  void restore(std::vector<turn> Seen) { Turns = std::move(Seen); }

private:
  struct due {
    std::string Pool;
    wall_ms AtMs{0};
    double Rate{0};
  };
  [[nodiscard]] std::optional<due> next() const;
  [[nodiscard]] std::map<std::string, turn> newest() const;

  std::size_t Pools{0};
  /** Oldest first. */
  std::vector<turn> Turns;
  /** Pools in their turn, with the looks that its mean rate is taken over. */
  std::map<std::string, std::uint32_t> Active;
};

} // namespace galenalink::job

#endif
