#include "platform.hh"
#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <netinet/in.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace galenalink::review {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t PageItems = 500;
constexpr std::size_t PageBytes = 1000000;
constexpr std::size_t KeptAnswers = 5;
constexpr std::size_t ListedEnds = 500;
constexpr std::int64_t ExecutorCpu = 32000;
constexpr std::int64_t ExecutorMemMb = 131072;
constexpr duration HeartbeatInterval = 1500 * Millisecond;
constexpr duration MoveTime = 1500 * Millisecond;
constexpr duration UpkeepTime = 2000 * Millisecond;
constexpr duration StopTime = 20 * Millisecond;

void addNumber(std::string &Out, const std::uint64_t Value,
               const unsigned Bytes) {
  for (unsigned I = Bytes; I-- > 0;)
    Out.push_back(static_cast<char>(Value >> (8 * I)));
}

std::string base64(const std::string &Bytes) {
  static constexpr char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group =
          Group << 8U |
          (I + J < Bytes.size() ? static_cast<std::uint8_t>(Bytes[I + J]) : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Out.push_back(I + J > Bytes.size() ? '='
                                         : Digits[Group >> (18 - 6 * J) & 63U]);
  }
  return Out;
}

std::uint64_t queryNumber(const http::exchange &Exchange, const char *Name) {
  const auto Text = Exchange.query(Name);
  return Text ? std::stoull(*Text) : 0;
}

void replyJson(http::exchange &Exchange, const int Status, const json &Body) {
  Exchange.reply(Status, {{"Content-Type", "application/json"}}, Body.dump());
}

bool isKeyed(const std::string &Topic) { return Topic.starts_with("keyed."); }

std::string keyedRecord(const std::string &Key, const std::string &Value) {
  return static_cast<char>(Key.size()) + Key + Value;
}

std::uint16_t freePort() {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  std::uint16_t Port = 0;
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size) == 0 &&
      ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size) == 0)
    Port = ntohs(Address.sin_port);
  ::close(Socket);
  return Port;
}

} // namespace

void record::line(const std::string &Text) {
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%9.3f s  ", elapsed());
  Out << Time << Text << std::endl;
}

double record::elapsed() const {
  return std::chrono::duration<double>(boot_clock::now() - Start).count();
}

// --- store

store::store(http::loop &Loop, record &Record)
    : Loop{Loop}, Record{Record}, Server{Loop, {}, [this](http::exchange Each) {
                                           handle(std::move(Each));
                                         }} {
  static_cast<void>(Server.listen("127.0.0.1", 0));
  Timer = Loop.every(5 * Millisecond, [this] { answerReads(); });
}

void store::add(const std::string &Name, topic &Topic, std::string Text) {
  if (isKeyed(Name) && !Text.empty()) {
    const auto Size = static_cast<std::uint8_t>(Text.front());
    const std::string Key = Text.substr(1, Size);
    std::string Value = Text.substr(1 + Size);
    if (Value.empty())
      Topic.Newest.erase(Key);
    else
      Topic.Newest[Key] = {Topic.end(), std::move(Value)};
  }
  Topic.Records.push_back(std::move(Text));
}

void store::put(const std::string &Name, const std::string &Key,
                const std::string &Value) {
  add(Name, Topics[Name], keyedRecord(Key, Value));
}

void store::remove(const std::string &Name, const std::string &Key) {
  add(Name, Topics[Name], keyedRecord(Key, ""));
}

void store::beginAt(const std::string &Name, const std::uint64_t Offset) {
  Topics[Name].First = Offset;
}

void store::handle(http::exchange Exchange) {
  const auto Path = Exchange.path();
  if (Path == "/log-append") {
    append(Exchange);
  } else if (Path == "/log-newest") {
    newest(Exchange);
  } else if (Path == "/log-read") {
    const std::string Name = Exchange.query("topic").value_or("");
    const std::uint64_t From = queryNumber(Exchange, "from");
    const auto Until =
        boot_clock::now() + queryNumber(Exchange, "waitMs") * Millisecond;
    Reads.push_back({std::move(Exchange), Name, From, Until});
    answerReads();
  } else {
    replyJson(Exchange, 404, json::object());
  }
}

