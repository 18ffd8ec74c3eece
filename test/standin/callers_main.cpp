#include "standin/callers.hpp"
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace galenalink;

namespace {

/** @brief Parses `MEMBER/SERVICE/QUEUE,RUN_MS,PER_SECOND[,idempotent]`. */
std::optional<standin::traffic> parseTraffic(const std::string &Text) {
  std::istringstream Stream{Text};
  standin::traffic Traffic;
  char Comma = 0;
  std::getline(Stream, Traffic.Customer, '/');
  std::getline(Stream, Traffic.Service, '/');
  std::getline(Stream, Traffic.Queue, ',');
  Stream >> Traffic.RunMs >> Comma >> Traffic.PerSecond;
  if (!Stream || Comma != ',' || Traffic.PerSecond <= 0)
    return std::nullopt;
  std::string Rest;
  std::getline(Stream, Rest);
  Traffic.Idempotent = Rest == ",idempotent";
  return Rest.empty() || Traffic.Idempotent ? std::optional{Traffic}
                                            : std::nullopt;
}

/** @brief Adds the addresses; false if one is not valid. */
bool parseAddresses(const std::vector<std::string> &Texts,
                    std::vector<http::address> &Addresses) {
  for (const std::string &Text : Texts) {
    auto Address =
        tryOr([&] { return http::parseAddress(Text); },
              [](const error & /*Error*/) { return http::address{}; });
    if (Address.Port == 0)
      return false;
    Addresses.push_back(std::move(Address));
  }
  return true;
}

/** @brief Reads `GET /runs` of a VM; false if that fails. */
bool readRuns(http::loop &Loop, const http::address &Address,
              std::vector<standin::reported_run> &Runs) {
  // A report of many runs exceeds the usual limit of a body.
  http::client Client{Loop, {.MaxBodyBytes = 256U << 20U}};
  const time_point Deadline = boot_clock::now() + std::chrono::seconds{10};
  std::optional<http::answer> Answer;
  http::request Request;
  Request.Path = "/runs";
  Client.send(Address, std::move(Request), Deadline,
              [&](http::answer Received) { Answer = std::move(Received); });
  if (!Loop.runUntil([&] { return Answer.has_value(); }, Deadline))
    return false;
  const auto *Response = std::get_if<http::response>(&*Answer);
  if (Response == nullptr || Response->Status != 200)
    return false;
  const auto Json = nlohmann::json::parse(Response->Body, nullptr, false);
  if (!Json.is_object() || !Json.contains("runs"))
    return false;
  for (const auto &Run : Json["runs"])
    Runs.push_back({Run.value("key", ""), Run.value("started_ms", wall_ms{0}),
                    Run.value("outcome", "") == "complete"});
  return true;
}

} // namespace

int main(const int Count, char **Arguments) {
  CLI::App App{"Callers that send requests until SIGTERM, then compare their "
               "answers with the runs that the stand-in executors report"};
  std::vector<std::string> NodeTexts;
  std::vector<std::string> VmTexts;
  std::vector<std::string> TrafficTexts;
  std::string Label = "callers";
  std::int64_t DrainMs = 20000;
  App.add_option("--node", NodeTexts, "Callers' address of a node")->required();
  App.add_option("--executor", VmTexts, "Address of a VM's executor")
      ->required();
  App.add_option("--traffic", TrafficTexts,
                 "MEMBER/SERVICE/QUEUE,RUN_MS,PER_SECOND[,idempotent]")
      ->required();
  App.add_option("--label", Label, "First word of the last line");
  App.add_option("--drain-ms", DrainMs, "Time for open requests at the end");
  CLI11_PARSE(App, Count, Arguments);

  std::vector<http::address> Nodes;
  std::vector<http::address> Vms;
  std::vector<standin::traffic> Traffic;
  for (const std::string &Text : TrafficTexts)
    if (const auto Parsed = parseTraffic(Text))
      Traffic.push_back(*Parsed);
  if (!parseAddresses(NodeTexts, Nodes) || !parseAddresses(VmTexts, Vms) ||
      Traffic.size() != TrafficTexts.size()) {
    std::fprintf(stderr, "an address or a traffic option is not valid\n");
    return 2;
  }
  http::loop Loop;
  Loop.onSignal(SIGTERM, [&] { Loop.stop(); });
  standin::callers Callers{Loop, Nodes, Traffic};
  Callers.start();
  const auto Introduction =
      Loop.at(boot_clock::now() + std::chrono::seconds{1}, [&] {
        if (const auto Records = Callers.records(); !Records.empty())
          std::printf("callers: first request %s\n",
                      Records.front().Key.c_str());
        std::fflush(stdout);
      });
  const auto Reporter = Loop.every(std::chrono::seconds{5}, [&] {
    std::printf("callers: %s\n", Callers.progress().c_str());
    std::fflush(stdout);
  });
  Loop.run();
  Callers.stop();
  const bool Idle =
      Loop.runUntil([&] { return Callers.idle(); },
                    boot_clock::now() + std::chrono::milliseconds{DrainMs});
  std::printf("callers: %s%s\n", Callers.progress().c_str(),
              Idle ? "" : " at the end of the time to drain");
  std::vector<standin::reported_run> Runs;
  for (const http::address &Vm : Vms)
    if (!readRuns(Loop, Vm, Runs)) {
      std::fprintf(stderr, "the runs of %s can't be read\n",
                   toString(Vm).c_str());
      return 1;
    }
  const auto Verdict = standin::checkRuns(Callers.records(), Runs);
  std::printf("callers: %zu runs on %zu VMs; %zu idempotent requests ran more "
              "than once\n",
              Runs.size(), Vms.size(), Verdict.Repeated);
  std::printf("%s: %zu requests, %zu lost, %zu doubled, %zu wrong\n",
              Label.c_str(), Verdict.Requests, Verdict.Lost, Verdict.Doubled,
              Verdict.Wrong);
  return Verdict.good() ? 0 : 1;
}
