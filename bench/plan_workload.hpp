#ifndef GALENALINK_BENCH_PLAN_WORKLOAD_HPP
#define GALENALINK_BENCH_PLAN_WORKLOAD_HPP

#include "galenalink/core/fwd.hpp"
#include <algorithm>
#include <array>
#include <random>
#include <vector>

namespace galenalink::bench {

/** Step of virtual time. */
inline constexpr wall_ms TickMs = 100;
/** Length of a simulation in virtual time. */
inline constexpr wall_ms SimulatedMs = 7'200'000;
inline constexpr std::size_t TickCount = SimulatedMs / TickMs;
inline constexpr std::size_t CustomerCount = 2;
inline constexpr std::size_t PoolsPerCustomer = 5;
inline constexpr std::size_t QueueCount = CustomerCount * PoolsPerCustomer;
/** Run time of a short job. */
inline constexpr wall_ms JobMs = 200;
/** Mean demand of a queue: 40% of the 80 slots of its pool. */
inline constexpr double MeanSlots = 32;
inline constexpr double PeakSlots = 5 * MeanSlots;
inline constexpr double OffPeakSlots = MeanSlots / 20;
/** Longest wait of a job that still meets its deadline, by customer. */
inline constexpr std::array<wall_ms, CustomerCount> SlackMs{10'000, 5'000};

/** @brief Faults injected into a simulation. */
struct faults {
  const char *Name;
  int VmFailures{0};
  bool RackLoss{false};
  /** Delay after which the planner sees that a VM failed or returned. */
  wall_ms VmListLagMs{1'000};
  /** Age of the demand that the planner sees. */
  wall_ms DemandLagMs{1'000};
};

/**
 * @brief Poisson arrivals generated from a seed. The demand peaks rotate among
 * the queues of a customer.
 */
class workload {
public:
  explicit workload(const std::uint64_t Seed)
      : Arrivals(QueueCount, std::vector<std::uint32_t>(TickCount)) {
    std::mt19937_64 Random{Seed};
    for (std::size_t Customer = 0; Customer < CustomerCount; ++Customer)
      addCustomer(Random, Customer);
  }

  [[nodiscard]] std::uint32_t arrivalsAt(const std::size_t Queue,
                                         const std::size_t Tick) const {
    return Arrivals[Queue][Tick];
  }

  /** @return Number of jobs that arrived in the second before a tick. */
  [[nodiscard]] std::uint32_t
  arrivalsInLastSecond(const std::size_t Queue, const std::size_t Tick) const {
    std::uint32_t Jobs = 0;
    for (auto I = Tick < 10 ? 0 : Tick - 10; I < Tick; ++I)
      Jobs += Arrivals[Queue][I];
    return Jobs;
  }

private:
  void addCustomer(std::mt19937_64 &Random, const std::size_t Customer) {
    std::uniform_int_distribution<wall_ms> Duration{8'000, 16'000};
    std::uniform_int_distribution<wall_ms> Gap{-2'000, 2'000};
    std::vector<std::vector<bool>> Peak(PoolsPerCustomer,
                                        std::vector<bool>(TickCount));
    wall_ms At = 30'000;
    for (std::size_t PeakIndex = 0; At < SimulatedMs; ++PeakIndex) {
      const auto End = At + Duration(Random);
      for (auto T = At; T < std::min(End, SimulatedMs); T += TickMs)
        Peak[PeakIndex % PoolsPerCustomer]
            [static_cast<std::size_t>(T / TickMs)] = true;
      At = End + Gap(Random);
    }
    const auto Jobs = [](const double Slots) { return Slots * TickMs / JobMs; };
    std::poisson_distribution<std::uint32_t> PeakJobs{Jobs(PeakSlots)};
    std::poisson_distribution<std::uint32_t> OffPeakJobs{Jobs(OffPeakSlots)};
    for (std::size_t Pool = 0; Pool < PoolsPerCustomer; ++Pool) {
      auto &Queue = Arrivals[Customer * PoolsPerCustomer + Pool];
      for (std::size_t Tick = 0; Tick < TickCount; ++Tick)
        Queue[Tick] = Peak[Pool][Tick] ? PeakJobs(Random) : OffPeakJobs(Random);
    }
  }

  std::vector<std::vector<std::uint32_t>> Arrivals;
};

} // namespace galenalink::bench

#endif
