#include "galenalink/fleet/authority.hpp"
#include <algorithm>
#include <functional>
#include <vector>

namespace galenalink::fleet {

void detail::evidence::add(const time_point SentAt, const log_offset Shown,
                           const log_offset Folded) {
  Pending.push_back({SentAt, Shown});
  folded(Folded);
  // The middle is given up, so that the oldest can still be reached.
  if (Pending.size() > MaxPending)
    Pending.erase(Pending.begin() + MaxPending / 2);
}

void detail::evidence::folded(const log_offset Folded) {
  std::erase_if(Pending, [&](const answer &Each) {
    if (Each.Shown > Folded)
      return false;
    if (!Newest || *Newest < Each.SentAt)
      Newest = Each.SentAt;
    return true;
  });
}

void authority::folded(const state &State, const time_point Now) {
  const auto &Nodes = State.Roster.nodes();
  std::erase_if(Peers, [&](const auto &Entry) {
    return State.Roster.find(Entry.first) == nullptr;
  });
  for (const auto &Node : Nodes) {
    if (Node->Id != Self)
      Peers.try_emplace(Node->Id, peer{{}, Now});
  }
  Log.folded(State.Offset);
  for (auto &Entry : Peers)
    Entry.second.Evidence.folded(State.Offset);
  update(State);
}

void authority::logRead(const state &State, const time_point SentAt,
                        const log_offset End) {
  Log.add(SentAt, End == 0 ? 0 : End - 1, State.Offset);
  update(State);
}

void authority::peerAnswered(const state &State, const node_id Peer,
                             const time_point SentAt, const log_offset Folded) {
  const auto Found = Peers.find(Peer);
  if (Found == Peers.end())
    return;
  Found->second.Evidence.add(SentAt, Folded, State.Offset);
  Found->second.Heard = std::max(Found->second.Heard, SentAt);
  update(State);
}

void authority::resign() noexcept {
  Resigned = true;
  Deadline = NoDeadline;
}

void authority::update(const state &State) {
  Deadline = NoDeadline;
  const auto LogSentAt = Log.sentAt();
  if (Resigned || !LogSentAt || State.Roster.find(Self) == nullptr)
    return;
  Deadline = *LogSentAt + Settings.Lease;
  const auto Needed = peersForAuthority(State.Roster.nodes().size());
  std::vector<time_point> Sent;
  for (const auto &Entry : Peers) {
    if (const auto SentAt = Entry.second.Evidence.sentAt())
      Sent.push_back(*SentAt);
  }
  if (Needed == 0 || Sent.size() < Needed)
    return;
  std::sort(Sent.begin(), Sent.end(), std::greater<>{});
  const auto Counted =
      std::min(Sent[Needed - 1], *LogSentAt + Settings.OutageAllowance);
  Deadline = std::max(Deadline, Counted + Settings.Lease);
}

bool authority::suspects(const node_id Peer, const time_point Now) const {
  const auto Found = Peers.find(Peer);
  return Found != Peers.end() && Now - Found->second.Heard >= Settings.Suspect;
}

bool authority::mayEvict(const state &State, const node_id Victim,
                         const time_point Now) const {
  if (Resigned || State.Roster.find(Self) == nullptr || !suspects(Victim, Now))
    return false;
  const auto Answering =
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &Entry) {
        const auto SentAt = Entry.second.Evidence.sentAt();
        return Entry.first != Victim && SentAt &&
               Now < *SentAt + Settings.Lease;
      });
  if (static_cast<std::size_t>(Answering) >=
      peersForAuthority(State.Roster.nodes().size()))
    return true;
  const auto Renewed = State.Roster.RenewedAt.find(Victim);
  return Renewed != State.Roster.RenewedAt.end() &&
         State.LogTime - Renewed->second >= Settings.RenewalAgeMs;
}

} // namespace galenalink::fleet
