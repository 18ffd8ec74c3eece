#ifndef GALENALINK_JOB_CUSTOMER_RATES_HPP
#define GALENALINK_JOB_CUSTOMER_RATES_HPP

#include "galenalink/core/hash.hpp"
#include "galenalink/core/time.hpp"
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_set>

namespace galenalink::job {

/**
 * @brief Decides which new jobs of a customer are within its rate.
 *
 * In any span of the window, at most `Rate` times the window are. A job keeps
 * what was decided on it, so that its repeats neither count again nor lose
 * their claim.
 */
class customer_rates {
public:
  /** @param Window Length of the sliding window. */
  explicit customer_rates(const duration Window) noexcept : Window{Window} {}

  /** @brief Claims service for a new or repeated job.
   * @param Rate Jobs a second; 0 for no limit.
   * @return Whether the job is within the rate. */
  [[nodiscard]] bool claim(const std::string &Customer, const double Rate,
                           const std::string &Job, const time_point Now) {
    const std::size_t Limit = limit(Rate);
    if (Customer.empty() || Limit == 0)
      return true;
    claims &Claims = Customers[Customer];
    expire(Claims, Now);
    const std::uint64_t Id = hash64(Job);
    if (Claims.Ids.contains(Id))
      return true;
    if (Claims.Order.size() >= Limit)
      return false;
    add(Claims, Id, Now);
    return true;
  }

  /** @brief Records a job that an earlier leader has accepted.
   * @param AcceptedAt Calls are in the order of this time. */
  void restore(const std::string &Customer, const std::string &Job,
               const time_point AcceptedAt) {
    claims &Claims = Customers[Customer];
    const std::uint64_t Id = hash64(Job);
    if (Claims.Order.size() < MaxClaims && !Claims.Ids.contains(Id))
      add(Claims, Id, AcceptedAt);
  }

  /** @return Time from which on another job is within the rate; `Now` if one is
   * already. */
  [[nodiscard]] time_point nextClaimAt(const std::string &Customer,
                                       const double Rate,
                                       const time_point Now) const {
    const auto Found = Customers.find(Customer);
    const std::size_t Limit = limit(Rate);
    if (Found == Customers.end() || Limit == 0 ||
        Found->second.Order.size() < Limit)
      return Now;
    const auto &Order = Found->second.Order;
    return std::max(Now, Order[Order.size() - Limit].ExpiresAt);
  }

  /** @brief Removes customers whose window is empty. */
  void expire(const time_point Now) {
    for (auto Each = Customers.begin(); Each != Customers.end();) {
      expire(Each->second, Now);
      Each =
          Each->second.Order.empty() ? Customers.erase(Each) : std::next(Each);
    }
  }

private:
  /** Bound of the claims that are kept for a customer. More jobs within one
   * window are beyond what a leader can decide, and are not limited. */
  static constexpr std::size_t MaxClaims = 8192;

  struct claim_entry {
    std::uint64_t Id{0};
    time_point ExpiresAt;
  };
  struct claims {
    /** Oldest first. */
    std::deque<claim_entry> Order;
    std::unordered_set<std::uint64_t> Ids;
  };

  /** @return Jobs in one window; 0 for no limit. */
  [[nodiscard]] std::size_t limit(const double Rate) const noexcept {
    const double Jobs = Rate * std::chrono::duration<double>(Window).count();
    if (Rate <= 0 || Jobs >= static_cast<double>(MaxClaims))
      return 0;
    return static_cast<std::size_t>(std::max(std::ceil(Jobs), 1.0));
  }
  void add(claims &Claims, const std::uint64_t Id, const time_point At) {
    Claims.Order.push_back({Id, At + Window});
    Claims.Ids.insert(Id);
  }
  static void expire(claims &Claims, const time_point Now) {
    while (!Claims.Order.empty() && Claims.Order.front().ExpiresAt <= Now) {
      Claims.Ids.erase(Claims.Order.front().Id);
      Claims.Order.pop_front();
    }
  }

  duration Window;
  std::map<std::string, claims> Customers;
};

} // namespace galenalink::job

#endif
