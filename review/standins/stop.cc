#include "world.hh"
#include <iostream>
#include <random>

namespace review {

/**
 * Clients cancel jobs right after they were accepted, while one executor breaks
 * 0.4 of its connections for 5.5 s before it carries out the call.
 */
int lostStop(world &World) {
  constexpr double CancelS = 3.0;
  constexpr double StopS = 0.4;
  constexpr double ContactS = 3.0;
  World.publish({"proofdesk"}, 4, 2500);
  for (int I = 0; I < 10; ++I)
    World.Fleet.add("proofdesk", 32000, 131072);
  // 1.4 ms between zones, one way.
  World.Fleet.AnswerDelay = std::chrono::milliseconds{3};
  std::mt19937 Random{7};
  std::vector<http::timer> Timers;
  World.OnAccepted = [&](client_job &Job) {
    const std::chrono::milliseconds Delay{5 + Random() % 20};
    Timers.push_back(World.Loop.at(galenalink::boot_clock::now() + Delay,
                                   [&] { World.cancel(Job); }));
  };
  World.startNodes(3);
  if (!World.awaitReady(15))
    return 2;
  World.pass(2);
  bool Breaks = World.Trouble;
  if (Breaks)
    World.Record.line("executor i-1 breaks connections");
  World.Fleet.Treat = [&](const executor &Executor, std::string_view) {
    return Breaks && Executor.Id == "i-1" && Random() % 10 < 4
               ? treatment::Reset
               : treatment::Serve;
  };
  for (int I = 0; I < 108; ++I) {
    World.submit(
        "proofdesk",
        R"({"spec":"lasts","steps":[{"count":40,"cpu":400,"memMb":500,"estimateMs":1000,"longRunning":true}]})");
    World.pass(0.05);
  }
  Breaks = false;
  World.Record.line("executor i-1 is sound again");
  World.pass(ContactS + CancelS + StopS + 4);
  std::size_t Acked = 0;
  std::vector<std::string> Broken;
  for (const auto &Job : World.Jobs) {
    if (!Job->Cancelled)
      continue;
    ++Acked;
    for (const auto &Run : World.Fleet.runs()) {
      const bool Runs =
          Run.Task.starts_with(Job->Id) && Run.EndedAt < 0 &&
          World.Record.seconds() > Job->CancelAckedAt + CancelS + StopS;
      if (!Runs)
        continue;
      char Text[300];
      std::snprintf(
          Text, sizeof(Text),
          "UNASKED: %s run %llu runs on %s at %.3f s, the cancelling "
          "of its job was acknowledged at %.3f s",
          Run.Task.c_str(), static_cast<unsigned long long>(Run.Number),
          Run.Executor.c_str(), World.Record.seconds(), Job->CancelAckedAt);
      Broken.emplace_back(Text);
    }
  }
  std::cout << Acked << " cancels acknowledged, " << World.Fleet.runs().size()
            << " runs, " << World.Fleet.running() << " still at work\n";
  if (Acked < 10)
    return 2;
  return World.verdict(Broken);
}

} // namespace review
