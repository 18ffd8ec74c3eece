#include "galenalink/core/hash.hpp"
#include "galenalink/node/incarnation.hpp"
#include "peer.pb.h"

namespace galenalink::node {

namespace {

/** Keeps heartbeats small when many VMs leave at once; the list has them all
 * within a second or two. */
constexpr std::size_t MaxLeavingVms = 16;

} // namespace

wire::heartbeat incarnation::heartbeat() const {
  wire::heartbeat Heartbeat;
  Heartbeat.set_folded_offset(State.Offset);
  Heartbeat.set_stopping(Stopping);
  for (const auto &Vm : Host.leavingVms(MaxLeavingVms))
    Heartbeat.add_leaving_vms(Vm);
  for (const auto &Report : OwnDemand) {
    auto &Demand = *Heartbeat.add_demand();
    Demand.set_pool(Report.Pool);
    Demand.set_slots(Report.Slots);
    Demand.set_queued_slot_ms(Report.QueuedSlotMs);
  }
  return Heartbeat;
}

void incarnation::sendState(const node_id To) {
  const auto Bytes = fleet::serialize(State, Accounts.serialize());
  const auto Chunks = fleet::makeChunks(Bytes, 1, State.Offset);
  for (const auto &Chunk : Chunks) {
    wire::peer_message Message;
    auto &Reply = *Message.mutable_state_reply();
    Reply.set_through_offset(State.Offset);
    Reply.set_checksum(hash64(Bytes));
    Reply.set_index(Chunk.index());
    Reply.set_total(Chunk.total());
    Reply.set_data(Chunk.data());
    if (!Send(To, Message))
      return;
  }
}

void incarnation::received(const node_id From,
                           const wire::peer_message &Message) {
  switch (Message.body_case()) {
  case wire::peer_message::kHeartbeat:
    heard(From, Message.heartbeat().folded_offset());
    for (const auto &Vm : Message.heartbeat().leaving_vms())
      Host.leaving(Vm, false);
    for (const auto &Demand : Message.heartbeat().demand())
      Planner.demand().report(
          From, wallNow(),
          {Demand.pool(), Demand.slots(), Demand.queued_slot_ms()});
    return;
  case wire::peer_message::kForward:
    Router.receive(From, Message.forward());
    return;
  case wire::peer_message::kForwardReply:
    Router.receive(From, Message.forward_reply());
    return;
  case wire::peer_message::kReplicate:
    Host.receive(From, Message.replicate());
    return;
  case wire::peer_message::kReplicateReply:
    Host.receive(From, Message.replicate_reply());
    return;
  case wire::peer_message::kCollect:
    Host.receive(From, Message.collect());
    return;
  case wire::peer_message::kCollectReply:
    Host.receive(From, Message.collect_reply());
    return;
  case wire::peer_message::kStateRequest:
    // A node without a state of its own has nothing to offer.
    if (State.Offset != 0)
      sendState(From);
    return;
  case wire::peer_message::kStateReply:
    Recovery.receive(From, Message.state_reply());
    return;
  default:
    return;
  }
}

} // namespace galenalink::node
