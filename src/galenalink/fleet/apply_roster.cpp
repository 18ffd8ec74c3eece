#include "galenalink/fleet/apply_detail.hpp"

namespace galenalink::fleet::detail {

namespace {

[[nodiscard]] rejection join(state &State, const wire::node_join &Join) {
  const node_id Id{Join.node()};
  if (Join.node() == 0 || Join.place().empty())
    return rejection::BadRecord;
  // The id of a removed node stays dead: others may rely on its silence.
  if (State.Roster.known(Id))
    return rejection::NodeExists;
  if (State.Roster.nodes().size() >= roster::MaxNodes)
    return rejection::Full;
  State.Roster.add(
      std::make_shared<const node_info>(
          node_info{Id, Join.name(), Join.place(), Join.member(),
                    Join.peer_address(), Join.caller_address(), State.Offset}),
      State.LogTime);
  return rejection::None;
}

[[nodiscard]] rejection leave(state &State, const std::uint64_t Writer,
                              const wire::node_leave &Leave) {
  const node_id Id{Leave.node()};
  // Only the node itself knows that it stopped dispatching.
  if (Writer != Leave.node())
    return rejection::NotPermitted;
  if (State.Roster.find(Id) == nullptr)
    return rejection::UnknownNode;
  State.Roster.Stopped[Id] = State.Offset;
  State.Roster.remove(Id, State.Offset);
  return rejection::None;
}

[[nodiscard]] rejection evict(state &State, const std::uint64_t Writer,
                              const wire::node_evict &Evict) {
  auto &Roster = State.Roster;
  const node_id Id{Evict.node()};
  const bool Member = Roster.find(Id) != nullptr;
  if (Evict.confirmed_stopped()) {
    // Also after an eviction, to release a barrier that waits for the node.
    if (!Roster.known(Id))
      return rejection::UnknownNode;
    if (!Member && Roster.Stopped.contains(Id))
      return rejection::WrongState;
    Roster.Stopped[Id] = State.Offset;
    if (Member)
      Roster.remove(Id, State.Offset);
    return rejection::None;
  }
  if (!Member)
    return rejection::UnknownNode;
  // Of two nodes that evict each other, the first in the log stays.
  if (Writer == Evict.node() || Roster.find(node_id{Writer}) == nullptr)
    return rejection::NotPermitted;
  Roster.remove(Id, State.Offset);
  return rejection::None;
}

[[nodiscard]] rejection renew(state &State, const wire::node_renew &Renew) {
  const auto Found = State.Roster.RenewedAt.find(node_id{Renew.node()});
  if (Found == State.Roster.RenewedAt.end())
    return rejection::UnknownNode;
  if (Renew.settled_version() > State.Roster.version())
    return rejection::BadRecord;
  Found->second = State.LogTime;
  State.Roster.settle(Renew.settled_version());
  return rejection::None;
}

} // namespace

rejection applyRoster(state &State, const wire::record &Record) {
  switch (Record.body_case()) {
  case wire::record::kJoin:
    return join(State, Record.join());
  case wire::record::kLeave:
    return leave(State, Record.writer(), Record.leave());
  case wire::record::kEvict:
    return evict(State, Record.writer(), Record.evict());
  default:
    return renew(State, Record.renew());
  }
}

} // namespace galenalink::fleet::detail
