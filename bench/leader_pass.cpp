// Processor time of the leader's decisions, in virtual time and without a
// network, under the load of a large site: five pools and about 50,000 task
// starts a minute, long-running services with disruption budgets, and a
// maintenance wave of half of the VMs. Arguments: virtual seconds (10), VMs in
// each pool (70), jobs a second (65), share of the pools' capacity that is
// asked for (0.9), services in each pool (20), 1 for a wave (1), 1 to format
// log lines (0). Without arguments a run with 6,700 idle VMs follows, with a
// verdict on the 1.1% of a core that a node may spend on control there.

#include "galenalink/job/controller.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <map>
#include <random>

namespace {

using namespace galenalink;
using namespace galenalink::job;

constexpr duration Millisecond = std::chrono::milliseconds{1};
constexpr duration TickInterval = 20 * Millisecond;
constexpr duration RegistrationInterval = 150 * Millisecond;
constexpr duration VmListInterval = 400 * Millisecond;
constexpr duration AppendTime = 10 * Millisecond;
constexpr duration OrderTime = 1 * Millisecond;
constexpr duration WarmUp = std::chrono::seconds{3};
constexpr wall_ms WallStart = 1'700'000'000'000;
constexpr std::uint32_t TasksPerJob = 13;
constexpr std::uint32_t TaskMs = 700;
constexpr std::int64_t ServerCpu = 32000;
constexpr std::uint32_t TasksPerService = 24;
constexpr std::int64_t ServiceTaskCpu = 500;
/** Progress of a long-running task that serves, percent. */
constexpr std::uint32_t Serving = 100;
constexpr duration MaintenanceTime = std::chrono::milliseconds{2000};
/** Size in two years, and what a node may spend there on all control. */
constexpr std::size_t LargeFleetVms = 6700;
constexpr double MaxControlShare = 0.011;
/** Share of the jobs that are cancelled 300 ms after their submission. */
constexpr double CancelledShare = 0.05;

/** Calls of one entry point of the leader. */
struct measurement {
  std::uint64_t Calls{0};
  double Seconds{0};
};

double processorSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) * 1e-9;
}

struct bench_server {
  registration Entry;
  std::string Vm;
  std::map<run_id, std::uint32_t> Running;
  std::vector<listed_end> Ends;
  std::uint64_t EndCount{0};
  /** The heartbeat that waits for a run to end. */
  std::function<void(heartbeat_result)> Waiting;
  std::uint64_t HeartbeatNumber{0};
};

class pass_run {
public:
  pass_run(const std::size_t VmsPerPool, const double JobsPerSecond,
           const double Demand, const std::size_t Services)
      : JobsPerSecond{JobsPerSecond}, Services{Services} {
    for (const std::string &Name : PoolNames)
      addPool(Name, VmsPerPool);
    const auto Capacity =
        static_cast<double>(VmsPerPool * PoolNames.size() * ServerCpu);
    TaskCpu = static_cast<std::int64_t>(Demand * Capacity * 1000 / TaskMs /
                                        (JobsPerSecond * TasksPerJob));
    connect();
    auto State = std::make_unique<leader>(
        Ports, leader_settings{}, 1, [this] { return Now; },
        [this] { return wallTime(); }, [](std::string_view) {});
    State->AfterEvent = [this] { DispatchDue = true; };
    Controller =
        std::make_unique<controller>(std::move(State), latest_result{}, Rules);
    Controller->setRegistrations(registrations());
  }

  /** @return Share of a core of all calls of the leader. */
  double run(const duration Time, const bool WithWave) {
    at(Now, [this] { tick(); });
    at(Now + 200 * Millisecond, [this] { startServices(); });
    if (WithWave)
      at(Now + WarmUp, [this] { beginWave(); });
    at(Now, [this] { refreshRegistrations(); });
    at(Now, [this] { refreshVms(); });
    at(Now + 500 * Millisecond, [this] { submit(); });
    runUntil(Now + WarmUp);
    Measurements.clear();
    StartsBefore = Starts;
    runUntil(Now + Time);
    return report(Time);
  }

private:
  wall_ms wallTime() const {
    return WallStart + std::chrono::duration_cast<std::chrono::milliseconds>(
                           Now.time_since_epoch())
                           .count();
  }

