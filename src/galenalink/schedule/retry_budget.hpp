#ifndef GALENALINK_SCHEDULE_RETRY_BUDGET_HPP
#define GALENALINK_SCHEDULE_RETRY_BUDGET_HPP

#include <algorithm>

namespace galenalink::schedule {

/**
 * @brief Bounds the retries of a service to a share of its first attempts.
 *
 * Token bucket that is filled by first attempts instead of by time: each adds
 * `Ratio` and each retry takes 1. It starts empty, so retries never exceed
 * `Ratio` times the first attempts. `Burst` limits how many retries a long
 * period without failures saves up.
 */
class retry_budget {
public:
  retry_budget(const double Ratio, const double Burst) noexcept
      : Ratio{Ratio}, Burst{Burst} {}

  void recordFirstAttempt() noexcept {
    Tokens = std::min(Tokens + Ratio, Burst);
  }

  /** @brief Takes a token; false if there is none, and then no retry. */
  [[nodiscard]] bool tryRetry() noexcept {
    // Ten additions of 0.1 come to slightly less than 1.
    constexpr double RoundingTolerance = 1e-9;
    if (Tokens < 1 - RoundingTolerance)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  double Ratio;
  double Burst;
  double Tokens{0};
};

} // namespace galenalink::schedule

#endif
