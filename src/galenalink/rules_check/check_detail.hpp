#ifndef GALENALINK_RULES_CHECK_CHECK_DETAIL_HPP
#define GALENALINK_RULES_CHECK_CHECK_DETAIL_HPP

#include "galenalink/rules_check/report.hpp"

namespace galenalink::rules_check::detail {

void checkQueues(const document &Document, report &Report);
void checkCustomers(const document &Document, report &Report);

/** @brief Whether a key can arrive in the header of a request. */
[[nodiscard]] bool isUsableKey(std::string_view Key) noexcept;

} // namespace galenalink::rules_check::detail

#endif