  void addPool(const std::string &Name, const std::size_t Vms) {
    queue_rule Queue;
    Queue.Name = Name;
    Queue.Pool = Name;
    Queue.MaxAttempts = 4;
    Queue.Stretch = 1.6;
    Queue.SlackMs = 600;
    Rules.Version = 1;
    Rules.Queues.push_back(Queue);
    Rules.Pools.push_back({Name, false, false});
    for (std::size_t I = 0; I < Vms; ++I) {
      const std::string Id = "i-" + Name + "-" + std::to_string(I);
      bench_server &Server = Servers[Id];
      Server.Vm = "vm-" + Name + "-" + std::to_string(I);
      Server.Entry.Id = Id;
      Server.Entry.Address = "10.0.0.1:" + std::to_string(Servers.size());
      Server.Entry.Pool = Name;
      Server.Entry.Capacity = {ServerCpu, 131072, 0};
      Server.Entry.Labels = {"a", "r-" + std::to_string(I / 20)};
      Server.Entry.StartedAtMs = WallStart;
      Server.Entry.Sequence = 1;
    }
  }

  std::vector<registration> registrations() const {
    std::vector<registration> All;
    for (const auto &[Id, Server] : Servers)
      All.push_back(Server.Entry);
    return All;
  }

  void at(const time_point Due, std::function<void()> Function) {
    Events.emplace(Due, std::move(Function));
  }

  /** @brief Adds an order to the sum over all orders, which does not depend on
   * the sequence of orders of one instant. */
  void trace(const std::string &Kind, const std::string &Target,
             const run_id &Run) {
    const std::string Text = Kind + "/" + Target + "/" + Run.Task.Job + "/" +
                             std::to_string(Run.Task.Step) + "/" +
                             std::to_string(Run.Task.Index) + "/" +
                             std::to_string(Run.Number) + "/" +
                             std::to_string(Now.time_since_epoch().count());
    Orders += std::hash<std::string>{}(Text);
  }

  /** @brief Calls the leader and adds the processor time to the entry point's
   * measurement. */
  template <typename Function>
  void measured(const char *Name, const Function &Call) {
    const double From = processorSeconds();
    Call();
    measurement &Each = Measurements[Name];
    ++Each.Calls;
    Each.Seconds += processorSeconds() - From;
  }

  void runUntil(const time_point End) {
    while (!Events.empty() && Events.begin()->first <= End) {
      const auto First = Events.begin();
      Now = First->first;
      const auto Call = std::move(First->second);
      Events.erase(First);
      Call();
      // Like the event loop, dispatches once after all events of an instant.
      const bool Last =
          Events.empty() || Events.begin()->first > Now + Millisecond / 5;
      if (DispatchDue && Last) {
        DispatchDue = false;
        measured("dispatch after events",
                 [this] { Controller->dispatchAndFlush(); });
      }
    }
    Now = End;
  }

  void tick() {
    measured("tick", [this] { Controller->tick(); });
    at(Now + TickInterval, [this] { tick(); });
  }

  /** @brief Registrations change with each restart and move; here one does each
   * time. */
  void refreshRegistrations() {
    auto Each =
        std::next(Servers.begin(),
                  static_cast<std::ptrdiff_t>(Random() % Servers.size()));
    ++Each->second.Entry.Sequence;
    const auto All = registrations();
    measured("registration update", [&] { Controller->setRegistrations(All); });
    DispatchDue = true;
    at(Now + RegistrationInterval, [this] { refreshRegistrations(); });
  }

