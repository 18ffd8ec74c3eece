#ifndef GALENALINK_NODE_CALL_HPP
#define GALENALINK_NODE_CALL_HPP

#include "galenalink/core/outcome.hpp"
#include "galenalink/core/shared_text.hpp"
#include "galenalink/core/time.hpp"
#include <functional>
#include <string>

namespace galenalink::node {

enum class operation : std::uint8_t { Submit, Query, Cancel };

inline constexpr enum_names<operation, 3> OperationNames{{
    {operation::Submit, "submit"},
    {operation::Query, "query"},
    {operation::Cancel, "cancel"},
}};

/** @brief What a caller asks of the fleet. */
struct call {
  operation Operation{operation::Submit};
  std::string Customer;
  std::string Service;
  /** Empty for a query or a cancel. */
  std::string Queue;
  std::string Team;
  std::string Key;
  shared_text Body;
  time_point Deadline;
};

/** @brief What a caller is told. */
struct reply {
  outcome Outcome{outcome::Unknown};
  refusal Refusal{refusal::None};
  duration RetryAfter{};
  /** Result, or a sentence about the failure. */
  shared_text Body;
  /** State of the request in the ledger; set for queries and cancels. */
  std::string State;
};

using reply_hook = std::function<void(reply)>;

/** @brief A refusal that promises that nothing ran. */
[[nodiscard]] inline reply refuse(const refusal Reason,
                                  const duration RetryAfter,
                                  std::string Message = {}) {
  return {outcome::NotRun, Reason, RetryAfter, std::move(Message), {}};
}

} // namespace galenalink::node

#endif
