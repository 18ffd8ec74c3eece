#include "soak/fleet_standin.hpp"
#include <algorithm>

namespace galenalink::soak {

namespace {

using nlohmann::json;

constexpr std::int64_t MaxLeaseMs = 6000;
/** Duration of a move or a maintenance. */
constexpr duration VmOrderTime = std::chrono::milliseconds{500};
/** Tasks of at least this duration are services, which serve at once. */
constexpr int ServiceMs = 3600000;
constexpr duration CrashRecoveryTime = std::chrono::milliseconds{700};
/** Reading of a new VM's clock. After a restart under the same id it begins at
 * 0, so that times of the former incarnation lie far ahead. */
constexpr duration FirstClockReading = std::chrono::hours{1};

void replyJson(http::exchange &Exchange, const int Status, const json &Body) {
  Exchange.reply(Status, {{"Content-Type", "application/json"}}, Body.dump());
}

std::uint64_t fencingTokenOf(const json &Body) {
  return Body.is_object() ? Body.value("fencingToken", std::uint64_t{0}) : 0;
}

void refuse(const soak_vm &Vm, http::exchange &Exchange,
            const std::string &Reason) {
  replyJson(Exchange, 409, {{"clockMs", Vm.clockMs()}, {"reason", Reason}});
}

} // namespace

std::int64_t soak_vm::clockMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             boot_clock::now() - ClockStart)
             .count() *
         ClockPercent / 100;
}

bool soak_vm::unreachableFor(const std::uint64_t Token) const {
  return boot_clock::now() < PartitionedUntil ||
         (IsCutFrom && IsCutFrom(Token));
}

fleet_standin::fleet_standin(http::loop &Loop, store_standin &Store,
                             const std::uint64_t Seed)
    : Loop{Loop}, Store{Store}, VmServer{Loop,
                                         {},
                                         [this](http::exchange Exchange) {
                                           handleVmRequest(std::move(Exchange));
                                         }},
      Random{Seed} {
  static_cast<void>(VmServer.listen("127.0.0.1", 0));
  Timer = Loop.every(std::chrono::milliseconds{5}, [this] { update(); });
}

http::address fleet_standin::listAddress() const {
  return {"127.0.0.1", VmServer.port()};
}

void fleet_standin::addVm(const std::string &Name, const std::string &Pool,
                          const bool Standby) {
  auto &Vm = *Vms.emplace_back(std::make_unique<soak_vm>());
  Vm.Name = Name;
  Vm.Pool = Pool;
  if (Standby)
    StandbyPools.insert(Pool);
  Vm.Server = std::make_unique<http::server>(
      Loop, http::server_options{}, [this, &Vm](http::exchange Exchange) {
        handleRequest(Vm, std::move(Exchange));
      });
  static_cast<void>(Vm.Server->listen("127.0.0.1", 0));
  Vm.Link = std::make_unique<tcp_proxy>(
      Loop, http::address{"127.0.0.1", Vm.Server->port()});
  startIncarnation(Vm);
}

void fleet_standin::startIncarnation(soak_vm &Vm) {
  Vm.State = "up";
  Vm.ResumeAt = NoDeadline;
  if (StandbyPools.contains(Vm.Pool))
    return;
  Vm.Id = "i-" + std::to_string(++NextId);
  Vm.StartedAtMs = wallNow();
  Vm.RegistrationSeq = 0;
  Vm.ClockStart = boot_clock::now() - FirstClockReading;
  Vm.ClockPercent = 98 + static_cast<std::int64_t>(Random() % 3);
  writeRegistration(Vm);
}

void fleet_standin::renewRegistration(const std::size_t Vm) {
  writeRegistration(*Vms.at(Vm));
}

