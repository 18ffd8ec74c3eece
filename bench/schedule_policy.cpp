#include "placement_cycle.hpp"
#include "schedule_driver.hpp"
#include <cstdio>
#include <cstdlib>
#include <new>

namespace {

std::uint64_t Allocations = 0;

} // namespace

// Counts every allocation of the program. Not inlined, because the compiler
// would see malloc and free where it expects new and delete.
[[gnu::noinline]] void *operator new(const std::size_t Size) {
  ++Allocations;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc{};
}
[[gnu::noinline]] void *operator new(const std::size_t Size,
                                     const std::align_val_t Alignment) {
  ++Allocations;
  const auto Unit = static_cast<std::size_t>(Alignment);
  if (void *Memory = std::aligned_alloc(Unit, (Size + Unit - 1) / Unit * Unit))
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

void row(const std::string &Name, const double Value, const char *const Limit,
         const bool Passed) {
  std::printf("%-66s %10.3f  %-8s %s\n", Name.c_str(), Value, Limit,
              Passed ? "PASS" : "FAIL");
  AllPassed = AllPassed && Passed;
}

void note(const std::string &Name, const double Value) {
  std::printf("%-66s %10.3f\n", Name.c_str(), Value);
}

/** Newsletters: peaks at 1.5 times the pool, archive runs every 30 minutes. */
const workload Halloran{"halloran",
                        {{"proof", milliseconds{150}, seconds{10}, 0.15},
                         {"typeset", milliseconds{400}, seconds{10}, 0.15}},
                        120,
                        std::chrono::minutes{30},
                        seconds{60},
                        seconds{180}};

/** Trolleys and refunds: peaks at 1.3 times, reconciliation every 20 min. */
const workload Authority{"authority",
                         {{"handset", milliseconds{50}, seconds{10}, 0.2},
                          {"kiosk", milliseconds{120}, seconds{10}, 0.06}},
                         100,
                         std::chrono::minutes{20},
                         seconds{30},
                         seconds{90}};

/** Wait that the given share of all short work stays within, in seconds. */
[[nodiscard]] double shortWait(const outcome_counts &Counts,
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
 * Waits while the peaks of short work fit into the pool. Without long work
 * nearly all slots that a peak needs are free, so each slot that long work
 * takes, which nothing interrupts, is felt.
 */
void peaksWithinPool(const workload &Load) {
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
    const auto Arrivals = arrivalsOf(Load, Length, WithLong, Scale, 11);
    const auto Counts = driver{Load.Queues, Load.LongLeast, {}}.run(Arrivals);
    Waits[WithLong ? 1 : 0] = shortWait(Counts, Load.Queues.size(), 0.99);
    note(Name + (WithLong ? "with" : "without") + " long work, s",
         Waits[WithLong ? 1 : 0]);
  }
  // Waits below a millisecond cannot be told from none.
  constexpr double Resolution = 0.001;
  const double Ratio = Waits[1] / std::max(Waits[0], Resolution);
  row(Name + "with / without", Ratio, "<= 2", Ratio <= 2);
}

void headOfLine(const workload &Load) {
  constexpr duration Length{std::chrono::hours{2}};
  const auto Short = Load.Queues.size();
  const auto With = arrivalsOf(Load, Length, true, 1, 11);
  const auto Without = arrivalsOf(Load, Length, false, 1, 11);
  const auto Shared = driver{Load.Queues, Load.LongLeast, {}}.run(With);
  const auto Alone = driver{Load.Queues, Load.LongLeast, {}}.run(Without);
  const auto Fifo = runFifo(With, Short + 1);
  const auto SharedWait = shortWait(Shared, Short, 0.99);
  const auto AloneWait = shortWait(Alone, Short, 0.99);
  const auto FifoWait = shortWait(Fifo, Short, 0.99);
  note(Load.Customer + ": p99 wait of short work without long work, s",
       AloneWait);
  note(Load.Customer + ": p99 wait of short work with long work, s",
       SharedWait);
  note(Load.Customer + ": p99 wait of short work, one FIFO queue, s", FifoWait);
  const auto LongJobs = Load.BatchJobs * (Length / Load.BatchEvery);
  const auto LongDone = static_cast<long>(Shared.Waits[Short].size());
  row(Load.Customer + ": long jobs that were not run",
      static_cast<double>(LongJobs - LongDone), "= 0", LongDone == LongJobs);
  // Refused work has no wait, so refusals would flatter the percentiles.
  row(Load.Customer + ": short work refused or expired, both runs",
      static_cast<double>(Shared.Refused + Shared.Expired + Alone.Refused +
                          Alone.Expired),
      "= 0",
      Shared.Refused + Shared.Expired + Alone.Refused + Alone.Expired == 0);
  row(Load.Customer + ": p99 wait with long work / without",
      SharedWait / AloneWait, "<= 2", SharedWait <= 2 * AloneWait);
  row(Load.Customer + ": p99 wait of one FIFO queue / this policy",
      FifoWait / SharedWait, ">= 5", FifoWait >= 5 * SharedWait);
  peaksWithinPool(Load);
}

/** Goodput from one time to another as a share of the pool's slots. */
[[nodiscard]] double goodput(const outcome_counts &Counts, const duration From,
                             const duration To) {
  double Sum = 0;
  for (auto Time = From; Time < To; Time += GoodputStep) {
    const auto Step = static_cast<std::size_t>(Time / GoodputStep);
    Sum += Step < Counts.Goodput.size() ? Counts.Goodput[Step] : 0;
  }
  return Sum / asSeconds(To - From) / PoolSlots;
}

void overload() {
  // Callers wait 2 s, so work that waited through the overload is worthless.
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
  // Stragglers that take longer than the callers wait occupy slots, too.
  duration InTime{};
  duration All{};
  for (const auto &Item : Arrivals) {
    All += Item.Run;
    InTime += Item.Run <= Item.Timeout ? Item.Run : duration{};
  }
  const auto Capacity = asSeconds(InTime) / asSeconds(All);
  behaviour Behaviour;
  Behaviour.CallerRetries = 3;
  const auto Counts = driver{{Queue}, {}, Behaviour}.run(Arrivals);
  const auto Fifo = runFifo(Arrivals, 1);
  const auto Share = [&](const outcome_counts &Of, const duration Begin,
                         const duration End) {
    return goodput(Of, Begin, End) / Capacity;
  };
  note("overload: share of the slot time that can be in time", Capacity);
  note("overload: goodput / capacity before", Share(Counts, seconds{10}, From));
  note("overload: goodput / capacity during 10 s at 5x",
       Share(Counts, From, To));
  note("overload: goodput / capacity after, one FIFO queue",
       Share(Fifo, To + PeakLength, To + seconds{30}));
  duration Back{};
  while (Back < seconds{40} &&
         Share(Counts, To + Back, To + Back + seconds{2}) < 0.95)
    Back += GoodputStep;
  row("overload: s until goodput >= 95% of capacity over 2 s", asSeconds(Back),
      "<= 5.2", Back <= PeakLength);
  const auto After = Share(Counts, To + PeakLength, To + seconds{30});
  row("overload: goodput / capacity, 5.2 s to 30 s after", After, ">= 0.95",
      After >= 0.95);
}

void retries() {
  const queue_load Queue{"handset", milliseconds{100}, seconds{10}, 0.5};
  for (const auto Percent : {5, 30, 100}) {
    std::vector<arrival> Arrivals;
    addArrivals(
        Arrivals, 0, Queue, seconds{120}, [](duration) { return 0.5; }, 31);
    sortArrivals(Arrivals);
    std::mt19937 Random{32};
    behaviour Behaviour;
    Behaviour.FailAfter = milliseconds{100};
    Behaviour.Fails = [&](vm_index, const time_point Now) {
      return Now >= Start + seconds{30} &&
             static_cast<int>(Random() % 100) < Percent;
    };
    const auto Counts = driver{{Queue}, {}, Behaviour}.run(Arrivals);
    const auto Amplified =
        static_cast<double>(Counts.Attempts) /
        static_cast<double>(Counts.First - Counts.Refused - Counts.Expired);
    row("retries: attempts / first attempts, " + std::to_string(Percent) +
            "% of attempts fail",
        Amplified, "<= 1.1", Amplified <= 1.1);
  }
}

void badVm() {
  const queue_load Queue{"handset", milliseconds{100}, seconds{10}, 0.5};
  std::vector<arrival> Arrivals;
  addArrivals(
      Arrivals, 0, Queue, seconds{300}, [](duration) { return 0.5; }, 41);
  sortArrivals(Arrivals);
  std::mt19937 Random{42};
  behaviour Behaviour;
  Behaviour.Fails = [&](const vm_index Vm, time_point) {
    return rawIndex(Vm) == 3 || Random() % 100 == 0;
  };
  const auto ShareOf = [](const outcome_counts &Counts) {
    return static_cast<double>(Counts.AttemptsOfVm[3]) /
           static_cast<double>(Counts.Attempts);
  };
  const auto Counts = driver{{Queue}, {}, Behaviour}.run(Arrivals);
  settings NoEjection;
  NoEjection.InitialProbeDelay = NoEjection.MaxProbeDelay = duration{1};
  note("bad VM: share of attempts when it is probed all the time",
       ShareOf(driver{{Queue}, {}, Behaviour, NoEjection}.run(Arrivals)));
  row("bad VM: share of attempts of a VM that fails all at once",
      ShareOf(Counts), "<= 0.1", ShareOf(Counts) <= 1.0 / PoolVms);
  row("bad VM: most VMs ejected at a time", Counts.MostEjected, "<= 2",
      Counts.MostEjected <= 2);
}

/**
 * Several nodes that each place on the less loaded of two random VMs, by a
 * view of the running attempts that is `Lag` old. A node sees its own
 * placements at once.
 */
[[nodiscard]] double lagging(const std::vector<arrival> &Arrivals,
                             const std::uint32_t Nodes, const duration Lag) {
  std::mt19937 Random{51};
  struct placed {
    time_point At, Until;
    std::uint32_t Node;
  };
  std::vector<std::vector<placed>> Vms(PoolVms);
  std::uint64_t Over = 0;
  for (const auto &Item : Arrivals) {
    const auto Node = static_cast<std::uint32_t>(Random() % Nodes);
    const auto Seen = [&](const std::uint32_t Vm) {
      return std::count_if(
          Vms[Vm].begin(), Vms[Vm].end(), [&](const placed &Other) {
            const auto View = Other.Node == Node ? Item.At : Item.At - Lag;
            return Other.At <= View && View < Other.Until;
          });
    };
    const auto One = static_cast<std::uint32_t>(Random() % PoolVms);
    const auto Two = static_cast<std::uint32_t>(Random() % PoolVms);
    const auto Vm = Seen(One) <= Seen(Two) ? One : Two;
    auto &Running = Vms[Vm];
    std::erase_if(Running, [&](const placed &Other) {
      return Other.Until < Item.At - Lag;
    });
    const auto Truth =
        std::count_if(Running.begin(), Running.end(), [&](const placed &Other) {
          return Item.At < Other.Until;
        });
    if (Truth >= static_cast<long>(SlotsPerVm))
      ++Over;
    else
      Running.push_back({Item.At, Item.At + Item.Run, Node});
  }
  return 1000.0 * static_cast<double>(Over) /
         static_cast<double>(Arrivals.size());
}

void overPlacement() {
  const queue_load Queue{"handset", milliseconds{100}, seconds{10}, 0.7};
  std::vector<arrival> Arrivals;
  addArrivals(
      Arrivals, 0, Queue, seconds{120}, [](duration) { return 0.7; }, 50);
  sortArrivals(Arrivals);
  const auto Counts = driver{{Queue}, {}, {}}.run(Arrivals);
  const auto Single = 1000.0 * static_cast<double>(Counts.OverPlaced) /
                      static_cast<double>(Counts.Attempts);
  note("over-placements per 1000, two choices, 8 nodes, view 3 ms old",
       lagging(Arrivals, 8, milliseconds{3}));
  const auto Lagging = lagging(Arrivals, 8, milliseconds{100});
  note("over-placements per 1000, two choices, 8 nodes, view 100 ms old",
       Lagging);
  row("over-placements per 1000, single writer at 0.7 of the slots", Single,
      "= 0", Counts.OverPlaced == 0 && Lagging > 0);
}

void placementCost() {
  placement_cycle Today{5, 10};
  placement_cycle Later{32, 6700 / 32};
  constexpr int Turns = 100000;
  const auto Measure = [](placement_cycle &Cycle) {
    const auto Begin = std::chrono::steady_clock::now();
    for (int Turn = 0; Turn < Turns; ++Turn)
      Cycle.turn();
    return std::chrono::duration<double, std::nano>{
               std::chrono::steady_clock::now() - Begin}
               .count() /
           Turns;
  };
  (void)Measure(Today);
  (void)Measure(Later);
  // The least of several rounds is the one least disturbed by other programs.
  double TodayTime = 1e9;
  double LaterTime = 1e9;
  const auto Before = Allocations;
  for (int Round = 0; Round < 9; ++Round) {
    TodayTime = std::min(TodayTime, Measure(Today));
    LaterTime = std::min(LaterTime, Measure(Later));
  }
  const auto Allocated = static_cast<double>(Allocations - Before);
  note("placement: ns for one, 50 VMs in 5 pools", TodayTime);
  note("placement: ns for one, 6,700 VMs in 32 pools", LaterTime);
  row("placement: 6,700 VMs / 50 VMs", LaterTime / TodayTime, "<= 2",
      LaterTime <= 2 * TodayTime);
  row("placement: allocations in 1.8 million placements", Allocated, "= 0",
      Allocated == 0);
}

} // namespace

} // namespace galenalink::schedule::bench

// Runs all parts, or only those named on the command line.
int main(const int Count, const char *const *const Arguments) {
  using namespace galenalink::schedule::bench;
  const std::vector<std::string> Wanted(Arguments + 1, Arguments + Count);
  const auto Run = [&](const char *const Name, const auto &Part) {
    if (Wanted.empty() ||
        std::find(Wanted.begin(), Wanted.end(), Name) != Wanted.end())
      Part();
  };
  Run("halloran", [] { headOfLine(Halloran); });
  Run("authority", [] { headOfLine(Authority); });
  Run("overload", overload);
  Run("retries", retries);
  Run("bad-vm", badVm);
  Run("over-placement", overPlacement);
  Run("placement", placementCost);
  return AllPassed ? EXIT_SUCCESS : EXIT_FAILURE;
}
