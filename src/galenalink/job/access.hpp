#ifndef GALENALINK_JOB_ACCESS_HPP
#define GALENALINK_JOB_ACCESS_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/job/types.hpp"
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace galenalink::job {

enum class access_verdict : std::uint8_t {
  Granted,
  /** The key is missing, or no customer has it. */
  UnknownKey,
  /** The key is that of another customer than the job's. */
  Forbidden,
};

inline constexpr enum_names<access_verdict, 3> AccessVerdictNames{{
    {access_verdict::Granted, "granted"},
    {access_verdict::UnknownKey, "unknown-key"},
    {access_verdict::Forbidden, "forbidden"},
}};

/** @brief Whether a request may be served, and on behalf of whom. */
struct access_decision {
  access_verdict Verdict{access_verdict::UnknownKey};
  /** Customer that the request belongs to; empty for none. */
  std::string Customer;

  [[nodiscard]] bool operator==(const access_decision &) const = default;
};

/** @brief Index of the customers of one version of the rules by key. */
class key_index {
public:
  key_index() = default;
  explicit key_index(const fleet_rules &Rules) {
    if (!Rules.Customers)
      return;
    for (const auto &Customer : *Rules.Customers) {
      for (const auto &Key : Customer.Keys)
        Customers.try_emplace(Key, Customer.Name);
    }
  }

  /** @return Name of the customer; empty if no customer has the key. */
  [[nodiscard]] std::string customerOf(const std::string &Key) const {
    const auto Found = Customers.find(Key);
    return Key.empty() || Found == Customers.end() ? std::string{}
                                                   : Found->second;
  }

private:
  std::unordered_map<std::string, std::string> Customers;
};

/** @brief Decides whether a key admits requests on a queue. A request on a
 * public queue belongs to no customer.
 * @param Keys Index of the same rules. */
[[nodiscard]] inline access_decision checkAccess(const fleet_rules &Rules,
                                                 const key_index &Keys,
                                                 const queue_rule &Queue,
                                                 const std::string &Key) {
  if (!Rules.Customers || Queue.Public)
    return {access_verdict::Granted, {}};
  std::string Customer = Keys.customerOf(Key);
  if (Customer.empty())
    return {};
  return {access_verdict::Granted, std::move(Customer)};
}

/** @brief A job as far as access to it depends on it. */
struct job_ownership {
  /** Customer that the job belongs to; empty for none. */
  std::string_view Customer;
  std::string_view Queue;
};

/**
 * @brief Whether a request may read or cancel a job.
 *
 * The owner is checked only while the rules have it: a version that renames a
 * customer leaves its keys with another name, and its callers must still reach
 * their jobs. A queue that has become public admits everyone to its jobs.
 * @param Queue Queue that the request's path maps to.
 * @param Customer Customer that sends the request; empty for none.
 */
[[nodiscard]] inline bool mayAccess(const fleet_rules &Rules,
                                    const job_ownership &Job,
                                    const std::string_view Queue,
                                    const std::string_view Customer) noexcept {
  if (Job.Customer.empty() || Job.Customer == Customer)
    return true;
  if (Rules.customer(Job.Customer) == nullptr)
    return true;
  return Customer.empty() && Queue == Job.Queue;
}

} // namespace galenalink::job

#endif
