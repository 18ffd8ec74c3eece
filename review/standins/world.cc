#include "world.hh"
#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <iostream>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using galenalink::boot_clock;

namespace {

/** @return A free port below those of outgoing connections, so that a node can
 * be started again with it. */
std::uint16_t freePort() {
  static std::uint16_t Next =
      static_cast<std::uint16_t>(20000 + ::getpid() * 37 % 9000);
  while (true) {
    if (++Next > 31000)
      Next = 20000;
    const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(Next);
    const bool Free = ::bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                             sizeof(Address)) == 0;
    ::close(Socket);
    if (Free)
      return Next;
  }
}

std::string local(const std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

duration seconds(const double Value) {
  return duration{static_cast<std::int64_t>(Value * 1e6)};
}

} // namespace

world::world(const std::string &RecordPath, const std::string &Directory)
    : Trouble{std::string{std::getenv("TROUBLE") ? std::getenv("TROUBLE")
                                                 : "1"} != "0"},
      Record{RecordPath}, Store{Loop}, Fleet{Loop, Store, Record},
      Client{Loop, {}}, Directory{Directory} {
  Record.line(Trouble ? "with the disruption" : "without the disruption");
}

world::~world() {
  for (auto &Each : Nodes)
    Each.Process->kill();
}

void world::publish(const std::vector<std::string> &Queues,
                    const int MaxAttempts, const int SloMs) {
  json Routes = json::array();
  json Services = json::array();
  for (const auto &Queue : Queues) {
    Routes.push_back({{"name", "r-" + Queue},
                      {"host", "127.0.0.1"},
                      {"pathPrefix", "/" + Queue + "/"},
                      {"service", Queue},
                      {"priority", 0},
                      {"maxAttempts", MaxAttempts},
                      {"stretchFactor", 1.6},
                      {"sloMs", SloMs},
                      {"timeoutMs", 3000}});
    Services.push_back({{"name", Queue}, {"admissionCheck", false}});
  }
  Store.put("keyed.op", "config",
            json{{"version", ++Version},
                 {"routes", Routes},
                 {"services", Services},
                 {"limits", json::object()}}
                .dump());
  Record.line("operator writes configuration " + std::to_string(Version));
}

void world::startNodes(const std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I) {
    node Node;
    Node.Name = "front-" + std::to_string(I + 1);
    Node.CallersPort = freePort();
    Node.ReadyPort = freePort();
    Node.PeersPort = freePort();
    // deploy/settings.json, filled in with the figures of the pages.
    const json Settings{
        {"name", Node.Name},
        {"data_centre", "mill-lane"},
        {"callers", local(Node.CallersPort)},
        {"readiness", local(Node.ReadyPort)},
        {"peers", {{"host", "127.0.0.1"}, {"port", Node.PeersPort}}},
        {"store", toString(Store.address())},
        {"vm_list", toString(Fleet.listAddress())},
        {"advice", ""},
        {"max_lease_ms", 6000},
        {"stop_deadline_s", 6.0},
        {"processor_share", 0.25},
        {"processor_speed", 1},
        {"max_descriptors", 4100},
        {"link_mbit", 1000.0},
        {"move_s", 1.5},
        {"maintenance_s", 2},
        {"holder_pause_ms", 3000},
        {"log", {{"level", "info"}, {"format", "json"}}}};
    std::ofstream{Directory + "/" + Node.Name + ".json"} << Settings.dump();
    Nodes.push_back(std::move(Node));
    startNode(I);
  }
}

void world::startNode(const std::size_t Index) {
  node &Node = Nodes[Index];
  ::setenv("GALENALINK_SETTINGS",
           (Directory + "/" + Node.Name + ".json").c_str(), 1);
  Node.Process = std::make_unique<galenalink::system_test::process>(
      std::vector<std::string>{"target/apps/galenalinkd", "on-platform"},
      Directory + "/" + Node.Name + ".log");
  Record.line("node " + Node.Name + " starts");
}

bool world::awaitReady(const double Seconds) {
  const time_point Deadline = boot_clock::now() + seconds(Seconds);
  while (boot_clock::now() < Deadline) {
    Ready = 0;
    for (const auto &Each : Nodes) {
      http::request Request;
      Request.Path = "/ready";
      Client.send(
          {"127.0.0.1", Each.ReadyPort}, std::move(Request),
          boot_clock::now() + seconds(0.5), [this](const http::answer &Answer) {
            const auto *Response = std::get_if<http::response>(&Answer);
            Ready += Response != nullptr && Response->Status == 200 ? 1 : 0;
          });
    }
    pass(0.3);
    if (Ready == Nodes.size()) {
      Record.line("all nodes are ready");
      return true;
    }
  }
  return false;
}

void world::pass(const double Seconds) {
  static_cast<void>(Loop.runUntil([] { return false; },
                                  boot_clock::now() + seconds(Seconds)));
}

bool world::await(const std::function<bool()> &Condition,
                  const double Seconds) {
  const time_point Deadline = boot_clock::now() + seconds(Seconds);
  while (boot_clock::now() < Deadline) {
    if (Condition())
      return true;
    pass(0.02);
  }
  return Condition();
}