void store::append(http::exchange &Exchange) {
  const std::string Name = Exchange.query("topic").value_or("");
  topic &Topic = Topics[Name];
  std::vector<std::string> Records;
  std::size_t Total = 0;
  std::string_view Body = Exchange.body();
  while (Body.size() >= LengthBytes) {
    std::size_t Size = 0;
    for (std::size_t I = 0; I < LengthBytes; ++I)
      Size = Size << 8U | static_cast<std::uint8_t>(Body[I]);
    Records.emplace_back(Body.substr(LengthBytes, Size));
    Body.remove_prefix(std::min(LengthBytes + Size, Body.size()));
    Total += Size;
    LargestRecord = std::max(LargestRecord, Size);
    if (Size > RecordBytes) {
      if (OversizeAppends++ % 50 == 0)
        Record.line("store: append refused with 400, record '" +
                    Records.back().substr(
                        1, static_cast<std::uint8_t>(Records.back().front())) +
                    "' has " + std::to_string(Size) +
                    " bytes, recordBytes is " + std::to_string(RecordBytes));
      replyJson(Exchange, 400, {{"reason", "recordBytes"}});
      return;
    }
  }
  if (Total > CallBytes) {
    replyJson(Exchange, 400, {{"reason", "callBytes"}});
    return;
  }
  if (const auto At = Exchange.query("at");
      At && std::stoull(*At) != Topic.end()) {
    replyJson(Exchange, 412, {{"end", Topic.end()}});
    return;
  }
  producer *Producer = nullptr;
  if (const auto Sender = Exchange.query("producer")) {
    Producer = &Topic.Producers[*Sender];
    const std::uint64_t Epoch = queryNumber(Exchange, "epoch");
    const std::uint64_t Seq = queryNumber(Exchange, "seq");
    if (Epoch < Producer->Epoch) {
      replyJson(Exchange, 409, {{"reason", "fenced"}});
      return;
    }
    if (Epoch > Producer->Epoch)
      *Producer = {Epoch, Seq, {}};
    if (Records.empty()) {
      replyJson(Exchange, 200, {{"offset", Topic.end()}, {"end", Topic.end()}});
      return;
    }
    for (const auto &[Number, Answer] : Producer->Answers) {
      if (Number == Seq) {
        Exchange.reply(200, {{"Content-Type", "application/json"}}, Answer);
        return;
      }
    }
    if (Seq != Producer->Next) {
      replyJson(Exchange, 409,
                {{"reason", "seq"}, {"expected", Producer->Next}});
      return;
    }
  }
  const std::uint64_t Offset = Topic.end();
  for (auto &Each : Records)
    add(Name, Topic, std::move(Each));
  const std::string Answer =
      json{{"offset", Offset}, {"end", Topic.end()}}.dump();
  if (Producer != nullptr) {
    Producer->Answers.emplace_back(Producer->Next++, Answer);
    if (Producer->Answers.size() > KeptAnswers)
      Producer->Answers.pop_front();
  }
  Exchange.reply(200, {{"Content-Type", "application/json"}}, Answer);
}

void store::newest(http::exchange &Exchange) {
  const topic &Topic = Topics[Exchange.query("topic").value_or("")];
  const std::string After = Exchange.query("dependsOn").value_or("");
  json Items = json::array();
  bool HasMore = false;
  std::size_t Bytes = 0;
  for (auto Each = After.empty() ? Topic.Newest.begin()
                                 : Topic.Newest.upper_bound(After);
       Each != Topic.Newest.end(); ++Each) {
    HasMore = Items.size() >= PageItems || Bytes >= PageBytes;
    if (HasMore)
      break;
    Bytes += Each->second.second.size();
    Items.push_back({{"key", Each->first},
                     {"value", base64(Each->second.second)},
                     {"offset", Each->second.first}});
  }
  replyJson(Exchange, 200,
            {{"items", Items}, {"hasMore", HasMore}, {"end", Topic.end()}});
}

