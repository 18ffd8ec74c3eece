#include "galenalink/fleet/shard_map.hpp"
#include "galenalink/core/hash.hpp"
#include "galenalink/core/rendezvous.hpp"
#include <algorithm>

namespace galenalink::fleet {

namespace {

/** @brief Takes over the time since which an unchanged seat is held. */
void keepSince(shard_seat &Seat, const std::optional<shard_seat> &Before) {
  if (Before && Before->Node == Seat.Node)
    Seat.Since = Before->Since;
}

} // namespace

shard_seats assignShard(const roster_version &Roster, const pool &Pool,
                        const std::uint32_t Shard, const std::size_t Replicas) {
  auto Nodes = rendezvousOrder(hashCombine(hash64(Pool.Name), Shard),
                               Roster.Nodes, [](const node_ref &Node) {
                                 return static_cast<std::uint64_t>(Node->Id);
                               });
  std::stable_partition(Nodes.begin(), Nodes.end(), [&](const node_ref &Node) {
    return Node->Customer == Pool.Customer;
  });
  shard_seats Seats;
  std::vector<std::string_view> DataCentres;
  for (const auto &Node : Nodes) {
    if (std::find(DataCentres.begin(), DataCentres.end(), Node->DataCentre) !=
        DataCentres.end())
      continue;
    const shard_seat Seat{Node->Id, Roster.Version};
    if (!Seats.Home)
      Seats.Home = Seat;
    else if (Seats.Replicas.size() < Replicas)
      Seats.Replicas.push_back(Seat);
    DataCentres.emplace_back(Node->DataCentre);
  }
  return Seats;
}

std::vector<node_id> dutyOrder(const roster &Roster,
                               const std::string_view Duty) {
  std::vector<node_id> Nodes;
  for (const auto &Node : Roster.nodes())
    Nodes.push_back(Node->Id);
  return rendezvousOrder(hash64(Duty), std::move(Nodes), [](const node_id Id) {
    return static_cast<std::uint64_t>(Id);
  });
}

bool shard_map::update(const state &State) {
  const auto &Versions = State.Roster.Versions;
  if (State.Roster.version() == Version && State.PoolsVersion == PoolsVersion)
    return false;
  auto Next = std::find_if(
      Versions.begin(), Versions.end(),
      [&](const roster_version &Each) { return Each.Version == Version; });
  // Without the version worked on last, it is not known who held a seat in
  // between, so every seat counts from the oldest version kept.
  if (Next == Versions.end()) {
    Seats.clear();
    Next = Versions.begin();
  } else {
    ++Next;
  }
  const auto &Pools = State.Vms.pools();
  Seats.resize(Pools.size());
  for (pool_index Index = 0; Index < Pools.size(); ++Index) {
    auto &Shards = Seats[Index];
    if (!Pools[Index].configured()) {
      Shards.clear();
      continue;
    }
    const auto Begin = Shards.empty() ? Versions.begin() : Next;
    Shards.resize(Pools[Index].Shards);
    std::for_each(Begin, Versions.end(), [&](const roster_version &Each) {
      follow(Each, Pools[Index], Shards);
    });
  }
  Version = State.Roster.version();
  PoolsVersion = State.PoolsVersion;
  return true;
}

void shard_map::follow(const roster_version &Roster, const pool &Pool,
                       std::vector<shard_seats> &Shards) const {
  for (std::uint32_t Shard = 0; Shard < Shards.size(); ++Shard) {
    auto Now = assignShard(Roster, Pool, Shard, Replicas);
    const auto &Before = Shards[Shard];
    if (Now.Home)
      keepSince(*Now.Home, Before.Home);
    for (auto &Seat : Now.Replicas) {
      for (const auto &Old : Before.Replicas)
        keepSince(Seat, Old);
    }
    Shards[Shard] = std::move(Now);
  }
}

const shard_seats *shard_map::find(const pool_index Pool,
                                   const std::uint32_t Shard) const noexcept {
  if (Pool >= Seats.size() || Shard >= Seats[Pool].size())
    return nullptr;
  return &Seats[Pool][Shard];
}

} // namespace galenalink::fleet
