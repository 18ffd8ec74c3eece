#include "soak/fleet_standin.hpp"
#include <algorithm>

namespace galenalink::soak {

namespace {

using nlohmann::json;

constexpr std::int64_t MaxHoldMs = 6000;
constexpr duration MotionTime = std::chrono::milliseconds{500};
constexpr duration CrashTime = std::chrono::milliseconds{700};

std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

void replyJson(http::exchange &Exchange, const int Status, const json &Body) {
  Exchange.reply(Status, {{"Content-Type", "application/json"}}, Body.dump());
}

void refuse(const soak_vm &Vm, http::exchange &Exchange,
            const std::string &Reason) {
  replyJson(Exchange, 409, {{"clockMs", Vm.clockMs()}, {"reason", Reason}});
}

} // namespace

void run_judge::began(const std::string &Task, const std::string &Executor) {
  ++Starts;
  StartedJobs.insert(jobOf(Task));
  if (!Running[Task].empty())
    Broken.push_back("task runs twice: " + Task);
  if (Noted.contains(Task))
    Broken.push_back("start after a noted end: " + Task);
  Running[Task].insert(Executor);
}

void run_judge::ended(const std::string &Task, const std::string &Executor) {
  Running[Task].erase(Executor);
}

std::int64_t soak_vm::clockMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             boot_clock::now() - StartedAt)
      .count();
}

fleet_standin::fleet_standin(http::loop &Loop, store_standin &Store)
    : Loop{Loop}, Store{Store}, List{Loop, {}, [this](http::exchange Exchange) {
                                       handleList(std::move(Exchange));
                                     }} {
  static_cast<void>(List.listen("127.0.0.1", 0));
  Timer = Loop.every(std::chrono::milliseconds{5}, [this] { step(); });
}

http::address fleet_standin::listAddress() const {
  return {"127.0.0.1", List.port()};
}

void fleet_standin::add(const std::string &Name, const std::string &Pool,
                        const bool Standby) {
  auto &Vm = *Vms.emplace_back(std::make_unique<soak_vm>());
  Vm.Name = Name;
  Vm.Pool = Pool;
  if (Standby)
    StandbyPools.insert(Pool);
  Vm.Server = std::make_unique<http::server>(
      Loop, http::server_options{}, [this, &Vm](http::exchange Exchange) {
        handle(Vm, std::move(Exchange));
      });
  static_cast<void>(Vm.Server->listen("127.0.0.1", 0));
  startLife(Vm);
}

void fleet_standin::startLife(soak_vm &Vm) {
  Vm.State = "up";
  Vm.BackAt = NoDeadline;
  if (StandbyPools.contains(Vm.Pool))
    return;
  Vm.Id = "i-" + std::to_string(++NextId);
  Vm.StartedAtMs = wallNow();
  Vm.StartedAt = boot_clock::now();
  const json Entry{
      {"service", Vm.Pool},
      {"address", "127.0.0.1:" + std::to_string(Vm.Server->port())},
      {"zone", "north"},
      {"version", "1"},
      {"slots", 8},
      {"state", "ready"},
      {"seq", 1},
      {"born", Vm.StartedAtMs},
      {"capacity", {{"cpu", 16000}, {"memMb", 65536}}},
      {"labels", {"a", "r-" + Vm.Name}}};
  Store.put("keyed.servers", Vm.Id, Entry.dump());
}

void fleet_standin::endLife(soak_vm &Vm) {
  for (const auto &Each : Vm.Running)
    Judge.ended(Each.Task, Vm.Id);
  Vm.Running.clear();
  Vm.Closed.clear();
  Vm.Listed.clear();
  Vm.Holds.clear();
  Vm.Ends = 0;
  Vm.Token = 0;
  Vm.LeaseEndMs = 0;
  if (!Vm.Id.empty())
    Store.put("keyed.servers", Vm.Id, std::nullopt);
  Vm.Id.clear();
}