void store::answerReads() {
  const time_point Now = boot_clock::now();
  std::erase_if(Reads, [&](pending_read &Each) {
    const topic &Topic = Topics[Each.Topic];
    if (Each.From < Topic.First) {
      replyJson(Each.Exchange, 410, {{"first", Topic.First}});
      return true;
    }
    if (Topic.end() <= Each.From && Now < Each.Until)
      return false;
    std::string Body;
    addNumber(Body, Topic.end(), 8);
    addNumber(Body, Topic.First, 8);
    for (std::size_t I = Each.From - Topic.First;
         I < Topic.Records.size() && Body.size() < PageBytes; ++I) {
      addNumber(Body, Topic.Records[I].size(), LengthBytes);
      Body += Topic.Records[I];
    }
    Each.Exchange.reply(200, {}, Body);
    return true;
  });
}

// --- fleet

behaviour parseBehaviour(const std::string &Spec) {
  const json From = json::parse(Spec);
  return {From.value("ms", 100), From.value("fails", false),
          From.value("checkpoint", std::size_t{0})};
}

std::int64_t fleet::machine::clockMs() const {
  return wholeMs(boot_clock::now() - ClockZero);
}

fleet::fleet(http::loop &Loop, store &Store, record &Record)
    : Loop{Loop}, Store{Store}, Record{Record},
      List{Loop, {}, [this](http::exchange Each) {
             handleList(std::move(Each));
           }} {
  static_cast<void>(List.listen("127.0.0.1", 0));
  Timer = Loop.every(5 * Millisecond, [this] { update(); });
}

void fleet::add(const std::string &Name, const std::string &Pool) {
  auto &Machine = *Machines.emplace_back(std::make_unique<machine>());
  Machine.Name = Name;
  Machine.Pool = Pool;
  Machine.Server = std::make_unique<http::server>(
      Loop, http::server_options{}, [this, &Machine](http::exchange Each) {
        handle(Machine, std::move(Each));
      });
  static_cast<void>(Machine.Server->listen("127.0.0.1", 0));
  begin(Machine);
}

void fleet::begin(machine &Machine) {
  Machine.State = "up";
  Machine.BackAt = NoDeadline;
  Machine.Id = "x" + std::to_string(++NextId);
  Machine.Born = wallNow();
  Machine.Seq = 0;
  Machine.ClockZero = boot_clock::now() - std::chrono::minutes{10};
  Machine.Fence = 0;
  Machine.LeaseEnd = 0;
  Machine.LastEnd = 0;
  registerIt(Machine);
}

void fleet::registerIt(machine &Machine) {
  Machine.NextBeat = boot_clock::now() + HeartbeatInterval;
  Store.put(
      "keyed.servers", Machine.Id,
      json{{"service", Machine.Pool},
           {"address", "127.0.0.1:" + std::to_string(Machine.Server->port())},
           {"zone", "north"},
           {"version", "1"},
           {"slots", 8},
           {"state", "ready"},
           {"coldLeftMs", 0},
           {"seq", ++Machine.Seq},
           {"born", Machine.Born},
           {"capacity",
            {{"cpu", ExecutorCpu}, {"memMb", ExecutorMemMb}, {"gpu", 0}}},
           {"labels", {"a", "r-" + Machine.Name}}}
          .dump());
}

void fleet::leave(machine &Machine) {
  while (!Machine.Running.empty())
    end(Machine, Machine.Running.begin()->first, "gone", false);
  Machine.Closed.clear();
  Machine.Ends.clear();
  Machine.Holds.clear();
  Store.remove("keyed.servers", Machine.Id);
  Machine.Id.clear();
}

std::pair<std::int64_t, std::int64_t>
fleet::load(const std::string &Pool) const {
  std::int64_t Used = 0;
  std::int64_t Total = 0;
  for (const auto &Each : Machines) {
    if (Each->Pool != Pool || Each->State != "up")
      continue;
    Total += ExecutorCpu;
    for (const auto &[Key, Run] : Each->Running)
      Used += Run.Cpu;
  }
  return {Used, Total};
}

std::size_t fleet::job_runs::startsAfterNotedEnd() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(StartsAfterDone, [&](const auto &Start) {
        const auto Noted = NotedRuns.find(Start.first);
        return Noted != NotedRuns.end() &&
               std::ranges::any_of(Start.second, [&](const auto Run) {
                 return Noted->second.contains(Run);
               });
      }));
}

