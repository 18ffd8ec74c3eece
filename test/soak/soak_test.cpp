#include "galenalink/http/client.hpp"
#include "soak/fleet_standin.hpp"
#include "soak/store_standin.hpp"
#include "system/process.hpp"
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>

using namespace galenalink;
using namespace galenalink::soak;
using nlohmann::json;
using system_test::process;

namespace {

constexpr duration Millisecond = std::chrono::milliseconds{1};
constexpr duration Second = std::chrono::seconds{1};

constexpr std::size_t NodeCount = 4;
constexpr std::size_t VmsPerPool = 4;
constexpr std::size_t StandbyVms = 2;
constexpr duration JobInterval = 50 * Millisecond;
constexpr duration FaultInterval = 900 * Millisecond;
constexpr duration ClientTimeout = 3 * Second;
/** Submissions of one job; each goes to a random node. */
constexpr int MaxTries = 6;
constexpr duration RetryDelay = 500 * Millisecond;
/** All accepted jobs must complete within this time once no more jobs are
 * submitted. */
constexpr duration CompletionTimeout = 14 * Second;
constexpr std::uint64_t WaveNumber = 1;
constexpr std::size_t WaveMaxUnavailable = 2;

/** The HTTP client sends the address that it connects to as `Host`; the routes
 * must name the same host. */
const std::string CallersHost = "127.0.0.1";
const std::vector<std::string> Pools{"press", "post"};

std::uint64_t environmentNumber(const char *Name, const std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : std::stoull(Text);
}

struct soak_node {
  std::string Name;
  std::string Host;
  std::uint16_t CallersPort{0};
  std::uint16_t ReadinessPort{0};
  std::uint16_t PeersPort{0};
  std::unique_ptr<process> Process;
  /** When an ended process is restarted or a paused one continued;
   * `NoDeadline` while running. */
  time_point ResumeAt{NoDeadline};
  bool Paused{false};
};

enum class job_outcome : std::uint8_t { Open, Accepted, Refused, Unknown };

struct soak_job {
  std::string Queue;
  std::string Id;
  std::string Body;
  int Tries{0};
  /** A try may have submitted the job: it was sent and got no response, or a
   * status other than 200, 429 and 503, such as 504. */
  bool Unconfirmed{false};
  job_outcome Outcome{job_outcome::Open};
  bool Completed{false};
};

/** @return A port of the address that is currently free; 0 if there is none. */
std::uint16_t freePort(http::loop &Loop, const std::string &Host) {
  http::server Probe{Loop, {}, [](http::exchange) {}};
  return tryOr([&]() -> result<std::uint16_t> { return Probe.listen(Host, 0); },
               [](const error &) { return std::uint16_t{0}; });
}

/** Runs nodes, stand-ins, callers and fault injection in one event loop. */
class soak_run {
public:
  explicit soak_run(const std::uint64_t Seed)
      : Random{Seed}, Store{Loop}, Fleet{Loop, Store}, Client{Loop, {}},
        Directory{std::filesystem::temp_directory_path() /
                  ("galenalink-soak-" + std::to_string(::getpid()))} {
    std::filesystem::create_directories(Directory);
    publishConfig();
    for (std::size_t I = 0; I < VmsPerPool; ++I) {
      for (const auto &Pool : Pools)
        Fleet.addVm(Pool + "-" + std::to_string(I), Pool, false);
    }
    for (std::size_t I = 0; I < StandbyVms; ++I)
      Fleet.addVm("spare-" + std::to_string(I), "spare", true);
    for (std::size_t I = 0; I < NodeCount; ++I)
      addNode(I);
  }
  ~soak_run() {
    for (auto &Node : Nodes)
      Node.Process->kill();
    if (std::getenv("SOAK_KEEP_LOGS") == nullptr)
      std::filesystem::remove_all(Directory);
  }
  soak_run(const soak_run &) = delete;
  soak_run &operator=(const soak_run &) = delete;

