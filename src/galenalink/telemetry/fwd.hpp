#ifndef GALENALINK_TELEMETRY_FWD_HPP
#define GALENALINK_TELEMETRY_FWD_HPP

#include <cstdint>

namespace galenalink::telemetry {

class logger;
class rate_limit;
class metrics;
class counter;
class gauge;
class histogram;
struct attribute;

enum class severity : std::uint8_t;

} // namespace galenalink::telemetry

#endif
