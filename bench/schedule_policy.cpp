#include "placement_cycle.hpp"
#include "schedule_driver.hpp"
#include <cstdio>
#include <cstdlib>
#include <new>

namespace {

std::uint64_t Allocations = 0;

} // namespace

// Replacements of the global operators that count every allocation. They are
// not inlined, because the compiler would see malloc and free where it expects
// new and delete.
[[gnu::noinline]] void *operator new(const std::size_t Size) {
  ++Allocations;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc{};
}
[[gnu::noinline]] void *operator new(const std::size_t Size,
                                     const std::align_val_t Alignment) {
  ++Allocations;
  const auto Boundary = static_cast<std::size_t>(Alignment);
  if (void *Memory = std::aligned_alloc(Boundary, (Size + Boundary - 1) /
                                                      Boundary * Boundary))
    return Memory;
  throw std::bad_alloc{};
}
[[gnu::noinline]] void operator delete(void *const Memory) noexcept {
  std::free(Memory);
}
[[gnu::noinline]] void operator delete(void *const Memory,
                                       std::size_t) noexcept {
  std::free(Memory);
}
[[gnu::noinline]] void operator delete(void *const Memory,
                                       std::align_val_t) noexcept {
  std::free(Memory);
}
[[gnu::noinline]] void operator delete(void *const Memory, std::size_t,
                                       std::align_val_t) noexcept {
  std::free(Memory);
}

