#include "galenalink/http/client.hpp"
#include "soak/fleet_standin.hpp"
#include "soak/node_group.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::soak;
using nlohmann::json;

namespace {

constexpr duration Second = std::chrono::seconds{1};
constexpr duration Millisecond = std::chrono::milliseconds{1};
constexpr duration StepTimeout = 10 * Second;
/** Longer than a lease that all repeats of a start order have extended. */
constexpr duration Outage = 7 * Second;
constexpr std::uint64_t FleetSeed = 1;
constexpr std::size_t MaxAttempts = 4;
constexpr std::int64_t VmCpu = 16000;
constexpr const char *Pool = "late";
constexpr const char *HeldJob = "000000000000000a";

/** A node on a pool whose first VM can be cut off. */
class late_start_run {
public:
  late_start_run()
      : Store{Loop}, Fleet{Loop, Store, FleetSeed},
        Disruptions{}, Nodes{Loop, Disruptions}, Client{Loop, {}} {
    publishConfig();
    Fleet.addVm("late-0", Pool, false);
    Nodes.add(Store.address(), Fleet.listAddress());
  }

  /** @brief Submits a job with a task of a minute until it is accepted. */
  bool submit(const std::string &Id, const std::int64_t Cpu) {
    const json Body{{"spec", "60000"},
                    {"steps", json::array({json{{"count", 1},
                                                {"cpu", Cpu},
                                                {"memMb", 10},
                                                {"estimateMs", 60000}}})}};
    const time_point End = boot_clock::now() + StepTimeout;
    while (boot_clock::now() < End) {
      if (post(std::string{"/"} + Pool + "/" + Id, Body.dump()) == 200)
        return true;
      pause(100 * Millisecond);
    }
    return false;
  }

  /** @brief Submits the job whose start order gets no response and is held by
   * the network, and waits until its lease has expired. */
  bool submitHeldJob(const std::int64_t Cpu) {
    pause(Second); // responses to earlier orders arrive
    firstLink().setFault(link_fault::Silent);
    if (!submit(HeldJob, Cpu))
      return false;
    pause(Outage);
    return true;
  }

  /** @brief Ends the outage for new connections only. */
  void recoverNewConnections() {
    firstLink().holdConnections();
    firstLink().setFault(link_fault::None);
    Fleet.renewRegistration(0);
  }

  /** @return Whether the job's task runs, within the time limit. */
  bool runs(const std::string &Id) {
    return Loop.runUntil([&] { return countRunning(Id) == 1; },
                         boot_clock::now() + StepTimeout);
  }

  /** @brief Delivers the held orders and checks that they begin no run. */
  void checkLateStarts() {
    const std::size_t Starts = Fleet.History.starts();
    firstLink().releaseConnections();
    pause(2 * Second);
    BOOST_TEST(Fleet.History.starts() == Starts);
    BOOST_TEST(countRunning(HeldJob) == 1);
    BOOST_TEST_MESSAGE("runs:" + Fleet.History.describe(HeldJob));
    for (const auto &Each : Fleet.History.violations(MaxAttempts))
      BOOST_ERROR(Each);
    Nodes.update();
    for (const auto &Each : Nodes.Violations)
      BOOST_ERROR(Each);
  }

  [[nodiscard]] std::ptrdiff_t countRunning(const std::string &Id) const {
    return std::ranges::count(Fleet.History.runsOf(Id), time_point::max(),
                              &run_record::EndedAt);
  }

  void pause(const duration Time) {
    static_cast<void>(
        Loop.runUntil([] { return false; }, boot_clock::now() + Time));
  }

  http::loop Loop;
  store_standin Store;
  fleet_standin Fleet;

private:
  tcp_proxy &firstLink() { return Fleet.link(0); }

  void publishConfig() {
    const json Route{{"name", Pool},
                     {"host", "127.0.0.1"},
                     {"pathPrefix", std::string{"/"} + Pool + "/"},
                     {"service", Pool},
                     {"maxAttempts", MaxAttempts},
                     {"stretchFactor", 4},
                     {"sloMs", 4000}};
    Store.put("keyed.op", "config",
              json{{"version", 1},
                   {"routes", json::array({Route})},
                   {"services", json::array({json{{"name", Pool}}})}}
                  .dump());
  }

  /** @return Status of the response, 0 without one. */
  int post(const std::string &Path, const std::string &Body) {
    http::request Request;
    Request.Method = http::method::Post;
    Request.Path = Path;
    Request.Body = Body;
    Request.Headers = {{"X-Deadline-Ms", "9223372036854775807"}};
    std::optional<int> Status;
    Client.send(Nodes.callersAddress(0), std::move(Request),
                boot_clock::now() + 3 * Second,
                [&Status](const http::answer &Answer) {
                  const auto *Response = std::get_if<http::response>(&Answer);
                  Status = Response == nullptr ? 0 : Response->Status;
                });
    static_cast<void>(Loop.runUntil([&] { return Status.has_value(); },
                                    boot_clock::now() + 4 * Second));
    return Status.value_or(0);
  }

  disruption_log Disruptions;
  node_group Nodes;
  http::client Client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(late_start)

// A start order without a response was released when the lease had expired. Its
// bytes arrived after the outage, under a lease that newer orders had extended,
// and its run began beside the newer run on the same backend server.
BOOST_AUTO_TEST_CASE(late_start_begins_no_run_beside_a_newer_one) {
  late_start_run Run;
  BOOST_REQUIRE(Run.submit("0000000000000001", 1000));
  BOOST_REQUIRE(Run.runs("0000000000000001"));
  BOOST_REQUIRE(Run.submitHeldJob(1000));
  BOOST_REQUIRE(Run.countRunning(HeldJob) == 0);
  Run.recoverNewConnections();
  BOOST_REQUIRE(Run.submit("0000000000000002", 1000));
  BOOST_REQUIRE(Run.runs("0000000000000002"));
  BOOST_REQUIRE(Run.runs(HeldJob));
  Run.checkLateStarts();
}

// The same while the newer run is at work on another backend server.
BOOST_AUTO_TEST_CASE(late_start_begins_no_run_beside_one_elsewhere) {
  late_start_run Run;
  BOOST_REQUIRE(Run.submit("0000000000000001", 1000));
  BOOST_REQUIRE(Run.runs("0000000000000001"));
  BOOST_REQUIRE(Run.submitHeldJob(VmCpu - 1000));
  Run.Fleet.addVm("late-1", Pool, false);
  BOOST_REQUIRE(Run.runs(HeldJob));
  Run.recoverNewConnections();
  BOOST_REQUIRE(Run.submit("0000000000000002", VmCpu / 2));
  BOOST_REQUIRE(Run.runs("0000000000000002"));
  Run.checkLateStarts();
}

BOOST_AUTO_TEST_SUITE_END()