  void run(const duration FaultDuration) {
    runLoopFor(3 * Second);
    SubmitTimer = Loop.every(JobInterval, [this] { submitNewJob(); });
    WatchTimer = Loop.every(20 * Millisecond, [this] { resumeNodes(); });
    FaultTimer = Loop.every(FaultInterval, [this] { injectFault(); });
    publishWave();
    runLoopFor(FaultDuration);
    FaultTimer.cancel();
    Store.setFault(store_fault::None);
    runLoopFor(4 * Second);
    SubmitTimer.cancel();
    static_cast<void>(Loop.runUntil([this] { return allJobsSettled(); },
                                    boot_clock::now() + CompletionTimeout));
  }

  void verify() {
    for (const auto &Each : Fleet.Checker.Violations)
      BOOST_ERROR(Each);
    std::size_t Accepted = 0;
    for (const auto &[Id, Job] : Jobs) {
      Accepted += Job.Outcome == job_outcome::Accepted ? 1 : 0;
      if (Job.Outcome == job_outcome::Accepted && !Job.Completed)
        BOOST_ERROR("accepted job did not complete: " + Id);
      if (Job.Outcome == job_outcome::Refused &&
          Fleet.Checker.StartedJobs.contains(Id))
        BOOST_ERROR("job was refused, but a task of it was started: " + Id);
    }
    BOOST_TEST_MESSAGE(Jobs.size() << " jobs, " << Accepted << " accepted, "
                                   << Fleet.Checker.StartCount << " starts, "
                                   << FaultCount << " faults");
    BOOST_TEST(Accepted * 2 > Jobs.size());
    BOOST_TEST(FaultCount > 0U);
    BOOST_TEST(Fleet.MaxInMaintenance <= WaveMaxUnavailable);
    const auto Wave =
        Store.latestValue("keyed.status", "wave/" + std::to_string(WaveNumber));
    BOOST_REQUIRE(Wave);
    BOOST_TEST(json::parse(*Wave).at("state") == "completed");
  }

private:
  void runLoopFor(const duration Duration) {
    static_cast<void>(
        Loop.runUntil([] { return false; }, boot_clock::now() + Duration));
  }

  void publishConfig() {
    json Routes = json::array();
    json Services = json::array();
    for (const auto &Pool : Pools) {
      Routes.push_back({{"name", Pool},
                        {"host", CallersHost},
                        {"pathPrefix", "/" + Pool + "/"},
                        {"service", Pool},
                        {"maxAttempts", 4},
                        {"stretchFactor", 4},
                        {"sloMs", 4000}});
      Services.push_back({{"name", Pool}});
    }
    Services.push_back({{"name", "spare"}, {"standby", true}});
    Store.put("keyed.op", "config",
              json{{"version", 1}, {"routes", Routes}, {"services", Services}}
                  .dump());
  }

  void publishWave() {
    json Machines = json::array();
    for (std::size_t I = 0; I < VmsPerPool; ++I)
      Machines.push_back(Pools[I % 2] + "-" + std::to_string(I));
    Store.put("keyed.op", "wave/" + std::to_string(WaveNumber),
              json{{"wave", WaveNumber},
                   {"machines", Machines},
                   {"withinS", 15},
                   {"cap", WaveMaxUnavailable}}
                  .dump());
  }

  void addNode(const std::size_t Index) {
    soak_node Node;
    Node.Name = "node-" + std::to_string(Index);
    Node.Host = CallersHost;
    Node.CallersPort = freePort(Loop, Node.Host);
    Node.ReadinessPort = freePort(Loop, Node.Host);
    Node.PeersPort = freePort(Loop, Node.Host);
    const auto AddressOf = [&](const std::uint16_t Port) {
      return Node.Host + ":" + std::to_string(Port);
    };
    std::ofstream{Directory / (Node.Name + ".json")} << json{
        {"name", Node.Name},
        {"data_centre", "north"},
        {"callers", AddressOf(Node.CallersPort)},
        {"readiness", AddressOf(Node.ReadinessPort)},
        {"peers", {{"host", Node.Host}, {"port", Node.PeersPort}}},
        {"store", toString(Store.address())},
        {"vm_list", toString(Fleet.listAddress())},
        {"stop_deadline_s", 4},
        {"move_s", 0.5},
        {"maintenance_s", 0.5}}.dump();
    start(Node);
    Nodes.push_back(std::move(Node));
  }

