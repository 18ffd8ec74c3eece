#ifndef GALENALINK_JOB_CUSTOMER_SHARES_HPP
#define GALENALINK_JOB_CUSTOMER_SHARES_HPP

#include "galenalink/job/demand.hpp"
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace galenalink::job {

/** @brief Demand of each customer by pool, and the customers that hold more
 * than their share of a full pool. */
class customer_shares {
public:
  using demand_by_customer = std::map<std::string, demand_meter>;

  /** @param Work Thousandths of a core times ms. */
  void recordArrival(const std::string &Pool, const std::string &Customer,
                     const double Work, const time_point Now) {
    Demand[Pool][Customer].recordArrival(Now, Work);
  }
  /** @return Null if no customer has submitted a job for the pool. */
  [[nodiscard]] const demand_by_customer *
  demand(const std::string_view Pool) const {
    const auto Found = Demand.find(Pool);
    return Found == Demand.end() ? nullptr : &Found->second;
  }

  void clearAbove() noexcept { Above.clear(); }
  void markAbove(const std::string &Pool, const std::string &Customer) {
    Above[Pool].insert(Customer);
  }
  /** @return Whether the customer's tasks in the pool go after those of the
   * others. */
  [[nodiscard]] bool isAbove(const std::string_view Pool,
                             const std::string &Customer) const {
    const auto Found = Above.find(Pool);
    return Found != Above.end() && Found->second.contains(Customer);
  }

private:
  std::map<std::string, demand_by_customer, std::less<>> Demand;
  std::map<std::string, std::set<std::string>, std::less<>> Above;
};

} // namespace galenalink::job

#endif
