#ifndef GALENALINK_WIRE_FWD_HPP
#define GALENALINK_WIRE_FWD_HPP

namespace galenalink::wire {

class record;
class peer_message;
class snapshot_chunk;
class saved_state;

} // namespace galenalink::wire

#endif
