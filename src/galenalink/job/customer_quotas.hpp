#ifndef GALENALINK_JOB_CUSTOMER_QUOTAS_HPP
#define GALENALINK_JOB_CUSTOMER_QUOTAS_HPP

#include "galenalink/job/types.hpp"
#include <map>
#include <set>
#include <string>
#include <utility>

namespace galenalink::job {

/**
 * @brief Resources that the runs of each customer hold on all backend servers
 * together, and the customers' limits.
 *
 * Every run counts from its start order until it is known to have ended. Kept
 * by `server::addRun` and `server::eraseRun`. Jobs without a customer have the
 * empty name and no limit.
 */
class customer_quotas {
public:
  /** @brief Adopts the limits of the rules. A customer that the rules lack
   * keeps its last limit while it has open jobs.
   * @param WithOpenJobs Names of the customers that have open jobs. */
  void setRules(const fleet_rules &Rules,
                const std::set<std::string> &WithOpenJobs) {
    std::erase_if(Limits, [&](const auto &Each) {
      return !WithOpenJobs.contains(Each.first);
    });
    if (!Rules.Customers)
      return;
    for (const auto &Customer : *Rules.Customers)
      Limits.insert_or_assign(Customer.Name, Customer.Quota);
  }

  void add(const std::string &Customer, const resources &Size) {
    if (!Customer.empty())
      Used[Customer] += Size;
  }
  void remove(const std::string &Customer, const resources &Size) {
    const auto Found = Used.find(Customer);
    if (Found == Used.end())
      return;
    Found->second -= Size;
    if (Found->second == resources{})
      Used.erase(Found);
  }
  /** @brief Sets the resources of tasks that may be running without the
   * leader's knowledge, by customer. They count until this is called again. */
  void setUnknown(std::map<std::string, resources> Sizes) {
    Unknown = std::move(Sizes);
  }

  /** @return Resources that the customer's runs hold or may hold. */
  [[nodiscard]] resources inUse(const std::string &Customer) const {
    resources Sum = find(Used, Customer);
    return Sum += find(Unknown, Customer);
  }
  /** @return The customer's limit; 0 for none. */
  [[nodiscard]] resources limit(const std::string &Customer) const {
    return find(Limits, Customer);
  }
  /** @brief Whether the customer may start a run. One that alone exceeds the
   * limit may start while the customer has no other. */
  [[nodiscard]] bool permits(const std::string &Customer,
                             const resources &Size) const {
    if (Customer.empty())
      return true;
    const resources InUse = inUse(Customer);
    if (InUse == resources{})
      return true;
    resources Sum = InUse;
    return fitsLimit(Sum += Size, limit(Customer));
  }
  /** @brief Whether the customer may start runs that must run together. */
  [[nodiscard]] bool permitsAll(const std::string &Customer,
                                const resources &Size,
                                const std::size_t Count) const {
    if (Customer.empty())
      return true;
    resources Sum = inUse(Customer);
    return fitsLimit(Sum += times(Size, Count), limit(Customer));
  }
  /** @brief Whether a gang fits into the limit while the customer has no other
   * run. */
  [[nodiscard]] bool canEverRun(const std::string &Customer,
                                const resources &Size,
                                const std::size_t Count) const {
    return Customer.empty() || fitsLimit(times(Size, Count), limit(Customer));
  }

  /** @brief Remembers that tasks of the customer in the pool wait for its
   * limit. */
  void markWaiting(const std::string &Customer, const std::string &Pool) {
    Waiting[Customer].insert(Pool);
  }
  /** @return The pools in which tasks of the customer wait for its limit, which
   * are then no longer remembered. */
  [[nodiscard]] std::set<std::string> takeWaiting(const std::string &Customer) {
    const auto Found = Waiting.find(Customer);
    if (Found == Waiting.end())
      return {};
    auto Pools = std::move(Found->second);
    Waiting.erase(Found);
    return Pools;
  }

private:
  using by_customer = std::map<std::string, resources>;

  [[nodiscard]] static resources find(const by_customer &Map,
                                      const std::string &Customer) {
    const auto Found = Map.find(Customer);
    return Found == Map.end() ? resources{} : Found->second;
  }
  [[nodiscard]] static resources times(const resources &Size,
                                       const std::size_t Count) noexcept {
    const auto Factor = static_cast<std::int64_t>(Count);
    return {Size.Cpu * Factor, Size.Memory * Factor, Size.Gpu * Factor};
  }
  /** @param Limit 0 for no limit, for each resource. */
  [[nodiscard]] static bool fitsLimit(const resources &Sum,
                                      const resources &Limit) noexcept {
    return (Limit.Cpu == 0 || Sum.Cpu <= Limit.Cpu) &&
           (Limit.Memory == 0 || Sum.Memory <= Limit.Memory) &&
           (Limit.Gpu == 0 || Sum.Gpu <= Limit.Gpu);
  }

  by_customer Limits;
  by_customer Used;
  by_customer Unknown;
  std::map<std::string, std::set<std::string>> Waiting;
};

} // namespace galenalink::job

#endif
