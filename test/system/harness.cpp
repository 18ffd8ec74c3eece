#include "system/harness.hpp"
#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <sstream>

namespace galenalink::system_test {

namespace {

constexpr const char *DataCentres[] = {"county-a", "county-b", "county-c",
                                       "county-d", "county-e"};
constexpr duration PollPeriod = std::chrono::milliseconds{25};
constexpr duration StartLimit = std::chrono::seconds{10};

[[nodiscard]] std::string readFile(const std::filesystem::path &Path) {
  std::ifstream Input{Path};
  std::stringstream Text;
  Text << Input.rdbuf();
  return Text.str();
}

/** @return The number after the label; 0 if the line is not complete. */
[[nodiscard]] std::uint16_t portAfter(const std::string &Text,
                                      const std::string &Label) {
  const auto At = Text.find(Label);
  if (At == std::string::npos || Text.find('\n', At) == std::string::npos)
    return 0;
  return static_cast<std::uint16_t>(
      std::strtoul(Text.c_str() + At + Label.size(), nullptr, 10));
}

[[nodiscard]] http::address local(const std::uint16_t Port) {
  return {"127.0.0.1", Port};
}

[[nodiscard]] std::filesystem::path makeDirectory() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "galenalink-XXXXXX").string();
  BOOST_REQUIRE(mkdtemp(Name.data()) != nullptr);
  return Name;
}

} // namespace

cluster::cluster(const cluster_options &Options)
    : Client{Loop, {256}}, Directory{makeDirectory()} {
  startExecutors(Options.Vms);
  startPlatform();
  for (std::size_t Each = 0; Each < Options.Nodes; ++Each)
    startNode(DataCentres[Each % std::size(DataCentres)]);
  BOOST_REQUIRE(await([&] { return settled(Options.Nodes, 0); }, StartLimit));
  const auto Published =
      ask(anyNode().Operators, http::method::Post, "/v1/config",
          publication(1, 0, "operator").dump(), std::chrono::seconds{5});
  BOOST_REQUIRE(Published && Published->Status == 200);
  BOOST_REQUIRE(await([&] { return settled(Options.Nodes); }, StartLimit));
  // VMs are used once all nodes have seen that they exist.
  BOOST_REQUIRE(await([&] { return warmUp(); }, StartLimit));
}

bool cluster::warmUp() {
  constexpr int Keys = 8;
  const json All = get(anyNode().Operators, "/v1/vms");
  if (!All.is_object() || All["vms"].size() != Vms.size())
    return false;
  for (int Each = 0; Each < Keys; ++Each) {
    const auto Path = "/v1/halloran/newsletters/proof";
    const auto Answer =
        ask(anyNode().Callers, http::method::Post, Path, "{}",
            std::chrono::seconds{5},
            {{"Idempotency-Key", "warm-" + std::to_string(++LastWarmUp)}});
    if (!Answer || Answer->Status != 200)
      return false;
  }
  return true;
}

cluster::~cluster() {
  namespace test = boost::unit_test;
  Nodes.clear();
  const auto Case = test::framework::current_test_case().p_id;
  if (test::results_collector.results(Case).p_assertions_failed > 0) {
    BOOST_TEST_MESSAGE("The logs of the processes are kept in " << Directory);
    return;
  }
  std::error_code Ignored;
  std::filesystem::remove_all(Directory, Ignored);
}

std::string cluster::outputOf(const std::string &Name) const {
  return (Directory / (Name + ".out")).string();
}

void cluster::startExecutors(const std::size_t Count) {
  // More slots than nodes may use, so that a ninth run on a VM is seen.
  std::vector<std::string> Command{STANDIN_EXECUTOR, "--slots", "64"};
  for (std::size_t Each = 0; Each < Count + 2; ++Each) {
    const std::string Name = "vm-" + std::to_string(Each + 1);
    Vms.push_back({Name, Each < Count ? "typesetting" : "counting-house", {}});
    Command.insert(Command.end(), {"--vm", Name});
  }
  Executors = std::make_unique<process>(Command, outputOf("executors"));
  BOOST_REQUIRE(await(
      [&] {
        const auto Text = readFile(outputOf("executors"));
        return portAfter(Text, Vms.back().Name + ' ') != 0;
      },
      StartLimit));
  for (auto &Vm : Vms)
    Vm.Address =
        local(portAfter(readFile(outputOf("executors")), Vm.Name + ' '));
}

void cluster::startPlatform() {
  std::vector<std::string> Command{STANDIN_PLATFORM};
  std::size_t Index = 0;
  for (const auto &Vm : Vms) {
    const std::string DataCentre =
        DataCentres[Index++ % std::size(DataCentres)];
    std::string Text = Vm.Name;
    Text.append(",halloran,").append(DataCentre).append(",").append(DataCentre);
    Text.append("-1,").append(http::toString(Vm.Address)).append(",");
    Text.append(Vm.Pool);
    Command.insert(Command.end(), {"--vm", Text});
  }
  Store = std::make_unique<process>(Command, outputOf("platform"));
  std::uint16_t Port = 0;
  BOOST_REQUIRE(await(
      [&] {
        Port = portAfter(readFile(outputOf("platform")), "platform ");
        return Port != 0;
      },
      StartLimit));
  Platform = local(Port);
}

