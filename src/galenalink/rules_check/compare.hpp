#ifndef GALENALINK_RULES_CHECK_COMPARE_HPP
#define GALENALINK_RULES_CHECK_COMPARE_HPP

#include "galenalink/rules_check/document.hpp"
#include "galenalink/rules_check/finding.hpp"

namespace galenalink::rules_check {

/**
 * @brief What a configuration adds, removes and changes, and what that means
 * for callers. Entries are identified by their names.
 * @param New Configuration to be published; both must be complete.
 * @param InForce Configuration that it replaces.
 */
[[nodiscard]] std::vector<finding> compare(const document &New,
                                           const document &InForce);

} // namespace galenalink::rules_check

#endif
