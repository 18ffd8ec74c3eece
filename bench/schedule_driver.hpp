#ifndef GALENALINK_BENCH_SCHEDULE_DRIVER_HPP
#define GALENALINK_BENCH_SCHEDULE_DRIVER_HPP

#include "galenalink/schedule/shard_scheduler.hpp"
#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace galenalink::schedule::bench {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Start of virtual time. */
inline constexpr time_point Start{std::chrono::hours{1}};

/** @brief A request as it arrives at the node that owns the shard. */
struct arrival {
  time_point At{};
  std::uint32_t Queue{0};
  duration RunTime{};
  duration Timeout{};
  /** How often the request has been refused before; 0 for the first try. */
  std::uint32_t RetryCount{0};
};

/** @brief Load of one queue of a customer. */
struct queue_load {
  std::string Name;
  /** Median of the lognormal run times. */
  duration Median{};
  duration Timeout{};
  /** Mean load as a share of the slots of the pool. */
  double Load{0};
};

/** @brief Workload of one pool of 10 VMs with 8 slots each. */
struct workload {
  std::string Customer;
  std::vector<queue_load> Queues;
  /** Number of long jobs that arrive at once in every `BatchInterval`. */
  std::uint32_t BatchJobs{0};
  duration BatchInterval{};
  duration MinLongRunTime{};
  duration MaxLongRunTime{};
};

inline constexpr std::uint32_t PoolVms = 10;
inline constexpr double PoolSlots = PoolVms * SlotsPerVm;
/** One run in 200 is a straggler, which takes 20 times as long. */
inline constexpr double StragglerShare = 0.005;
inline constexpr double StragglerFactor = 20;
/**
 * Each queue is at five times its mean load for a fifth of the time, as if five
 * queues peaked in rotation, and at a twentieth of its mean load otherwise.
 */
inline constexpr duration PeakDuration{milliseconds{5200}};
inline constexpr duration PeakPeriod{seconds{26}};

[[nodiscard]] inline duration scaleDuration(const duration Time,
                                            const double Factor) {
  return duration{
      static_cast<duration::rep>(static_cast<double>(Time.count()) * Factor)};
}

[[nodiscard]] inline double toSeconds(const duration Time) {
  return static_cast<double>(Time.count()) / 1e6;
}

/** @brief Lognormal run times with stragglers. */
class run_time_distribution {
public:
  explicit run_time_distribution(const duration Median) : Median{Median} {}

  template <typename Generator> [[nodiscard]] duration draw(Generator &Random) {
    const bool Straggler =
        std::uniform_real_distribution<>{}(Random) < StragglerShare;
    return scaleDuration(Median, std::exp(Normal(Random)) *
                                     (Straggler ? StragglerFactor : 1));
  }
  [[nodiscard]] duration mean() const {
    return scaleDuration(Median,
                         std::exp(Sigma * Sigma / 2) *
                             (1 + StragglerShare * (StragglerFactor - 1)));
  }

private:
  static constexpr double Sigma = 0.5;
  duration Median;
  std::normal_distribution<> Normal{0, Sigma};
};

/**
 * @brief Adds Poisson arrivals of one queue.
 * @param LoadAt Load as a share of the pool's slots at a time after `Start`.
 */
inline void addArrivals(std::vector<arrival> &Arrivals,
                        const std::uint32_t Queue, const queue_load &Load,
                        const duration Length,
                        const std::function<double(duration)> &LoadAt,
                        const std::uint32_t Seed) {
  std::mt19937_64 Random{Seed};
  run_time_distribution Runs{Load.Median};
  const auto Mean = toSeconds(Runs.mean());
  constexpr duration Step{milliseconds{10}};
  for (duration Time{}; Time < Length; Time += Step) {
    const auto Rate = LoadAt(Time) * PoolSlots / Mean;
    std::poisson_distribution<> Count{Rate * toSeconds(Step)};
    for (int Remaining = Rate > 0 ? Count(Random) : 0; Remaining > 0;
         --Remaining)
      Arrivals.push_back({Start + Time + duration{Random() % Step.count()},
                          Queue, Runs.draw(Random), Load.Timeout});
  }
}

inline void sortArrivals(std::vector<arrival> &Arrivals) {
  std::stable_sort(
      Arrivals.begin(), Arrivals.end(),
      [](const auto &Left, const auto &Right) { return Left.At < Right.At; });
}

/**
 * @brief Generates the arrivals of a workload, sorted by time. The queue of the
 * long jobs has the index after those of the short queues.
 * @param Scale Factor for the load of the short queues.
 */
