#ifndef GALENALINK_CLI_VIEWS_HPP
#define GALENALINK_CLI_VIEWS_HPP

#include "galenalink/cli/connection.hpp"
#include "galenalink/cli/exit_code.hpp"
#include <string>

namespace galenalink::cli {

/** @brief Whether results are printed for people or for programs. */
enum class output : std::uint8_t { Text, Json };

inline constexpr enum_names<output, 2> OutputNames{{
    {output::Text, "text"},
    {output::Json, "json"},
}};

/**
 * @brief Prints one of the node's views.
 * @param View `status`, `pools`, `vms` or `queues`.
 */
[[nodiscard]] result<exit_code> show(connection &Node, const std::string &View,
                                     output Output);

/** @brief Prints the customers' account as `text`, `json` or `csv`. */
[[nodiscard]] result<exit_code> showAccount(connection &Node,
                                            const std::string &Format);

/** @brief Prints why a request or a VM is where it is. */
[[nodiscard]] result<exit_code>
explain(connection &Node, const std::string &Subject, output Output);

// Text forms of the node's JSON; malformed JSON gives an empty text.
[[nodiscard]] std::string formatStatus(const std::string &Json);
[[nodiscard]] std::string formatPools(const std::string &Json);
[[nodiscard]] std::string formatVms(const std::string &Json);
[[nodiscard]] std::string formatQueues(const std::string &Json);
[[nodiscard]] std::string formatExplanation(const std::string &Json);

} // namespace galenalink::cli

#endif
