// The script cases of review 3. Usage, from the repository root:
//   cases NAME RECORD
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
// run. TROUBLE=0 leaves the disruption out.

#include "platform.hh"
#include <cstdio>
#include <iostream>
#include <sstream>
#include <unistd.h>

using namespace galenalink;
using namespace galenalink::review;

namespace {

constexpr int Broken = 1;
constexpr int Held = 0;
constexpr int CannotRun = 2;

/** The rule LOST: how long a job may have nothing running, from `finish_s`
 * after the end of the traffic on. */
constexpr double LostS = 3;
constexpr double FinishS = 14;

struct world {
  explicit world(const std::string &File)
      : Record{File}, Directory{std::filesystem::temp_directory_path() /
                                ("galenalink-review-3-" +
                                 std::to_string(::getpid()))},
        Store{Loop, Record}, Fleet{Loop, Store, Record},
        Nodes{Loop, Directory, Record}, Caller{Loop, Nodes, Record} {
    std::filesystem::create_directories(Directory);
  }
  ~world() {
    if (std::getenv("KEEP_LOGS") == nullptr)
      std::filesystem::remove_all(Directory);
    else
      std::cerr << Directory << '\n';
  }

  void publish(const json &Routes, const std::vector<std::string> &Pools) {
    json Services = json::array();
    for (const auto &Each : Pools)
      Services.push_back({{"name", Each}, {"admissionCheck", false}});
    Version += 3;
    const std::string Text = json{
        {"version", Version},
        {"routes", Routes},
        {"services", Services},
        {"limits",
         json::object()}}.dump();
    Record.line("operator: version " + std::to_string(Version) + " with " +
                std::to_string(Routes.size()) + " routes, " +
                std::to_string(Text.size()) + " bytes");
    if (Text.size() > Store.RecordBytes)
      throw std::runtime_error{"configuration too large"};
    Store.put("keyed.op", "config", Text);
  }
  void startNodes(const std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      Nodes.add(Store.address(), Fleet.listAddress());
  }
  /** @brief Submits a job, as a client does: again after no answer, 502, 503
   * and 504. */
  bool submit(const std::string &Path, const json &Job,
              const duration Limit = 15 * Second) {
    TrafficEndS = Record.elapsed();
    const time_point End = boot_clock::now() + Limit;
    for (std::size_t I = 0; boot_clock::now() < End; ++I) {
      const int Status = Caller.send(http::method::Post, Path, Job.dump(),
                                     nullptr, I % Nodes.size());
      if (Status == 200)
        return true;
      Caller.pause(500 * Millisecond);
    }
    return false;
  }
  std::string state(const std::string &Path, const std::size_t Node = 0) {
    std::string Answer;
    if (Caller.send(http::method::Get, Path, "", &Answer, Node) != 200)
      return "";
    return json::parse(Answer).value("state", "");
  }