  void refreshVms() {
    vms_result List;
    List.Outcome = call_outcome::Done;
    for (const auto &[Id, Server] : Servers)
      List.Vms.push_back({Server.Vm, Server.Entry.Pool, vm_state::Up, Id,
                          Server.Entry.Capacity, Server.Entry.Labels});
    for (const auto &[Name, Entry] : DownVms)
      List.Vms.push_back({Name, Entry.Pool, vm_state::Maintenance, "",
                          Entry.Capacity, Entry.Labels});
    measured("VM list", [&] { Controller->setVms(List, Now); });
    at(Now + VmListInterval, [this] { refreshVms(); });
  }

  void startServices() {
    for (std::size_t I = 0; I < Services * PoolNames.size(); ++I) {
      job_spec Spec;
      step_spec Step;
      Step.Count = TasksPerService;
      Step.Size = {ServiceTaskCpu, 1000, 0};
      Step.EstimateMs = TaskMs;
      Step.LongRunning = true;
      Step.MaxPerServer = 1;
      Step.DisruptionBudget = 4;
      Spec.Steps.push_back(Step);
      Controller->submit({PoolNames[I % PoolNames.size()], Rules.Version,
                          "service-" + std::to_string(I), Spec},
                         [](const caller_reply &) {});
    }
    DispatchDue = true;
  }

  void beginWave() {
    wave Wave;
    Wave.Number = 1;
    for (const auto &[Id, Server] : Servers) {
      if (Wave.Vms.size() <= Servers.size() / 2)
        Wave.Vms.push_back(Server.Vm);
    }
    std::ranges::shuffle(Wave.Vms, Random);
    Wave.WindowS = 26;
    Wave.MaxUnavailable = static_cast<std::uint32_t>(
        std::max<std::size_t>(Servers.size() / 5, 1));
    Controller->setWaves({{1, Wave}});
  }

  void submit() {
    if (JobsPerSecond <= 0)
      return;
    const std::string &Pool = PoolNames[Submitted % PoolNames.size()];
    char Id[17];
    std::snprintf(Id, sizeof(Id), "%016llx",
                  static_cast<unsigned long long>(Random()));
    job_spec Spec;
    Spec.Spec = "700";
    step_spec Step;
    Step.Count = TasksPerJob;
    Step.Size = {TaskCpu, 1000, 0};
    Step.EstimateMs = TaskMs;
    Spec.Steps.push_back(Step);
    ++Submitted;
    measured("submit", [&] {
      Controller->submit(
          {Pool, Rules.Version, Id, Spec}, [this](const caller_reply &Reply) {
            ++(Reply.Verdict == caller_reply::verdict::Ok ? Accepted : Refused);
          });
    });
    DispatchDue = true;
    if (std::uniform_real_distribution<>{}(Random) < CancelledShare)
      at(Now + 300 * Millisecond, [this, Name = std::string{Id}] {
        measured("cancel", [&] {
          Controller->cancel({Name}, [](const caller_reply &) {});
        });
        DispatchDue = true;
      });
    at(Now + duration{static_cast<std::int64_t>(
                 std::exponential_distribution<>{JobsPerSecond}(Random)*1e6)},
       [this] { submit(); });
  }

  /** @return The incarnation; null once its VM was maintained. */
  bench_server *find(const std::string &Id) {
    const auto Found = Servers.find(Id);
    return Found == Servers.end() ? nullptr : &Found->second;
  }

  static call_outcome outcomeOf(const bench_server *Server) {
    return Server == nullptr ? call_outcome::Unknown : call_outcome::Done;
  }

