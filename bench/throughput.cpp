// Compares galenalinkd with a minimal evhttp proxy that forwards each request
// with one client hop. Both run on the same core, with the same caller and the
// same backend server process. Rows with a target end in PASS or FAIL; the exit
// status is 1 if any row failed and 2 if the node does not serve requests.
#include "child_process.hpp"
#include "galenalink/http/client.hpp"
#include "galenalink/http/loop.hpp"
#include "galenalink/http/server.hpp"
#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace {

using namespace galenalink;
using bench::child_process;
using std::chrono::milliseconds;

constexpr int CallerCore = 0;
/** The node and the baseline are measured alternately on this core. */
constexpr int SubjectCore = 1;
constexpr int BackendServerCore = 2;

constexpr std::size_t Vms = 16;
constexpr std::size_t Connections = 64;
constexpr int Rounds = 7;
constexpr duration WarmUp = milliseconds{300};
constexpr duration RoundDuration = milliseconds{1000};
constexpr std::size_t LatencyRequests = 300;
constexpr duration LatencyGap = milliseconds{1};

bool AllPassed = true;

void printCheck(const char *Name, const double Value, const char *Target,
                const bool Passed) {
  std::printf("%-66s %10.3f  %-8s %s\n", Name, Value, Target,
              Passed ? "PASS" : "FAIL");
  AllPassed = AllPassed && Passed;
}

void printValue(const char *Name, const double Value) {
  std::printf("%-66s %10.3f\n", Name, Value);
}

double median(std::vector<double> Values) {
  std::ranges::sort(Values);
  return Values[Values.size() / 2];
}

http::address loopbackAddress(const std::uint16_t Port) {
  return {"127.0.0.1", Port};
}

/** @brief Runs the baseline, which forwards requests to the VMs round-robin. */
void serveBaseline(const std::vector<std::uint16_t> &Ports) {
  http::loop Loop;
  Loop.onSignal(SIGTERM, [&] { Loop.stop(); });
  http::client Client{Loop, {}};
  std::size_t Next = 0;
  http::server Server{
      Loop, {}, [&](http::exchange Received) {
        http::request Request;
        Request.Method = http::method::Post;
        Request.Path = "/run";
        Request.Headers = {
            {"Idempotency-Key",
             std::string{Received.header("Idempotency-Key").value_or("")}}};
        Request.Body = Received.body();
        const auto Shared =
            std::make_shared<http::exchange>(std::move(Received));
        Client.send(
            loopbackAddress(Ports[Next++ % Ports.size()]), std::move(Request),
            boot_clock::now() + std::chrono::seconds{10},
            [Shared](const http::answer &Result) {
              const auto *Response = std::get_if<http::response>(&Result);
              if (Response == nullptr)
                Shared->reply(502, {}, {});
              else
                Shared->reply(Response->Status, {}, Response->Body);
            });
      }};
  const auto Port = tryOr([&] { return Server.listen("127.0.0.1", 0); },
                          [](const error &) { return std::uint16_t{0}; });
  std::printf("baseline %u\n", static_cast<unsigned>(Port));
  std::fflush(stdout);
  Loop.run();
}

/** @return Ports that were free at the time of the call. */
std::vector<std::uint16_t> findFreePorts(http::loop &Loop,
                                         const std::size_t Count) {
  std::vector<std::unique_ptr<http::server>> Servers;
  std::vector<std::uint16_t> Ports;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Servers.push_back(std::make_unique<http::server>(
        Loop, http::server_options{}, [](http::exchange) {}));
    Ports.push_back(
        tryOr([&] { return Servers.back()->listen("127.0.0.1", 0); },
              [](const error &) { return std::uint16_t{0}; }));
  }
  return Ports;
}

std::string makeSettings(const std::vector<std::uint16_t> &Own,
                         const std::vector<std::uint16_t> &VmPorts) {
  nlohmann::json VmList = nlohmann::json::array();
  for (std::size_t Index = 0; Index < VmPorts.size(); ++Index) {
    const std::string Name = "vm-" + std::to_string(Index + 1);
    VmList.push_back({{"vm", Name},
                      {"member", "halloran"},
                      {"place", "county-a"},
                      {"rack", "rack-" + Name},
                      {"address", toString(loopbackAddress(VmPorts[Index]))},
                      {"pool", "typesetting"}});
  }
  const auto Listener = [&](const std::size_t Index) {
    return nlohmann::json{{"host", "127.0.0.1"}, {"port", Own[Index]}};
  };
  // The shortest permitted retention keeps the ledger from filling up.
  return nlohmann::json{{"name", "entry-1"},
                        {"place", "county-a"},
                        {"member", "halloran"},
                        {"callers", Listener(0)},
                        {"operators", Listener(1)},
                        {"peers", Listener(2)},
                        {"platform", {{"kind", "embedded"}, {"vms", VmList}}},
                        {"durability_replicas", 0},
                        {"key_retention_s", 10}}
      .dump();
}