namespace galenalink::schedule::bench {

namespace {

bool AllPassed = true;

void printCheck(const std::string &Name, const double Value,
                const char *const Limit, const bool Passed) {
  std::printf("%-66s %10.3f  %-8s %s\n", Name.c_str(), Value, Limit,
              Passed ? "PASS" : "FAIL");
  AllPassed = AllPassed && Passed;
}

void printValue(const std::string &Name, const double Value) {
  std::printf("%-66s %10.3f\n", Name.c_str(), Value);
}

/** Newsletters: peaks at 1.5 times the slots of the pool, and a batch of long
 * archive jobs every 30 minutes. */
const workload HalloranWorkload{
    "halloran",
    {{"proof", milliseconds{150}, seconds{10}, 0.15},
     {"typeset", milliseconds{400}, seconds{10}, 0.15}},
    120,
    std::chrono::minutes{30},
    seconds{60},
    seconds{180}};

/** Trolleys and refunds: peaks at 1.3 times the slots of the pool, and a batch
 * of long reconciliation jobs every 20 minutes. */
const workload AuthorityWorkload{
    "authority",
    {{"handset", milliseconds{50}, seconds{10}, 0.2},
     {"kiosk", milliseconds{120}, seconds{10}, 0.06}},
    100,
    std::chrono::minutes{20},
    seconds{30},
    seconds{90}};

/** @return Percentile of the waits of all short jobs, in seconds. */
[[nodiscard]] double shortWaitPercentile(const outcome_counts &Counts,
                                         const std::size_t ShortQueues,
                                         const double Share) {
  std::vector<double> All;
  for (std::size_t Queue = 0; Queue < ShortQueues; ++Queue)
    All.insert(All.end(), Counts.Waits[Queue].begin(),
               Counts.Waits[Queue].end());
  std::sort(All.begin(), All.end());
  return All.empty() ? 0
                     : All[static_cast<std::size_t>(
                           Share * static_cast<double>(All.size() - 1))];
}

/**
 * @brief Compares the waits with and without long jobs while the peaks of short
 * jobs fit into the pool. Without long jobs nearly all slots that a peak needs
 * are free, so every slot in use by a long job, which is never preempted, adds
 * to the waits.
 */
void comparePeakWaits(const workload &Load) {
  constexpr double Scale = 0.55;
  constexpr duration Length{std::chrono::hours{1}};
  double Peak = 0;
  for (const auto &Queue : Load.Queues)
    Peak += 5 * Scale * Queue.Load;
  const std::string Name = Load.Customer + ": p99 wait, peaks at " +
                           std::to_string(Peak).substr(0, 4) +
                           " of the slots, ";
  double Waits[2]{};
  for (const bool WithLong : {false, true}) {
    const auto Arrivals = generateArrivals(Load, Length, WithLong, Scale, 11);
    const auto Counts =
        driver{Load.Queues, Load.MinLongRunTime, {}}.run(Arrivals);
    Waits[WithLong ? 1 : 0] =
        shortWaitPercentile(Counts, Load.Queues.size(), 0.99);
    printValue(Name + (WithLong ? "with" : "without") + " long work, s",
               Waits[WithLong ? 1 : 0]);
  }
  // Waits below a millisecond are not distinguishable from no wait.
  constexpr double Resolution = 0.001;
  const double Ratio = Waits[1] / std::max(Waits[0], Resolution);
  printCheck(Name + "with / without", Ratio, "<= 2", Ratio <= 2);
}

void measureHeadOfLineBlocking(const workload &Load) {
  constexpr duration Length{std::chrono::hours{2}};
  const auto Short = Load.Queues.size();
  const auto With = generateArrivals(Load, Length, true, 1, 11);
  const auto Without = generateArrivals(Load, Length, false, 1, 11);
  const auto Mixed = driver{Load.Queues, Load.MinLongRunTime, {}}.run(With);
  const auto ShortOnly =
      driver{Load.Queues, Load.MinLongRunTime, {}}.run(Without);
  const auto Fifo = runFifo(With, Short + 1);
  const auto MixedWait = shortWaitPercentile(Mixed, Short, 0.99);
  const auto ShortOnlyWait = shortWaitPercentile(ShortOnly, Short, 0.99);
  const auto FifoWait = shortWaitPercentile(Fifo, Short, 0.99);
  printValue(Load.Customer + ": p99 wait of short work without long work, s",
             ShortOnlyWait);
  printValue(Load.Customer + ": p99 wait of short work with long work, s",
             MixedWait);
  printValue(Load.Customer + ": p99 wait of short work, one FIFO queue, s",
             FifoWait);
  const auto LongJobs = Load.BatchJobs * (Length / Load.BatchInterval);
  const auto LongDone = static_cast<long>(Mixed.Waits[Short].size());
  printCheck(Load.Customer + ": long jobs that were not run",
             static_cast<double>(LongJobs - LongDone), "= 0",
             LongDone == LongJobs);
  // Refused jobs record no wait, so refusals would improve the percentiles.
  printCheck(Load.Customer + ": short work refused or expired, both runs",
             static_cast<double>(Mixed.Refused + Mixed.Expired +
                                 ShortOnly.Refused + ShortOnly.Expired),
             "= 0",
             Mixed.Refused + Mixed.Expired + ShortOnly.Refused +
                     ShortOnly.Expired ==
                 0);
  printCheck(Load.Customer + ": p99 wait with long work / without",
             MixedWait / ShortOnlyWait, "<= 2", MixedWait <= 2 * ShortOnlyWait);
  printCheck(Load.Customer + ": p99 wait of one FIFO queue / this policy",
             FifoWait / MixedWait, ">= 5", FifoWait >= 5 * MixedWait);
  comparePeakWaits(Load);
}

/** @return Goodput from one time to another as a share of the pool's slots. */
[[nodiscard]] double goodputShare(const outcome_counts &Counts,
                                  const duration From, const duration To) {
  double Sum = 0;
  for (auto Time = From; Time < To; Time += GoodputBinWidth) {
    const auto Step = static_cast<std::size_t>(Time / GoodputBinWidth);
    Sum += Step < Counts.Goodput.size() ? Counts.Goodput[Step] : 0;
  }
  return Sum / toSeconds(To - From) / PoolSlots;
}

void measureOverload() {
  // Callers time out after 2 s, so jobs queued during the overload are useless
  // once it is over.
  const queue_load Queue{"handset", milliseconds{100}, seconds{2}, 1};
  constexpr duration From{seconds{30}};
  constexpr duration To{seconds{40}};
  std::vector<arrival> Arrivals;
  addArrivals(
      Arrivals, 0, Queue, seconds{90},
      [&](const duration Time) {
        return Time < From ? 0.7 : Time < To ? 5 : 1.05;
      },
      21);
  sortArrivals(Arrivals);
  // Stragglers that run for longer than the timeout use slots, but cannot count
  // as goodput.
  duration InTimeRunTime{};
  duration TotalRunTime{};
  for (const auto &Item : Arrivals) {
    TotalRunTime += Item.RunTime;
    InTimeRunTime += Item.RunTime <= Item.Timeout ? Item.RunTime : duration{};
  }
  const auto AttainableShare =
      toSeconds(InTimeRunTime) / toSeconds(TotalRunTime);
  pool_behaviour Behaviour;
  Behaviour.MaxCallerRetries = 3;
  const auto Counts = driver{{Queue}, {}, Behaviour}.run(Arrivals);
  const auto Fifo = runFifo(Arrivals, 1);
  const auto Share = [&](const outcome_counts &Result, const duration Begin,
                         const duration End) {
    return goodputShare(Result, Begin, End) / AttainableShare;
  };
  printValue("overload: share of slot time of runs within the timeout",
             AttainableShare);
  printValue("overload: goodput / capacity before",
             Share(Counts, seconds{10}, From));
  printValue("overload: goodput / capacity during 10 s at 5x",
             Share(Counts, From, To));
  printValue("overload: goodput / capacity after, one FIFO queue",
             Share(Fifo, To + PeakDuration, To + seconds{30}));
  duration RecoveryTime{};
  while (RecoveryTime < seconds{40} &&
         Share(Counts, To + RecoveryTime, To + RecoveryTime + seconds{2}) <
             0.95)
    RecoveryTime += GoodputBinWidth;
  printCheck("overload: s until goodput >= 95% of capacity over 2 s",
             toSeconds(RecoveryTime), "<= 5.2", RecoveryTime <= PeakDuration);
  const auto After = Share(Counts, To + PeakDuration, To + seconds{30});
  printCheck("overload: goodput / capacity, 5.2 s to 30 s after", After,
             ">= 0.95", After >= 0.95);
}

void measureRetryAmplification() {
  const queue_load Queue{"handset", milliseconds{100}, seconds{10}, 0.5};
  for (const auto Percent : {5, 30, 100}) {
    std::vector<arrival> Arrivals;
    addArrivals(
        Arrivals, 0, Queue, seconds{120}, [](duration) { return 0.5; }, 31);
    sortArrivals(Arrivals);
    std::mt19937 Random{32};
    pool_behaviour Behaviour;
    Behaviour.FailedRunTime = milliseconds{100};
    Behaviour.Fails = [&](vm_index, const time_point Now) {
      return Now >= Start + seconds{30} &&
             static_cast<int>(Random() % 100) < Percent;
    };
    const auto Counts = driver{{Queue}, {}, Behaviour}.run(Arrivals);
    const auto Amplification =
        static_cast<double>(Counts.Attempts) /
        static_cast<double>(Counts.FirstRequests - Counts.Refused -
                            Counts.Expired);
    printCheck("retries: attempts / first attempts, " +
                   std::to_string(Percent) + "% of attempts fail",
               Amplification, "<= 1.1", Amplification <= 1.1);
  }
}

void measureFailingVm() {
  const queue_load Queue{"handset", milliseconds{100}, seconds{10}, 0.5};
  std::vector<arrival> Arrivals;
  addArrivals(
      Arrivals, 0, Queue, seconds{300}, [](duration) { return 0.5; }, 41);
  sortArrivals(Arrivals);
  std::mt19937 Random{42};
  pool_behaviour Behaviour;
  Behaviour.Fails = [&](const vm_index Vm, time_point) {
    return rawIndex(Vm) == 3 || Random() % 100 == 0;
  };
  const auto ShareOf = [](const outcome_counts &Counts) {
    return static_cast<double>(Counts.AttemptsByVm[3]) /
           static_cast<double>(Counts.Attempts);
  };
  const auto Counts = driver{{Queue}, {}, Behaviour}.run(Arrivals);
  settings NoEjection;
  NoEjection.InitialProbeDelay = NoEjection.MaxProbeDelay = duration{1};
  printValue("bad VM: share of attempts when it is probed all the time",
             ShareOf(driver{{Queue}, {}, Behaviour, NoEjection}.run(Arrivals)));
  printCheck("bad VM: share of attempts of a VM that fails every attempt",
             ShareOf(Counts), "<= 0.1", ShareOf(Counts) <= 1.0 / PoolVms);
  printCheck("bad VM: most VMs ejected at a time", Counts.MaxEjected, "<= 2",
             Counts.MaxEjected <= 2);
}

/**
 * @brief Baseline of several nodes, each of which places on the less loaded of
 * two random VMs.
 *
 * The nodes see their own placements at once and those of other nodes after
 * `Lag`.
 *
 * @return Placements on full VMs per 1,000 placements.
 */
[[nodiscard]] double
staleViewOverPlacements(const std::vector<arrival> &Arrivals,
                        const std::uint32_t Nodes, const duration Lag) {
  std::mt19937 Random{51};
  struct placement {
    time_point At, Until;
    std::uint32_t Node;
  };
  std::vector<std::vector<placement>> Vms(PoolVms);
  std::uint64_t OverPlacements = 0;
  for (const auto &Item : Arrivals) {
    const auto Node = static_cast<std::uint32_t>(Random() % Nodes);
    const auto ObservedLoad = [&](const std::uint32_t Vm) {
      return std::count_if(
          Vms[Vm].begin(), Vms[Vm].end(), [&](const placement &Other) {
            const auto View = Other.Node == Node ? Item.At : Item.At - Lag;
            return Other.At <= View && View < Other.Until;
          });
    };
    const auto FirstChoice = static_cast<std::uint32_t>(Random() % PoolVms);
    const auto SecondChoice = static_cast<std::uint32_t>(Random() % PoolVms);
    const auto Vm = ObservedLoad(FirstChoice) <= ObservedLoad(SecondChoice)
                        ? FirstChoice
                        : SecondChoice;
    auto &Running = Vms[Vm];
    std::erase_if(Running, [&](const placement &Other) {
      return Other.Until < Item.At - Lag;
    });
    const auto ActualLoad = std::count_if(
        Running.begin(), Running.end(),
        [&](const placement &Other) { return Item.At < Other.Until; });
    if (ActualLoad >= static_cast<long>(SlotsPerVm))
      ++OverPlacements;
    else
      Running.push_back({Item.At, Item.At + Item.RunTime, Node});
  }
  return 1000.0 * static_cast<double>(OverPlacements) /
         static_cast<double>(Arrivals.size());
}

void measureOverPlacement() {
  const queue_load Queue{"handset", milliseconds{100}, seconds{10}, 0.7};
  std::vector<arrival> Arrivals;
  addArrivals(
      Arrivals, 0, Queue, seconds{120}, [](duration) { return 0.7; }, 50);
  sortArrivals(Arrivals);
  const auto Counts = driver{{Queue}, {}, {}}.run(Arrivals);
  const auto Single = 1000.0 * static_cast<double>(Counts.OverPlaced) /
                      static_cast<double>(Counts.Attempts);
  printValue("over-placements per 1000, two choices, 8 nodes, view 3 ms old",
             staleViewOverPlacements(Arrivals, 8, milliseconds{3}));
  const auto StaleView =
      staleViewOverPlacements(Arrivals, 8, milliseconds{100});
  printValue("over-placements per 1000, two choices, 8 nodes, view 100 ms old",
             StaleView);
  printCheck("over-placements per 1000, single writer at 0.7 of the slots",
             Single, "= 0", Counts.OverPlaced == 0 && StaleView > 0);
}

void measurePlacementCost() {
  placement_cycle Small{5, 10};
  placement_cycle Large{32, 6700 / 32};
  constexpr int Cycles = 100000;
  const auto Measure = [](placement_cycle &Cycle) {
    const auto Begin = std::chrono::steady_clock::now();
    for (int Iteration = 0; Iteration < Cycles; ++Iteration)
      Cycle.runCycle();
    return std::chrono::duration<double, std::nano>{
               std::chrono::steady_clock::now() - Begin}
               .count() /
           Cycles;
  };
  (void)Measure(Small);
  (void)Measure(Large);
  // The minimum of several rounds is least affected by other load on the
  // machine.
  double SmallTime = 1e9;
  double LargeTime = 1e9;
  const auto Before = Allocations;
  for (int Round = 0; Round < 9; ++Round) {
    SmallTime = std::min(SmallTime, Measure(Small));
    LargeTime = std::min(LargeTime, Measure(Large));
  }
  const auto Allocated = static_cast<double>(Allocations - Before);
  printValue("placement: ns for one, 50 VMs in 5 pools", SmallTime);
  printValue("placement: ns for one, 6,700 VMs in 32 pools", LargeTime);
  printCheck("placement: 6,700 VMs / 50 VMs", LargeTime / SmallTime, "<= 2",
             LargeTime <= 2 * SmallTime);
  printCheck("placement: allocations in 1.8 million placements", Allocated,
             "= 0", Allocated == 0);
}

} // namespace

} // namespace galenalink::schedule::bench

// Runs all benchmarks, or only those named on the command line.
int main(const int Count, const char *const *const Arguments) {
  using namespace galenalink::schedule::bench;
  const std::vector<std::string> Selected(Arguments + 1, Arguments + Count);
  const auto RunIfSelected = [&](const char *const Name,
                                 const auto &Benchmark) {
    if (Selected.empty() ||
        std::find(Selected.begin(), Selected.end(), Name) != Selected.end())
      Benchmark();
  };
  RunIfSelected("halloran",
                [] { measureHeadOfLineBlocking(HalloranWorkload); });
  RunIfSelected("authority",
                [] { measureHeadOfLineBlocking(AuthorityWorkload); });
  RunIfSelected("overload", measureOverload);
  RunIfSelected("retries", measureRetryAmplification);
  RunIfSelected("bad-vm", measureFailingVm);
  RunIfSelected("over-placement", measureOverPlacement);
  RunIfSelected("placement", measurePlacementCost);
  return AllPassed ? EXIT_SUCCESS : EXIT_FAILURE;
}
