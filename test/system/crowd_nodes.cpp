#include "system/crowd_nodes.hpp"
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace galenalink::system_test {

using nlohmann::json;

namespace {

constexpr duration StartLimit = std::chrono::seconds{10};
/** Sent by all connections of a crowd together; several times `MaxMemoryMb`. */
constexpr std::size_t CrowdBytes = 400 * Megabyte;

std::string textOf(const std::filesystem::path &File) {
  std::ostringstream Text;
  Text << std::ifstream{File}.rdbuf();
  return Text.str();
}

} // namespace

std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
}

std::string post(const std::string &Path, const std::size_t BodyBytes,
                 const std::string &Headers) {
  return "POST " + Path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n" + Headers +
         "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
}

void checkProcess(process &Node) {
  BOOST_TEST(!Node.ended());
  BOOST_TEST(peakMemoryMb(Node.id()) < MaxMemoryMb);
  BOOST_TEST(openDescriptors(Node.id()) < MaxDescriptors);
}

void checkCrowd(http::loop &Loop, process &Node, const http::address &Listener,
                const std::size_t Count, crowd_traffic Traffic,
                const std::string &Ordinary, const int Status) {
  if (Traffic.MaxBytesPerConnection == 0)
    Traffic.MaxBytesPerConnection = CrowdBytes / Count;
  crowd Crowd{Loop, Listener, Count};
  const std::size_t Sent = Crowd.send(Traffic);
  const int Got = statusOf(Loop, Listener, Ordinary, OrdinaryLimit);
  const std::size_t MemoryMb = peakMemoryMb(Node.id());
  const std::size_t Descriptors = openDescriptors(Node.id());
  BOOST_TEST_MESSAGE(
      boost::unit_test::framework::current_test_case().p_name.get()
      << ": " << Count << " connections sent " << Sent / Kilobyte
      << " KB; peak memory " << MemoryMb << " MB, " << Descriptors
      << " descriptors, status " << Got);
  checkProcess(Node);
  BOOST_TEST(Got == Status);
}

embedded_node::embedded_node() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "galenalink-XXXXXX").string();
  BOOST_REQUIRE(mkdtemp(Name.data()) != nullptr);
  Directory = Name;
  json Settings =
      json::parse(textOf(EXAMPLES "/node.json"), nullptr, true, true);
  for (const char *Listener : {"callers", "operators", "peers"})
    Settings[Listener]["port"] = 0;
  std::ofstream{Directory / "node.json"} << Settings.dump();
  Process = std::make_unique<process>(
      std::vector<std::string>{GALENALINKD, "--settings",
                               (Directory / "node.json").string()},
      (Directory / "node.log").string());
  await([&] { return portAfter("peers=") != 0; });
  Callers = {"127.0.0.1", portAfter("callers=")};
  Operators = {"127.0.0.1", portAfter("operators=")};
  Peers = {"127.0.0.1", portAfter("peers=")};
  publish();
  await([&] {
    return statusOf(Loop, Callers, get("/health"), OrdinaryLimit) == 200;
  });
}

embedded_node::~embedded_node() {
  Process->kill();
  std::error_code Ignored;
  std::filesystem::remove_all(Directory, Ignored);
}

void embedded_node::check(const http::address &Listener,
                          const std::size_t Count,
                          const crowd_traffic &Traffic) {
  const bool OnCallers = Listener.Port == Callers.Port;
  checkCrowd(Loop, *Process, Listener, Count, Traffic,
             get(OnCallers ? "/health" : "/v1/status"), 200);
}

void embedded_node::await(const std::function<bool()> &Condition) {
  const auto Tick = Loop.every(std::chrono::milliseconds{10}, [] {});
  BOOST_REQUIRE(Loop.runUntil(Condition, boot_clock::now() + StartLimit));
}

std::uint16_t embedded_node::portAfter(const std::string &Label) const {
  const std::string Text = textOf(Directory / "node.log");
  const auto At = Text.find(Label);
  if (At == std::string::npos || Text.find('\n', At) == std::string::npos)
    return 0;
  return static_cast<std::uint16_t>(std::stoul(Text.substr(At + Label.size())));
}

void embedded_node::publish() {
  const json Document{
      {"name", "halloran/newsletters.json"},
      {"text", textOf(EXAMPLES "/services/halloran/newsletters.json")}};
  const std::string Body = json{{"id", 1},
                                {"base_version", 0},
                                {"author", "test"},
                                {"documents", json::array({Document})}}
                               .dump();
  await([&] {
    return statusOf(Loop, Operators, post("/v1/config", Body.size()) + Body,
                    OrdinaryLimit) == 200;
  });
}

platform_node::platform_node(const nlohmann::json &Overrides)
    : Run{"crowd", 2, Overrides} {
  BOOST_REQUIRE(Run.submit(JobId, 1, 1000, 60000));
}

void platform_node::check(const http::address &Listener,
                          const std::size_t Count,
                          const crowd_traffic &Traffic) {
  const bool OnCallers = Listener.Port == callers().Port;
  const bool OnReadiness = Listener.Port == readiness().Port;
  checkCrowd(Run.Loop, Run.Nodes.processOf(0), Listener, Count, Traffic,
             get(OnCallers     ? "/crowd/" + JobId
                 : OnReadiness ? "/ready"
                               : "/unknown"),
             OnCallers || OnReadiness ? 200 : 400);
}

int platform_node::queryStatus() {
  return statusOf(Run.Loop, callers(), get("/crowd/" + JobId), OrdinaryLimit);
}

std::string platform_node::jobRequest(const std::size_t Number,
                                      const std::string &Body,
                                      const std::string &Headers) {
  // An id has 16 hexadecimal digits.
  constexpr std::size_t FirstId = 1'000'000'000'000'000;
  return post("/crowd/" + std::to_string(FirstId + Number), Body.size(),
              "X-Deadline-Ms: 9223372036854775807\r\n" + Headers) +
         Body;
}

std::string platform_node::largestJob() {
  const json Step{
      {"count", 1}, {"cpu", 1000}, {"memMb", 10}, {"estimateMs", 500}};
  std::string Job =
      json{{"spec", "500"}, {"steps", json::array({Step})}}.dump();
  Job.append(MaxBodyBytes - Job.size(), ' ');
  return Job;
}

} // namespace galenalink::system_test