constexpr const char *ServiceFile = R"({"member": "halloran",
  "pools": [{"name": "typesetting", "shards": 4, "min_up": 1}],
  "services": [{"name": "newsletters", "pool": "typesetting",
    "queues": [{"name": "proof", "kind": "short", "idempotent": false,
                "expected_run_ms": 1, "timeout_ms": 10000}]}]})";

/** @brief Responses of one subject in one measurement. */
struct sample {
  std::size_t Complete{0};
  std::size_t Incomplete{0};
  std::vector<double> LatenciesUs;
};

/** @brief Sends requests, each with a new idempotency key. */
class caller {
public:
  explicit caller(http::loop &Loop)
      : Loop{Loop}, Client{Loop, {.MaxConnections = Connections}} {}

  /** @brief Keeps a number of requests in flight for a duration. */
  sample sendConcurrently(const http::address &To, const std::size_t InProgress,
                          const duration Time) {
    Sample = {};
    const time_point End = boot_clock::now() + Time;
    for (std::size_t Index = 0; Index < InProgress; ++Index)
      sendRepeatedly(To, End);
    static_cast<void>(Loop.runUntil([&] { return InFlight == 0; },
                                    End + std::chrono::seconds{15}));
    return std::move(Sample);
  }

  /** @brief Sends one request at a time, with a gap between them. */
  sample sendSequentially(const http::address &To, const std::size_t Count) {
    Sample = {};
    for (std::size_t Index = 0; Index < Count; ++Index) {
      sendRepeatedly(To, NoDeadline);
      static_cast<void>(
          Loop.runUntil([&] { return InFlight == 0; },
                        boot_clock::now() + std::chrono::seconds{15}));
      bool Elapsed = false;
      const auto Timer =
          Loop.at(boot_clock::now() + LatencyGap, [&] { Elapsed = true; });
      static_cast<void>(
          Loop.runUntil([&] { return Elapsed; },
                        boot_clock::now() + std::chrono::seconds{15}));
    }
    return std::move(Sample);
  }

  /** @return Status of the response; 0 without a response. */
  int requestStatus(const http::address &To, http::request Request) {
    std::optional<int> Status;
    const time_point Deadline = boot_clock::now() + std::chrono::seconds{10};
    Client.send(To, std::move(Request), Deadline,
                [&](const http::answer &Result) {
                  const auto *Response = std::get_if<http::response>(&Result);
                  Status = Response == nullptr ? 0 : Response->Status;
                });
    static_cast<void>(Loop.runUntil([&] { return Status.has_value(); },
                                    Deadline + std::chrono::seconds{1}));
    return Status.value_or(0);
  }

private:
  /** @brief Sends a request, and another after each response until `End`. */
  void sendRepeatedly(const http::address &To, const time_point End) {
    http::request Request;
    Request.Method = http::method::Post;
    Request.Path = "/v1/halloran/newsletters/proof";
    Request.Headers = {{"Idempotency-Key", "key-" + std::to_string(++Keys)}};
    Request.Body = "typeset and proof one page";
    const time_point Start = boot_clock::now();
    ++InFlight;
    Client.send(To, std::move(Request), Start + std::chrono::seconds{12},
                [this, To, Start, End](const http::answer &Result) {
                  const auto Time = boot_clock::now() - Start;
                  const auto *Response = std::get_if<http::response>(&Result);
                  --InFlight;
                  ++(Response != nullptr && Response->Status == 200
                         ? Sample.Complete
                         : Sample.Incomplete);
                  Sample.LatenciesUs.push_back(
                      static_cast<double>(Time.count()));
                  if (boot_clock::now() < End)
                    sendRepeatedly(To, End);
                });
  }

  http::loop &Loop;
  http::client Client;
  sample Sample;
  std::size_t InFlight{0};
  std::uint64_t Keys{0};
};

/** @brief A measured server with the measurements of all rounds. */
struct subject {
  http::address Address;
  child_process &Process;
  std::vector<double> RequestsPerSecond;
  /** CPU time per complete request, by round. */
  std::vector<double> CpuMicroseconds;
  /** Latencies of all requests at low load, in microseconds. */
  std::vector<double> Latencies;
  std::size_t Incomplete{0};
};

void measureLoad(caller &Caller, subject &Subject) {
  Subject.Incomplete +=
      Caller.sendConcurrently(Subject.Address, Connections, WarmUp).Incomplete;
  const double CpuBefore = Subject.Process.cpuSeconds();
  const time_point Start = boot_clock::now();
  const auto Sample =
      Caller.sendConcurrently(Subject.Address, Connections, RoundDuration);
  const std::chrono::duration<double> Time = boot_clock::now() - Start;
  const auto Complete = static_cast<double>(Sample.Complete);
  Subject.RequestsPerSecond.push_back(Complete / Time.count());
  Subject.CpuMicroseconds.push_back((Subject.Process.cpuSeconds() - CpuBefore) *
                                    1e6 / std::max(1.0, Complete));
  Subject.Incomplete += Sample.Incomplete;
}

