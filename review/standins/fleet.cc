#include "fleet.hh"
#include <algorithm>
#include <cstdio>

namespace review {

using galenalink::boot_clock;
using galenalink::wallNow;

namespace {

constexpr std::int64_t MaxHoldMs = 6000;
constexpr std::size_t EndsAtATime = 500;
constexpr duration HeartbeatInterval = std::chrono::milliseconds{1500};
constexpr std::int64_t CheckpointMs = 2000;

void replyJson(http::exchange &Exchange, const int Status, const json &Body) {
  Exchange.reply(Status, {{"Content-Type", "application/json"}}, Body.dump());
}

} // namespace

double record::seconds() const {
  return std::chrono::duration<double>(boot_clock::now() - Begin).count();
}

void record::line(const std::string &Text) {
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%8.3f s  ", seconds());
  Out << Time << Text << std::endl;
}

std::int64_t executor::clockMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             boot_clock::now() - ClockStart)
      .count();
}

fleet::fleet(http::loop &Loop, store &Store, record &Record)
    : Loop{Loop}, Store{Store}, Record{Record},
      List{Loop, {}, [this](http::exchange Exchange) {
             list(std::move(Exchange));
           }} {
  static_cast<void>(List.listen("127.0.0.1", 0));
  Timer = Loop.every(std::chrono::milliseconds{5}, [this] { update(); });
}

http::address fleet::listAddress() const { return {"127.0.0.1", List.port()}; }

std::size_t fleet::running() const {
  std::size_t Count = 0;
  for (const auto &Each : All)
    Count += Each->Running.size();
  return Count;
}

executor &fleet::add(const std::string &Pool, const std::int64_t Cpu,
                     const std::int64_t MemMb) {
  auto &Added = *All.emplace_back(std::make_unique<executor>());
  const std::string Number = std::to_string(All.size());
  Added.Id = "i-" + Number;
  Added.Machine = "m-" + Number;
  Added.Pool = Pool;
  Added.Cpu = Cpu;
  Added.MemMb = MemMb;
  powerOn(Added);
  return Added;
}

void fleet::listen(executor &Executor) {
  // The new server has the port of the old one, whose connections break.
  if (Executor.Server)
    Executor.Server.reset();
  http::server_options Options;
  Options.MaxConnections = 4096;
  Executor.Server = std::make_unique<http::server>(
      Loop, Options, [this, &Executor](http::exchange Exchange) {
        serve(Executor, std::move(Exchange));
      });
  const auto Listening = galenalink::tryOr(
      [&]() { return Executor.Server->listen("127.0.0.1", Executor.Port); },
      [](const galenalink::error &) { return std::uint16_t{0}; });
  Executor.Port = Listening;
}

void fleet::powerOn(executor &Executor) {
  if (!Executor.Server || !Executor.Up)
    listen(Executor);
  Executor.Up = true;
  Executor.BornMs = wallNow();
  Executor.ClockStart = boot_clock::now();
  Executor.Fence = 0;
  Executor.LeaseEndMs = 0;
  Executor.EndCount = 0;
  Executor.Ends.clear();
  Executor.Closed.clear();
  Executor.Sequence = 0;
  Record.line("executor " + Executor.Id + " starts, born " +
              std::to_string(Executor.BornMs));
  registerNow(Executor);
}

void fleet::powerOff(executor &Executor) {
  Record.line("executor " + Executor.Id + " loses power with " +
              std::to_string(Executor.Running.size()) + " runs");
  Executor.Up = false;
  for (auto &[Name, Each] : Executor.Running)
    Runs[Each.Record].EndedAt = Record.seconds();
  Executor.Running.clear();
  for (auto &Each : Executor.Holds)
    Unanswered.push_back(std::move(Each.Exchange));
  Executor.Holds.clear();
}

void fleet::registerNow(executor &Executor) {
  Executor.NextBeat = boot_clock::now() + HeartbeatInterval;
  const json Entry{
      {"service", Executor.Pool},
      {"address", "127.0.0.1:" + std::to_string(Executor.Port)},
      {"zone", "mill-lane"},
      {"version", "1"},
      {"slots", 8},
      {"state", "ready"},
      {"coldLeftMs", 0},
      {"seq", ++Executor.Sequence},
      {"born", Executor.BornMs},
      {"capacity",
       {{"cpu", Executor.Cpu}, {"memMb", Executor.MemMb}, {"gpu", 0}}},
      {"labels", {"a", "r1"}}};
  Store.put("keyed.servers", Executor.Id, Entry.dump());
}