  void connect() {
    Ports.Append = [this](std::uint64_t, std::uint64_t,
                          const std::vector<keyed_record> &, time_point,
                          const auto &Callback) {
      at(Now + AppendTime, [this, Callback] {
        measured("append stored", [&] { Callback({call_outcome::Done, ""}); });
        DispatchDue = true;
      });
    };
    Ports.Heartbeat = [this](const heartbeat_order &Order,
                             const auto &Callback) {
      at(Now + OrderTime,
         [this, Order, Callback] { heartbeat(Order, Callback); });
    };
    Ports.Start = [this](const start_order &Order, const auto &Callback) {
      trace("start", Order.Server.Id, Order.Run);
      at(Now + OrderTime, [this, Order, Callback] { start(Order, Callback); });
    };
    Ports.Stop = [this](const stop_order &Order, const auto &Callback) {
      trace("stop", Order.Server.Id, Order.Run);
      at(Now + OrderTime, [this, Order, Callback] {
        end(Servers.at(Order.Server.Id), Order.Run, run_outcome::Stopped);
        measured("stop response", [&] {
          Callback({call_outcome::Done, {}, 0});
        });
      });
    };
    Ports.OrderVm = [this](const vm_order &Order, const auto &Callback) {
      trace("vm", Order.Vm + Order.Pool, {});
      at(Now + OrderTime, [this, Order, Callback] {
        vm_result Result;
        Result.Outcome = call_outcome::Refused;
        if (Order.Pool.empty()) {
          Result.Outcome = call_outcome::Done;
          beginMaintenance(Order.Vm);
        }
        measured("VM order response", [&] { Callback(Result); });
      });
    };
    Ports.PublishWave = [this](std::uint64_t, bool, const auto &Callback) {
      at(Now + AppendTime, [Callback] { Callback({call_outcome::Done, ""}); });
    };
  }

  /** @brief Ends the VM's backend server and starts another incarnation after
   * the maintenance. */
  void beginMaintenance(const std::string &Vm) {
    ++Maintenances;
    for (auto Each = Servers.begin(); Each != Servers.end(); ++Each) {
      if (Each->second.Vm != Vm)
        continue;
      registration Entry = Each->second.Entry;
      Servers.erase(Each);
      DownVms[Vm] = Entry;
      Entry.Id += "'";
      at(Now + MaintenanceTime, [this, Vm, Entry] {
        DownVms.erase(Vm);
        bench_server &Server = Servers[Entry.Id];
        Server.Vm = Vm;
        Server.Entry = Entry;
      });
      return;
    }
  }

  template <typename Callback>
  void start(const start_order &Order, const Callback &Respond) {
    ++Starts;
    bench_server *Server = find(Order.Server.Id);
    if (Server == nullptr) {
      measured("start response", [&] {
        Respond({call_outcome::Unknown, {}, 0});
      });
      return;
    }
    const bool Lasts = Order.Run.Task.Job.starts_with("service");
    Server->Running[Order.Run] = Lasts ? Serving : 50;
    const auto Took =
        std::uniform_int_distribution<>{TaskMs / 2, TaskMs * 3 / 2}(Random);
    if (!Lasts)
      at(Now + std::chrono::milliseconds{Took}, [this, Order] {
        if (bench_server *Found = find(Order.Server.Id))
          end(*Found, Order.Run, run_outcome::Done);
      });
    measured("start response", [&] { Respond({call_outcome::Done, {}, 0}); });
  }

  void end(bench_server &Server, const run_id &Run, const run_outcome Outcome) {
    if (Server.Running.erase(Run) == 0)
      return;
    Server.Ends.push_back({++Server.EndCount, Run, Outcome, ""});
    respond(Server);
  }

  void heartbeat(const heartbeat_order &Order,
                 const std::function<void(heartbeat_result)> &Callback) {
    bench_server *Found = find(Order.Server.Id);
    if (Found == nullptr) {
      at(Now + 700 * Millisecond, [this, Callback] {
        measured("heartbeat response", [&] { Callback(heartbeat_result{}); });
      });
      return;
    }
    bench_server &Server = *Found;
    std::erase_if(Server.Ends, [&](const listed_end &Each) {
      return Each.Number <= Order.LastStoredEnd;
    });
    Server.Waiting = Callback;
    if (Order.WaitMs == 0 || !Server.Ends.empty()) {
      respond(Server);
      return;
    }
    at(Now + std::chrono::milliseconds{Order.WaitMs},
       [this, Id = Order.Server.Id, Number = ++Server.HeartbeatNumber] {
         bench_server *Found = find(Id);
         if (Found != nullptr && Found->HeartbeatNumber == Number)
           respond(*Found);
       });
  }

