#include "soak/blocking_request.hpp"
#include "soak/fleet_standin.hpp"
#include "system/process.hpp"
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace galenalink;
using namespace galenalink::soak;
using nlohmann::json;
using system_test::process;

namespace {

constexpr duration Second = std::chrono::seconds{1};
constexpr duration Millisecond = std::chrono::milliseconds{1};
constexpr duration StepTimeout = 15 * Second;
constexpr std::size_t NodeCount = 2;
constexpr std::uint64_t FleetSeed = 1;
constexpr std::size_t MaxAttempts = 4;
/** Exhausts a stack of 8 MB if each level is a call. */
constexpr std::size_t DeepLevels = 250000;

struct test_node {
  std::uint16_t CallersPort{0};
  std::unique_ptr<process> Process;
};

/** Nodes on a stand-in of the store in which any record can be written. */
class odd_records_run {
public:
  odd_records_run()
      : Store{Loop}, Fleet{Loop, Store, FleetSeed}, Client{Loop, {}},
        Directory{std::filesystem::temp_directory_path() /
                  ("galenalink-odd-records-" + std::to_string(::getpid()))} {
    std::filesystem::create_directories(Directory);
    publishConfig(1, "first");
    Fleet.addVm("first-0", "first", false);
    for (std::size_t I = 0; I < NodeCount; ++I)
      startNode(I);
  }
  ~odd_records_run() {
    for (auto &Node : Nodes)
      Node.Process->kill();
    if (std::getenv("SOAK_KEEP_LOGS") == nullptr)
      std::filesystem::remove_all(Directory);
  }
  odd_records_run(const odd_records_run &) = delete;
  odd_records_run &operator=(const odd_records_run &) = delete;

  void publishConfig(const std::uint64_t Version, const std::string &Pool) {
    const json Route{{"name", Pool},
                     {"host", "127.0.0.1"},
                     {"pathPrefix", "/" + Pool + "/"},
                     {"service", Pool},
                     {"maxAttempts", MaxAttempts},
                     {"stretchFactor", 4},
                     {"sloMs", 4000}};
    Store.put("keyed.op", "config",
              json{{"version", Version},
                   {"routes", json::array({7, Route})},
                   {"services", json::array({json{{"name", Pool}}})}}
                  .dump());
  }

  /** @brief Sends a request to each node until all respond with the status.
   * @return Whether they did in time. */
  bool allRespond(const http::method Method, const std::string &Path,
                  const std::string &Body, const int Status) {
    return std::ranges::all_of(Nodes, [&](const test_node &Node) {
      const time_point End = boot_clock::now() + StepTimeout;
      while (boot_clock::now() < End) {
        if (respond(Node, Method, Path, Body).first == Status)
          return true;
        pause(100 * Millisecond);
      }
      return false;
    });
  }

  /** @return Whether a job submitted to the first node completes in time. */
  bool completes(const std::string &Pool, const std::string &Id) {
    const std::string Path = "/" + Pool + "/" + Id;
    const json Body{{"spec", "50"},
                    {"steps", json::array({json{{"count", 2},
                                                {"cpu", 1000},
                                                {"memMb", 10},
                                                {"estimateMs", 50}}})}};
    if (!allRespond(http::method::Post, Path, Body.dump(), 200))
      return false;
    const time_point End = boot_clock::now() + StepTimeout;
    while (boot_clock::now() < End) {
      const auto [Status, Text] =
          respond(Nodes.front(), http::method::Get, Path, "");
      if (Status == 200 && json::parse(Text).at("state") == "completed")
        return true;
      pause(100 * Millisecond);
    }
    return false;
  }

  bool allRun() {
    return std::ranges::none_of(
        Nodes, [](test_node &Node) { return Node.Process->ended(); });
  }

  /** @brief Ends all nodes and starts them again on the same store. */
  void restartNodes() {
    for (auto &Node : Nodes)
      Node.Process->kill();
    Nodes.clear();
    for (std::size_t I = 0; I < NodeCount; ++I)
      startNode(I);
  }

  void pause(const duration Time) {
    static_cast<void>(
        Loop.runUntil([] { return false; }, boot_clock::now() + Time));
  }

  http::loop Loop;
  store_standin Store;
  fleet_standin Fleet;

private:
  std::pair<int, std::string> respond(const test_node &Node,
                                      const http::method Method,
                                      const std::string &Path,
                                      const std::string &Body) {
    http::request Request;
    Request.Method = Method;
    Request.Path = Path;
    Request.Body = Body;
    Request.Headers = {{"X-Deadline-Ms", "9223372036854775807"}};
    const auto Response =
        sendAndWait(Loop, Client, {"127.0.0.1", Node.CallersPort},
                    std::move(Request), 3 * Second);
    return Response ? std::pair{Response->Status, Response->Body}
                    : std::pair{0, std::string{}};
  }

  std::uint16_t freePort() {
    http::server Probe{Loop, {}, [](http::exchange) {}};
    return tryOr([&] { return Probe.listen("127.0.0.1", 0); },
                 [](const error &) { return std::uint16_t{0}; });
  }