void fleet::serve(executor &Executor, http::exchange Exchange) {
  const treatment Treatment = !Executor.Up ? treatment::Unheard
                              : Treat      ? Treat(Executor, Exchange.path())
                                           : treatment::Serve;
  if (Treatment == treatment::Unheard) {
    Unanswered.push_back(std::move(Exchange));
    return;
  }
  if (Treatment == treatment::Refuse) {
    Exchange.reply(503, {}, {});
    return;
  }
  if (Treatment == treatment::Reset) {
    if (Exchange.path() != "/hold")
      Record.line(std::string{Exchange.path()} + " to " + Executor.Id +
                  " breaks: " + Exchange.body());
    Exchange.abort();
    return;
  }
  if (Exchange.header("X-Expect-Instance").value_or(Executor.Id) !=
      Executor.Id) {
    Exchange.reply(421, {}, {});
    return;
  }
  const json Body = json::parse(Exchange.body(), nullptr, false);
  if (!Body.is_object()) {
    Exchange.reply(400, {}, {});
    return;
  }
  const auto Fence = Body.value("fencingToken", std::uint64_t{0});
  if (Fence < Executor.Fence) {
    replyJson(Exchange, 409,
              {{"clockMs", Executor.clockMs()}, {"reason", "fence"}});
    return;
  }
  Executor.Fence = Fence;
  if (Body.contains("deadlineMs"))
    Executor.LeaseEndMs = std::max(
        Executor.LeaseEndMs, std::min(Body.at("deadlineMs").get<std::int64_t>(),
                                      Executor.clockMs() + MaxHoldMs));
  if (Exchange.path() == "/hold") {
    hold(Executor, std::move(Exchange), Body);
    return;
  }
  json Answer{{"clockMs", Executor.clockMs()}};
  int Status = 200;
  if (Exchange.path() == "/run-start")
    Status = start(Executor, Body, Answer);
  else if (Exchange.path() == "/run-stop")
    stop(Executor, Body);
  if (Treatment == treatment::NoAnswer) {
    Exchange.abort();
    return;
  }
  if (AnswerDelay == duration::zero()) {
    replyJson(Exchange, Status, Answer);
    return;
  }
  auto Shared = std::make_shared<http::exchange>(std::move(Exchange));
  auto Later = std::make_shared<http::timer>();
  *Later =
      Loop.at(boot_clock::now() + AnswerDelay, [Shared, Later, Status, Answer] {
        replyJson(*Shared, Status, Answer);
        const auto Keep = Later;
        Keep->cancel();
      });
}

int fleet::start(executor &Executor, const json &Body, json &Answer) {
  const std::string Task = Body.at("task");
  const std::uint64_t Number = Body.at("run");
  const auto Refuse = [&](const char *Reason) {
    Record.line("start of " + Task + " run " + std::to_string(Number) + " on " +
                Executor.Id + " refused: " + Reason);
    Answer["reason"] = Reason;
    return 409;
  };
  if (!Executor.Running.contains({Task, Number})) {
    if (Executor.clockMs() > Body.at("deadlineMs").get<std::int64_t>()) {
      return Refuse("late");
    }
    const auto Closed = Executor.Closed.find(Task);
    if (Closed != Executor.Closed.end() && Number <= Closed->second) {
      return Refuse("old");
    }
    const std::string Spec = Body.at("spec");
    executor::running_run Run;
    Run.Record = Runs.size();
    Run.StartedAt = boot_clock::now();
    Run.Lasting = Spec == "lasts";
    Run.Checkpointing = Spec.ends_with(" c");
    Run.Saved = Body.value("checkpoint", "");
    Run.EndsAt = Run.Lasting
                     ? time_point::max()
                     : Run.StartedAt +
                           std::chrono::milliseconds{std::atoi(Spec.c_str())};
    Executor.Running.emplace(std::pair{Task, Number}, Run);
    Runs.push_back(
        {Task, Number, Executor.Id, Record.seconds(), -1, "", false});
    Record.line("start of " + Task + " run " + std::to_string(Number) + " on " +
                Executor.Id);
    if (OnStart)
      OnStart(Executor, Runs.back());
  }
  return 200;
}

void fleet::stop(executor &Executor, const json &Body) {
  const std::string Task = Body.at("task");
  const std::uint64_t Number = Body.at("run");
  Record.line("stop of " + Task + " run " + std::to_string(Number) + " on " +
              Executor.Id);
  const auto Found = Executor.Running.find({Task, Number});
  if (Found != Executor.Running.end())
    end(Executor, Found, "stopped");
  auto &Closed = Executor.Closed[Task];
  Closed = std::max(Closed, Number);
}

