#ifndef GALENALINK_BENCH_PLACEMENT_CYCLE_HPP
#define GALENALINK_BENCH_PLACEMENT_CYCLE_HPP

#include "schedule_driver.hpp"
#include <cstdlib>
#include <deque>
#include <vector>

namespace galenalink::schedule::bench {

/** @brief Shards in which half of the slots are taken and work comes and goes.
 */
class placement_cycle {
public:
  placement_cycle(const std::uint32_t Shards, const std::uint32_t Vms) {
    settings Settings;
    Settings.MaxItems = 4096;
    // Each attempt ends after 100 ms, however many there are.
    Step = duration{milliseconds{100}} / (Shards * Vms * SlotsPerVm / 2);
    for (std::uint32_t Index = 0; Index < Shards; ++Index) {
      auto &Shard = this->Shards.emplace_back(Settings);
      Queue = Shard.setQueue({.Name = "short",
                              .Service = "service",
                              .Idempotent = true,
                              .ExpectedRun = milliseconds{100}});
      Team = Shard.setTeam({.Name = "team", .Member = "member"});
      for (std::uint32_t Vm = 0; Vm < Vms; ++Vm)
        Shard.addVm("vm" + std::to_string(Vm), 1);
      auto &Oldest = Running.emplace_back();
      for (std::uint32_t Slot = 0; Slot < Vms * SlotsPerVm / 2; ++Slot)
        Oldest.push_back(place(Shard));
      Positions.push_back(0);
    }
  }

  /** One placement and the end of the oldest attempt, on each shard in turn. */
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
  /** Ring of running attempts of each shard, and the oldest one in it. */
  std::vector<std::vector<attempt_id>> Running;
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
