#ifndef GALENALINK_CLI_FINDINGS_HPP
#define GALENALINK_CLI_FINDINGS_HPP

#include "galenalink/cli/views.hpp"
#include "galenalink/rules_check/finding.hpp"
#include <vector>

namespace galenalink::cli {

/** @brief Reads a whole file; `BadInput` if it can't be read. */
[[nodiscard]] result<std::string> readDocument(const std::string &File);

/**
 * @brief Formats findings with the number of each severity. Control characters
 * of names become question marks in the text form.
 */
[[nodiscard]] std::string
formatFindings(const std::vector<rules_check::finding> &Findings,
               output Output);

/** @return `BadInput` if there is a finding of severity error. */
[[nodiscard]] exit_code
codeOf(const std::vector<rules_check::finding> &Findings) noexcept;

} // namespace galenalink::cli

#endif