  http::loop Loop;
  record Record;
  std::filesystem::path Directory;
  store Store;
  fleet Fleet;
  nodes Nodes;
  caller Caller;
  std::uint64_t Version{0};
  /** When the last job was handed in. */
  double TrafficEndS{0};
};

json taskSpec(const int Ms, const std::int64_t Cpu, const bool Fails = false) {
  return {{"ms", Ms}, {"cpu", Cpu}, {"fails", Fails}};
}

json jobOf(const json &Spec, const std::size_t Count, const json &More = {}) {
  json Step{{"count", Count},
            {"cpu", Spec.at("cpu")},
            {"memMb", 64},
            {"estimateMs", Spec.at("ms")}};
  if (More.is_object())
    Step.update(More);
  return {{"spec", Spec.dump()}, {"steps", json::array({Step})}};
}

/**
 * @brief Waits until a job of another queue and another pool has completed, or
 * until LOST is broken for it: `finish_s` after the last job was handed in,
 * nothing of it is at work for 3 s on end, a task of it has not ended, and its
 * pool is idle.
 */
int judgeVictim(world &World, const std::string &Path, const std::string &Id,
                const std::string &Pool, const std::size_t Tasks,
                const double UntilS) {
  while (World.Record.elapsed() < UntilS) {
    World.Caller.pause(200 * Millisecond);
    const auto &Job = World.Fleet.Jobs[Id];
    if (Job.TasksDone.size() >= Tasks)
      break;
    if (!World.Nodes.allRunning()) {
      World.Record.line("a node process has ended by itself");
      return Broken;
    }
    const auto [Used, Total] = World.Fleet.load(Pool);
    const double IdleS =
        std::chrono::duration<double>(boot_clock::now() - Job.BusyAt).count();
    const bool Judged =
        World.Record.elapsed() > World.TrafficEndS + FinishS + LostS;
    if (!Judged || Job.Running > 0 || IdleS < LostS + 1 || 2 * Used >= Total)
      continue;
    std::ostringstream Text;
    Text << "LOST broken: for " << IdleS << " s the job " << Id
         << " has had nothing running; " << Job.TasksDone.size() << " of its "
         << Tasks << " tasks are done; pool " << Pool << " uses " << Used
         << " of " << Total << " thousandths of a core";
    World.Record.line(Text.str());
    for (std::size_t I = 0; I < World.Nodes.size(); ++I)
      World.Record.line("state shown by node " + std::to_string(I + 1) + ": " +
                        World.state(Path, I));
    World.Caller.send(http::method::Post, "/archive/" + jobId(0xfffff),
                      jobOf(taskSpec(50, 500), 1).dump());
    World.Caller.send(http::method::Delete, Path, "");
    return Broken;
  }
  const auto &Job = World.Fleet.Jobs[Id];
  if (Job.TasksDone.size() < Tasks) {
    World.Record.line("the job did not end in time, and was not idle for 3 s");
    return CannotRun;
  }
  World.Caller.await([] { return false; }, 2 * Second);
  const std::string State = World.state(Path);
  World.Record.line("all tasks of the job " + Id + " are done, state " + State);
  return State == "completed" ? Held : Broken;
}

/**
 * Routes come and go with new versions of the configuration; each runs one
 * short job. Meanwhile a job of a route that stays is at work.
 */
int runNames(world &World) {
  constexpr std::size_t Versions = 5;
  constexpr std::size_t RoutesPerVersion = 800;
  constexpr std::size_t VictimTasks = 10000;
  const std::vector<std::string> Pools{"press", "bindery"};
  for (int I = 0; I < 4; ++I)
    World.Fleet.add("press-" + std::to_string(I), "press");
  for (int I = 0; I < 3; ++I)
    World.Fleet.add("bindery-" + std::to_string(I), "bindery");
  const std::string VictimId = jobId(0xa1);
  const std::string Victim = "/archive/" + VictimId;
  std::size_t Accepted = 0;
  std::size_t Refused = 0;
  std::size_t Answered = 0;
  std::uint64_t NextJob = 0x1000;
  for (std::size_t Version = 0; Version < Versions; ++Version) {
    // Without trouble the names stay, and only time-outs change.
    const std::size_t Round = trouble() ? Version : 0;
    json Routes = json::array({route("archive", "/archive/", "bindery", 4)});
    for (std::size_t I = 0; I < RoutesPerVersion; ++I) {
      char Name[80];
      std::snprintf(Name, sizeof(Name),
                    "newsletter-issue-typeset-club-%04zu-match-day-%03zu", I,
                    Round);
      Routes.push_back(route(Name, "/i" + std::to_string(I) + "/", "press", 4));
      Routes.back()["timeoutMs"] = 2900 + Version;
    }
    World.publish(Routes, Pools);
    if (Version == 0) {
      World.startNodes(3);
      if (!World.submit("/archive/" + jobId(0xa0), jobOf(taskSpec(50, 500), 1)))
        return CannotRun;
    }
    World.Caller.pause(2 * Second + 500 * Millisecond);
    if (Version + 2 == Versions) {
      // Some 60 s of work for three executors.
      if (!World.submit(Victim, jobOf(taskSpec(600, 1000), VictimTasks)))
        return CannotRun;
    }
    const std::size_t Before = Answered;
    for (std::size_t I = 0; I < RoutesPerVersion; ++I) {
      const std::string Path =
          "/i" + std::to_string(I) + "/" + jobId(NextJob++);
      World.Caller.post(Path, jobOf(taskSpec(20, 500), 1).dump(), I % 3,
                        [&](const int Status) {
                          ++Answered;
                          ++(Status == 200 ? Accepted : Refused);
                        });
      World.Caller.pause(8 * Millisecond);
    }
    World.TrafficEndS = World.Record.elapsed();
    World.Caller.await([&] { return Answered - Before == RoutesPerVersion; },
                       4 * Second);
    World.Record.line("clients: " + std::to_string(Accepted) +
                      " short jobs accepted, " + std::to_string(Refused) +
                      " not; largest record so far " +
                      std::to_string(World.Store.LargestRecord) + " bytes");
    if (World.Store.OversizeAppends > 0)
      break;
  }
  return judgeVictim(World, Victim, VictimId, "bindery", VictimTasks, 115);
}

/**
 * A job that can never be done, on a queue that allows many attempts, beside a
 * job of another queue and pool.
 */
int runAttempts(world &World) {
  constexpr std::size_t PoisonTasks = 4000;
  constexpr std::size_t VictimTasks = 20000;
  // The leader log of a system that has run for 50 minutes: a heartbeat every
  // 0.6 s, of which the store keeps the last ones.
  World.Store.beginAt("galenalink-leader", 5000);
  const std::vector<std::string> Pools{"press", "bindery"};
  for (int I = 0; I < 4; ++I)
    World.Fleet.add("press-" + std::to_string(I), "press");
  for (int I = 0; I < 3; ++I)
    World.Fleet.add("bindery-" + std::to_string(I), "bindery");
  World.publish(json::array({route("archive", "/archive/", "bindery", 4),
                             route("imports", "/imports/", "press", 100)}),
                Pools);
  World.startNodes(3);
  if (!World.submit("/archive/" + jobId(0xa0), jobOf(taskSpec(50, 500), 1)))
    return CannotRun;
  World.Caller.pause(2 * Second);
  const std::string VictimId = jobId(0xa1);
  const std::string Victim = "/archive/" + VictimId;
  if (!World.submit(Victim, jobOf(taskSpec(500, 1000), VictimTasks)))
    return CannotRun;
  const std::string Poison = "/imports/" + jobId(0xb1);
  if (!World.submit(Poison, jobOf(taskSpec(20, 50, trouble()), PoisonTasks)))
    return CannotRun;
  // One job in twenty of the queue can never be done, as at the site.
  for (std::size_t I = 1; I < 20; ++I) {
    World.TrafficEndS = World.Record.elapsed();
    World.Caller.post("/imports/" + jobId(0xb100 + I),
                      jobOf(taskSpec(50, 500), 1).dump(), I % 3, [](int) {});
    World.Caller.pause(100 * Millisecond);
  }
  const int Result =
      judgeVictim(World, Victim, VictimId, "bindery", VictimTasks, 110);
  const auto &Job = World.Fleet.Jobs[jobId(0xb1)];
  World.Record.line("job of the other queue: " + std::to_string(Job.Starts) +
                    " starts, state " + World.state(Poison) +
                    "; largest record " +
                    std::to_string(World.Store.LargestRecord) + " bytes");
  return Result;
}

/**
 * A job whose tasks save long checkpoints, beside a job without checkpoints on
 * the same executors.
 */
int runCheckpoint(world &World) {
  constexpr std::size_t VictimTasks = 8;
  constexpr int VictimMs = 12000;
  const std::vector<std::string> Pools{"press"};
  for (int I = 0; I < 2; ++I)
    World.Fleet.add("press-" + std::to_string(I), "press");
  World.Fleet.LogRuns = true;
  World.publish(json::array({route("archive", "/archive/", "press", 4)}),
                Pools);
  World.startNodes(3);
  if (!World.submit("/archive/" + jobId(0xa0), jobOf(taskSpec(50, 500), 1)))
    return CannotRun;
  World.Caller.pause(2 * Second);
  const std::string VictimId = jobId(0xa1);
  const std::string Victim = "/archive/" + VictimId;
  if (!World.submit(Victim, jobOf(taskSpec(VictimMs, 1000), VictimTasks)))
    return CannotRun;
  World.Caller.pause(Second);
  json Spec = taskSpec(15000, 1000);
  Spec["checkpoint"] = trouble() ? 5000 : 16;
  if (!World.submit(
          "/archive/" + jobId(0xb1),
          jobOf(Spec, 2, {{"checkpointing", true}, {"antiAffinity", 1}})))
    return CannotRun;
  const int Result =
      judgeVictim(World, Victim, VictimId, "press", VictimTasks, 60);
  if (Result != Held)
    return Result;
  return judgeVictim(World, "/archive/" + jobId(0xb1), jobId(0xb1), "press", 2,
                     80);
}

/**
 * A job whose tasks take 300 s each, as its client has estimated, on a queue
 * that has run one short job before. Every executor reports the progress in
 * whole percents, as in the example of PROTOCOL.md, so that it changes every
 * 3 s. Without trouble the tasks take 60 s.
 */
int runLong(world &World) {
  constexpr std::size_t Tasks = 8;
  const int TaskMs = trouble() ? 300000 : 60000;
  constexpr double UntilS = 100;
  World.Fleet.LogRuns = true;
  for (int I = 0; I < 4; ++I)
    World.Fleet.add("press-" + std::to_string(I), "press");
  World.publish(json::array({route("archive", "/archive/", "press", 4)}),
                {"press"});
  World.startNodes(3);
  if (!World.submit("/archive/" + jobId(0xa0), jobOf(taskSpec(50, 500), 1)))
    return CannotRun;
  World.Caller.pause(2 * Second);
  const std::string Id = jobId(0xa1);
  if (!World.submit("/archive/" + Id, jobOf(taskSpec(TaskMs, 1000), Tasks,
                                            {{"antiAffinity", 2}})))
    return CannotRun;
  const int Result =
      judgeVictim(World, "/archive/" + Id, Id, "press", Tasks, UntilS);
  const auto &Job = World.Fleet.Jobs[Id];
  std::string Ends;
  for (const auto &[How, Count] : Job.Ends)
    Ends += ", " + How + " " + std::to_string(Count);
  World.Record.line("job " + Id + ": " + std::to_string(Job.Starts) +
                    " starts, running " + std::to_string(Job.Running) + Ends);
  return Result;
}

/**
 * Jobs that can never be done, beside a job of another queue on the same pool
 * whose steps follow each other. All executors are sound.
 */
int runPoison(world &World) {
  // For 3 s, one job in twenty of a queue can never be done.
  constexpr std::size_t OtherJobs = 600;
  constexpr std::size_t PoisonEvery = 20;
  constexpr std::size_t PoisonTasks = 8;
  constexpr std::size_t Steps = 60;
  World.Fleet.LogRuns = true;
  for (int I = 0; I < 4; ++I)
    World.Fleet.add("press-" + std::to_string(I), "press");
  World.publish(json::array({route("archive", "/archive/", "press", 4),
                             route("imports", "/imports/", "press", 4)}),
                {"press"});
  World.startNodes(3);
  if (!World.submit("/archive/" + jobId(0xa0), jobOf(taskSpec(50, 500), 1)))
    return CannotRun;
  World.Caller.pause(2 * Second);
  const std::string Id = jobId(0xa1);
  json Job = jobOf(taskSpec(500, 1000), 1);
  for (std::size_t I = 1; I < Steps; ++I) {
    Job["steps"].push_back(Job["steps"][0]);
    Job["steps"].back()["dependsOn"] = json::array({I - 1});
  }
  if (!World.submit("/archive/" + Id, Job))
    return CannotRun;
  World.Caller.pause(Second);
  std::size_t Accepted = 0;
  std::size_t PoisonAccepted = 0;
  std::size_t Answered = 0;
  const time_point Start = boot_clock::now();
  for (std::size_t I = 0; I < OtherJobs; ++I) {
    const bool Poison = I % PoisonEvery == 0;
    const json Other = Poison
                           ? jobOf(taskSpec(100, 8000, trouble()), PoisonTasks)
                           : jobOf(taskSpec(50, 500), 1);
    World.TrafficEndS = World.Record.elapsed();
    World.Caller.post("/imports/" + jobId(0xb000 + I), Other.dump(), I % 3,
                      [&, Poison](const int Status) {
                        ++Answered;
                        Accepted += Status == 200 ? 1 : 0;
                        PoisonAccepted += Poison && Status == 200 ? 1 : 0;
                      });
    const auto Next = Start + (I + 1) * 5 * Millisecond;
    World.Caller.pause(
        std::max<duration>(Next - boot_clock::now(), duration{0}));
  }
  World.Caller.await([&] { return Answered == OtherJobs; }, 4 * Second);
  World.Record.line("clients: " + std::to_string(Accepted) + " of " +
                    std::to_string(OtherJobs) + " further jobs accepted, " +
                    std::to_string(PoisonAccepted) + " of them fail");
  return judgeVictim(World, "/archive/" + Id, Id, "press", Steps, 110);
}

/**
 * A job that runs three times, each time with 12,000 short tasks. The leader is
 * cut off from the store when the first time is nearly done.
 */
int runTimes(world &World) {
  constexpr std::size_t Tasks = 12000;
  constexpr std::size_t Times = 3;
  /** Tasks of the first time that are left when the cut begins. */
  constexpr std::size_t Left = 600;
  /** Length of a cut at the site. */
  constexpr duration CutTime = 5500 * Millisecond;
  for (int I = 0; I < 4; ++I)
    World.Fleet.add("press-" + std::to_string(I), "press");
  World.publish(json::array({route("archive", "/archive/", "press", 4)}),
                {"press"});
  World.startNodes(1);
  if (!World.Caller.await([&] { return World.Fleet.fence() > 0; }, 10 * Second))
    return CannotRun;
  World.startNodes(2);
  const std::uint64_t First = World.Fleet.fence();
  World.Caller.pause(2 * Second);
  const std::string Id = jobId(0xa1);
  json Job = jobOf(taskSpec(50, 100), Tasks);
  Job["times"] = Times;
  Job["startAtMs"] = wallNow();
  Job["intervalMs"] = 1000;
  if (!World.submit("/archive/" + Id, Job))
    return CannotRun;
  const auto &Runs = World.Fleet.Jobs[Id];
  const bool NearlyDone = World.Caller.await(
      [&] { return Runs.TasksDone.size() >= Tasks - Left; }, 40 * Second);
  if (!NearlyDone || World.Fleet.fence() != First)
    return CannotRun;
  if (trouble()) {
    World.Nodes.cutFromStore(0, true);
    World.Caller.pause(CutTime);
    World.Nodes.cutFromStore(0, false);
    World.Record.line("token at the executors before the cut " +
                      std::to_string(First) + ", now " +
                      std::to_string(World.Fleet.fence()));
  }
  World.Caller.await([&] { return Runs.TasksDone.size() >= Times * Tasks; },
                     (110 * Second) - duration{static_cast<std::int64_t>(
                                          World.Record.elapsed() * 1e6)});
  World.Caller.pause(2 * Second);
  const std::size_t Twice = Runs.startsAfterNotedEnd();
  World.Record.line(
      std::to_string(Runs.TasksDone.size()) + " tasks done, " +
      std::to_string(Runs.Starts) + " starts, " +
      std::to_string(Runs.StartsAfterDone.size()) +
      " of them after a run of the task had ended done, of which " +
      std::to_string(Twice) + " after an end that was taken note of; state " +
      World.state("/archive/" + Id));
  if (Twice > 0) {
    World.Record.line("TWICE broken");
    return Broken;
  }
  return Runs.TasksDone.size() >= Times * Tasks ? Held : CannotRun;
}

} // namespace

int main(const int Count, char **Words) {
  if (Count != 3) {
    std::cerr << "usage: cases NAME RECORD\n";
    return CannotRun;
  }
  const std::map<std::string, int (*)(world &)> Cases{
      {"names", runNames},           {"attempts", runAttempts},
      {"checkpoint", runCheckpoint}, {"long", runLong},
      {"poison", runPoison},         {"times", runTimes}};
  const auto Found = Cases.find(Words[1]);
  if (Found == Cases.end())
    return CannotRun;
  try {
    world World{Words[2]};
    const int Result = Found->second(World);
    World.Record.line("exit " + std::to_string(Result));
    return Result;
  } catch (const std::exception &Error) {
    std::cerr << "cases: " << Error.what() << '\n';
    return CannotRun;
  }
}