void measureLatency(caller &Caller, subject &Subject) {
  const auto Sample = Caller.sendSequentially(Subject.Address, LatencyRequests);
  Subject.Latencies.insert(Subject.Latencies.end(), Sample.LatenciesUs.begin(),
                           Sample.LatenciesUs.end());
  Subject.Incomplete += Sample.Incomplete;
}

/**
 * @brief Publishes the service and waits until a request completes.
 * @return False if this takes longer than 30 s.
 */
bool publishService(caller &Caller, const http::address &Operators,
                    const http::address &Callers) {
  const nlohmann::json Change{
      {"base_version", 0},
      {"author", "bench"},
      {"documents", {{{"name", "newsletters.json"}, {"text", ServiceFile}}}}};
  http::request Publish;
  Publish.Method = http::method::Post;
  Publish.Path = "/v1/config";
  Publish.Body = Change.dump();
  const time_point Deadline = boot_clock::now() + std::chrono::seconds{30};
  while (Caller.requestStatus(Operators, Publish) != 200) {
    if (boot_clock::now() > Deadline)
      return false;
    usleep(100'000);
  }
  while (Caller.sendSequentially(Callers, 1).Complete == 0) {
    if (boot_clock::now() > Deadline)
      return false;
    usleep(100'000);
  }
  return true;
}

int compareSubjects(child_process &Node, child_process &Baseline,
                    const std::vector<std::uint16_t> &Ports) {
  http::loop Loop;
  caller Caller{Loop};
  if (!publishService(Caller, loopbackAddress(Ports[1]),
                      loopbackAddress(Ports[0]))) {
    std::fprintf(stderr,
                 "galenalinkd did not publish the service and complete a "
                 "request within 30 s\n");
    return 2;
  }
  subject NodeSubject{loopbackAddress(Ports[0]), Node, {}, {}, {}, 0};
  subject BaselineSubject{
      loopbackAddress(Baseline.readPort()), Baseline, {}, {}, {}, 0};
  std::vector<double> RateRatios;
  for (int Round = 0; Round < Rounds; ++Round) {
    measureLoad(Caller, NodeSubject);
    measureLoad(Caller, BaselineSubject);
    RateRatios.push_back(NodeSubject.RequestsPerSecond.back() /
                         BaselineSubject.RequestsPerSecond.back());
    measureLatency(Caller, NodeSubject);
    measureLatency(Caller, BaselineSubject);
  }
  const double Rate = median(RateRatios);
  const double Latency =
      median(NodeSubject.Latencies) / median(BaselineSubject.Latencies);
  const auto Incomplete =
      static_cast<double>(NodeSubject.Incomplete + BaselineSubject.Incomplete);
  printValue("galenalinkd: requests a second, 64 connections",
             median(NodeSubject.RequestsPerSecond));
  printValue("baseline: requests a second, 64 connections",
             median(BaselineSubject.RequestsPerSecond));
  printValue("galenalinkd: processor microseconds a request",
             median(NodeSubject.CpuMicroseconds));
  printValue("baseline: processor microseconds a request",
             median(BaselineSubject.CpuMicroseconds));
  printValue("galenalinkd: p50 at low load, microseconds",
             median(NodeSubject.Latencies));
  printValue("baseline: p50 at low load, microseconds",
             median(BaselineSubject.Latencies));
  printCheck("throughput: galenalinkd / baseline", Rate, ">= 0.6", Rate >= 0.6);
  printCheck("p50 at low load: galenalinkd / baseline", Latency, "<= 1.5",
             Latency <= 1.5);
  printCheck("throughput: responses that are not complete", Incomplete, "= 0",
             Incomplete == 0);
  return AllPassed ? 0 : 1;
}

} // namespace

int main() {
  std::vector<std::string> Command{STANDIN_EXECUTOR, "--slots", "64"};
  for (const char *Kind : {"vm-", "baseline-"})
    for (std::size_t Index = 1; Index <= Vms; ++Index) {
      Command.emplace_back("--vm");
      Command.push_back(Kind + std::to_string(Index));
    }
  // The subjects use different VMs of the same process: the epochs that the
  // node sets on its VMs would make requests of the baseline stale.
  child_process BackendServers{BackendServerCore, Command};
  std::vector<std::uint16_t> NodeVms;
  std::vector<std::uint16_t> BaselineVms;
  for (std::size_t Index = 0; Index < 2 * Vms; ++Index)
    (Index < Vms ? NodeVms : BaselineVms).push_back(BackendServers.readPort());
  child_process Baseline{SubjectCore, [&] { serveBaseline(BaselineVms); }};

  std::vector<std::uint16_t> Ports;
  {
    http::loop Loop;
    Ports = findFreePorts(Loop, 3);
  }
  const auto File = std::filesystem::temp_directory_path() /
                    ("galenalink-bench-" + std::to_string(getpid()) + ".json");
  std::ofstream{File} << makeSettings(Ports, NodeVms);
  int Status = 2;
  {
    child_process Node{
        SubjectCore,
        std::vector<std::string>{GALENALINKD, "--settings", File.string()}};
    bench::pinToCore(CallerCore);
    Status = compareSubjects(Node, Baseline, Ports);
  }
  std::filesystem::remove(File);
  return Status;
}
