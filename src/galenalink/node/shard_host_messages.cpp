#include "galenalink/node/peer_codec.hpp"
#include "galenalink/node/shard_host.hpp"
#include "peer.pb.h"

namespace galenalink::node {

void shard_host::connected(const node_id Node) {
  for (const auto &[Id, Shard] : Homes)
    Shard->resend(Node);
}

void shard_host::receive(const node_id From, const wire::replicate &Message) {
  const shard_id Id{Message.pool(), Message.shard()};
  auto Decoded = decode(Message);
  if (!Decoded)
    return;
  Decoded->To = View.Self;
  const auto Known = Replicas.find(Id);
  // The shard may be unknown here because its pool was not folded yet.
  const auto Reply =
      Known == Replicas.end()
          ? request::replicate_reply{View.Self, Decoded->Call, Decoded->Version,
                                     false}
          : Known->second.store(std::move(*Decoded), boot_clock::now());
  wire::peer_message Answer;
  encode(Reply, Id, *Answer.mutable_replicate_reply());
  static_cast<void>(Hooks.Send(From, Answer));
}

void shard_host::receive(const node_id From,
                         const wire::replicate_reply &Message) {
  const shard_id Id{Message.pool(), Message.shard()};
  const auto Shard = find(Id);
  if (!Shard)
    return;
  const auto Reply = decode(From, Message);
  if (!Reply.Accepted)
    Refused[Id].insert(From);
  Shard->acknowledged(Reply);
}

void shard_host::receive(const node_id From, const wire::collect &Message) {
  const shard_id Id{Message.pool(), Message.shard()};
  const auto Known = Replicas.find(Id);
  if (Known == Replicas.end())
    return;
  const auto Reply =
      Known->second.collect(Message.roster_version(), boot_clock::now());
  if (!Reply)
    return;
  for (auto &Part : encode(*Reply, Id)) {
    wire::peer_message Answer;
    *Answer.mutable_collect_reply() = std::move(Part);
    if (!Hooks.Send(From, Answer))
      return;
  }
}

void shard_host::receive(const node_id From,
                         const wire::collect_reply &Message) {
  const auto Known = Takeovers.find({Message.pool(), Message.shard()});
  if (Known == Takeovers.end() || !Known->second.Takeover)
    return;
  auto &Parts = Known->second.Parts;
  if (Message.part() == 0)
    Parts[From] = {};
  const auto Partial = Parts.find(From);
  if (Partial == Parts.end() || !append(Message, Partial->second)) {
    Parts.erase(From);
    return;
  }
  if (!Message.last())
    return;
  Partial->second.From = From;
  Known->second.Takeover->replied(std::move(Partial->second));
  Parts.erase(From);
}

} // namespace galenalink::node