[[nodiscard]] inline std::vector<arrival>
generateArrivals(const workload &Load, const duration Length,
                 const bool WithLong, const double Scale,
                 const std::uint32_t Seed) {
  std::vector<arrival> Arrivals;
  std::uint32_t Queue = 0;
  for (; Queue < Load.Queues.size(); ++Queue) {
    const auto Mean = Load.Queues[Queue].Load * Scale;
    addArrivals(
        Arrivals, Queue, Load.Queues[Queue], Length,
        [&](const duration Time) {
          return Mean * (Time % PeakPeriod < PeakDuration ? 5 : 0.05);
        },
        Seed + Queue);
  }
  if (WithLong) {
    std::mt19937_64 Random{Seed + 100};
    for (auto Time = Load.BatchInterval / 8; Time < Length;
         Time += Load.BatchInterval) {
      for (std::uint32_t Job = 0; Job < Load.BatchJobs; ++Job)
        Arrivals.push_back(
            {Start + Time, Queue,
             Load.MinLongRunTime +
                 duration{Random() %
                          (Load.MaxLongRunTime - Load.MinLongRunTime).count()},
             std::chrono::hours{2}});
    }
  }
  sortArrivals(Arrivals);
  return Arrivals;
}

/** @brief Failures of attempts, and retries by callers after a refusal. */
struct pool_behaviour {
  /** Returns whether an attempt on a VM at a time fails; empty for never. */
  std::function<bool(vm_index, time_point)> Fails;
  /** Run time of an attempt that fails. */
  duration FailedRunTime{milliseconds{1}};
  /** How often a refused caller retries after the returned delay, at most. */
  std::uint32_t MaxCallerRetries{0};
};

/** @brief Counters and measurements of a simulation. */
struct outcome_counts {
  std::uint64_t FirstRequests{0};
  std::uint64_t Attempts{0};
  std::uint64_t Refused{0};
  std::uint64_t Expired{0};
  std::uint64_t Failed{0};
  std::uint64_t Done{0};
  /** Attempts placed on a VM whose 8 slots were all in use. */
  std::uint64_t OverPlaced{0};
  std::uint32_t MaxEjected{0};
  std::vector<std::uint64_t> AttemptsByVm;
  /** Waits from arrival to first start in seconds, by queue. */
  std::vector<std::vector<double>> Waits;
  /** Slot seconds of runs that completed before their deadline, by interval of
   * `GoodputBinWidth` of the completion. */
  std::vector<double> Goodput;
};

inline constexpr duration GoodputBinWidth{milliseconds{500}};

inline void addGoodput(std::vector<double> &Goodput, const time_point At,
                       const duration RunTime) {
  const auto Step = static_cast<std::size_t>((At - Start) / GoodputBinWidth);
  if (Goodput.size() <= Step)
    Goodput.resize(Step + 1);
  Goodput[Step] += toSeconds(RunTime);
}

/**
 * @brief Simulates one scheduler: feeds it arrivals and reports the ends of the
 * attempts that it places.
 */
class driver {
public:
  driver(const std::vector<queue_load> &Queues, const duration DeclaredLong,
         pool_behaviour Behaviour, const settings &Settings = {})
      : Behaviour{std::move(Behaviour)}, Shard{Settings} {
    for (const auto &Queue : Queues)
      this->Queues.push_back(Shard.setQueue({.Name = Queue.Name,
                                             .Service = "service",
                                             .Idempotent = true,
                                             .ExpectedRun = Queue.Median}));
    if (DeclaredLong > duration{})
      this->Queues.push_back(Shard.setQueue({.Name = "long",
                                             .Service = "service",
                                             .Idempotent = true,
                                             .ExpectedRun = DeclaredLong}));
    Team = Shard.setTeam({.Name = "team", .Customer = "member"});
    for (std::uint32_t Vm = 0; Vm < PoolVms; ++Vm)
      Shard.addVm("vm" + std::to_string(Vm), 1);
    RunningByVm.resize(PoolVms);
    Counts.AttemptsByVm.resize(PoolVms);
    Counts.Waits.resize(this->Queues.size());
  }

