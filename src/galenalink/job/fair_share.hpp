#ifndef GALENALINK_JOB_FAIR_SHARE_HPP
#define GALENALINK_JOB_FAIR_SHARE_HPP

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace galenalink::job {

/** @brief What one customer asks of a pool. Work is in thousandths of a core
 * times ms, rates in thousandths of a core. */
struct customer_claim {
  /** Empty for jobs without a customer. */
  std::string Customer;
  /** Share of the pool relative to the other customers; above 0. */
  double Weight{1};
  /** Accepted work that is expected to meet its objective. */
  double Work{0};
  /** Rate at which new work arrives. */
  double Demand{0};
};

/** @brief Finds the claim of a customer.
 * @return Null if it has none. */
[[nodiscard]] inline const customer_claim *
findClaim(const std::vector<customer_claim> &Claims,
          const std::string_view Customer) noexcept {
  const auto Found =
      std::ranges::find(Claims, Customer, &customer_claim::Customer);
  return Found == Claims.end() ? nullptr : &*Found;
}

/**
 * @brief Rate at which a pool serves one customer that always has work, if the
 * customers share it by weight.
 *
 * This is the weighted max-min fair allocation: a customer whose demand is
 * below its share gets its demand, and what it leaves goes to the others.
 * @param Weight Weight of the customer; above 0.
 * @param Capacity Rate at which the pool works.
 * @param HorizonMs Time over which accepted work counts as demand; above 0.
 */
[[nodiscard]] inline double fairRate(const std::vector<customer_claim> &Claims,
                                     const std::string_view Customer,
                                     const double Weight, const double Capacity,
                                     const double HorizonMs) {
  struct other {
    double Demand;
    double Weight;
  };
  std::vector<other> Others;
  double Weights = Weight;
  for (const auto &Each : Claims) {
    if (Each.Customer == Customer)
      continue;
    Others.push_back(
        {std::max(Each.Demand, Each.Work / HorizonMs), Each.Weight});
    Weights += Each.Weight;
  }
  std::ranges::sort(
      Others, {}, [](const other &Each) { return Each.Demand / Each.Weight; });
  double Left = Capacity;
  for (const other &Each : Others) {
    if (Each.Demand * Weights >= Left * Each.Weight)
      break;
    Left -= Each.Demand;
    Weights -= Each.Weight;
  }
  return Left * Weight / Weights;
}

/** @return Whether a customer holds so much more of a full pool's backlog than
 * its share that the jobs of the others go first.
 * @param Capacity Rate at which the pool works; above 0.
 * @param HorizonMs Time over which accepted work counts as demand; above 0. */
[[nodiscard]] inline bool
exceedsShare(const std::vector<customer_claim> &Claims,
             const customer_claim &Own, const double Capacity,
             const double HorizonMs) {
  /** The backlog of a customer may take this many times as long at its fair
   * rate as the whole backlog takes. */
  constexpr double MaxBacklogRatio = 1.5;
  double Total = 0;
  for (const auto &Each : Claims)
    Total += Each.Work;
  const bool Full = Total > Capacity * HorizonMs;
  const double OwnRate =
      fairRate(Claims, Own.Customer, Own.Weight, Capacity, HorizonMs);
  return Full && Own.Work / OwnRate > MaxBacklogRatio * Total / Capacity;
}

} // namespace galenalink::job

#endif