  void startNode(const std::size_t Index) {
    const std::string Name = "node-" + std::to_string(Index);
    const auto FreeAddress = [&] {
      return "127.0.0.1:" + std::to_string(freePort());
    };
    test_node Node;
    Node.CallersPort = freePort();
    const auto Settings = Directory / (Name + ".json");
    std::ofstream{Settings} << json{
        {"name", Name},
        {"data_centre", "north"},
        {"callers", "127.0.0.1:" + std::to_string(Node.CallersPort)},
        {"readiness", FreeAddress()},
        {"peers", {{"host", "127.0.0.1"}, {"port", freePort()}}},
        {"store", toString(Store.address())},
        {"vm_list", toString(Fleet.listAddress())},
        {"stop_deadline_s", 4}}.dump();
    Node.Process = std::make_unique<process>(
        std::vector<std::string>{GALENALINKD, "on-platform", "--settings",
                                 Settings.string()},
        (Directory / (Name + ".log")).string());
    Nodes.push_back(std::move(Node));
  }

  http::client Client;
  std::filesystem::path Directory;
  std::vector<test_node> Nodes;
};

/** Records that no reader accepts, as another writer may leave them. */
std::vector<std::string> oddValues() {
  return {std::string(DeepLevels, '['),
          std::string(DeepLevels, '[') + std::string(DeepLevels, ']'),
          std::string(DeepLevels, '\x81'),
          std::string(DeepLevels, '\x7f'),
          "\xff\xfe",
          "7",
          "{}",
          "[1e400]",
          R"([1,"x","127.0.0.1:99999",18446744073709551615])",
          R"({"version":18446744073709551615,"routes":[],"services":[]})",
          (R"({"service":"first","address":"127.0.0.1:65536","zone":"north",)"
           R"("state":"ready","capacity":{"cpu":16000},"seq":1e300})"),
          (R"({"service":"first","address":"127.0.0.1:1","zone":"north",)"
           R"("state":"ready","capacity":{"cpu":-1e300},"born":-5})")};
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_records)

// One odd entry among the registrations, the operator's records, the leader log
// or the leader's state ended the nodes that read it again and again, or they
// stopped following; later valid entries must be used by all nodes.
BOOST_AUTO_TEST_CASE(nodes_follow_beyond_odd_records) {
  odd_records_run Run;
  BOOST_REQUIRE(Run.completes("first", "0000000000000001"));
  for (const auto &Value : oddValues()) {
    Run.Store.put("keyed.servers", "i-odd", Value);
    Run.Store.put("keyed.servers", "i-\xff", Value);
    Run.Store.put("keyed.op", "config", Value);
    Run.Store.put("keyed.op", "wave/x", Value);
    Run.Store.put("keyed.op", "wave/1", Value);
    Run.Store.append("galenalink-leader", Value);
    Run.pause(100 * Millisecond);
    BOOST_REQUIRE(Run.allRun());
  }
  Run.publishConfig(2, "second");
  Run.Fleet.addVm("second-0", "second", false);
  BOOST_TEST(Run.allRespond(http::method::Get, "/second/", "", 200));
  BOOST_TEST(Run.allRespond(http::method::Get, "/first/", "", 404));
  BOOST_TEST(Run.completes("second", "0000000000000002"));
  BOOST_TEST(Run.allRun());

  std::size_t Index = 0;
  for (const auto &Value : oddValues()) {
    for (const char Kind : {'j', 'p', 's', 'h', 'w', 't', 'l', 'v'})
      Run.Store.put("keyed.galenalink-jobs",
                    Kind + std::string{"odd"} + std::to_string(Index++), Value);
  }
  Run.restartNodes();
  BOOST_TEST(Run.completes("second", "0000000000000003"));
  BOOST_TEST(Run.allRun());
  for (const auto &Each : Run.Fleet.History.violations(MaxAttempts))
    BOOST_ERROR(Each);
}

// A job that no node can hold must be rejected at once and leave no trace: what
// is stored is read by every node after every restart.
BOOST_AUTO_TEST_CASE(impossible_jobs_are_rejected_at_once) {
  odd_records_run Run;
  BOOST_REQUIRE(Run.completes("first", "0000000000000001"));
  const std::string Path = "/first/0000000000000009";
  for (const std::string &Body :
       {std::string(DeepLevels, '['),
        std::string{R"({"steps":[{"count":4294967295}]})"},
        std::string{R"({"steps":[{"count":1}],"times":4294967295})"},
        std::string{R"({"steps":[{"count":1,"dependsOn":[0]}]})"},
        std::string{R"({"steps":[{"count":1,"cpu":-1}]})"},
        std::string{"{\"spec\":\"\xff\",\"steps\":[{\"count\":1}]}"}})
    BOOST_TEST(Run.allRespond(http::method::Post, Path, Body, 400));
  BOOST_TEST(Run.allRespond(http::method::Get, Path, "", 410));
  BOOST_TEST(Run.allRun());
  BOOST_TEST(Run.completes("first", "0000000000000002"));
}

BOOST_AUTO_TEST_SUITE_END()