void fleet::end(executor &Executor,
                const std::map<std::pair<std::string, std::uint64_t>,
                               executor::running_run>::iterator Run,
                const std::string &How) {
  const auto [Name, Ended] = *Run;
  Executor.Running.erase(Run);
  run_record &Entry = Runs[Ended.Record];
  Entry.EndedAt = Record.seconds();
  Entry.How = How;
  auto &Closed = Executor.Closed[Name.first];
  Closed = std::max(Closed, Name.second);
  Executor.Ends.push_back({++Executor.EndCount, Ended.Record,
                           How == "done" ? "" : Ended.Saved, false});
  Record.line("end of " + Name.first + " run " + std::to_string(Name.second) +
              " on " + Executor.Id + ": " + How + " (" +
              std::to_string(Executor.EndCount) + ")");
}

void fleet::hold(executor &Executor, http::exchange Exchange,
                 const json &Body) {
  const auto LastSeen = Body.value("lastSeen", std::uint64_t{0});
  while (!Executor.Ends.empty() && Executor.Ends.front().Number <= LastSeen) {
    Runs[Executor.Ends.front().Record].Noted = !Executor.Ends.front().Lapsed;
    Executor.Ends.pop_front();
  }
  const auto WaitMs = Body.value("waitMs", 0U);
  if (!Executor.Ends.empty() || WaitMs == 0) {
    answerHold(Executor, Exchange);
    return;
  }
  Executor.Holds.push_back(
      {std::move(Exchange),
       boot_clock::now() + std::chrono::milliseconds{WaitMs}});
}

void fleet::answerHold(executor &Executor, http::exchange &Exchange) {
  json Running = json::array();
  for (const auto &[Name, Each] : Executor.Running)
    Running.push_back(
        {Name.first, Name.second, Each.Saved, Each.Lasting ? 100 : 50, 0});
  json Finished = json::array();
  for (const auto &Each : Executor.Ends) {
    if (Finished.size() >= EndsAtATime)
      break;
    const run_record &Run = Runs[Each.Record];
    Finished.push_back(
        {Each.Number, Run.Task, Run.Number, Run.How, Each.Saved});
  }
  replyJson(Exchange, 200,
            {{"clockMs", Executor.clockMs()},
             {"born", Executor.BornMs},
             {"running", Running},
             {"finished", Finished}});
}

void fleet::list(http::exchange Exchange) {
  if (Exchange.method() == http::method::Post) {
    Record.line("order for a machine: " + Exchange.body());
    replyJson(Exchange, 409, {{"reason", "busy"}});
    return;
  }
  json Machines = json::array();
  for (const auto &Each : All)
    Machines.push_back(
        {{"machine", Each->Machine},
         {"pool", Each->Pool},
         {"state", Each->Up ? "up" : "down"},
         {"zone", "mill-lane"},
         {"id", Each->Id},
         {"capacity", {{"cpu", Each->Cpu}, {"memMb", Each->MemMb}, {"gpu", 0}}},
         {"labels", {"a", "r1"}}});
  replyJson(Exchange, 200, {{"machines", Machines}});
}

void fleet::update() {
  const time_point Now = boot_clock::now();
  for (auto &Each : All) {
    executor &Executor = *Each;
    if (!Executor.Up)
      continue;
    if (Now >= Executor.NextBeat)
      registerNow(Executor);
    const bool Lapsed = Executor.clockMs() > Executor.LeaseEndMs;
    for (auto Run = Executor.Running.begin(); Run != Executor.Running.end();) {
      const auto This = Run++;
      auto &State = This->second;
      const auto WorkedMs =
          std::chrono::duration_cast<std::chrono::milliseconds>(Now -
                                                                State.StartedAt)
              .count();
      if (State.Checkpointing && State.Saved.empty() &&
          WorkedMs >= CheckpointMs) {
        char Text[17];
        std::snprintf(Text, sizeof(Text), "%016llx",
                      static_cast<unsigned long long>(++NextSaved));
        State.Saved = Text;
      }
      if (Lapsed)
        end(Executor, This, "lapsed");
      else if (Now >= State.EndsAt)
        end(Executor, This, "done");
    }
    if (Lapsed) {
      for (auto &End : Executor.Ends)
        End.Lapsed = true;
    }
    std::erase_if(Executor.Holds, [&](executor::waiting_hold &Hold) {
      const bool Due = !Executor.Ends.empty() || Now >= Hold.AnswerBy;
      if (Due)
        answerHold(Executor, Hold.Exchange);
      return Due;
    });
  }
}

} // namespace review