std::uint64_t fleet::fence() const {
  std::uint64_t Lowest = Machines.empty() ? 0 : ~std::uint64_t{0};
  for (const auto &Each : Machines)
    Lowest = std::min(Lowest, Each->Fence);
  return Lowest;
}

void fleet::setSilent(const std::string &Name, const bool Silent) {
  for (const auto &Each : Machines) {
    if (Each->Name == Name)
      Each->Silent = Silent;
  }
}

void fleet::handle(machine &Machine, http::exchange Exchange) {
  if (Machine.Silent || Machine.Id.empty()) {
    Unanswered.push_back(std::move(Exchange));
    return;
  }
  if (Exchange.header("X-Expect-Instance").value_or("") != Machine.Id) {
    Exchange.reply(421, {}, {});
    return;
  }
  const json Body = json::parse(Exchange.body(), nullptr, false);
  if (!Body.is_object()) {
    Exchange.reply(400, {}, {});
    return;
  }
  const std::uint64_t Token = Body.value("fencingToken", std::uint64_t{0});
  if (Token < Machine.Fence) {
    replyJson(Exchange, 409,
              {{"clockMs", Machine.clockMs()}, {"reason", "fence"}});
    return;
  }
  Machine.Fence = Token;
  if (Body.contains("deadlineMs"))
    Machine.LeaseEnd = std::max(
        Machine.LeaseEnd, std::min(Body.at("deadlineMs").get<std::int64_t>(),
                                   Machine.clockMs() + MaxHoldMs));
  if (Exchange.path() == "/run-start") {
    start(Machine, Exchange, Body);
  } else if (Exchange.path() == "/run-stop") {
    stop(Machine, Exchange, Body);
  } else if (Exchange.path() == "/hold") {
    const std::uint64_t Seen = Body.value("lastSeen", std::uint64_t{0});
    while (!Machine.Ends.empty() && Machine.Ends.front().N <= Seen) {
      const ended &Each = Machine.Ends.front();
      if (Each.How == "done" && !Each.Lapsed)
        Jobs[Each.Task.substr(0, Each.Task.find('.'))]
            .NotedRuns[Each.Task]
            .insert(Each.Number);
      Machine.Ends.pop_front();
    }
    const auto WaitMs =
        std::min<std::int64_t>(Body.value("waitMs", std::int64_t{0}), 2000);
    if (!Machine.Ends.empty() || WaitMs == 0)
      answerHold(Machine, Exchange);
    else
      Machine.Holds.push_back(
          {std::move(Exchange), boot_clock::now() + WaitMs * Millisecond});
  } else {
    Exchange.reply(404, {}, {});
  }
}

void fleet::start(machine &Machine, http::exchange &Exchange,
                  const json &Body) {
  const std::string Task = Body.at("task");
  const std::uint64_t Number = Body.at("run");
  const auto Refuse = [&](const char *Reason) {
    replyJson(Exchange, 409,
              {{"clockMs", Machine.clockMs()},
               {"born", Machine.Born},
               {"reason", Reason}});
  };
  const bool There = Machine.Running.contains({Task, Number});
  if (!There) {
    if (Machine.clockMs() > Machine.LeaseEnd)
      return Refuse("late");
    const auto Closed = Machine.Closed.find(Task);
    if (Closed != Machine.Closed.end() && Number <= Closed->second)
      return Refuse("old");
    const std::string Spec = Body.at("spec");
    const behaviour Behaviour = parseBehaviour(Spec);
    const time_point Now = boot_clock::now();
    run Run{Task,
            Number,
            Now + Behaviour.Ms * Millisecond,
            Behaviour,
            json::parse(Spec).value("cpu", std::int64_t{0}),
            Body.value("checkpoint", ""),
            Now};
    if (Behaviour.CheckpointBytes > 0)
      Run.Checkpoint = std::string(Behaviour.CheckpointBytes, 'c');
    Machine.Running.emplace(std::pair{Task, Number}, std::move(Run));
    job_runs &Job = Jobs[Task.substr(0, Task.find('.'))];
    ++Job.Starts;
    ++Job.Running;
    if (const auto Done = Job.DoneRuns.find(Task); Done != Job.DoneRuns.end()) {
      Job.StartsAfterDone.emplace_back(Task, Done->second);
      if (Job.StartsAfterDone.size() <= 10)
        Record.line(Machine.Name + ": start of " + Task + " run " +
                    std::to_string(Number) + " with token " +
                    std::to_string(Machine.Fence) + " after its run " +
                    std::to_string(*Done->second.begin()) + " has ended done");
    }
    Job.BusyAt = Now;
    if (LogRuns)
      Record.line(Machine.Name + ": start " + Task + " run " +
                  std::to_string(Number));
  }
  replyJson(Exchange, 200,
            {{"clockMs", Machine.clockMs()}, {"born", Machine.Born}});
}