void fleet_standin::writeRegistration(soak_vm &Vm) {
  const json Entry{{"service", Vm.Pool},
                   {"address", toString(Vm.Link->address())},
                   {"zone", "north"},
                   {"version", "1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"seq", ++Vm.RegistrationSeq},
                   {"born", Vm.StartedAtMs},
                   {"capacity", {{"cpu", 16000}, {"memMb", 65536}}},
                   {"labels", {"a", "r-" + Vm.Name}}};
  Store.put("keyed.servers", Vm.Id, Entry.dump());
}

void fleet_standin::dropState(soak_vm &Vm) {
  for (const auto &Each : Vm.Running)
    History.recordEnd(Each.Record, "");
  Vm.Running.clear();
  Vm.HighestClosedRun.clear();
  Vm.UnrecordedEnds.clear();
  Vm.PendingHeartbeats.clear();
  Vm.EndCount = 0;
  Vm.FencingToken = 0;
  Vm.LeaseEndMs = 0;
}

void fleet_standin::endIncarnation(soak_vm &Vm) {
  dropState(Vm);
  Vm.RestartAt = NoDeadline;
  Vm.RegisterAt = NoDeadline;
  if (!Vm.Id.empty())
    Store.put("keyed.servers", Vm.Id, std::nullopt);
  Vm.Id.clear();
}

void fleet_standin::crashVm(const std::size_t Vm) {
  soak_vm &Crashed = *Vms.at(Vm);
  if (Crashed.State != "up" || Crashed.Id.empty())
    return;
  endIncarnation(Crashed);
  Crashed.State = "down";
  Crashed.NextPool = Crashed.Pool;
  Crashed.ResumeAt = boot_clock::now() + CrashRecoveryTime;
}

void fleet_standin::restartUnderId(const std::size_t Vm, const duration Dark,
                                   const duration RegistrationDelay) {
  soak_vm &Restarted = *Vms.at(Vm);
  dropState(Restarted);
  Restarted.Link->silenceConnections();
  Restarted.Link->setFault(link_fault::Silent);
  Restarted.RestartAt = boot_clock::now() + Dark;
  Restarted.RegistrationDelay = RegistrationDelay;
}

void fleet_standin::finishRestart(soak_vm &Vm, const time_point Now) {
  if (Vm.RestartAt != NoDeadline && Now >= Vm.RestartAt) {
    Vm.RestartAt = NoDeadline;
    Vm.StartedAtMs = wallNow();
    Vm.RegistrationSeq = 0;
    Vm.ClockStart = Now;
    Vm.RegisterAt = Now + Vm.RegistrationDelay;
    // Connections end with the incarnation; those opened since wait for the
    // next.
    Vm.Link->resetSilencedConnections();
    Vm.Link->setFault(link_fault::None);
  }
  if (Vm.RegisterAt != NoDeadline && Now >= Vm.RegisterAt) {
    Vm.RegisterAt = NoDeadline;
    writeRegistration(Vm);
  }
}

void fleet_standin::partitionVm(const std::size_t Vm, const duration Duration) {
  Vms.at(Vm)->PartitionedUntil = boot_clock::now() + Duration;
}

void fleet_standin::cutFrom(
    const std::size_t Vm,
    std::function<bool(std::uint64_t FencingToken)> IsCut) {
  Vms.at(Vm)->IsCutFrom = std::move(IsCut);
}

void fleet_standin::handleRequest(soak_vm &Vm, http::exchange Exchange) {
  const json Body = json::parse(Exchange.body(), nullptr, false);
  const std::uint64_t FencingToken = fencingTokenOf(Body);
  if (Vm.unreachableFor(FencingToken) || Vm.Id.empty()) {
    UnansweredExchanges.push_back(std::move(Exchange));
    return;
  }
  if (Exchange.header("X-Expect-Instance").value_or("") != Vm.Id) {
    Exchange.reply(421, {}, {});
    return;
  }
  if (!Body.is_object()) {
    Exchange.reply(400, {}, {});
    return;
  }
  if (FencingToken < Vm.FencingToken) {
    refuse(Vm, Exchange, "fence");
    return;
  }
  Vm.FencingToken = FencingToken;
  Vm.LastRequestAt = boot_clock::now();
  if (Body.contains("deadlineMs"))
    Vm.LeaseEndMs = std::max(Vm.LeaseEndMs,
                             std::min(Body.at("deadlineMs").get<std::int64_t>(),
                                      Vm.clockMs() + MaxLeaseMs));
  if (Exchange.path() == "/run-start")
    startRun(Vm, Exchange, Body);
  else if (Exchange.path() == "/run-stop")
    stopRun(Vm, Exchange, Body);
  else if (Exchange.path() == "/hold")
    heartbeat(Vm, std::move(Exchange), Body);
  else
    Exchange.reply(404, {}, {});
}

void fleet_standin::startRun(soak_vm &Vm, http::exchange &Exchange,
                             const json &Body) {
  const std::string Task = Body.at("task");
  const std::uint64_t Number = Body.at("run");
  ++StartOrders[Task];
  const bool AlreadyRunning =
      std::ranges::any_of(Vm.Running, [&](const server_run &Each) {
        return Each.Task == Task && Each.Number == Number;
      });
  // The protocol permits judging by the lease in force, which newer orders may
  // have extended.
  if (!AlreadyRunning && Vm.clockMs() > Vm.LeaseEndMs) {
    refuse(Vm, Exchange, "late");
    return;
  }
  const auto HighestClosedRun = Vm.HighestClosedRun.find(Task);
  if (HighestClosedRun != Vm.HighestClosedRun.end() &&
      Number <= HighestClosedRun->second) {
    refuse(Vm, Exchange, "old");
    return;
  }
  if (!AlreadyRunning) {
    const int Ms = std::stoi(Body.at("spec").get<std::string>());
    const bool Fails = Random() % 100 < FailurePercent;
    Vm.Running.push_back(
        {Task, Number, boot_clock::now() + std::chrono::milliseconds{Ms},
         Fails ? "failed" : "done", History.recordStart(Task, Vm.Id, Number),
         Ms >= ServiceMs ? 100U : 50U});
  }
  replyJson(Exchange, 200,
            {{"clockMs", Vm.clockMs()}, {"born", Vm.StartedAtMs}});
}

void fleet_standin::stopRun(soak_vm &Vm, http::exchange &Exchange,
                            const json &Body) {
  const std::string Task = Body.at("task");
  const std::uint64_t Number = Body.at("run");
  for (std::size_t I = 0; I < Vm.Running.size(); ++I) {
    if (Vm.Running[I].Task == Task && Vm.Running[I].Number == Number) {
      endRun(Vm, I, "stopped");
      break;
    }
  }
  Vm.HighestClosedRun[Task] = std::max(Vm.HighestClosedRun[Task], Number);
  replyJson(Exchange, 200,
            {{"clockMs", Vm.clockMs()}, {"born", Vm.StartedAtMs}});
}

void fleet_standin::heartbeat(soak_vm &Vm, http::exchange Exchange,
                              const json &Body) {
  const std::uint64_t LastSeen = Body.value("lastSeen", std::uint64_t{0});
  std::erase_if(Vm.UnrecordedEnds, [&](const soak_vm::ended_run &Each) {
    if (Each.Number <= LastSeen && !Each.LeaseExpired)
      History.recordAcknowledged(Each.Record);
    return Each.Number <= LastSeen;
  });
  const std::uint32_t WaitMs = Body.value("waitMs", 0U);
  if (!Vm.UnrecordedEnds.empty() || WaitMs == 0) {
    replyHeartbeat(Vm, Exchange);
    return;
  }
  Vm.PendingHeartbeats.push_back(
      {std::move(Exchange), fencingTokenOf(Body),
       boot_clock::now() + std::chrono::milliseconds{WaitMs}});
}

void fleet_standin::replyHeartbeat(soak_vm &Vm, http::exchange &Exchange) {
  json Running = json::array();
  for (const auto &Each : Vm.Running)
    Running.push_back({Each.Task, Each.Number, "", Each.Percent});
  json Finished = json::array();
  for (const auto &Each : Vm.UnrecordedEnds)
    Finished.push_back({Each.Number, Each.Task, Each.Run, Each.Outcome, ""});
  replyJson(Exchange, 200,
            {{"clockMs", Vm.clockMs()},
             {"born", Vm.StartedAtMs},
             {"running", Running},
             {"finished", Finished}});
}

void fleet_standin::endRun(soak_vm &Vm, const std::size_t Index,
                           const std::string &Outcome) {
  const server_run Run = Vm.Running[Index];
  Vm.Running.erase(Vm.Running.begin() + static_cast<std::ptrdiff_t>(Index));
  Vm.UnrecordedEnds.push_back(
      {++Vm.EndCount, Run.Task, Run.Number, Outcome, Run.Record, false});
  Vm.HighestClosedRun[Run.Task] =
      std::max(Vm.HighestClosedRun[Run.Task], Run.Number);
  History.recordEnd(Run.Record, Outcome);
}

void fleet_standin::handleVmRequest(http::exchange Exchange) {
  if (Exchange.method() == http::method::Post) {
    orderVm(Exchange);
    return;
  }
  json Machines = json::array();
  for (const auto &Vm : Vms)
    Machines.push_back({{"machine", Vm->Name},
                        {"pool", Vm->Pool},
                        {"state", Vm->State},
                        {"zone", "north"},
                        {"id", Vm->Id},
                        {"capacity", {{"cpu", 16000}, {"memMb", 65536}}},
                        {"labels", {"a", "r-" + Vm->Name}}});
  replyJson(Exchange, 200, {{"machines", Machines}});
}

void fleet_standin::orderVm(http::exchange &Exchange) {
  const json Body = json::parse(Exchange.body());
  const auto Found =
      std::ranges::find_if(Vms, [&](const std::unique_ptr<soak_vm> &Each) {
        return Each->Name == Body.at("machine");
      });
  if (Found == Vms.end()) {
    replyJson(Exchange, 400, json::object());
    return;
  }
  soak_vm &Vm = **Found;
  const bool IsMove = Body.contains("pool");
  const std::uint64_t Wave = Body.value("wave", std::uint64_t{0});
  const bool AlreadyOrdered = IsMove
                                  ? Vm.Pool == Body.at("pool")
                                  : MaintenanceOrders.contains({Vm.Name, Wave});
  if (!AlreadyOrdered && Vm.State != "up") {
    replyJson(Exchange, 409, {{"reason", "busy"}});
    return;
  }
  if (!AlreadyOrdered) {
    endIncarnation(Vm);
    Vm.State = IsMove ? "moving" : "upkeep";
    Vm.NextPool = IsMove ? Body.at("pool").get<std::string>() : Vm.Pool;
    Vm.ResumeAt = boot_clock::now() + VmOrderTime;
    if (!IsMove)
      MaintenanceOrders.emplace(Vm.Name, Wave);
    const auto Down = std::ranges::count_if(
        Vms, [](const auto &Each) { return Each->State == "upkeep"; });
    MaxInMaintenance =
        std::max(MaxInMaintenance, static_cast<std::size_t>(Down));
  }
  replyJson(Exchange, 200, json::object());
}

void fleet_standin::update() {
  const time_point Now = boot_clock::now();
  for (auto &Vm : Vms)
    update(*Vm, Now);
}

void fleet_standin::update(soak_vm &Vm, const time_point Now) {
  if (Vm.ResumeAt != NoDeadline && Now >= Vm.ResumeAt) {
    Vm.Pool = Vm.NextPool;
    startIncarnation(Vm);
  }
  finishRestart(Vm, Now);
  const bool LeaseExpired = Vm.clockMs() > Vm.LeaseEndMs;
  for (std::size_t I = Vm.Running.size(); I-- > 0;) {
    if (LeaseExpired)
      endRun(Vm, I, "lapsed");
    else if (Now >= Vm.Running[I].EndsAt)
      endRun(Vm, I, Vm.Running[I].Outcome);
  }
  for (auto &Each : Vm.UnrecordedEnds)
    Each.LeaseExpired = Each.LeaseExpired || LeaseExpired;
  std::erase_if(Vm.PendingHeartbeats, [&](soak_vm::pending_heartbeat &Each) {
    const bool IsReady = !Vm.unreachableFor(Each.FencingToken) &&
                         (!Vm.UnrecordedEnds.empty() || Now >= Each.RespondBy);
    if (IsReady)
      replyHeartbeat(Vm, Each.Exchange);
    return IsReady;
  });
}

} // namespace galenalink::soak