member_node &cluster::startNode(const std::string &DataCentre) {
  auto Node = std::make_unique<member_node>();
  Node->Name = "entry-" + std::to_string(++Started);
  Node->DataCentre = DataCentre;
  const std::string File = (Directory / (Node->Name + ".json")).string();
  std::ofstream{File} << json{
      {"name", Node->Name},
      {"place", DataCentre},
      {"member", "halloran"},
      {"callers", {{"host", "127.0.0.1"}, {"port", 0}}},
      {"operators", {{"host", "127.0.0.1"}, {"port", 0}}},
      {"peers", {{"host", "127.0.0.1"}, {"port", 0}}},
      {"platform", {{"kind", "http"}, {"address", http::toString(Platform)}}},
      {"stop_deadline_ms", 20000}};
  const std::string Output = outputOf(Node->Name);
  Node->Process = std::make_unique<process>(
      std::vector<std::string>{GALENALINKD, "--settings", File}, Output);
  BOOST_REQUIRE(
      await([&] { return portAfter(readFile(Output), "operators=") != 0; },
            StartLimit));
  Node->Callers = local(portAfter(readFile(Output), "callers="));
  Node->Operators = local(portAfter(readFile(Output), "operators="));
  Nodes.push_back(std::move(Node));
  return *Nodes.back();
}

bool cluster::await(const std::function<bool()> &Condition,
                    const duration Limit) {
  const auto Deadline = boot_clock::now() + Limit;
  while (!Condition()) {
    if (boot_clock::now() >= Deadline)
      return false;
    bool Due = false;
    const auto Timer =
        Loop.at(boot_clock::now() + PollPeriod, [&] { Due = true; });
    static_cast<void>(Loop.runUntil([&] { return Due; }, Deadline));
  }
  return true;
}

std::optional<http::response>
cluster::ask(const http::address &Address, const http::method Method,
             const std::string &Path, const std::string &Body,
             const duration Limit, http::headers Headers) {
  std::optional<http::answer> Answer;
  const auto Deadline = boot_clock::now() + Limit;
  http::request Request;
  Request.Method = Method;
  Request.Path = Path;
  Request.Body = Body;
  Request.Headers = std::move(Headers);
  auto Call = Client.send(Address, std::move(Request), Deadline,
                          [&](http::answer Got) { Answer = std::move(Got); });
  static_cast<void>(Loop.runUntil([&] { return Answer.has_value(); },
                                  Deadline + std::chrono::seconds{1}));
  Call.cancel();
  if (!Answer || !std::holds_alternative<http::response>(*Answer))
    return std::nullopt;
  return std::get<http::response>(*Answer);
}

json cluster::get(const http::address &Address, const std::string &Path) {
  const auto Answer = ask(Address, http::method::Get, Path);
  if (!Answer || Answer->Status != 200)
    return {};
  return json::parse(Answer->Body, nullptr, false);
}

void cluster::fault(const http::address &Address, const json &Fault) {
  const auto Answer = ask(Address, http::method::Post, "/fault", Fault.dump());
  BOOST_REQUIRE(Answer && Answer->Status == 200);
}

void cluster::faultAllVms(const json &Fault) {
  for (const auto &Vm : Vms)
    fault(Vm.Address, Fault);
}

bool cluster::settled(const std::size_t Roster, const std::size_t Shards) {
  std::size_t Homes = 0;
  for (const auto &Node : Nodes) {
    if (!Node->alive())
      continue;
    const json Status = get(Node->Operators, "/v1/status");
    if (!Status.is_object() || !Status["authority"].get<bool>() ||
        Status["takeovers"] != 0 || Status["nodes"].size() != Roster)
      return false;
    Homes += Status["homes"].get<std::size_t>();
  }
  return Homes >= Shards;
}

member_node &cluster::anyNode() {
  for (const auto &Node : Nodes) {
    if (Node->alive())
      return *Node;
  }
  throw std::logic_error{"no node runs"};
}

json cluster::vm(const std::string &Name) {
  const json All = get(anyNode().Operators, "/v1/vms");
  if (All.is_object()) {
    for (const auto &Vm : All["vms"]) {
      if (Vm["vm"] == Name)
        return Vm;
    }
  }
  return {};
}

member_node &cluster::homeOf(const std::string &Name) {
  const json Vm = vm(Name);
  for (const auto &Node : Nodes) {
    if (Vm.is_object() && Vm["home"] == Node->Name)
      return *Node;
  }
  throw std::logic_error{"no home of " + Name + " is known"};
}

bool cluster::rosterIs(const std::size_t Size) {
  for (const auto &Node : Nodes) {
    if (!Node->alive())
      continue;
    const json Status = get(Node->Operators, "/v1/status");
    if (!Status.is_object() || Status["nodes"].size() != Size)
      return false;
  }
  return true;
}

json cluster::publication(const std::uint64_t Id, const std::uint64_t Base,
                          const std::string &Author, const int MinUp) {
  json File =
      json::parse(readFile(EXAMPLES "/services/halloran/newsletters.json"),
                  nullptr, true, true);
  File["pools"][0]["min_up"] = MinUp;
  return {{"id", Id},
          {"base_version", Base},
          {"author", Author},
          {"documents", json::array({{{"name", "halloran/newsletters.json"},
                                      {"text", File.dump(2)}}})}};
}

} // namespace galenalink::system_test
