#include "world.hh"
#include <iostream>

namespace review {

/**
 * A large job that saves checkpoints runs; all nodes lose power for 9.5 s and
 * come back. New jobs are handed in later than `recoveryS` after that.
 */
int largeRecord(world &World) {
  constexpr double RecoveryS = 12;
  World.publish({"archive", "desk"}, 4, 600000);
  for (int I = 0; I < 18; ++I)
    World.Fleet.add("archive", 64000, 262144);
  for (int I = 0; I < 2; ++I)
    World.Fleet.add("desk", 64000, 262144);
  World.startNodes(3);
  if (!World.awaitReady(15))
    return 2;
  World.pass(1.5);
  client_job &Large = World.submit(
      "archive",
      R"({"spec":"150000 c","steps":[{"count":14000,"cpu":80,"memMb":100,"estimateMs":150000,"checkpointing":true}]})");
  const std::string Small =
      R"({"spec":"300","steps":[{"count":2,"cpu":1000,"memMb":500,"estimateMs":300}]})";
  std::vector<client_job *> Before;
  for (int I = 0; I < 10; ++I) {
    Before.push_back(&World.submit("desk", Small));
    World.pass(0.3);
  }
  const bool AllRun =
      World.await([&] { return World.Fleet.running() >= 14000; }, 25);
  World.Record.line(std::to_string(World.Fleet.running()) +
                    " tasks are at work");
  if (!Large.Accepted || !AllRun)
    return 2;
  World.pass(3);
  if (World.Trouble) {
    World.Record.line("all nodes lose power");
    for (auto &Each : World.Nodes)
      Each.Process->kill();
    World.pass(9.4);
    for (std::size_t I = 0; I < World.Nodes.size(); ++I)
      World.startNode(I);
  }
  World.pass(RecoveryS + 1);
  std::vector<client_job *> After;
  for (int I = 0; I < 20; ++I) {
    After.push_back(&World.submit("desk", Small));
    World.pass(0.5);
  }
  World.pass(5);
  const auto Served = [](const std::vector<client_job *> &Jobs) {
    std::size_t Count = 0;
    for (const client_job *Each : Jobs)
      Count += Each->Accepted ? 1 : 0;
    return Count;
  };
  for (client_job *Each : Before)
    World.query(*Each);
  World.query(Large);
  World.pass(3);
  std::cout << "served before: " << Served(Before) << " of " << Before.size()
            << ", later than recoveryS after the machines were back: "
            << Served(After) << " of " << After.size()
            << "; appends that the store refused for their size: "
            << World.Store.Oversized << ", largest record "
            << World.Store.LargestRefused << " bytes\n";
  World.Record.line("store refused " + std::to_string(World.Store.Oversized) +
                    " appends for their size, the largest record had " +
                    std::to_string(World.Store.LargestRefused) + " bytes");
  if (Served(Before) * 4 < Before.size())
    return 2;
  std::vector<std::string> Broken;
  if (Served(After) * 4 < After.size())
    Broken.push_back("RECOVER: " + std::to_string(Served(After)) + " of " +
                     std::to_string(After.size()) +
                     " requests were served later than recoveryS after the "
                     "machines were back");
  return World.verdict(Broken);
}

} // namespace review