  void respond(bench_server &Server) {
    if (!Server.Waiting)
      return;
    heartbeat_result Result;
    Result.Outcome = call_outcome::Done;
    Result.ClockMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                         Now.time_since_epoch())
                         .count();
    Result.StartedAtMs = Server.Entry.StartedAtMs;
    for (const auto &[Run, Percent] : Server.Running)
      Result.Running.push_back({Run, "", Percent, 100});
    Result.Ends = Server.Ends;
    const auto Callback = std::exchange(Server.Waiting, {});
    measured("heartbeat response", [&] { Callback(Result); });
  }

  double report(const duration Time) {
    const double Seconds = std::chrono::duration<double>(Time).count();
    std::size_t Waiting = 0;
    for (const auto &[Id, Entry] : Controller->state().OpenJobs.all())
      Waiting += Entry->Job.spec().Steps.front().Count;
    std::printf("VMs %zu, jobs submitted %zu, accepted %zu, refused %zu, open "
                "tasks %zu, maintenances %zu, starts a minute %.0f\n",
                Servers.size() + DownVms.size(), Submitted, Accepted, Refused,
                Waiting, Maintenances,
                static_cast<double>(Starts - StartsBefore) / Seconds * 60);
    std::printf("sum over all orders %016llx\n",
                static_cast<unsigned long long>(Orders));
    double Total = 0;
    for (const auto &[Name, Each] : Measurements) {
      Total += Each.Seconds;
      std::printf("%-24s %8.0f calls a second %10.2f us a call %8.4f of a "
                  "core\n",
                  Name.c_str(), static_cast<double>(Each.Calls) / Seconds,
                  Each.Seconds * 1e6 / static_cast<double>(Each.Calls),
                  Each.Seconds / Seconds);
    }
    std::printf("%-24s %51.4f of a core\n", "all", Total / Seconds);
    return Total / Seconds;
  }

  const std::array<std::string, 5> PoolNames{"proofs", "types", "flyers",
                                             "post", "ledgers"};
  double JobsPerSecond;
  std::size_t Services;
  std::map<std::string, registration> DownVms;
  std::size_t Maintenances{0};
  std::int64_t TaskCpu{0};
  time_point Now{std::chrono::seconds{1000}};
  ports Ports;
  fleet_rules Rules;
  std::map<std::string, bench_server> Servers;
  std::multimap<time_point, std::function<void()>> Events;
  std::unique_ptr<controller> Controller;
  bool DispatchDue{false};
  std::mt19937_64 Random{1};
  std::map<std::string, measurement> Measurements;
  std::uint64_t Orders{0};
  std::size_t Submitted{0};
  std::size_t Accepted{0};
  std::size_t Refused{0};
  std::uint64_t Starts{0};
  std::uint64_t StartsBefore{0};
};

} // namespace

int main(const int Argc, const char *const *Argv) {
  const auto Argument = [&](const int Index, const double Default) {
    return Argc > Index ? std::strtod(Argv[Index], nullptr) : Default;
  };
  const bool WithLog = Argument(7, 0) != 0;
  telemetry::openLogOn(
      open("/dev/null", O_WRONLY | O_CLOEXEC),
      WithLog ? telemetry::severity::Info : telemetry::severity::Error, true);
  const auto Time =
      std::chrono::seconds{static_cast<std::int64_t>(Argument(1, 10))};
  pass_run Run{static_cast<std::size_t>(Argument(2, 70)), Argument(3, 65),
               Argument(4, 0.9), static_cast<std::size_t>(Argument(5, 20))};
  Run.run(Time, Argument(6, 1) != 0);
  if (Argc > 1)
    return 0;
  pass_run Idle{LargeFleetVms / 5, 0, 0.5, 0};
  const double Share = Idle.run(Time, false);
  const bool Passed = Share <= MaxControlShare;
  std::printf("decisions with %zu idle VMs: %.4f of a core, <= %.3f %s\n",
              LargeFleetVms, Share, MaxControlShare, Passed ? "PASS" : "FAIL");
  return Passed ? 0 : 1;
}
