#ifndef GALENALINK_SCHEDULE_RETRY_BUDGET_HPP
#define GALENALINK_SCHEDULE_RETRY_BUDGET_HPP

#include <algorithm>

namespace galenalink::schedule {

/**
 * @brief Limits the retries of a service to a share of its first attempts.
 *
 * Token bucket that is filled by first attempts instead of by time: each first
 * attempt adds `Ratio` tokens and each retry consumes one. The bucket starts
 * empty, so retries never exceed `Ratio` times the first attempts. `Burst`
 * limits the tokens that accumulate in a long period without failures.
 */
class retry_budget {
public:
  retry_budget(const double Ratio, const double Burst) noexcept
      : Ratio{Ratio}, Burst{Burst} {}

  void recordFirstAttempt() noexcept {
    Tokens = std::min(Tokens + Ratio, Burst);
  }

  /** @brief Consumes a token. False if there is none: retries not allowed. */
  [[nodiscard]] bool tryRetry() noexcept {
    // The sum of ten additions of 0.1 is slightly less than 1.
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
