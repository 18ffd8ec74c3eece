#ifndef GALENALINK_BENCH_PLACEMENT_CYCLE_HPP
#define GALENALINK_BENCH_PLACEMENT_CYCLE_HPP

#include "schedule_driver.hpp"
#include <cstdlib>
#include <deque>
#include <vector>

namespace galenalink::schedule::bench {

/** @brief Shards in a steady state with half of their slots in use. */
class placement_cycle {
public:
  placement_cycle(const std::uint32_t Shards, const std::uint32_t Vms) {
    settings Settings;
    Settings.MaxItems = 4096;
    // With this step every attempt runs for 100 ms of virtual time, whatever
    // the number of slots.
    Step = duration{milliseconds{100}} / (Shards * Vms * SlotsPerVm / 2);
    for (std::uint32_t Index = 0; Index < Shards; ++Index) {
      auto &Shard = this->Shards.emplace_back(Settings);
      Queue = Shard.setQueue({.Name = "short",
                              .Service = "service",
                              .Idempotent = true,
                              .ExpectedRun = milliseconds{100}});
      Team = Shard.setTeam({.Name = "team", .Customer = "member"});
      for (std::uint32_t Vm = 0; Vm < Vms; ++Vm)
        Shard.addVm("vm" + std::to_string(Vm), 1);
      auto &Oldest = Running.emplace_back();
      for (std::uint32_t Slot = 0; Slot < Vms * SlotsPerVm / 2; ++Slot)
        Oldest.push_back(place(Shard));
      Positions.push_back(0);
    }
  }

  /** @brief Finishes the oldest attempt of a shard and places a new one;
   * selects the shards round-robin. */
  void runCycle() {
    auto &Shard = Shards[NextShard];
    auto &Oldest = Running[NextShard][Positions[NextShard]];
    Positions[NextShard] =
        (Positions[NextShard] + 1) % Running[NextShard].size();
    NextShard = (NextShard + 1) % Shards.size();
    Now += Step;
    Shard.finished(Oldest, Now);
    Oldest = place(Shard);
  }

private:
  attempt_id place(shard_scheduler &Shard) {
    ++Sequence;
    if (!Shard.enqueue({item_id{Sequence}, Queue, Team, Now + seconds{10}}, Now)
             .admitted())
      std::abort();
    const auto Placed = Shard.next({node_id{1}, Sequence}, Now);
    if (!Placed)
      std::abort();
    return Placed->Attempt;
  }

  std::deque<shard_scheduler> Shards;
  /** Ring buffer of the running attempts of each shard. */
  std::vector<std::vector<attempt_id>> Running;
  /** Index of the oldest attempt in each ring buffer. */
  std::vector<std::size_t> Positions;
  queue_index Queue{};
  team_index Team{};
  duration Step{};
  std::size_t NextShard{0};
  std::uint64_t Sequence{0};
  time_point Now{Start};
};

} // namespace galenalink::schedule::bench

#endif
