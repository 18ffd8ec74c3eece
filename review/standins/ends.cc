#include "world.hh"
#include <iostream>

namespace review {

/** Many short tasks end while the store is down for 4.5 s. */
int endsAtATime(world &World) {
  World.publish({"postroom"}, 2, 30000);
  for (int I = 0; I < 2; ++I)
    World.Fleet.add("postroom", 32000, 131072);
  World.startNodes(3);
  if (!World.awaitReady(15))
    return 2;
  World.pass(2);
  client_job &Job = World.submit(
      "postroom",
      R"({"spec":"500","steps":[{"count":4000,"cpu":250,"memMb":500,"estimateMs":500}]})");
  if (!World.await([&] { return Job.Accepted; }, 10))
    return 2;
  World.pass(1.5);
  if (World.Trouble) {
    World.Record.line("the store is down");
    World.Store.setFault(store_fault::Unresponsive);
    World.pass(4.4);
    World.Store.setFault(store_fault::None);
    World.Record.line("the store is back");
  }
  for (int I = 0; I < 40 && Job.State != "completed"; ++I) {
    World.pass(1);
    World.query(Job);
  }
  World.pass(3);
  std::cout << World.Fleet.runs().size() << " starts of 4000 tasks, job is "
            << Job.State << "\n";
  if (Job.State != "completed" && !World.Trouble)
    return 2;
  return World.verdict(World.twice());
}

} // namespace review