  void start(soak_node &Node) {
    Node.ResumeAt = NoDeadline;
    Node.Process = std::make_unique<process>(
        std::vector<std::string>{GALENALINKD, "on-platform", "--settings",
                                 (Directory / (Node.Name + ".json")).string()},
        (Directory / (Node.Name + ".log")).string());
  }

  void resumeNodes() {
    const time_point Now = boot_clock::now();
    for (auto &Node : Nodes) {
      if (Node.Paused && Now >= Node.ResumeAt) {
        Node.Process->signal(SIGCONT);
        Node.Paused = false;
        Node.ResumeAt = NoDeadline;
      }
      if (Node.Paused || !Node.Process->ended())
        continue;
      if (Node.ResumeAt == NoDeadline)
        Node.ResumeAt = Now + 300 * Millisecond;
      else if (Now >= Node.ResumeAt)
        start(Node);
    }
    if (StoreRecoversAt != NoDeadline && Now >= StoreRecoversAt) {
      Store.setFault(store_fault::None);
      StoreRecoversAt = NoDeadline;
    }
  }

  std::uint64_t randomBelow(const std::uint64_t Below) {
    return std::uniform_int_distribution<std::uint64_t>{0, Below - 1}(Random);
  }

  void injectStoreFault(const store_fault Fault, const duration Duration) {
    Store.setFault(Fault);
    StoreRecoversAt = boot_clock::now() + Duration;
  }

  void injectFault() {
    ++FaultCount;
    soak_node &Node = Nodes[randomBelow(Nodes.size())];
    const std::size_t Vm = randomBelow(Fleet.size());
    switch (randomBelow(7)) {
    case 0:
      if (!Node.Paused)
        Node.Process->signal(SIGKILL);
      break;
    case 1:
      if (!Node.Paused)
        Node.Process->signal(SIGTERM);
      break;
    case 2:
      Node.Process->signal(SIGSTOP);
      Node.Paused = true;
      Node.ResumeAt = boot_clock::now() + 2200 * Millisecond;
      break;
    case 3:
      injectStoreFault(store_fault::Unresponsive, 800 * Millisecond);
      break;
    case 4:
      injectStoreFault(store_fault::DropsAppendResponses, 600 * Millisecond);
      break;
    case 5:
      Fleet.crashVm(Vm);
      break;
    default:
      Fleet.partitionVm(Vm, 1500 * Millisecond);
      break;
    }
  }

  void submitNewJob() {
    char Id[17];
    std::snprintf(Id, sizeof(Id), "%016llx",
                  static_cast<unsigned long long>(Random()));
    soak_job &Job = Jobs[Id];
    Job.Id = Id;
    Job.Queue = Pools[randomBelow(Pools.size())];
    json Steps = json::array();
    Steps.push_back({{"count", 1 + randomBelow(3)},
                     {"cpu", 2000},
                     {"memMb", 100},
                     {"estimateMs", 300}});
    if (randomBelow(2) == 0)
      Steps.push_back({{"count", 2},
                       {"cpu", 1000},
                       {"memMb", 100},
                       {"estimateMs", 300},
                       {"dependsOn", {0}}});
    Job.Body = json{
        {"spec", std::to_string(100 + randomBelow(600))},
        {"steps",
         Steps}}.dump();
    submit(Job.Id);
  }

  http::request requestFor(const soak_job &Job, const http::method Method) {
    http::request Request;
    Request.Method = Method;
    Request.Path = "/" + Job.Queue + "/" + Job.Id;
    Request.Headers = {{"X-Deadline-Ms", "2800"}};
    return Request;
  }

