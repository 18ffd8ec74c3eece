#include "galenalink/fleet/roster.hpp"
#include <algorithm>
#include <utility>

namespace galenalink::fleet {

namespace {

[[nodiscard]] auto lowerBound(const std::vector<node_ref> &Nodes,
                              const node_id Id) noexcept {
  return std::lower_bound(
      Nodes.begin(), Nodes.end(), Id,
      [](const node_ref &Node, const node_id Key) { return Node->Id < Key; });
}

} // namespace

const node_info *roster_version::find(const node_id Id) const noexcept {
  const auto Found = lowerBound(Nodes, Id);
  return Found != Nodes.end() && (*Found)->Id == Id ? Found->get() : nullptr;
}

log_offset roster::version() const noexcept {
  return Versions.empty() ? 0 : Versions.back().Version;
}

const std::vector<node_ref> &roster::nodes() const noexcept {
  static const std::vector<node_ref> None;
  return Versions.empty() ? None : Versions.back().Nodes;
}

const node_info *roster::find(const node_id Id) const noexcept {
  return Versions.empty() ? nullptr : Versions.back().find(Id);
}

bool roster::known(const node_id Id) const noexcept {
  return std::any_of(
      Versions.begin(), Versions.end(),
      [&](const roster_version &Each) { return Each.find(Id) != nullptr; });
}

void roster::add(node_ref Node, const wall_ms Now) {
  roster_version Next{Node->JoinedAt, nodes()};
  RenewedAt[Node->Id] = Now;
  Next.Nodes.insert(lowerBound(Next.Nodes, Node->Id), std::move(Node));
  push(std::move(Next));
}

void roster::remove(const node_id Id, const log_offset Offset) {
  roster_version Next{Offset, nodes()};
  const auto Found = lowerBound(Next.Nodes, Id);
  if (Found != Next.Nodes.end() && (*Found)->Id == Id)
    Next.Nodes.erase(Found);
  RenewedAt.erase(Id);
  push(std::move(Next));
}

void roster::push(roster_version Next) {
  Versions.push_back(std::move(Next));
  if (Versions.size() > MaxVersions) {
    Dropped = Versions.front().Version;
    Versions.pop_front();
    prune();
  }
}

void roster::settle(const log_offset Version) {
  if (Version <= Settled || Version > this->version())
    return;
  Settled = Version;
  while (Versions.size() > 1 && Versions[1].Version <= Settled)
    Versions.pop_front();
  prune();
}

void roster::prune() {
  std::erase_if(Stopped,
                [&](const auto &Entry) { return !known(Entry.first); });
}

} // namespace galenalink::fleet
