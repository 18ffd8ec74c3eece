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

/** @brief One request as it reaches the home of the shard. */
struct arrival {
  time_point At{};
  std::uint32_t Queue{0};
  duration Run{};
  duration Timeout{};
  /** 0 for the first request, else how often its caller was refused. */
  std::uint32_t Try{0};
};

/** @brief A queue of a member's workload. */
struct queue_load {
  std::string Name;
  /** Run times are lognormal around this median. */
  duration Median{};
  duration Timeout{};
  /** Mean load as a share of the pool's slots. */
  double Load{0};
};

/** @brief Workload of one pool of 10 VMs with 8 slots. */
struct workload {
  std::string Customer;
  std::vector<queue_load> Queues;
  /** Long jobs come in batches. */
  std::uint32_t BatchJobs{0};
  duration BatchEvery{};
  duration LongLeast{};
  duration LongMost{};
};

inline constexpr std::uint32_t PoolVms = 10;
inline constexpr double PoolSlots = PoolVms * SlotsPerVm;
/** One run in 200 is a straggler that takes 20 times as long. */
inline constexpr double StragglerShare = 0.005;
inline constexpr double StragglerFactor = 20;
/**
 * Five queues peak in turn at five times their mean, so each peaks for a fifth
 * of the time, and at a twentieth of the mean in between.
 */
inline constexpr duration PeakLength{milliseconds{5200}};
inline constexpr duration PeakCycle{seconds{26}};

[[nodiscard]] inline duration scaled(const duration Time, const double By) {
  return duration{
      static_cast<duration::rep>(static_cast<double>(Time.count()) * By)};
}

[[nodiscard]] inline double asSeconds(const duration Time) {
  return static_cast<double>(Time.count()) / 1e6;
}

/** @brief Lognormal run times with stragglers. */
class run_times {
public:
  explicit run_times(const duration Median) : Median{Median} {}

  template <typename Generator> [[nodiscard]] duration draw(Generator &Random) {
    const bool Straggler =
        std::uniform_real_distribution<>{}(Random) < StragglerShare;
    return scaled(Median,
                  std::exp(Normal(Random)) * (Straggler ? StragglerFactor : 1));
  }
  [[nodiscard]] duration mean() const {
    return scaled(Median, std::exp(Sigma * Sigma / 2) *
                              (1 + StragglerShare * (StragglerFactor - 1)));
  }

private:
  static constexpr double Sigma = 0.5;
  duration Median;
  std::normal_distribution<> Normal{0, Sigma};
};

/**
 * @brief Poisson arrivals of one queue.
 * @param LoadAt Load as a share of the pool's slots at a time after `Start`.
 */
inline void addArrivals(std::vector<arrival> &Arrivals,
                        const std::uint32_t Queue, const queue_load &Load,
                        const duration Length,
                        const std::function<double(duration)> &LoadAt,
                        const std::uint32_t Seed) {
  std::mt19937_64 Random{Seed};
  run_times Runs{Load.Median};
  const auto Mean = asSeconds(Runs.mean());
  constexpr duration Step{milliseconds{10}};
  for (duration Time{}; Time < Length; Time += Step) {
    const auto Rate = LoadAt(Time) * PoolSlots / Mean;
    std::poisson_distribution<> Count{Rate * asSeconds(Step)};
    for (int Left = Rate > 0 ? Count(Random) : 0; Left > 0; --Left)
      Arrivals.push_back({Start + Time + duration{Random() % Step.count()},
                          Queue, Runs.draw(Random), Load.Timeout});
  }
}

inline void sortArrivals(std::vector<arrival> &Arrivals) {
  std::stable_sort(
      Arrivals.begin(), Arrivals.end(),
      [](const auto &Left, const auto &Right) { return Left.At < Right.At; });
}

/** @brief Arrivals of a workload; the long queue comes after the others. */
[[nodiscard]] inline std::vector<arrival>
arrivalsOf(const workload &Load, const duration Length, const bool WithLong,
           const double Scale, const std::uint32_t Seed) {
  std::vector<arrival> Arrivals;
  std::uint32_t Queue = 0;
  for (; Queue < Load.Queues.size(); ++Queue) {
    const auto Mean = Load.Queues[Queue].Load * Scale;
    addArrivals(
        Arrivals, Queue, Load.Queues[Queue], Length,
        [&](const duration Time) {
          return Mean * (Time % PeakCycle < PeakLength ? 5 : 0.05);
        },
        Seed + Queue);
  }
  if (WithLong) {
    std::mt19937_64 Random{Seed + 100};
    for (auto Time = Load.BatchEvery / 8; Time < Length;
         Time += Load.BatchEvery) {
      for (std::uint32_t Job = 0; Job < Load.BatchJobs; ++Job)
        Arrivals.push_back(
            {Start + Time, Queue,
             Load.LongLeast +
                 duration{Random() % (Load.LongMost - Load.LongLeast).count()},
             std::chrono::hours{2}});
    }
  }
  sortArrivals(Arrivals);
  return Arrivals;
}

/** @brief How the pool behaves apart from the run times. */
struct behaviour {
  /** Whether an attempt fails, by VM and time. */
  std::function<bool(vm_index, time_point)> Fails;
  /** Run time of an attempt that fails. */
  duration FailAfter{milliseconds{1}};
  /** Refused callers come back after the retry time, at most so often. */
  std::uint32_t CallerRetries{0};
};

