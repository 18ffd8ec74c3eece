#ifndef GALENALINK_CLI_ACTIONS_HPP
#define GALENALINK_CLI_ACTIONS_HPP

#include "galenalink/cli/views.hpp"
#include <string>

namespace galenalink::cli {

/**
 * @brief Asks the node for a change and prints what became of it.
 *
 * If the node's answer is lost, the change is looked up by its id.
 *
 * @param Body JSON object; with an `id`, if the change can be looked up.
 */
[[nodiscard]] result<exit_code> change(connection &Node,
                                       const std::string &Path,
                                       const std::string &Body, output Output);

/** @brief Text form of the node's answer to a change. */
[[nodiscard]] std::string formatChange(const std::string &Json);
/** @brief Exit status for the node's answer to a change. */
[[nodiscard]] exit_code codeOf(const reply &Reply) noexcept;

} // namespace galenalink::cli

#endif