void fleet_standin::crash(const std::size_t Vm) {
  soak_vm &Crashed = *Vms.at(Vm);
  if (Crashed.State != "up" || Crashed.Id.empty())
    return;
  endLife(Crashed);
  Crashed.State = "down";
  Crashed.NextPool = Crashed.Pool;
  Crashed.BackAt = boot_clock::now() + CrashTime;
}

void fleet_standin::cut(const std::size_t Vm, const duration Time) {
  Vms.at(Vm)->CutUntil = boot_clock::now() + Time;
}

void fleet_standin::handle(soak_vm &Vm, http::exchange Exchange) {
  if (boot_clock::now() < Vm.CutUntil || Vm.Id.empty()) {
    Unanswered.push_back(std::move(Exchange));
    return;
  }
  if (Exchange.header("X-Expect-Instance").value_or("") != Vm.Id) {
    Exchange.reply(421, {}, {});
    return;
  }
  const json Body = json::parse(Exchange.body(), nullptr, false);
  if (!Body.is_object()) {
    Exchange.reply(400, {}, {});
    return;
  }
  const std::uint64_t Token = Body.value("fencingToken", std::uint64_t{0});
  if (Token < Vm.Token) {
    refuse(Vm, Exchange, "fence");
    return;
  }
  Vm.Token = Token;
  if (Body.contains("deadlineMs"))
    Vm.LeaseEndMs = std::max(Vm.LeaseEndMs,
                             std::min(Body.at("deadlineMs").get<std::int64_t>(),
                                      Vm.clockMs() + MaxHoldMs));
  if (Exchange.path() == "/run-start")
    start(Vm, Exchange, Body);
  else if (Exchange.path() == "/run-stop")
    stop(Vm, Exchange, Body);
  else if (Exchange.path() == "/hold")
    hold(Vm, std::move(Exchange), Body);
  else
    Exchange.reply(404, {}, {});
}

void fleet_standin::start(soak_vm &Vm, http::exchange &Exchange,
                          const json &Body) {
  const std::string Task = Body.at("task");
  const std::uint64_t Number = Body.at("run");
  const bool Present =
      std::ranges::any_of(Vm.Running, [&](const executor_run &Each) {
        return Each.Task == Task && Each.Number == Number;
      });
  if (!Present && Vm.clockMs() > Body.at("deadlineMs").get<std::int64_t>()) {
    refuse(Vm, Exchange, "late");
    return;
  }
  const auto Closed = Vm.Closed.find(Task);
  if (Closed != Vm.Closed.end() && Number <= Closed->second) {
    refuse(Vm, Exchange, "old");
    return;
  }
  if (!Present) {
    const int Ms = std::stoi(Body.at("spec").get<std::string>());
    Vm.Running.push_back(
        {Task, Number, boot_clock::now() + std::chrono::milliseconds{Ms}});
    Judge.began(Task, Vm.Id);
  }
  replyJson(Exchange, 200,
            {{"clockMs", Vm.clockMs()}, {"born", Vm.StartedAtMs}});
}

void fleet_standin::stop(soak_vm &Vm, http::exchange &Exchange,
                         const json &Body) {
  const std::string Task = Body.at("task");
  const std::uint64_t Number = Body.at("run");
  for (std::size_t I = 0; I < Vm.Running.size(); ++I) {
    if (Vm.Running[I].Task == Task && Vm.Running[I].Number == Number) {
      endRun(Vm, I, "stopped");
      break;
    }
  }
  Vm.Closed[Task] = std::max(Vm.Closed[Task], Number);
  replyJson(Exchange, 200,
            {{"clockMs", Vm.clockMs()}, {"born", Vm.StartedAtMs}});
}

