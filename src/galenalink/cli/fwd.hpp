#ifndef GALENALINK_CLI_FWD_HPP
#define GALENALINK_CLI_FWD_HPP

#include <cstdint>

namespace galenalink::cli {

struct reply;
struct options;
class connection;
class table;

enum class exit_code : std::uint8_t;

} // namespace galenalink::cli

#endif