void fleet::stop(machine &Machine, http::exchange &Exchange, const json &Body) {
  const std::string Task = Body.at("task");
  const std::uint64_t Number = Body.at("run");
  if (Machine.Running.contains({Task, Number}))
    end(Machine, {Task, Number}, "stopped");
  Machine.Closed[Task] = std::max(Machine.Closed[Task], Number);
  replyJson(Exchange, 200,
            {{"clockMs", Machine.clockMs()}, {"born", Machine.Born}});
}

void fleet::answerHold(machine &Machine, http::exchange &Exchange) {
  json Running = json::array();
  for (const auto &[Key, Run] : Machine.Running) {
    const auto Done = wholeMs(boot_clock::now() - Run.StartedAt);
    const auto Percent =
        std::min<std::int64_t>(99, 100 * Done / std::max(Run.Behaviour.Ms, 1));
    Running.push_back({Run.Task, Run.Number, Run.Checkpoint, Percent, Run.Cpu});
  }
  json Finished = json::array();
  for (const auto &Each : Machine.Ends) {
    if (Finished.size() >= ListedEnds)
      break;
    Finished.push_back(
        {Each.N, Each.Task, Each.Number, Each.How, Each.Checkpoint});
  }
  replyJson(Exchange, 200,
            {{"clockMs", Machine.clockMs()},
             {"born", Machine.Born},
             {"running", Running},
             {"finished", Finished}});
}

void fleet::end(machine &Machine,
                const std::pair<std::string, std::uint64_t> &Key,
                const std::string &How, const bool Reported) {
  const run Run = Machine.Running.at(Key);
  Machine.Running.erase(Key);
  job_runs &Job = Jobs[Run.Task.substr(0, Run.Task.find('.'))];
  --Job.Running;
  ++Job.Ends[How];
  Job.BusyAt = boot_clock::now();
  if (How == "done") {
    Job.TasksDone.insert(Run.Task);
    Job.DoneRuns[Run.Task].insert(Run.Number);
  }
  if (LogRuns)
    Record.line(Machine.Name + ": end " + Run.Task + " run " +
                std::to_string(Run.Number) + " " + How);
  if (!Reported)
    return;
  Machine.Closed[Run.Task] = std::max(Machine.Closed[Run.Task], Run.Number);
  Machine.Ends.push_back(
      {++Machine.LastEnd, Run.Task, Run.Number, How,
       How == "done" || How == "failed" ? "" : Run.Checkpoint});
}

void fleet::handleList(http::exchange Exchange) {
  if (Exchange.method() == http::method::Get) {
    json Rows = json::array();
    for (const auto &Each : Machines)
      Rows.push_back(
          {{"machine", Each->Name},
           {"pool", Each->Pool},
           {"state", Each->State},
           {"zone", "north"},
           {"id", Each->Id},
           {"capacity",
            {{"cpu", ExecutorCpu}, {"memMb", ExecutorMemMb}, {"gpu", 0}}},
           {"labels", {"a", "r-" + Each->Name}}});
    replyJson(Exchange, 200, {{"machines", Rows}});
    return;
  }
  const json Body = json::parse(Exchange.body(), nullptr, false);
  const auto Found = std::ranges::find_if(Machines, [&](const auto &Each) {
    return Each->Name == Body.value("machine", "");
  });
  if (Found == Machines.end()) {
    replyJson(Exchange, 400, json::object());
    return;
  }
  machine &Machine = **Found;
  const bool IsMove = Exchange.path() == "/machine-move";
  const std::string To = Body.value("pool", "");
  const std::pair<std::string, std::uint64_t> Upkeep{
      Machine.Name, Body.value("wave", std::uint64_t{0})};
  Record.line("list of VMs: " + std::string{Exchange.path()} + " " +
              Exchange.body() + " token " +
              std::string{Exchange.header("X-Fencing-Token").value_or("")});
  const bool Done = IsMove ? Machine.Pool == To : Upkeeps.contains(Upkeep);
  if (!Done && Machine.State != "up") {
    replyJson(Exchange, 409, {{"reason", "busy"}});
    return;
  }
  if (!Done) {
    leave(Machine);
    Machine.State = IsMove ? "moving" : "upkeep";
    Machine.NextPool = IsMove ? To : Machine.Pool;
    Machine.BackAt = boot_clock::now() + (IsMove ? MoveTime : UpkeepTime);
    if (!IsMove)
      Upkeeps.insert(Upkeep);
  }
  replyJson(Exchange, 200, json::object());
}