void fleet_standin::hold(soak_vm &Vm, http::exchange Exchange,
                         const json &Body) {
  const std::uint64_t Seen = Body.value("lastSeen", std::uint64_t{0});
  std::erase_if(Vm.Listed, [&](const soak_vm::end &Each) {
    if (Each.Number <= Seen && Each.How == "done")
      Judge.Noted.insert(Each.Task);
    return Each.Number <= Seen;
  });
  const std::uint32_t WaitMs = Body.value("waitMs", 0U);
  if (!Vm.Listed.empty() || WaitMs == 0) {
    answerHold(Vm, Exchange);
    return;
  }
  Vm.Holds.push_back({std::move(Exchange),
                      boot_clock::now() + std::chrono::milliseconds{WaitMs}});
}

void fleet_standin::answerHold(soak_vm &Vm, http::exchange &Exchange) {
  json Running = json::array();
  for (const auto &Each : Vm.Running)
    Running.push_back({Each.Task, Each.Number, "", 50});
  json Finished = json::array();
  for (const auto &Each : Vm.Listed)
    Finished.push_back({Each.Number, Each.Task, Each.Run, Each.How, ""});
  replyJson(Exchange, 200,
            {{"clockMs", Vm.clockMs()},
             {"born", Vm.StartedAtMs},
             {"running", Running},
             {"finished", Finished}});
}

void fleet_standin::endRun(soak_vm &Vm, const std::size_t Index,
                           const std::string &How) {
  const executor_run Run = Vm.Running[Index];
  Vm.Running.erase(Vm.Running.begin() + static_cast<std::ptrdiff_t>(Index));
  Vm.Listed.push_back({++Vm.Ends, Run.Task, Run.Number, How});
  Vm.Closed[Run.Task] = std::max(Vm.Closed[Run.Task], Run.Number);
  Judge.ended(Run.Task, Vm.Id);
}

void fleet_standin::handleList(http::exchange Exchange) {
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
  const bool Moves = Body.contains("pool");
  const std::uint64_t Wave = Body.value("wave", std::uint64_t{0});
  const bool Before =
      Moves ? Vm.Pool == Body.at("pool") : Maintained.contains({Vm.Name, Wave});
  if (!Before && Vm.State != "up") {
    replyJson(Exchange, 409, {{"reason", "busy"}});
    return;
  }
  if (!Before) {
    endLife(Vm);
    Vm.State = Moves ? "moving" : "upkeep";
    Vm.NextPool = Moves ? Body.at("pool").get<std::string>() : Vm.Pool;
    Vm.BackAt = boot_clock::now() + MotionTime;
    if (!Moves)
      Maintained.emplace(Vm.Name, Wave);
    const auto Down = std::ranges::count_if(
        Vms, [](const auto &Each) { return Each->State == "upkeep"; });
    MostInMaintenance =
        std::max(MostInMaintenance, static_cast<std::size_t>(Down));
  }
  replyJson(Exchange, 200, json::object());
}

void fleet_standin::step() {
  const time_point Now = boot_clock::now();
  for (auto &Vm : Vms)
    step(*Vm, Now);
}

void fleet_standin::step(soak_vm &Vm, const time_point Now) {
  if (Vm.BackAt != NoDeadline && Now >= Vm.BackAt) {
    Vm.Pool = Vm.NextPool;
    startLife(Vm);
  }
  const bool LeaseExpired = Vm.clockMs() > Vm.LeaseEndMs;
  for (std::size_t I = Vm.Running.size(); I-- > 0;) {
    if (LeaseExpired)
      endRun(Vm, I, "lapsed");
    else if (Now >= Vm.Running[I].EndsAt)
      endRun(Vm, I, "done");
  }
  if (Now < Vm.CutUntil)
    return;
  std::erase_if(Vm.Holds, [&](soak_vm::waiting_hold &Each) {
    const bool Ready = !Vm.Listed.empty() || Now >= Each.Until;
    if (Ready)
      answerHold(Vm, Each.Exchange);
    return Ready;
  });
}

} // namespace galenalink::soak
