#ifndef GALENALINK_RULES_CHECK_CHECK_HPP
#define GALENALINK_RULES_CHECK_CHECK_HPP

#include "galenalink/rules_check/document.hpp"
#include "galenalink/rules_check/finding.hpp"

/**
 * @brief Checks of the operator's configuration, without a node. The checks are
 * pure and decide only what follows from the configuration itself.
 */
namespace galenalink::rules_check {

/** @brief Entries that contradict each other, can never match or refer to
 * nothing. */
[[nodiscard]] std::vector<finding> check(const document &Document);

} // namespace galenalink::rules_check

#endif