  http::address randomNodeAddress() {
    const soak_node &Node = Nodes[randomBelow(Nodes.size())];
    return {Node.Host, Node.CallersPort};
  }

  void submit(const std::string &Id) {
    soak_job &Job = Jobs.at(Id);
    ++Job.Tries;
    http::request Request = requestFor(Job, http::method::Post);
    Request.Body = Job.Body;
    Client.send(randomNodeAddress(), std::move(Request),
                boot_clock::now() + ClientTimeout,
                [this, Id](const http::answer &Answer) {
                  onSubmitResponse(Jobs.at(Id), Answer);
                });
  }

  void onSubmitResponse(soak_job &Job, const http::answer &Answer) {
    const auto *Response = std::get_if<http::response>(&Answer);
    const int Status = Response == nullptr ? 0 : Response->Status;
    if (Status == 200) {
      Job.Outcome = job_outcome::Accepted;
      schedule(Second, [this, Id = Job.Id] { query(Id); });
      return;
    }
    const auto *Failure = std::get_if<http::failure>(&Answer);
    const bool NotSent =
        Failure != nullptr && Failure->Delivery == http::delivery::NotSent;
    Job.Unconfirmed =
        Job.Unconfirmed || (Status != 503 && Status != 429 && !NotSent);
    if (Job.Tries >= MaxTries) {
      Job.Outcome =
          Job.Unconfirmed ? job_outcome::Unknown : job_outcome::Refused;
      return;
    }
    schedule(RetryDelay, [this, Id = Job.Id] { submit(Id); });
  }

  void query(const std::string &Id) {
    Client.send(randomNodeAddress(), requestFor(Jobs.at(Id), http::method::Get),
                boot_clock::now() + ClientTimeout,
                [this, Id](const http::answer &Answer) {
                  const auto *Response = std::get_if<http::response>(&Answer);
                  if (Response != nullptr && Response->Status == 200 &&
                      json::parse(Response->Body).at("state") == "completed")
                    Jobs.at(Id).Completed = true;
                  else
                    schedule(RetryDelay, [this, Id] { query(Id); });
                });
  }

  void schedule(const duration Delay, std::function<void()> Call) {
    std::erase_if(Timers,
                  [](const http::timer &Each) { return !Each.pending(); });
    Timers.push_back(Loop.at(boot_clock::now() + Delay, std::move(Call)));
  }

  bool allJobsSettled() {
    return std::ranges::all_of(Jobs, [](const auto &Each) {
      const soak_job &Job = Each.second;
      return Job.Outcome == job_outcome::Accepted
                 ? Job.Completed
                 : Job.Outcome != job_outcome::Open;
    });
  }

  std::mt19937_64 Random;
  http::loop Loop;
  store_standin Store;
  fleet_standin Fleet;
  http::client Client;
  std::filesystem::path Directory;
  std::vector<soak_node> Nodes;
  std::map<std::string, soak_job> Jobs;
  std::vector<http::timer> Timers;
  http::timer SubmitTimer;
  http::timer WatchTimer;
  http::timer FaultTimer;
  time_point StoreRecoversAt{NoDeadline};
  std::size_t FaultCount{0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(randomized_faults)

// Guards against lost, duplicated and unreported work while nodes, VMs and the
// store fail at random: each accepted job must complete, no task may run twice
// at the same time or after it is done, and no refused job may be started.
BOOST_AUTO_TEST_CASE(accepted_jobs_complete_once) {
  const std::uint64_t Seed = environmentNumber("SOAK_SEED", 1);
  BOOST_TEST_MESSAGE("seed " << Seed);
  soak_run Soak{Seed};
  Soak.run(environmentNumber("SOAK_SECONDS", 20) * Second);
  Soak.verify();
}

BOOST_AUTO_TEST_SUITE_END()
