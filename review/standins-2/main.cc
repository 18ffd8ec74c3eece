// review-2 SCENARIO RECORD: exit status 1 if the rule was broken, 0 if it held,
// 2 if the case could not run. TROUBLE=0 leaves the disruption out.
#include "world.hh"
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>

using namespace review;

namespace {

bool troubled() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::strcmp(Value, "0") != 0;
}

// Of the store's answers, that share takes 50 times as long while it is slow.
constexpr double SlowShare = 0.25;
constexpr duration SlowAnswer = 200 * Ms;

json step(const int Count, const int Cpu, const int EstimateMs) {
  return {{"count", Count},
          {"cpu", Cpu},
          {"memMb", 1000},
          {"estimateMs", EstimateMs}};
}

int verdict(world &World, const bool Ran) {
  World.checkProcesses();
  World.Record.line("starts " + std::to_string(World.Fleet.starts()) +
                    ", runs done " + std::to_string(World.Fleet.doneRuns()) +
                    ", jobs accepted " + std::to_string(World.accepted()) +
                    ", completed " + std::to_string(World.completed()));
  const int Status = World.Record.Broken > 0 ? 1 : Ran ? 0 : 2;
  World.Record.line("verdict " + std::to_string(Status));
  std::cout << "broken " << World.Record.Broken << ", starts "
            << World.Fleet.starts() << ", accepted " << World.accepted()
            << ", completed " << World.completed() << "\n";
  return Status;
}

// Backend servers are cut off and start again under their ids behind the cut.
int restartUnderId(const std::string &File) {
  world World{File, 3};
  World.Record.Rule = "TWICE";
  // Entries are written every 1.5 s; the first of the new life after 1 s.
  World.Fleet.EntryDelay = 1000 * Ms;
  World.publishConfig({{{"name", "mailing"}, {"service", "postroom"}}},
                      {{{"name", "postroom"}, {"admissionCheck", false}}});
  for (int I = 0; I < 8; ++I)
    World.Fleet.add("m-" + std::to_string(I), "postroom",
                    "r-" + std::to_string(I / 4));
  World.pause(4000 * Ms);
  const json Body{{"spec", "700"},
                  {"steps", json::array({step(6, 1800, 700)})}};
  constexpr int Jobs = 300;
  for (int I = 0; I < Jobs; ++I)
    World.after(I * 100 * Ms,
                [&World, Body] { World.submit("mailing", Body); });
  if (troubled()) {
    for (int I = 0; I < 8; ++I)
      World.after((4000 + I * 3000) * Ms, [&World] {
        World.Fleet.darkRestart(World.Fleet.busiest(6000), 800 * Ms);
      });
  }
  World.pause(Jobs * 100 * Ms + 10000 * Ms);
  World.query();
  return verdict(World, World.accepted() > Jobs / 2 &&
                            World.completed() == World.accepted());
}

