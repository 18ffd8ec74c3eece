#include "galenalink/fleet/barrier.hpp"
#include <algorithm>
#include <vector>

namespace galenalink::fleet {

void barrier::folded(const state &State, const time_point Now) {
  Folded.note(State.Offset, Now);
  Through = std::max(Through, State.Roster.Settled);
  if (Roster == State.Roster.version())
    return;
  Roster = State.Roster.version();
  std::erase_if(Acknowledged, [&](const auto &Entry) {
    return !State.Roster.known(Entry.first);
  });
}

void barrier::acknowledged(const node_id Peer, const log_offset Offset,
                           const time_point Now) {
  // Ids that no kept roster has are dropped when the roster changes.
  if (Acknowledged.size() < 2 * roster::MaxNodes || Acknowledged.contains(Peer))
    Acknowledged[Peer].note(Offset, Now);
}

void barrier::advance(const state &State, const time_point Now) {
  for (const auto &Each : State.Roster.Versions) {
    if (Each.Version > Through && !reached(State, Each.Version, Now))
      break;
  }
  // The offset that all nodes in force have folded needs no waiting.
  log_offset All = State.Offset;
  for (const auto &Node : State.Roster.nodes()) {
    const auto Found = Acknowledged.find(Node->Id);
    if (Node->Id != Self)
      All = std::min(All,
                     Found == Acknowledged.end() ? 0 : Found->second.through());
  }
  (void)reached(State, All, Now);
}

bool barrier::reached(const state &State, const log_offset Offset,
                      const time_point Now) {
  if (Offset <= Through)
    return true;
  const auto At = reachedAt(State, Offset);
  if (!At || *At > Now)
    return false;
  Through = Offset;
  return true;
}

std::optional<time_point>
barrier::acknowledgedAt(const state &State, const node_id Node,
                        const log_offset Offset) const {
  if (Node == Self)
    return Folded.at(Offset);
  std::optional<time_point> At;
  const auto Found = Acknowledged.find(Node);
  if (Found != Acknowledged.end())
    At = Found->second.at(Offset);
  const auto Stopped = State.Roster.Stopped.find(Node);
  if (Stopped == State.Roster.Stopped.end())
    return At;
  // A stopped node answers nobody any more, as if it knew every record.
  const auto StoppedAt = Folded.at(Stopped->second);
  return At && StoppedAt ? std::min(*At, *StoppedAt) : StoppedAt;
}

std::optional<time_point> barrier::reachedAt(const state &State,
                                             const log_offset Offset) const {
  const auto Seen = Folded.at(Offset);
  if (Offset <= Through)
    return Seen ? Seen : NoDeadline;
  if (!Seen)
    return std::nullopt;
  auto At = *Seen + withDrift(Settings.OutageAllowance + Settings.Lease) +
            Settings.Margin;
  const auto &Versions = State.Roster.Versions;
  // A node may hold a version that is not listed any more.
  const bool Incomplete = State.Roster.Dropped != 0 && !Versions.empty() &&
                          Versions.front().Version > Through;
  if (Incomplete)
    return At;
  auto Fast = std::optional{*Seen};
  auto Slow = std::optional{*Seen};
  for (std::size_t Index = 0; Index < Versions.size(); ++Index) {
    const bool Superseded =
        Index + 1 < Versions.size() && Versions[Index + 1].Version <= Through;
    if (Superseded || Versions[Index].Version >= Offset)
      continue;
    const auto &Nodes = Versions[Index].Nodes;
    std::vector<time_point> Times;
    for (const auto &Node : Nodes) {
      if (const auto Time = acknowledgedAt(State, Node->Id, Offset))
        Times.push_back(*Time);
    }
    std::sort(Times.begin(), Times.end());
    const auto Needed = acknowledgementsForBarrier(Nodes.size());
    const auto Raise = [&Times](std::optional<time_point> &Latest,
                                const std::size_t Count) {
      if (Times.size() < Count)
        Latest.reset();
      else if (Latest && Count > 0)
        Latest = std::max(*Latest, Times[Count - 1]);
    };
    Raise(Fast, Nodes.size());
    Raise(Slow, Needed);
  }
  if (Slow)
    At = std::min(At, *Slow + withDrift(Settings.Lease) + Settings.Margin);
  if (Fast)
    At = std::min(At, *Fast);
  return At;
}

log_offset barrier::settled(const state &State) const noexcept {
  log_offset Newest = State.Roster.Settled;
  for (const auto &Each : State.Roster.Versions) {
    if (Each.Version <= Through)
      Newest = std::max(Newest, Each.Version);
  }
  return Newest;
}

} // namespace galenalink::fleet
