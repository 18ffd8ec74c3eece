#ifndef GALENALINK_BENCH_PLAN_WORKLOAD_HPP
#define GALENALINK_BENCH_PLAN_WORKLOAD_HPP

#include "galenalink/core/fwd.hpp"
#include <algorithm>
#include <array>
#include <random>
#include <vector>

namespace galenalink::bench {

inline constexpr wall_ms TickMs = 100;
inline constexpr wall_ms RunMs = 7'200'000;
inline constexpr std::size_t Ticks = RunMs / TickMs;
inline constexpr std::size_t Members = 2;
inline constexpr std::size_t PoolsPerMember = 5;
inline constexpr std::size_t Queues = Members * PoolsPerMember;
/** Run time of short work. */
inline constexpr wall_ms JobMs = 200;
/** Mean demand of a queue: 40% of the 80 slots of its pool. */
inline constexpr double MeanSlots = 32;
inline constexpr double PeakSlots = 5 * MeanSlots;
inline constexpr double RestSlots = MeanSlots / 20;
/** Wait that still meets the deadline: newsletters and handsets. */
inline constexpr std::array<wall_ms, Members> SlackMs{10'000, 5'000};

/** @brief Faults of one run. */
struct faults {
  const char *Name;
  int VmFailures{0};
  bool RackLoss{false};
  wall_ms ListLagMs{1'000};
  wall_ms DemandLagMs{1'000};
};

/** @brief Arrivals of one seed: each queue of a member peaks in turn. */
class workload {
public:
  explicit workload(const std::uint64_t Seed)
      : Arrivals(Queues, std::vector<std::uint32_t>(Ticks)) {
    std::mt19937_64 Random{Seed};
    for (std::size_t Member = 0; Member < Members; ++Member)
      addMember(Random, Member);
  }

  [[nodiscard]] std::uint32_t at(const std::size_t Queue,
                                 const std::size_t Tick) const {
    return Arrivals[Queue][Tick];
  }

  /** @brief Jobs that arrived in the second before a tick. */
  [[nodiscard]] std::uint32_t lastSecond(const std::size_t Queue,
                                         const std::size_t Tick) const {
    std::uint32_t Jobs = 0;
    for (auto I = Tick < 10 ? 0 : Tick - 10; I < Tick; ++I)
      Jobs += Arrivals[Queue][I];
    return Jobs;
  }

private:
  void addMember(std::mt19937_64 &Random, const std::size_t Member) {
    std::uniform_int_distribution<wall_ms> Length{8'000, 16'000};
    std::uniform_int_distribution<wall_ms> Gap{-2'000, 2'000};
    std::vector<std::vector<bool>> Peak(PoolsPerMember,
                                        std::vector<bool>(Ticks));
    wall_ms At = 30'000;
    for (std::size_t Turn = 0; At < RunMs; ++Turn) {
      const auto End = At + Length(Random);
      for (auto T = At; T < std::min(End, RunMs); T += TickMs)
        Peak[Turn % PoolsPerMember][static_cast<std::size_t>(T / TickMs)] =
            true;
      At = End + Gap(Random);
    }
    const auto Jobs = [](const double Slots) { return Slots * TickMs / JobMs; };
    std::poisson_distribution<std::uint32_t> AtPeak{Jobs(PeakSlots)};
    std::poisson_distribution<std::uint32_t> AtRest{Jobs(RestSlots)};
    for (std::size_t Pool = 0; Pool < PoolsPerMember; ++Pool) {
      auto &Queue = Arrivals[Member * PoolsPerMember + Pool];
      for (std::size_t Tick = 0; Tick < Ticks; ++Tick)
        Queue[Tick] = Peak[Pool][Tick] ? AtPeak(Random) : AtRest(Random);
    }
  }

  std::vector<std::vector<std::uint32_t>> Arrivals;
};

} // namespace galenalink::bench

#endif