// A wave of upkeep, and nothing else, in a pool with a job that lasts.
int waveInSmallPool(const std::string &File) {
  world World{File, 3};
  World.Record.Rule = "LOST";
  World.publishConfig({{{"name", "ledger"}, {"service", "postroom"}},
                       {{"name", "typeset"}, {"service", "typeroom"}}},
                      {{{"name", "postroom"}, {"admissionCheck", false}},
                       {{"name", "typeroom"}, {"admissionCheck", false}}});
  for (int I = 0; I < 3; ++I)
    World.Fleet.add("m-" + std::to_string(I), "postroom",
                    "r-" + std::to_string(I));
  for (int I = 0; I < 8; ++I)
    World.Fleet.add("t-" + std::to_string(I), "typeroom",
                    "r-" + std::to_string(3 + I / 4));
  World.pause(4000 * Ms);
  constexpr std::size_t Tasks = 5;
  json Step = step(Tasks, 3000, 700);
  Step["longRunning"] = true;
  Step["antiAffinity"] = 2;
  Step["mayMiss"] = 1;
  World.submit("ledger", {{"spec", "serve"}, {"steps", json::array({Step})}});
  const std::string Id = World.LastId;
  const auto AllRun = [&] { return World.Fleet.runningTasks(Id) == Tasks; };
  if (!World.waitUntil(AllRun, 10000 * Ms))
    return 2;
  World.pause(4000 * Ms);
  // A machine with two of the tasks, the one with a single one, and five of
  // another pool.
  json Machines = json::array();
  for (std::size_t I = 0; I < 3; ++I) {
    const std::size_t Count = World.Fleet.at(I).Running.size();
    World.Record.line(World.Fleet.at(I).Name + " has " +
                      std::to_string(Count) + " tasks");
    if (Count == 1 || Machines.empty())
      Machines.push_back(World.Fleet.at(I).Name);
  }
  for (std::size_t I = 3; I < 8; ++I)
    Machines.push_back(World.Fleet.at(I).Name);
  if (troubled())
    World.publishWave(1, Machines, 26, 3);
  // The rule: a task that lasts is at work again, as long as there is room for
  // it twice over. It holds from 6 s after its last run, for 3 s on end.
  bool Broken = false;
  const time_point End = boot_clock::now() + 60000 * Ms;
  time_point MissingSince = NoDeadline;
  while (boot_clock::now() < End) {
    World.pause(100 * Ms);
    const std::size_t Running = World.Fleet.runningTasks(Id);
    const bool Room = World.Fleet.placesFor(Id, 2, 3000) >= 2;
    if (Running >= Tasks || !Room) {
      MissingSince = NoDeadline;
      continue;
    }
    if (MissingSince == NoDeadline) {
      MissingSince = boot_clock::now();
      World.Record.line("a task of " + Id + " isn't at work");
    }
    if (!Broken && boot_clock::now() >= MissingSince + 9000 * Ms) {
      Broken = true;
      World.Record.broken("LOST: for 9 s a task of " + Id +
                          " isn't at work, with room for it on " +
                          std::to_string(World.Fleet.placesFor(Id, 2, 3000)) +
                          " places");
    }
  }
  for (std::size_t I = 0; I < World.Fleet.size(); ++I)
    World.Record.line(World.Fleet.at(I).Name + " at the end: " +
                      World.Fleet.at(I).State + ", " +
                      std::to_string(World.Fleet.at(I).Running.size()) +
                      " tasks at work");
  return verdict(World, World.accepted() == 1);
}

// The leading process is killed again and again while the store is slow.
int slowClaim(const std::string &File) {
  world World{File, 3};
  World.Record.Rule = "LOST";
  World.publishConfig({{{"name", "mailing"}, {"service", "postroom"}}},
                      {{{"name", "postroom"}, {"admissionCheck", false}}});
  for (int I = 0; I < 8; ++I)
    World.Fleet.add("m-" + std::to_string(I), "postroom",
                    "r-" + std::to_string(I / 4));
  World.pause(4000 * Ms);
  json Second = step(4, 1000, 1600);
  Second["dependsOn"] = {0};
  json Third = step(4, 1000, 1600);
  Third["dependsOn"] = {1};
  const json Body{
      {"spec", "1600"},
      {"steps", json::array({step(4, 1000, 1600), Second, Third})}};
  constexpr int Seconds = 92;
  constexpr int JobsPerSecond = 4;
  for (int I = 0; I < Seconds * JobsPerSecond; ++I)
    World.after(I * 1000 / JobsPerSecond * Ms,
                [&World, Body] { World.submit("mailing", Body); });
  constexpr duration First = 3000 * Ms;
  constexpr duration Interval = 2600 * Ms;
  constexpr int Kills = 34;
  const auto SetSlow = [&World](const double Share) {
    for (node &Each : World.Nodes)
      Each.Store->setSlow(Share, SlowAnswer);
    World.Record.line(Share > 0 ? "the store is slow" : "the store is fast");
  };
  for (int I = 0; I < Kills; ++I) {
    const duration At = First + I * Interval;
    World.after(At, [&World] {
      const std::size_t Leader = World.leader();
      if (Leader < World.Nodes.size())
        World.restart(Leader, 500 * Ms, SIGKILL);
    });
    if (!troubled())
      continue;
    World.after(At - 200 * Ms, [SetSlow] { SetSlow(SlowShare); });
    World.after(At + 1800 * Ms, [SetSlow] { SetSlow(0); });
  }
  World.pause(Seconds * 1000 * Ms + 9000 * Ms);
  World.query();
  for (const auto &[Id, Job] : World.Jobs) {
    if (Job.Accepted && Job.State == "410")
      World.Record.broken("LOST job " + Id + " was accepted and isn't known");
  }
  return verdict(World, World.accepted() > Seconds * 2);
}

} // namespace

int main(const int Count, char **Words) {
  if (Count != 3)
    return 2;
  const std::string Scenario = Words[1];
  try {
    if (Scenario == "restart-under-id")
      return restartUnderId(Words[2]);
    if (Scenario == "slow-claim")
      return slowClaim(Words[2]);
    if (Scenario == "wave-in-small-pool")
      return waveInSmallPool(Words[2]);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
  }
  return 2;
}
