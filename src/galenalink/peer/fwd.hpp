#ifndef GALENALINK_PEER_FWD_HPP
#define GALENALINK_PEER_FWD_HPP

#include <cstdint>

namespace galenalink::wire {

class heartbeat;

} // namespace galenalink::wire

namespace galenalink::peer {

struct options;
struct hooks;
struct target;
struct evidence;
struct traffic;

class frame_parser;
class transport;

enum class send_result : std::uint8_t;

} // namespace galenalink::peer

#endif