void fleet::logTotals() {
  std::map<std::string, std::uint64_t> Ends;
  std::uint64_t Starts = 0;
  std::uint64_t Running = 0;
  for (const auto &[Id, Job] : Jobs) {
    Starts += Job.Starts;
    Running += Job.Running;
    for (const auto &[How, Count] : Job.Ends)
      Ends[How] += Count;
  }
  std::size_t Unacknowledged = 0;
  for (const auto &Each : Machines)
    Unacknowledged += Each->Ends.size();
  std::string Text = "executors: " + std::to_string(Starts) + " starts, " +
                     std::to_string(Running) + " running";
  for (const auto &[How, Count] : Ends)
    Text += ", " + std::to_string(Count) + " " + How;
  Record.line(Text + ", " + std::to_string(Unacknowledged) +
              " ends not acknowledged");
}

void fleet::update() {
  const time_point Now = boot_clock::now();
  if (!LogRuns && Now >= NextTotals) {
    NextTotals = Now + Second;
    logTotals();
  }
  for (auto &Each : Machines) {
    machine &Machine = *Each;
    if (Machine.BackAt != NoDeadline && Now >= Machine.BackAt) {
      Machine.Pool = Machine.NextPool;
      begin(Machine);
    }
    if (Machine.Id.empty())
      continue;
    if (Now >= Machine.NextBeat)
      registerIt(Machine);
    const bool Lapsed = Machine.clockMs() > Machine.LeaseEnd;
    if (Lapsed) {
      for (auto &End : Machine.Ends)
        End.Lapsed = true;
    }
    std::vector<std::pair<std::pair<std::string, std::uint64_t>, std::string>>
        Ending;
    for (const auto &[Key, Run] : Machine.Running) {
      if (Lapsed)
        Ending.emplace_back(Key, "lapsed");
      else if (Now >= Run.EndsAt)
        Ending.emplace_back(Key, Run.Behaviour.Fails ? "failed" : "done");
    }
    for (const auto &[Key, How] : Ending)
      end(Machine, Key, How);
    if (Machine.Silent)
      continue;
    std::erase_if(Machine.Holds, [&](hold &Hold) {
      if (Machine.Ends.empty() && Now < Hold.Until)
        return false;
      answerHold(Machine, Hold.Exchange);
      return true;
    });
  }
}

// --- nodes

void nodes::add(const http::address &Store, const http::address &List) {
  node Node;
  Node.Name = "front-" + std::to_string(All.size() + 1);
  Node.Callers = {"127.0.0.1", freePort()};
  Node.Settings = Directory / (Node.Name + ".json");
  Node.StoreLink = std::make_unique<soak::tcp_proxy>(Loop, Store);
  // The fields of deploy/settings.json, with figures of a small deployment.
  std::ofstream{Node.Settings}
      << json{{"name", Node.Name},
              {"data_centre", "north"},
              {"callers", toString(Node.Callers)},
              {"readiness", "127.0.0.1:" + std::to_string(freePort())},
              {"peers", {{"host", "127.0.0.1"}, {"port", freePort()}}},
              {"store", toString(Node.StoreLink->address())},
              {"vm_list", toString(List)},
              {"advice", ""},
              {"max_lease_ms", 6000},
              {"stop_ms", 400},
              {"stop_deadline_s", 6},
              {"processor_share", 0.25},
              {"processor_speed", 1},
              {"max_descriptors", 4100},
              {"memory_mb", 260},
              {"link_mbit", 1000},
              {"move_s", 1.5},
              {"maintenance_s", 2},
              {"holder_pause_ms", 3000},
              {"log", {{"level", "info"}, {"format", "json"}}}}
             .dump();
  start(Node);
  All.push_back(std::move(Node));
}

