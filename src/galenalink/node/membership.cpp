#include "galenalink/node/membership.hpp"
#include "galenalink/node/duty.hpp"
#include "galenalink/telemetry/log.hpp"
#include "records.pb.h"

namespace galenalink::node {

namespace {

constexpr telemetry::logger Logger{"membership"};

constexpr duration JoinRetry = std::chrono::seconds{2};
constexpr duration RenewalPeriod = std::chrono::seconds{30};
constexpr duration EvictionRetry = std::chrono::seconds{1};
constexpr duration AppendLimit = std::chrono::seconds{2};

} // namespace

membership::membership(const fleet::node_view &View, log_follower &Log,
                       node_description Self)
    : View{View}, Log{Log}, Self{std::move(Self)} {}

bool membership::joined() const noexcept {
  return View.State.Roster.find(Self.Id) != nullptr;
}

bool membership::evicted() const noexcept {
  return WasJoined && !Leaving && !joined();
}

wire::record membership::recordOf() const {
  wire::record Record;
  Record.set_writer(static_cast<std::uint64_t>(Self.Id));
  return Record;
}

void membership::tick(const time_point Now) {
  if (joined()) {
    WasJoined = true;
    renew(Now);
    evict(Now);
  } else if (!WasJoined && !Leaving) {
    join(Now);
  }
}

void membership::join(const time_point Now) {
  // A node that has not read the log to its end may already be on the roster.
  const bool CaughtUp = Log.available() && View.State.Offset + 1 >= Log.end();
  if (!CaughtUp || Now < NextJoin)
    return;
  NextJoin = Now + JoinRetry;
  auto Record = recordOf();
  auto &Join = *Record.mutable_join();
  Join.set_node(static_cast<std::uint64_t>(Self.Id));
  Join.set_name(Self.Name);
  Join.set_place(Self.DataCentre);
  Join.set_member(Self.Customer);
  Join.set_peer_address(Self.PeerAddress);
  Join.set_caller_address(Self.CallerAddress);
  Logger.info("Joining the roster.", {{"node", Self.Name}});
  Log.append(std::move(Record), Now + AppendLimit, {});
}

void membership::renew(const time_point Now) {
  // A settled version lets all nodes forget the roster versions before it.
  const auto Settled = View.Barrier.settled(View.State);
  const bool Settles = Settled > View.State.Roster.Settled &&
                       Settled > ReportedSettled && onDuty(View, "settle", Now);
  if (Now < NextRenewal && !Settles)
    return;
  NextRenewal = Now + RenewalPeriod;
  ReportedSettled = Settled;
  auto Record = recordOf();
  Record.mutable_renew()->set_node(static_cast<std::uint64_t>(Self.Id));
  Record.mutable_renew()->set_settled_version(Settled);
  Log.append(std::move(Record), Now + AppendLimit, {});
}

void membership::evict(const time_point Now) {
  if (Now < NextEviction)
    return;
  for (const auto &Node : View.State.Roster.nodes()) {
    const bool Due =
        Node->Id != View.Self &&
        View.Authority.mayEvict(View.State, Node->Id, Now) &&
        onDuty(View,
               "evict/" + std::to_string(static_cast<std::uint64_t>(Node->Id)),
               Now, Node->Id);
    if (!Due)
      continue;
    NextEviction = Now + EvictionRetry;
    Logger.warning("Evicting a node that does not answer.",
                   {{"node", Node->Name}});
    auto Record = recordOf();
    Record.mutable_evict()->set_node(static_cast<std::uint64_t>(Node->Id));
    Log.append(std::move(Record), Now + AppendLimit, {});
  }
}

void membership::leave(const time_point Deadline, std::function<void()> Done) {
  Leaving = true;
  if (!joined()) {
    Done();
    return;
  }
  auto Record = recordOf();
  Record.mutable_leave()->set_node(static_cast<std::uint64_t>(Self.Id));
  Log.append(
      std::move(Record), Deadline,
      [Done = std::move(Done)](const append_outcome & /*Outcome*/) { Done(); });
}

} // namespace galenalink::node
