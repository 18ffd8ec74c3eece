#include "system/crowd_nodes.hpp"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

// Many accepted jobs that never start: the leader keeps them for as long as
// they last, and each successor reads them again. The process stays within the
// memory of its machine, and ordinary jobs are still accepted.

using namespace galenalink;
using namespace galenalink::system_test;
using nlohmann::json;

namespace {

/** Memory of the machine by the node's settings; the smallest allowed. */
constexpr std::size_t MachineMemoryMb = 64;
constexpr std::size_t Clients = 20;
constexpr duration RestartCheckInterval = std::chrono::milliseconds{100};
/** Time until a killed node has started again and recovered. */
constexpr duration RestartLimit = std::chrono::seconds{20};
constexpr duration CrowdLimit = std::chrono::seconds{120};
/** More than there is memory for, by the size of a job's specification. */
constexpr std::size_t LargeSpecs = 20000;
constexpr std::size_t LargeSpecBytes = 4000;
/** More than there is memory for, by the number of its tasks. */
constexpr std::size_t JobsOfManyTasks = 200;
constexpr std::size_t ManyTasks = 20000;
/** Span in which the processor time is measured that the jobs cost. */
constexpr duration RestTime = std::chrono::seconds{3};
const std::string CloseHeader = "Connection: close\r\n";
constexpr wall_ms YearMs = std::int64_t{365} * 24 * 3600 * 1000;

/** @brief A step that no VM can run, since none has its label. */
json neverPlaced(const std::size_t Count) {
  return {{"count", Count},
          {"cpu", 1},
          {"memMb", 1},
          {"estimateMs", 1},
          {"requirements", "none"}};
}

/** @return Whether a killed node starts again and answers. */
bool recovers(platform_node &Node) {
  const time_point End = boot_clock::now() + RestartLimit;
  while (boot_clock::now() < End) {
    Node.Run.Nodes.update();
    Node.Run.pause(RestartCheckInterval);
    if (Node.Run.Nodes.incarnation(0) > 1 && Node.queryStatus() == 200)
      return true;
  }
  return false;
}

/** @param Ordinary Status that an ordinary job may get. */
void checkNode(platform_node &Node, const std::vector<int> &Ordinary) {
  const std::size_t MemoryMb = peakMemoryMb(Node.nodeProcess().id());
  BOOST_TEST_MESSAGE("peak memory " << MemoryMb << " MB");
  BOOST_TEST(!Node.nodeProcess().ended());
  BOOST_TEST(MemoryMb < MachineMemoryMb);
  BOOST_TEST(openDescriptors(Node.nodeProcess().id()) < MaxDescriptors);
  BOOST_TEST(Node.queryStatus() == 200);
  const json Step{
      {"count", 1}, {"cpu", 1000}, {"memMb", 10}, {"estimateMs", 100}};
  const json OrdinaryJob{{"spec", "100"}, {"steps", json::array({Step})}};
  const int Status =
      statusOf(Node.loop(), platform_node::callers(),
               platform_node::jobRequest(0, OrdinaryJob.dump(), CloseHeader),
               OrdinaryLimit);
  BOOST_TEST(std::ranges::count(Ordinary, Status) == 1, "status " << Status);
}

/** @brief Submits a job again and again, each time under an id of its own.
 * @param Ordinary Status that an ordinary job may get afterwards. */
void checkCrowdOfJobs(const json &Job, const std::size_t Count,
                      const std::vector<int> &Ordinary) {
  platform_node Node{json{{"memory_mb", MachineMemoryMb}}};
  const std::string Body = Job.dump();
  std::size_t Sent = 0;
  {
    repeating_clients Crowd{
        Node.loop(), platform_node::callers(), Clients,
        [&] { return platform_node::jobRequest(++Sent, Body, CloseHeader); }};
    BOOST_TEST(Crowd.awaitEnded(Count, CrowdLimit));
    for (const auto &[Status, Answers] : Crowd.ended()) {
      BOOST_TEST_MESSAGE("status " << Status << ": " << Answers);
      BOOST_TEST((Status == 200 || Status == 503));
    }
  }
  const duration Used = processorTime(Node.nodeProcess().id());
  Node.Run.pause(RestTime);
  BOOST_TEST_MESSAGE("processor time in 3 s at rest "
                     << (processorTime(Node.nodeProcess().id()) - Used).count()
                     << " us");
  checkNode(Node, Ordinary);
  // The successor reads all jobs from the store.
  Node.Run.Nodes.kill(0);
  BOOST_REQUIRE(recovers(Node));
  checkNode(Node, Ordinary);
}

} // namespace

BOOST_AUTO_TEST_SUITE(jobs_that_never_start)

BOOST_AUTO_TEST_CASE(due_in_a_year) {
  const wall_ms DueMs = wallNow() + YearMs;
  checkCrowdOfJobs({{"spec", std::string(LargeSpecBytes, 's')},
                    {"steps", json::array({neverPlaced(1)})},
                    {"times", 1},
                    {"startAtMs", DueMs}},
                   LargeSpecs, {200});
}

BOOST_AUTO_TEST_CASE(long_running_with_many_tasks) {
  json Step = neverPlaced(ManyTasks);
  Step["longRunning"] = true;
  checkCrowdOfJobs({{"spec", ""}, {"steps", json::array({Step})}},
                   JobsOfManyTasks, {200});
}

// Each job that lasts and can't be placed costs the leader processor time in
// every pass. The number that is accepted must follow the node's share of a
// core.
BOOST_AUTO_TEST_CASE(long_running) {
  constexpr std::size_t Jobs = 2000;
  constexpr double ProcessorShare = 0.12;
  constexpr std::size_t MaxAccepted = 500;
  platform_node Node{json{{"memory_mb", MachineMemoryMb},
                          {"processor_share", ProcessorShare}}};
  json Step = neverPlaced(1);
  Step["longRunning"] = true;
  const std::string Body =
      json{{"spec", ""}, {"steps", json::array({Step})}}.dump();
  std::size_t Sent = 0;
  {
    repeating_clients Crowd{
        Node.loop(), platform_node::callers(), Clients,
        [&] { return platform_node::jobRequest(++Sent, Body, CloseHeader); }};
    BOOST_TEST(Crowd.awaitEnded(Jobs, CrowdLimit));
    const auto Accepted = Crowd.ended().find(200);
    BOOST_REQUIRE(Accepted != Crowd.ended().end());
    BOOST_TEST(Accepted->second <= MaxAccepted);
  }
  checkNode(Node, {200});
}

// Such jobs are like ordinary ones, so that these are refused as well.
BOOST_AUTO_TEST_CASE(many_tasks) {
  checkCrowdOfJobs(
      {{"spec", ""}, {"steps", json::array({neverPlaced(ManyTasks)})}},
      JobsOfManyTasks, {200, 503});
}

BOOST_AUTO_TEST_SUITE_END()
