#ifndef GALENALINK_TEST_JOB_CUSTOMER_RULES_HPP
#define GALENALINK_TEST_JOB_CUSTOMER_RULES_HPP

#include "galenalink/job/types.hpp"
#include <string>

namespace galenalink::test {

/** @brief Adds a customer whose only key is its name with `-key`. */
inline job::customer_rule &addCustomer(job::fleet_rules &Rules,
                                       const std::string &Name,
                                       const double Weight = 0,
                                       const job::resources &Quota = {}) {
  if (!Rules.Customers)
    Rules.Customers.emplace();
  return Rules.Customers->emplace_back(
      job::customer_rule{Name, {Name + "-key"}, Weight, Quota});
}

} // namespace galenalink::test

#endif