void world::send(const http::method Method, const client_job &Job,
                 answer_function Answered) {
  // The platform forwards to any node that runs.
  for (std::size_t I = 0; I < Nodes.size(); ++I) {
    NextNode = (NextNode + 1) % Nodes.size();
    if (!Nodes[NextNode].Process->ended())
      break;
  }
  http::request Request;
  Request.Method = Method;
  Request.Path = "/" + Job.Queue + "/" + Job.Id;
  Record.line(std::string{Method == http::method::Post     ? "POST"
                          : Method == http::method::Delete ? "DELETE"
                                                           : "GET"} +
              " of " + Job.Id + " sent to " + Nodes[NextNode].Name);
  Request.Headers = {{"X-Deadline-Ms", "3000"}};
  if (Method == http::method::Post) {
    Request.Headers.push_back({"Content-Type", "application/json"});
    Request.Body = Job.Body;
  }
  Client.send({"127.0.0.1", Nodes[NextNode].CallersPort}, std::move(Request),
              boot_clock::now() + seconds(3),
              [Answered = std::move(Answered)](const http::answer &Answer) {
                const auto *Response = std::get_if<http::response>(&Answer);
                Answered(Response == nullptr ? 0 : Response->Status,
                         Response == nullptr ? "" : Response->Body);
              });
}

client_job &world::submit(const std::string &Queue, const std::string &Body) {
  auto &Job = *Jobs.emplace_back(std::make_unique<client_job>());
  char Id[17];
  std::snprintf(Id, sizeof(Id), "%08x%08zx",
                static_cast<unsigned>(::getpid()) * 2654435761U, ++NextJob);
  Job.Id = Id;
  Job.Queue = Queue;
  Job.Body = Body;
  post(Job);
  return Job;
}

void world::post(client_job &Job) {
  ++Job.Tries;
  send(http::method::Post, Job,
       [this, &Job](const int Status, const std::string &) {
         Record.line("POST of " + Job.Id + " answered " +
                     std::to_string(Status));
         if (Status == 200) {
           Job.Accepted = true;
           Job.AcceptedAt = Record.seconds();
           if (OnAccepted)
             OnAccepted(Job);
         } else if ((Status == 0 || Status == 502 || Status == 504) &&
                    Job.Tries < 5) {
           Timers.push_back(Loop.at(boot_clock::now() + seconds(0.3),
                                    [this, &Job] { post(Job); }));
         } else {
           ++Refused;
         }
       });
}

void world::cancel(client_job &Job) {
  send(http::method::Delete, Job,
       [this, &Job](const int Status, const std::string &) {
         Record.line("DELETE of " + Job.Id + " answered " +
                     std::to_string(Status));
         if (Status == 200 || Status == 410) {
           Job.Cancelled = true;
           Job.CancelAckedAt = Record.seconds();
         } else {
           Timers.push_back(Loop.at(boot_clock::now() + seconds(0.3),
                                    [this, &Job] { cancel(Job); }));
         }
       });
}

void world::query(client_job &Job) {
  send(http::method::Get, Job,
       [this, &Job](const int Status, const std::string &Body) {
         const json Answer = json::parse(Body, nullptr, false);
         Job.State = Status == 200 && Answer.is_object()
                         ? Answer.value("state", "")
                         : std::to_string(Status);
         Record.line("GET of " + Job.Id + " answered " +
                     std::to_string(Status) + " " + Job.State);
       });
}

std::vector<std::string> world::twice() const {
  std::map<std::string, std::vector<const run_record *>> ByTask;
  for (const auto &Each : Fleet.runs())
    ByTask[Each.Task].push_back(&Each);
  std::vector<std::string> Broken;
  for (const auto &[Task, Runs] : ByTask) {
    for (std::size_t I = 0; I < Runs.size(); ++I) {
      for (std::size_t J = I + 1; J < Runs.size(); ++J) {
        const run_record &First = *Runs[I];
        const run_record &Second = *Runs[J];
        const bool Overlap =
            First.EndedAt < 0 || First.EndedAt > Second.StartedAt;
        const bool AfterDone = First.How == "done" && First.Noted &&
                               First.EndedAt <= Second.StartedAt;
        if (!Overlap && !AfterDone)
          continue;
        char Text[300];
        std::snprintf(
            Text, sizeof(Text),
            "TWICE: %s: run %llu on %s from %.3f s to %.3f s (%s), run "
            "%llu on %s from %.3f s to %.3f s: %s",
            Task.c_str(), static_cast<unsigned long long>(First.Number),
            First.Executor.c_str(), First.StartedAt, First.EndedAt,
            First.How.c_str(), static_cast<unsigned long long>(Second.Number),
            Second.Executor.c_str(), Second.StartedAt, Second.EndedAt,
            Overlap ? "at the same time"
                    : "started after a run had ended done, which was "
                      "taken note of");
        Broken.emplace_back(Text);
      }
    }
  }
  return Broken;
}

int world::verdict(const std::vector<std::string> &Broken) {
  for (const auto &Each : Broken)
    Record.line(Each);
  for (std::size_t I = 0; I < Broken.size() && I < 3; ++I)
    std::cout << Broken[I] << "\n";
  const std::string Summary =
      Broken.empty()
          ? "the rule held"
          : "the rule was broken " + std::to_string(Broken.size()) + " times";
  Record.line(Summary);
  std::cout << Summary << std::endl;
  return Broken.empty() ? 0 : 1;
}

} // namespace review
