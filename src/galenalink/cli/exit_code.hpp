#ifndef GALENALINK_CLI_EXIT_CODE_HPP
#define GALENALINK_CLI_EXIT_CODE_HPP

#include "galenalink/cli/fwd.hpp"

namespace galenalink::cli {

/** @brief Exit status of the command line; part of its interface. */
enum class exit_code : std::uint8_t {
  Done = 0,
  BadInput = 2,
  Unreachable = 3,
  Refused = 4,
  /** The change may have taken effect; ask by its id. */
  Unknown = 5,
};

} // namespace galenalink::cli

#endif