/** @brief What a run did. */
struct outcome_counts {
  std::uint64_t First{0};
  std::uint64_t Attempts{0};
  std::uint64_t Refused{0};
  std::uint64_t Expired{0};
  std::uint64_t Failed{0};
  std::uint64_t Done{0};
  /** Attempts that were placed on a VM with 8 running attempts. */
  std::uint64_t OverPlaced{0};
  std::uint32_t MostEjected{0};
  std::vector<std::uint64_t> AttemptsOfVm;
  /** Seconds from arrival to the first start, by queue. */
  std::vector<std::vector<double>> Waits;
  /** Slot seconds of results in time, by half second of completion. */
  std::vector<double> Goodput;
};

inline constexpr duration GoodputStep{milliseconds{500}};

inline void countGoodput(std::vector<double> &Goodput, const time_point At,
                         const duration Run) {
  const auto Step = static_cast<std::size_t>((At - Start) / GoodputStep);
  if (Goodput.size() <= Step)
    Goodput.resize(Step + 1);
  Goodput[Step] += asSeconds(Run);
}

/** @brief Feeds arrivals to one scheduler and answers its dispatches. */
class driver {
public:
  driver(const std::vector<queue_load> &Queues, const duration DeclaredLong,
         behaviour Behaviour, const settings &Settings = {})
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
    Busy.resize(PoolVms);
    Counts.AttemptsOfVm.resize(PoolVms);
    Counts.Waits.resize(this->Queues.size());
  }

  outcome_counts run(std::vector<arrival> Arrivals) {
    Items = std::move(Arrivals);
    for (std::size_t Item = 0; Item < Items.size(); ++Item)
      Events.push({Items[Item].At, Item, false});
    Counts.First = Items.size();
    auto NextTick = Start;
    while (!Events.empty()) {
      const auto Event = Events.top();
      Events.pop();
      Now = Event.At;
      if (Event.End)
        end(Event.Index);
      else
        arrive(Event.Index);
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
    bool End{false};
    [[nodiscard]] bool operator>(const event &Other) const noexcept {
      return At != Other.At ? At > Other.At : Index > Other.Index;
    }
  };
  struct attempt {
    std::size_t Item{0};
    vm_index Vm{};
    bool Fails{false};
  };

  void arrive(const std::size_t Index) {
    const auto Item = Items[Index];
    const auto Answer = Shard.enqueue(
        {item_id{Index}, Queues[Item.Queue], Team, Item.At + Item.Timeout},
        Now);
    if (Answer.admitted())
      return;
    ++Counts.Refused;
    if (Item.Try >= Behaviour.CallerRetries)
      return;
    auto Again = Item;
    Again.At = Now + Answer.RetryAfter;
    ++Again.Try;
    Events.push({Again.At, Items.size(), false});
    Items.push_back(Again);
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
        Counts.Waits[Item.Queue].push_back(asSeconds(Now - Item.At));
      Started[Index] = true;
      ++Counts.Attempts;
      ++Counts.AttemptsOfVm[rawIndex(Placed->Vm)];
      Counts.OverPlaced += ++Busy[rawIndex(Placed->Vm)] > SlotsPerVm ? 1 : 0;
      Events.push({Now + (Fails ? Behaviour.FailAfter : Item.Run),
                   Attempts.size(), true});
      Attempts.push_back({Index, Placed->Vm, Fails});
    }
    Counts.MostEjected =
        std::max(Counts.MostEjected, Shard.health().ejectedCount());
  }

  void end(const std::size_t Index) {
    const auto &Attempt = Attempts[Index];
    const auto &Item = Items[Attempt.Item];
    const attempt_id Id{node_id{1}, Index};
    --Busy[rawIndex(Attempt.Vm)];
    const auto Result =
        Attempt.Fails ? Shard.failed(Id, Now) : Shard.finished(Id, Now);
    if (Result.Disposition == attempt_disposition::Done) {
      ++Counts.Done;
      if (Now <= Item.At + Item.Timeout)
        countGoodput(Counts.Goodput, Now, Item.Run);
    } else if (Result.Disposition != attempt_disposition::Requeued) {
      ++Counts.Failed;
    }
  }

  behaviour Behaviour;
  shard_scheduler Shard;
  std::vector<queue_index> Queues;
  team_index Team{};
  time_point Now{Start};
  std::vector<arrival> Items;
  std::vector<attempt> Attempts;
  std::vector<bool> Started;
  std::vector<std::uint32_t> Busy;
  std::vector<expired_item> Expired;
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  outcome_counts Counts;
};

/** @brief The same arrivals through one FIFO queue for all slots. */
[[nodiscard]] inline outcome_counts
runFifo(const std::vector<arrival> &Arrivals, const std::size_t Queues) {
  std::priority_queue<time_point, std::vector<time_point>, std::greater<>> Free;
  for (std::uint32_t Slot = 0; Slot < PoolVms * SlotsPerVm; ++Slot)
    Free.push(Start);
  outcome_counts Counts;
  Counts.Waits.resize(Queues);
  for (const auto &Item : Arrivals) {
    const auto Begin = std::max(Free.top(), Item.At);
    Free.pop();
    Free.push(Begin + Item.Run);
    Counts.Waits[Item.Queue].push_back(asSeconds(Begin - Item.At));
    if (Begin + Item.Run <= Item.At + Item.Timeout)
      countGoodput(Counts.Goodput, Begin + Item.Run, Item.Run);
  }
  return Counts;
}

} // namespace galenalink::schedule::bench

#endif
