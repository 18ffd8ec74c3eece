#include "world.hh"
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

namespace review {

namespace {

// Each node has an address of its own, so all use the same ports.
std::string hostOf(const std::size_t Node) {
  const auto Process = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(1 + Process / 250 % 250) + "." +
         std::to_string(Process % 250) + "." + std::to_string(1 + Node);
}

} // namespace

world::world(const std::string &RecordFile, const std::size_t Count)
    : Record{RecordFile}, Store{Loop}, Fleet{Loop, Store, Record},
      Client{Loop, {}},
      Directory{std::filesystem::temp_directory_path() /
                ("galenalink-review-" + std::to_string(::getpid()))} {
  std::filesystem::create_directories(Directory);
  for (std::size_t I = 0; I < Count; ++I) {
    node Node;
    Node.Name = "front-" + std::to_string(I + 1);
    Node.Host = hostOf(I);
    const http::address Callers{Node.Host, 8624};
    Node.Callers = std::make_unique<soak::tcp_proxy>(Loop, Callers);
    Node.Store =
        std::make_unique<slow_link>(Loop, Store.address(), 1 + I);
    Node.Settings = Directory / (Node.Name + ".json");
    // The fields of deploy/settings.json with the figures of a small site.
    const json Settings{
        {"name", Node.Name},
        {"data_centre", "mill-lane"},
        {"callers", toString(Callers)},
        {"readiness", Node.Host + ":8622"},
        {"peers", {{"host", Node.Host}, {"port", 7060}}},
        {"store", toString(Node.Store->address())},
        {"vm_list", toString(Fleet.listAddress())},
        {"advice", ""},
        {"max_lease_ms", 6000},
        {"stop_ms", 400},
        {"stop_deadline_s", 6},
        {"processor_share", 0.25},
        {"processor_speed", 1},
        {"max_descriptors", 4100},
        {"link_mbit", 1000},
        {"move_s", 1.5},
        {"maintenance_s", 2},
        {"holder_pause_ms", 3000},
        {"log", {{"level", "info"}, {"format", "json"}}}};
    std::ofstream{Node.Settings} << Settings.dump();
    Nodes.push_back(std::move(Node));
  }
  for (node &Each : Nodes)
    start(Each);
  Watch = Loop.every(20 * Ms, [this] {
    for (node &Each : Nodes) {
      if (Each.StartAt != NoDeadline && boot_clock::now() >= Each.StartAt)
        start(Each);
    }
  });
}

world::~world() {
  for (node &Each : Nodes) {
    if (Each.Process)
      Each.Process->kill();
  }
  if (const char *Keep = std::getenv("KEEP_LOGS")) {
    for (const node &Each : Nodes) {
      std::error_code Ignored;
      std::filesystem::copy_file(
          Directory / (Each.Name + ".log"),
          std::filesystem::path{Keep} / (Each.Name + ".log"),
          std::filesystem::copy_options::overwrite_existing, Ignored);
    }
  }
  std::filesystem::remove_all(Directory);
}

void world::start(node &Node) {
  Node.StartAt = NoDeadline;
  Node.MayEnd = false;
  // The command of the deploy file, with its variable.
  setenv("GALENALINK_SETTINGS", Node.Settings.c_str(), 1);
  Node.Process = std::make_unique<galenalink::system_test::process>(
      std::vector<std::string>{"target/apps/galenalinkd", "on-platform"},
      (Directory / (Node.Name + ".log")).string());
  Record.line("node " + Node.Name + " is started");
}

void world::restart(const std::size_t Node, const duration Down,
                    const int Signal) {
  node &Each = Nodes.at(Node);
  Each.MayEnd = true;
  Each.Process->signal(Signal);
  Each.StartAt = boot_clock::now() + Down;
  Record.line("node " + Each.Name + " gets signal " + std::to_string(Signal));
}

void world::checkProcesses() {
  for (node &Each : Nodes) {
    if (!Each.MayEnd && Each.Process->ended())
      Record.broken("a process ended by itself: " + Each.Name);
  }
}

void world::publishConfig(const json &Queues, const json &Services) {
  json Routes = json::array();
  for (const auto &Each : Queues) {
    json Route{{"name", Each.at("name")},
               {"host", "127.0.0.1"},
               {"pathPrefix", "/" + Each.at("name").get<std::string>() + "/"},
               {"service", Each.at("service")},
               {"priority", 0},
               {"maxAttempts", 4},
               {"stretchFactor", 1.6},
               {"sloMs", 4000},
               {"timeoutMs", 3000}};
    Routes.push_back(Route);
  }
  Store.put("keyed.op", "config",
            json{{"version", Version}, {"routes", Routes},
                 {"services", Services}, {"limits", json::object()}}
                .dump());
  Record.line("configuration " + std::to_string(Version) + " is sent");
  ++Version;
}

void world::publishWave(const std::uint64_t Number, const json &Machines,
                        const std::uint32_t WithinS, const std::uint32_t Cap) {
  Store.put("keyed.op", "wave/" + std::to_string(Number),
            json{{"wave", Number},
                 {"machines", Machines},
                 {"withinS", WithinS},
                 {"cap", Cap}}
                .dump());
  Record.line("wave " + std::to_string(Number) + " is sent: " +
              Machines.dump() + " cap " + std::to_string(Cap));
}

void world::call(const std::size_t Node, const http::method Method,
                 const std::string &Path, std::string Body,
                 std::function<void(int, std::string)> Done) {
  http::request Request;
  Request.Method = Method;
  Request.Path = Path;
  Request.Body = std::move(Body);
  Request.Headers = {{"Content-Type", "application/json"},
                     {"X-Deadline-Ms", "3000"}};
  Client.send(Nodes.at(Node).Callers->address(), std::move(Request),
              boot_clock::now() + 3000 * Ms,
              [Done = std::move(Done)](const http::answer &Answer) {
                const auto *Response = std::get_if<http::response>(&Answer);
                if (Response == nullptr)
                  Done(0, "");
                else
                  Done(Response->Status, Response->Body);
              });
}

void world::submit(const std::string &Queue, const json &Body) {
  char Id[17];
  std::snprintf(Id, sizeof(Id), "%016llx",
                static_cast<unsigned long long>(NextJob++));
  job Job;
  Job.Id = Id;
  Job.Queue = Queue;
  Job.Body = Body;
  LastId = Id;
  Fleet.TaskCpu[Id] = Body.at("steps").at(0).value("cpu", std::int64_t{0});
  Jobs.emplace(Job.Id, std::move(Job));
  send(Id);
}

void world::send(const std::string &Id) {
  constexpr std::size_t MaxTries = 5;
  job &Job = Jobs.at(Id);
  const std::size_t Node = NextNode++ % Nodes.size();
  ++Job.Tries;
  Record.line("POST " + Job.Queue + " " + Id + " to " + Nodes.at(Node).Name +
              " try " + std::to_string(Job.Tries));
  call(Node, http::method::Post, "/" + Job.Queue + "/" + Id, Job.Body.dump(),
       [this, Id](const int Status, const std::string &) {
         job &Answered = Jobs.at(Id);
         Record.line("POST " + Id + " answered " + std::to_string(Status));
         if (Status == 200) {
           Answered.Accepted = true;
           return;
         }
         if (Answered.Tries >= MaxTries)
           return;
         const bool Refused = Status == 503 || Status == 429;
         after((Refused ? 1000 : 100) * Ms, [this, Id] { send(Id); });
       });
}

void world::cancel(const std::string &Id) {
  const std::size_t Node = NextNode++ % Nodes.size();
  Record.line("DELETE " + Id + " to " + Nodes.at(Node).Name);
  call(Node, http::method::Delete, "/" + Jobs.at(Id).Queue + "/" + Id, "",
       [this, Id](const int Status, const std::string &) {
         Record.line("DELETE " + Id + " answered " + std::to_string(Status));
       });
}

void world::query() {
  for (auto &[Id, Job] : Jobs) {
    if (!Job.Accepted)
      continue;
    call(NextNode++ % Nodes.size(), http::method::Get,
         "/" + Job.Queue + "/" + Id, "",
         [this, Id = Id](const int Status, const std::string &Body) {
           const json Answer = json::parse(Body, nullptr, false);
           Jobs.at(Id).State = Answer.is_object()
                                   ? Answer.value("state", "")
                                   : std::to_string(Status);
         });
  }
  pause(3500 * Ms);
  std::map<std::string, std::size_t> States;
  for (const auto &[Id, Job] : Jobs)
    ++States[Job.Accepted ? Job.State : "not accepted"];
  for (const auto &[State, Count] : States)
    Record.line("jobs " + State + ": " + std::to_string(Count));
}

std::size_t world::accepted() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Jobs, [](const auto &Each) { return Each.second.Accepted; }));
}

