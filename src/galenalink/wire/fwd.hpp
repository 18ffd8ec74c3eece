#ifndef GALENALINK_WIRE_FWD_HPP
#define GALENALINK_WIRE_FWD_HPP

namespace galenalink::wire {

class record;
class peer_message;

} // namespace galenalink::wire

#endif
