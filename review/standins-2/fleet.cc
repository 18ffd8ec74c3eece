#include "fleet.hh"
#include <algorithm>

namespace review {

namespace {

constexpr std::int64_t MaxLeaseMs = 6000;

void reply(http::exchange &Exchange, const int Status, const json &Body) {
  Exchange.reply(Status, {{"Content-Type", "application/json"}}, Body.dump());
}

std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

} // namespace

record::record(const std::string &File)
    : Out{std::fopen(File.c_str(), "w")}, Begin{boot_clock::now()} {
  if (Out == nullptr)
    throw std::runtime_error{"cannot write " + File};
}

record::~record() { std::fclose(Out); }

double record::now() const {
  return std::chrono::duration<double, std::milli>(boot_clock::now() - Begin)
      .count();
}

void record::line(const std::string &Text) {
  std::fprintf(Out, "%9.1f %s\n", now(), Text.c_str());
  std::fflush(Out);
}

void record::broken(const std::string &Text) {
  const bool Claimed = Text.starts_with(Rule);
  Broken += Claimed ? 1 : 0;
  line((Claimed ? "BROKEN " : "ALSO BROKEN ") + Text);
}

fleet::fleet(http::loop &Loop, soak::store_standin &Store, record &Record)
    : Loop{Loop}, Store{Store}, Record{Record},
      ListServer{Loop, {}, [this](http::exchange Exchange) {
                   handleList(std::move(Exchange));
                 }} {
  static_cast<void>(ListServer.listen("127.0.0.1", 0));
  Timer = Loop.every(5 * Ms, [this] { update(); });
}

http::address fleet::listAddress() const {
  return {"127.0.0.1", ListServer.port()};
}

void fleet::add(const std::string &Name, const std::string &Pool,
                const std::string &Rack) {
  auto &Machine = *Machines.emplace_back(std::make_unique<machine>());
  Machine.Name = Name;
  Machine.Pool = Pool;
  Machine.Rack = Rack;
  Machine.Server = std::make_unique<http::server>(
      Loop, http::server_options{}, [this, &Machine](http::exchange Exchange) {
        handle(Machine, std::move(Exchange));
      });
  static_cast<void>(Machine.Server->listen("127.0.0.1", 0));
  Machine.Link = std::make_unique<power_link>(
      Loop, http::address{"127.0.0.1", Machine.Server->port()});
  begin(Machine, true);
}

void fleet::begin(machine &Machine, const bool NewId) {
  Machine.State = "up";
  Machine.Alive = true;
  Machine.UpAt = NoDeadline;
  if (NewId)
    Machine.Id = "i-" + std::to_string(++LastId);
  ++Machine.Lives;
  Machine.BornMs = galenalink::wallNow();
  Machine.Seq = 0;
  Machine.ClockStart = boot_clock::now();
  Record.line("executor " + Machine.Id + " on " + Machine.Name +
              " begins life " + std::to_string(Machine.Lives));
  if (NewId || EntryDelay == duration{0})
    writeEntry(Machine);
  else
    Machine.NextEntryAt = boot_clock::now() + EntryDelay;
}

void fleet::writeEntry(machine &Machine) {
  Machine.NextEntryAt = boot_clock::now() + HeartbeatTime;
  Store.put("keyed.servers", Machine.Id,
            json{{"service", Machine.Pool},
                 {"address", toString(Machine.Link->address())},
                 {"zone", "mill-lane"},
                 {"version", "1"},
                 {"slots", 8},
                 {"state", "ready"},
                 {"coldLeftMs", 0},
                 {"seq", ++Machine.Seq},
                 {"born", Machine.BornMs},
                 {"capacity", {{"cpu", Cpu}, {"memMb", 131072}, {"gpu", 0}}},
                 {"labels", {"a", Machine.Rack}}}
                .dump());
}

// Everything that runs on the machine ends; nothing of this life is known any
// more.
void fleet::lose(machine &Machine) {
  for (const run &Each : Machine.Running)
    Record.line("lost " + Each.Task + " run " + std::to_string(Each.Number) +
                " on " + Machine.Id);
  Machine.Alive = false;
  Machine.Running.clear();
  Machine.Closed.clear();
  Machine.Listed.clear();
  for (auto &Each : Machine.Held)
    Unanswered.push_back(std::move(Each.Exchange));
  Machine.Held.clear();
  Machine.Ends = 0;
  Machine.Fence = 0;
  Machine.LeaseEndMs = 0;
}

void fleet::darkRestart(const std::size_t Index, const duration Dark) {
  machine &Machine = *Machines.at(Index);
  Record.line("executor " + Machine.Id + " is cut off, silently, and starts again behind the cut, for " +
              std::to_string(Dark / Ms) + " ms");
  lose(Machine);
  Machine.Link->powerOff();
  Timers.push_back(Loop.at(boot_clock::now() + Dark, [this, &Machine] {
    Machine.Link->powerOn();
    begin(Machine, false);
  }));
}

void fleet::handle(machine &Machine, http::exchange Exchange) {
  if (!Machine.Alive) {
    Unanswered.push_back(std::move(Exchange));
    return;
  }
  if (Exchange.header("X-Expect-Instance").value_or(Machine.Id) != Machine.Id) {
    Exchange.reply(421, {}, {});
    return;
  }
  const json Body = json::parse(Exchange.body(), nullptr, false);
  if (!Body.is_object()) {
    Exchange.reply(400, {}, {});
    return;
  }
  const auto Token = Body.value("fencingToken", std::uint64_t{0});
  if (Token < Machine.Fence) {
    reply(Exchange, 409,
          {{"clockMs", Machine.clockMs()}, {"reason", "fence"}});
    return;
  }
  Machine.Fence = Token;
  if (Body.contains("deadlineMs"))
    Machine.LeaseEndMs =
        std::max(Machine.LeaseEndMs,
                 std::min(Body.at("deadlineMs").get<std::int64_t>(),
                          Machine.clockMs() + MaxLeaseMs));
  if (Exchange.path() == "/run-start")
    start(Machine, Exchange, Body);
  else if (Exchange.path() == "/run-stop")
    stop(Machine, Exchange, Body);
  else if (Exchange.path() == "/hold")
    hold(Machine, std::move(Exchange), Body);
  else
    Exchange.reply(404, {}, {});
}

void fleet::start(machine &Machine, http::exchange &Exchange,
                  const json &Body) {
  const std::string Task = Body.at("task");
  const std::uint64_t Number = Body.at("run");
  const auto Same = [&](const run &Each) {
    return Each.Task == Task && Each.Number == Number;
  };
  const json Ok{{"clockMs", Machine.clockMs()}, {"born", Machine.BornMs}};
  if (std::ranges::any_of(Machine.Running, Same)) {
    reply(Exchange, 200, Ok);
    return;
  }
  const auto Refuse = [&](const char *Reason) {
    Record.line("refused " + Task + " run " + std::to_string(Number) + " on " +
                Machine.Id + ": " + Reason);
    reply(Exchange, 409,
          {{"clockMs", Machine.clockMs()},
           {"born", Machine.BornMs},
           {"reason", Reason}});
  };
  const auto Closed = Machine.Closed.find(Task);
  if (Closed != Machine.Closed.end() && Number <= Closed->second) {
    Refuse("old");
    return;
  }
  if (Body.at("deadlineMs").get<std::int64_t>() <= Machine.clockMs()) {
    Refuse("late");
    return;
  }
  run Run;
  Run.Task = Task;
  Run.Number = Number;
  Run.StartedAt = boot_clock::now();
  const std::string Spec = Body.at("spec");
  const auto Known = TaskCpu.find(jobOf(Task));
  Run.Cpu = Known == TaskCpu.end() ? 0 : Known->second;
  Run.Serves = Spec == "serve";
  Run.EndsAt = Run.Serves ? time_point::max()
                          : Run.StartedAt + std::stoi(Spec) * Ms;
  ++Starts;
  Record.line("start " + Task + " run " + std::to_string(Number) + " on " +
              Machine.Id + " life " + std::to_string(Machine.Lives) +
              " token " + std::to_string(Machine.Fence));
  for (const auto &Other : Machines) {
    for (const run &Each : Other->Running) {
      if (Each.Task == Task)
        Record.broken("TWICE " + Task + ": run " +
                      std::to_string(Each.Number) + " is at work on " +
                      Other->Id + " life " + std::to_string(Other->Lives) +
                      ", run " + std::to_string(Number) + " starts on " +
                      Machine.Id + " life " + std::to_string(Machine.Lives));
    }
  }
  if (const auto Ended = DoneTasks.find(Task); Ended != DoneTasks.end())
    Record.broken("TWICE " + Task + ": run " + std::to_string(Number) +
                  " starts on " + Machine.Id + " after " + Ended->second +
                  " had ended as done");
  Machine.Running.push_back(std::move(Run));
  reply(Exchange, 200, Ok);
}

void fleet::stop(machine &Machine, http::exchange &Exchange, const json &Body) {
  const std::string Task = Body.at("task");
  const std::uint64_t Number = Body.at("run");
  for (std::size_t I = 0; I < Machine.Running.size(); ++I) {
    if (Machine.Running[I].Task == Task &&
        Machine.Running[I].Number == Number) {
      end(Machine, I, "stopped");
      break;
    }
  }
  Machine.Closed[Task] = std::max(Machine.Closed[Task], Number);
  reply(Exchange, 200,
        {{"clockMs", Machine.clockMs()}, {"born", Machine.BornMs}});
}

void fleet::hold(machine &Machine, http::exchange Exchange, const json &Body) {
  const auto LastSeen = Body.value("lastSeen", std::uint64_t{0});
  std::erase_if(Machine.Listed, [&](const ended_run &Each) {
    if (Each.Number > LastSeen)
      return false;
    if (Each.How == "done" && !Each.Lapsed) {
      DoneTasks[Each.Task] = "run " + std::to_string(Each.Run) + " on " +
                             Machine.Id + ", taken note of at " +
                             std::to_string(Record.now());
    }
    return true;
  });
  const auto WaitMs = Body.value("waitMs", 0U);
  if (WaitMs == 0 || !Machine.Listed.empty()) {
    list(Machine, Exchange);
    return;
  }
  Machine.Held.push_back(
      {std::move(Exchange), boot_clock::now() + WaitMs * Ms});
}

void fleet::list(machine &Machine, http::exchange &Exchange) {
  json Running = json::array();
  const time_point Now = boot_clock::now();
  for (const run &Each : Machine.Running) {
    const auto Percent =
        Each.Serves ? (Now > Each.StartedAt + 500 * Ms ? 100 : 0)
                    : (Now - Each.StartedAt) * 100 /
                          std::max<duration>(Each.EndsAt - Each.StartedAt, Ms);
    Running.push_back(
        {Each.Task, Each.Number, "", std::min<std::int64_t>(Percent, 100), 0});
  }
  json Finished = json::array();
  for (const ended_run &Each : Machine.Listed) {
    if (Finished.size() < 500)
      Finished.push_back({Each.Number, Each.Task, Each.Run, Each.How, ""});
  }
  reply(Exchange, 200,
        {{"clockMs", Machine.clockMs()},
         {"born", Machine.BornMs},
         {"running", Running},
         {"finished", Finished}});
}

void fleet::end(machine &Machine, const std::size_t Index,
                const std::string &How) {
  const run Run = Machine.Running[Index];
  Machine.Running.erase(Machine.Running.begin() +
                        static_cast<std::ptrdiff_t>(Index));
  Machine.Listed.push_back({++Machine.Ends, Run.Task, Run.Number, How});
  Machine.Closed[Run.Task] = std::max(Machine.Closed[Run.Task], Run.Number);
  Done += How == "done" ? 1 : 0;
  Record.line("end " + Run.Task + " run " + std::to_string(Run.Number) +
              " on " + Machine.Id + " life " + std::to_string(Machine.Lives) +
              ": " + How);
}

std::size_t fleet::placesFor(const std::string &Job,
                             const std::size_t MostOnOne,
                             const std::int64_t TaskCpu) const {
  std::size_t Places = 0;
  std::string PoolOf;
  for (const auto &Machine : Machines) {
    for (const run &Each : Machine->Running) {
      if (jobOf(Each.Task) == Job)
        PoolOf = Machine->Pool;
    }
  }
  for (const auto &Machine : Machines) {
    if (Machine->State != "up" || !Machine->Alive ||
        Machine->Pool != PoolOf)
      continue;
    std::int64_t Free = Cpu;
    std::size_t Here = 0;
    for (const run &Each : Machine->Running) {
      Free -= Each.Cpu;
      Here += jobOf(Each.Task) == Job ? 1 : 0;
    }
    for (; Here < MostOnOne && Free >= TaskCpu; ++Here, Free -= TaskCpu)
      ++Places;
  }
  return Places;
}

std::size_t fleet::busiest(const std::int64_t FreeCpu) const {
  std::size_t Best = 0;
  std::size_t Most = 0;
  for (std::size_t I = 0; I < Machines.size(); ++I) {
    std::int64_t Free = Cpu;
    for (const run &Each : Machines[I]->Running)
      Free -= Each.Cpu;
    if (Free >= FreeCpu && Machines[I]->Running.size() >= Most) {
      Best = I;
      Most = Machines[I]->Running.size();
    }
  }
  return Best;
}

std::size_t fleet::runningTasks(const std::string &Job) const {
  std::size_t Count = 0;
  for (const auto &Machine : Machines)
    Count += static_cast<std::size_t>(
        std::ranges::count_if(Machine->Running, [&](const run &Each) {
          return jobOf(Each.Task) == Job;
        }));
  return Count;
}

void fleet::handleList(http::exchange Exchange) {
  if (ListFault == list_fault::Unavailable) {
    reply(Exchange, 503, json::object());
    return;
  }
  if (Exchange.method() == http::method::Post) {
    order(std::move(Exchange));
    return;
  }
  json Rows = json::array();
  for (const auto &Each : Machines)
    Rows.push_back({{"machine", Each->Name},
                    {"pool", Each->Pool},
                    {"state", Each->State},
                    {"zone", "mill-lane"},
                    {"labels", {"a", Each->Rack}},
                    {"capacity", {{"cpu", Cpu}, {"memMb", 131072}, {"gpu", 0}}},
                    {"id", Each->State == "up" ? Each->Id : ""}});
  reply(Exchange, 200, {{"machines", Rows}, {"nextToken", ""}});
}

void fleet::order(http::exchange Exchange) {
  const json Body = json::parse(Exchange.body());
  const std::string Name = Body.at("machine");
  const std::string Holder{Exchange.header("X-Duty-Holder").value_or("")};
  const auto Token = std::stoull(
      std::string{Exchange.header("X-Fencing-Token").value_or("0")});
  const bool IsMove = Body.contains("pool");
  Record.line("order " + std::string{Exchange.path()} + " " + Exchange.body() +
              " holder " + Holder + " token " + std::to_string(Token));
  const bool Lost = OnOrder && OnOrder(Name, Holder, Token);
  if (ListFault == list_fault::Silent) {
    Record.line("order for " + Name + " gets no answer and is not done");
    Unanswered.push_back(std::move(Exchange));
    return;
  }
  const auto Found = std::ranges::find(
      Machines, Name, [](const auto &Each) { return Each->Name; });
  if (Found == Machines.end()) {
    reply(Exchange, 400, json::object());
    return;
  }
  machine &Machine = **Found;
  const std::uint64_t Wave = Body.value("wave", std::uint64_t{0});
  const bool AlreadyDone = IsMove ? Machine.Pool == Body.at("pool")
                                  : Machine.Upkept.contains(Wave);
  if (!AlreadyDone && Machine.State != "up") {
    reply(Exchange, 409, {{"reason", "busy"}});
    return;
  }
  if (!AlreadyDone) {
    if (IsMove) {
      Machine.Pool = Body.at("pool");
      Machine.State = "moving";
    } else {
      Machine.Upkept.insert(Wave);
      Machine.State = "upkeep";
    }
    Machine.UpAt = boot_clock::now() + UpkeepTime;
    Record.line("order for " + Name + " is done: " + Machine.State);
    if (!IsMove && OnUpkeep)
      OnUpkeep(Machine);
    lose(Machine);
    Store.put("keyed.servers", Machine.Id, std::nullopt);
  }
  if (Lost) {
    Record.line("the answer to the order for " + Name + " is lost");
    Exchange.abort();
    return;
  }
  reply(Exchange, 200, json::object());
}

void fleet::update() {
  const time_point Now = boot_clock::now();
  for (auto &Each : Machines) {
    machine &Machine = *Each;
    if (Machine.UpAt != NoDeadline && Now >= Machine.UpAt)
      begin(Machine, true);
    if (!Machine.Alive)
      continue;
    if (Now >= Machine.NextEntryAt)
      writeEntry(Machine);
    const bool Lapsed = Machine.clockMs() > Machine.LeaseEndMs;
    for (ended_run &Ended : Machine.Listed)
      Ended.Lapsed = Ended.Lapsed || Lapsed;
    for (std::size_t I = Machine.Running.size(); I-- > 0;) {
      if (Lapsed)
        end(Machine, I, "lapsed");
      else if (Now >= Machine.Running[I].EndsAt)
        end(Machine, I, "done");
    }
    std::erase_if(Machine.Held, [&](held_call &Held) {
      const bool Ready = !Machine.Listed.empty() || Now >= Held.RespondBy;
      if (Ready)
        list(Machine, Held.Exchange);
      return Ready;
    });
  }
}

} // namespace review