void nodes::start(node &Node) {
  // `run` of deploy/system.toml; the variable is the one of DEPLOY.md.
  ::setenv("GALENALINK_SETTINGS", Node.Settings.c_str(), 1);
  Node.Process = std::make_unique<system_test::process>(
      std::vector<std::string>{"target/apps/galenalinkd", "on-platform"},
      (Directory / (Node.Name + ".log")).string());
  Record.line(Node.Name + " started");
}

bool nodes::allRunning() {
  return std::ranges::none_of(All,
                              [](auto &Each) { return Each.Process->ended(); });
}

void nodes::cutFromStore(const std::size_t Node, const bool Cut) {
  Record.line(All.at(Node).Name + (Cut ? " is cut off from the store"
                                       : " reaches the store again"));
  All.at(Node).StoreLink->setFault(Cut ? soak::link_fault::Silent
                                       : soak::link_fault::None);
}

void nodes::signal(const std::size_t Node, const int Signal) {
  Record.line(All.at(Node).Name + " gets signal " + std::to_string(Signal));
  All.at(Node).Process->signal(Signal);
}

void nodes::restart(const std::size_t Node) { start(All.at(Node)); }

std::filesystem::path nodes::log(const std::size_t Node) const {
  return Directory / (All.at(Node).Name + ".log");
}

// --- caller

http::request caller::make(const http::method Method, const std::string &Path,
                           const std::string &Body) {
  http::request Request;
  Request.Method = Method;
  Request.Path = Path;
  Request.Headers = {{"X-Deadline-Ms", "3000"}};
  if (Method == http::method::Post) {
    Request.Headers.push_back({"Content-Type", "application/json"});
    Request.Body = Body;
  }
  return Request;
}

int caller::send(const http::method Method, const std::string &Path,
                 const std::string &Body, std::string *Answer,
                 const std::size_t Node) {
  std::optional<http::answer> Received;
  const time_point Deadline = boot_clock::now() + 3 * Second;
  Client.send(Nodes.callers(Node), make(Method, Path, Body), Deadline,
              [&Received](const http::answer &Each) { Received = Each; });
  static_cast<void>(
      Loop.runUntil([&] { return Received.has_value(); }, Deadline + Second));
  const auto *Response =
      Received ? std::get_if<http::response>(&*Received) : nullptr;
  const int Status = Response == nullptr ? 0 : Response->Status;
  if (Answer != nullptr)
    *Answer = Response == nullptr ? "" : Response->Body;
  Record.line("client: " + std::string{nameOf(http::MethodNames, Method)} +
              " " + Path + " -> " + std::to_string(Status) + " " +
              (Response == nullptr ? "" : Response->Body.substr(0, 120)));
  return Status;
}

void caller::post(const std::string &Path, const std::string &Body,
                  const std::size_t Node, std::function<void(int)> Done) {
  Client.send(Nodes.callers(Node), make(http::method::Post, Path, Body),
              boot_clock::now() + 3 * Second,
              [this, Path, Done = std::move(Done)](const http::answer &Each) {
                const auto *Response = std::get_if<http::response>(&Each);
                const int Status = Response == nullptr ? 0 : Response->Status;
                Record.line("client: POST " + Path + " -> " +
                            std::to_string(Status));
                Done(Status);
              });
}

json route(const std::string &Name, const std::string &Path,
           const std::string &Pool, const int MaxAttempts) {
  return {
      {"name", Name},       {"host", "127.0.0.1"}, {"pathPrefix", Path},
      {"service", Pool},    {"priority", 0},       {"maxAttempts", MaxAttempts},
      {"stretchFactor", 4}, {"sloMs", 120000},     {"timeoutMs", 3000}};
}

std::string jobId(const std::uint64_t Number) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Number));
  return Text;
}

bool trouble() {
  const char *Text = std::getenv("TROUBLE");
  return Text == nullptr || std::string{Text} != "0";
}

} // namespace galenalink::review