std::size_t world::completed() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Jobs, [](const auto &Each) { return Each.second.State == "completed"; }));
}

std::size_t world::leader() const {
  // A node answers 200 to the probe of the others only while it leads; here
  // its own log line is read instead, which asks nothing of it.
  std::size_t Leader = Nodes.size();
  std::uint64_t Highest = 0;
  for (std::size_t I = 0; I < Nodes.size(); ++I) {
    std::ifstream Log{Directory / (Nodes[I].Name + ".log")};
    std::string Line;
    while (std::getline(Log, Line)) {
      const json Fields = json::parse(Line, nullptr, false);
      if (!Fields.is_object() || Fields.value("message", "") != "elected")
        continue;
      const auto Epoch = std::stoull(Fields.value("epoch", "0"));
      if (Epoch > Highest) {
        Highest = Epoch;
        Leader = I;
      }
    }
  }
  return Leader;
}

void world::pause(const duration Time) {
  static_cast<void>(
      Loop.runUntil([] { return false; }, boot_clock::now() + Time));
}

bool world::waitUntil(const std::function<bool()> &Condition,
                      const duration Limit) {
  return Loop.runUntil(Condition, boot_clock::now() + Limit);
}

void world::after(const duration Time, std::function<void()> Function) {
  Timers.push_back(Loop.at(boot_clock::now() + Time, std::move(Function)));
}

} // namespace review