  outcome_counts run(std::vector<arrival> Arrivals) {
    Items = std::move(Arrivals);
    for (std::size_t Item = 0; Item < Items.size(); ++Item)
      Events.push({Items[Item].At, Item, false});
    Counts.FirstRequests = Items.size();
    auto NextTick = Start;
    while (!Events.empty()) {
      const auto Event = Events.top();
      Events.pop();
      Now = Event.At;
      if (Event.IsCompletion)
        endAttempt(Event.Index);
      else
        handleArrival(Event.Index);
      if (Now >= NextTick) {
        Shard.expire(Now, Expired);
        Counts.Expired += Expired.size();
        Expired.clear();
        NextTick = Now + milliseconds{100};
      }
      place();
    }
    Shard.expire(Now + std::chrono::hours{3}, Expired);
    Counts.Expired += Expired.size();
    return Counts;
  }

private:
  struct event {
    time_point At{};
    std::size_t Index{0};
    bool IsCompletion{false};
    [[nodiscard]] bool operator>(const event &Other) const noexcept {
      return At != Other.At ? At > Other.At : Index > Other.Index;
    }
  };
  struct attempt {
    std::size_t Item{0};
    vm_index Vm{};
    bool Fails{false};
  };

  void handleArrival(const std::size_t Index) {
    const auto Item = Items[Index];
    const auto Admission = Shard.enqueue(
        {item_id{Index}, Queues[Item.Queue], Team, Item.At + Item.Timeout},
        Now);
    if (Admission.admitted())
      return;
    ++Counts.Refused;
    if (Item.RetryCount >= Behaviour.MaxCallerRetries)
      return;
    auto Retry = Item;
    Retry.At = Now + Admission.RetryAfter;
    ++Retry.RetryCount;
    Events.push({Retry.At, Items.size(), false});
    Items.push_back(Retry);
  }

  void place() {
    while (const auto Placed = Shard.next({node_id{1}, Attempts.size()}, Now)) {
      const auto Index = static_cast<std::size_t>(Placed->Item);
      const auto &Item = Items[Index];
      const bool Fails =
          Behaviour.Fails != nullptr && Behaviour.Fails(Placed->Vm, Now);
      if (Started.size() < Items.size())
        Started.resize(Items.size());
      if (!Started[Index])
        Counts.Waits[Item.Queue].push_back(toSeconds(Now - Item.At));
      Started[Index] = true;
      ++Counts.Attempts;
      ++Counts.AttemptsByVm[rawIndex(Placed->Vm)];
      Counts.OverPlaced +=
          ++RunningByVm[rawIndex(Placed->Vm)] > SlotsPerVm ? 1 : 0;
      Events.push({Now + (Fails ? Behaviour.FailedRunTime : Item.RunTime),
                   Attempts.size(), true});
      Attempts.push_back({Index, Placed->Vm, Fails});
    }
    Counts.MaxEjected =
        std::max(Counts.MaxEjected, Shard.health().ejectedCount());
  }

  void endAttempt(const std::size_t Index) {
    const auto &Attempt = Attempts[Index];
    const auto &Item = Items[Attempt.Item];
    const attempt_id Id{node_id{1}, Index};
    --RunningByVm[rawIndex(Attempt.Vm)];
    const auto Result =
        Attempt.Fails ? Shard.failed(Id, Now) : Shard.finished(Id, Now);
    if (Result.Disposition == attempt_disposition::Done) {
      ++Counts.Done;
      if (Now <= Item.At + Item.Timeout)
        addGoodput(Counts.Goodput, Now, Item.RunTime);
    } else if (Result.Disposition != attempt_disposition::Requeued) {
      ++Counts.Failed;
    }
  }

  pool_behaviour Behaviour;
  shard_scheduler Shard;
  std::vector<queue_index> Queues;
  team_index Team{};
  time_point Now{Start};
  std::vector<arrival> Items;
  std::vector<attempt> Attempts;
  std::vector<bool> Started;
  std::vector<std::uint32_t> RunningByVm;
  std::vector<expired_item> Expired;
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  outcome_counts Counts;
};

/** @brief Baseline: serves the arrivals from one FIFO queue for all slots. */
[[nodiscard]] inline outcome_counts
runFifo(const std::vector<arrival> &Arrivals, const std::size_t Queues) {
  std::priority_queue<time_point, std::vector<time_point>, std::greater<>>
      FreeAt;
  for (std::uint32_t Slot = 0; Slot < PoolVms * SlotsPerVm; ++Slot)
    FreeAt.push(Start);
  outcome_counts Counts;
  Counts.Waits.resize(Queues);
  for (const auto &Item : Arrivals) {
    const auto StartedAt = std::max(FreeAt.top(), Item.At);
    FreeAt.pop();
    FreeAt.push(StartedAt + Item.RunTime);
    Counts.Waits[Item.Queue].push_back(toSeconds(StartedAt - Item.At));
    if (StartedAt + Item.RunTime <= Item.At + Item.Timeout)
      addGoodput(Counts.Goodput, StartedAt + Item.RunTime, Item.RunTime);
  }
  return Counts;
}

} // namespace galenalink::schedule::bench

#endif
