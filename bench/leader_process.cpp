// Processor time of a leading node under the load of a large site: real nodes,
// a stand-in of the platform with 350 VMs in five pools, and about 50,000 task
// starts a minute. Arguments: seconds of load (20), jobs a second (65), VMs in
// each pool (70), services in each pool (20). LEADER_PROCESS_LOGS names a
// folder that keeps the nodes' logs; LEADER_PROCESS_PROFILE=1 prints the
// leader's process id and waits 3 s longer before the load, for a profiler to
// attach.

#include "galenalink/http/client.hpp"
#include "soak/fleet_standin.hpp"
#include "soak/store_standin.hpp"
#include "system/process.hpp"
#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sys/resource.h>

using namespace galenalink;
using namespace galenalink::soak;
using nlohmann::json;
using system_test::process;

namespace {

constexpr duration Millisecond = std::chrono::milliseconds{1};
constexpr duration Second = std::chrono::seconds{1};
constexpr std::size_t NodeCount = 3;
constexpr std::uint32_t TasksPerJob = 13;
constexpr std::size_t MaxAttempts = 4;
constexpr int TaskMs = 700;
constexpr std::uint32_t TasksPerService = 24;
/** The stand-in reports tasks of this duration as serving. */
constexpr int ServiceMs = 3600000;
const std::string Host = "127.0.0.1";
const std::array<std::string, 5> Pools{"proofs", "types", "flyers", "post",
                                       "ledgers"};

std::uint16_t freePort(http::loop &Loop) {
  http::server Probe{Loop, {}, [](http::exchange) {}};
  return tryOr([&]() -> result<std::uint16_t> { return Probe.listen(Host, 0); },
               [](const error &) { return std::uint16_t{0}; });
}

/** @return User and system time of the process, s. */
double processorSeconds(const pid_t Id) {
  std::ifstream File{"/proc/" + std::to_string(Id) + "/stat"};
  std::string Text{std::istreambuf_iterator<char>{File}, {}};
  const auto End = Text.rfind(')');
  if (End == std::string::npos)
    return 0;
  std::istringstream Fields{Text.substr(End + 2)};
  std::string Skipped;
  for (int I = 0; I < 11; ++I)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

struct load_node {
  std::string Name;
  std::uint16_t CallersPort{0};
  std::unique_ptr<process> Process;
};

class load_run {
public:
  explicit load_run(const std::size_t VmsPerPool)
      : Store{Loop}, Fleet{Loop, Store, 1}, Client{Loop, clientOptions()},
        Directory{logDirectory()} {
    std::filesystem::create_directories(Directory);
    publishConfig();
    for (std::size_t I = 0; I < VmsPerPool; ++I) {
      for (const auto &Pool : Pools)
        Fleet.addVm(Pool + "-" + std::to_string(I), Pool, false);
    }
    for (std::size_t I = 0; I < NodeCount; ++I)
      addNode(I);
  }
  load_run(const load_run &) = delete;
  load_run &operator=(const load_run &) = delete;
  ~load_run() {
    for (auto &Node : Nodes)
      Node.Process->kill();
    if (std::getenv("LEADER_PROCESS_LOGS") == nullptr)
      std::filesystem::remove_all(Directory);
  }

  void run(const duration Time, const double JobsPerSecond,
           const std::size_t Services) {
    const bool Profile = std::getenv("LEADER_PROCESS_PROFILE") != nullptr;
    runLoopFor(3 * Second);
    for (std::size_t I = 0; I < Services * Pools.size(); ++I)
      submit({{"count", TasksPerService},
              {"cpu", 500},
              {"memMb", 100},
              {"longRunning", true},
              {"antiAffinity", 1},
              {"mayMiss", 4}},
             ServiceMs);
    runLoopFor(3 * Second);
    const auto Idle = usage(2 * Second);
    if (Profile) {
      const auto Busiest = std::ranges::max_element(Idle);
      const auto Index = static_cast<std::size_t>(Busiest - Idle.begin());
      std::printf("leader: process %d\n", Nodes[Index].Process->id());
      std::fflush(stdout);
      runLoopFor(3 * Second);
    }
    const duration Interval{static_cast<std::int64_t>(1e6 / JobsPerSecond)};
    NextJobAt = boot_clock::now();
    SubmitTimer = Loop.every(5 * Millisecond, [this, Interval] {
      for (; NextJobAt <= boot_clock::now(); NextJobAt += Interval)
        submit({{"count", TasksPerJob},
                {"cpu", 1000},
                {"memMb", 100},
                {"estimateMs", TaskMs}},
               TaskMs);
    });
    runLoopFor(3 * Second);
    const auto StartsBefore = Fleet.History.starts();
    const auto Loaded = usage(Time);
    const auto Starts = Fleet.History.starts() - StartsBefore;
    SubmitTimer.cancel();
    report(Time, Idle, Loaded, Starts);
  }

private:
  static http::client_options clientOptions() {
    http::client_options Options;
    Options.MaxConnections = 64;
    return Options;
  }
  static std::filesystem::path logDirectory() {
    if (const char *Kept = std::getenv("LEADER_PROCESS_LOGS"))
      return Kept;
    return std::filesystem::temp_directory_path() /
           ("galenalink-leader-" + std::to_string(::getpid()));
  }

  void runLoopFor(const duration Time) {
    static_cast<void>(
        Loop.runUntil([] { return false; }, boot_clock::now() + Time));
  }

  /** @return Share of a core of each node over the given time. */
  std::vector<double> usage(const duration Time) {
    std::vector<double> Shares;
    for (const auto &Node : Nodes)
      Shares.push_back(processorSeconds(Node.Process->id()));
    const auto From = boot_clock::now();
    runLoopFor(Time);
    const std::chrono::duration<double> Elapsed = boot_clock::now() - From;
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      Shares[I] = (processorSeconds(Nodes[I].Process->id()) - Shares[I]) /
                  Elapsed.count();
    return Shares;
  }

  void report(const duration Time, const std::vector<double> &Idle,
              const std::vector<double> &Loaded, const std::uint64_t Starts) {
    const double Seconds = std::chrono::duration<double>(Time).count();
    const double Share = std::ranges::max(Loaded);
    const double StartsPerSecond = static_cast<double>(Starts) / Seconds;
    std::ranges::sort(ReplyMs);
    const auto Quantile = [this](const double Part) {
      return ReplyMs.empty()
                 ? 0
                 : ReplyMs[static_cast<std::size_t>(
                       Part * static_cast<double>(ReplyMs.size() - 1))];
    };
    std::printf("VMs %zu, task starts a second %.0f, jobs accepted %zu, "
                "refused %zu, without a reply %zu\n",
                Fleet.size(), StartsPerSecond, Accepted, Refused, Failed);
    std::printf("reply to a submission, ms: median %.1f, 99 of 100 %.1f\n",
                Quantile(0.5), Quantile(0.99));
    std::printf("leader: %.4f of a core idle, %.4f under load, %.1f us for "
                "each task\n",
                std::ranges::max(Idle), Share,
                StartsPerSecond > 0 ? Share * 1e6 / StartsPerSecond : 0);
    for (const auto &Each : Fleet.History.violations(MaxAttempts))
      std::printf("VIOLATION %s\n", Each.c_str());
  }

  void publishConfig() {
    json Routes = json::array();
    json Services = json::array();
    for (const auto &Pool : Pools) {
      Routes.push_back({{"name", Pool},
                        {"host", Host},
                        {"pathPrefix", "/" + Pool + "/"},
                        {"service", Pool},
                        {"maxAttempts", MaxAttempts},
                        {"stretchFactor", 1.6},
                        {"sloMs", 600}});
      Services.push_back({{"name", Pool}});
    }
    Store.put("keyed.op", "config",
              json{{"version", 1}, {"routes", Routes}, {"services", Services}}
                  .dump());
  }

  void addNode(const std::size_t Index) {
    load_node Node;
    Node.Name = "node-" + std::to_string(Index);
    Node.CallersPort = freePort(Loop);
    const auto ReadinessPort = freePort(Loop);
    const auto PeersPort = freePort(Loop);
    const auto AddressOf = [](const std::uint16_t Port) {
      return Host + ":" + std::to_string(Port);
    };
    const auto File = Directory / (Node.Name + ".json");
    std::ofstream{File} << json{
        {"name", Node.Name},
        {"data_centre", "north"},
        {"callers", AddressOf(Node.CallersPort)},
        {"readiness", AddressOf(ReadinessPort)},
        {"peers", {{"host", Host}, {"port", PeersPort}}},
        {"store", toString(Store.address())},
        {"vm_list", toString(Fleet.listAddress())},
        {"stop_deadline_s", 4},
        {"log",
         {{"level", "info"},
          {"format", "json"}}}}.dump();
    Node.Process = std::make_unique<process>(
        std::vector<std::string>{GALENALINKD, "on-platform", "--settings",
                                 File.string()},
        (Directory / (Node.Name + ".log")).string());
    Nodes.push_back(std::move(Node));
  }

  void submit(const json &Step, const int Ms) {
    const std::string &Pool = Pools[Submitted % Pools.size()];
    char Id[17];
    std::snprintf(Id, sizeof(Id), "%016llx",
                  static_cast<unsigned long long>(Random()));
    http::request Request;
    Request.Method = http::method::Post;
    Request.Path = "/" + Pool + "/" + Id;
    Request.Headers = {{"X-Deadline-Ms", "2800"}};
    json Steps = json::array();
    Steps.push_back(Step);
    Request.Body = json{{"spec", std::to_string(Ms)}, {"steps", Steps}}.dump();
    const auto &Node = Nodes[Submitted++ % Nodes.size()];
    Client.send(
        {Host, Node.CallersPort}, std::move(Request),
        boot_clock::now() + 3 * Second,
        [this, From = boot_clock::now()](const http::answer &Answer) {
          const auto *Response = std::get_if<http::response>(&Answer);
          const int Status = Response == nullptr ? 0 : Response->Status;
          const std::chrono::duration<double, std::milli> Took =
              boot_clock::now() - From;
          ReplyMs.push_back(Took.count());
          ++(Status == 200 ? Accepted : Status == 429 ? Refused : Failed);
        });
  }

  std::mt19937_64 Random{1};
  http::loop Loop;
  store_standin Store;
  fleet_standin Fleet;
  http::client Client;
  std::filesystem::path Directory;
  std::vector<load_node> Nodes;
  http::timer SubmitTimer;
  time_point NextJobAt;
  std::size_t Submitted{0};
  std::size_t Accepted{0};
  std::size_t Refused{0};
  std::size_t Failed{0};
  std::vector<double> ReplyMs;
};

} // namespace

int main(const int Argc, const char *const *Argv) {
  const auto Argument = [&](const int Index, const double Default) {
    return Argc > Index ? std::strtod(Argv[Index], nullptr) : Default;
  };
  rlimit Files{};
  getrlimit(RLIMIT_NOFILE, &Files);
  Files.rlim_cur = Files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Files);
  load_run Run{static_cast<std::size_t>(Argument(3, 70))};
  Run.run(std::chrono::seconds{static_cast<std::int64_t>(Argument(1, 20))},
          Argument(2, 65), static_cast<std::size_t>(Argument(4, 20)));
  return 0;
}
