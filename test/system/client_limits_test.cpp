#include "soak/single_node_run.hpp"
#include "system/crowd.hpp"
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

// Clients outside our control must neither end a process nor keep ordinary
// callers out. The tests check memory, descriptors and one ordinary request;
// they do not check times.

using namespace galenalink;
using namespace galenalink::system_test;
using nlohmann::json;

namespace {

constexpr std::size_t MaxMemoryMb = 100;
/** Connections of the largest listener (1,024), those of the other listeners
 * and the files of the process. */
constexpr std::size_t MaxDescriptors = 1400;
constexpr duration OrdinaryLimit = std::chrono::seconds{5};
constexpr duration StartLimit = std::chrono::seconds{10};
constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t Megabyte = Kilobyte * Kilobyte;
/** Sent by all connections of a crowd together; several times `MaxMemoryMb`. */
constexpr std::size_t CrowdBytes = 400 * Megabyte;
constexpr std::size_t Sizes[] = {8, 100};
/** More than a listener accepts at the same time. */
constexpr std::size_t TooManyConnections = 1500;
constexpr std::size_t MaxHeaderBytes = 16384;

std::string textOf(const std::filesystem::path &File) {
  std::ostringstream Text;
  Text << std::ifstream{File}.rdbuf();
  return Text.str();
}

std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
}

std::string post(const std::string &Path, const std::size_t BodyBytes,
                 const std::string &Headers = {}) {
  return "POST " + Path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n" + Headers +
         "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
}

/** @brief Runs a crowd on one listener and checks that the process still
 * answers on another. */
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
  BOOST_TEST(!Node.ended());
  BOOST_TEST(MemoryMb < MaxMemoryMb);
  BOOST_TEST(Descriptors < MaxDescriptors);
  BOOST_TEST(Got == Status);
}

/** @brief A request whose headers are never complete: as many lines as its
 * bytes allow, since each line costs memory of its own. */
crowd_traffic shortHeaderLines() {
  crowd_traffic Traffic;
  Traffic.Head = "GET / HTTP/1.1\r\n";
  Traffic.Repeated = "a:\n";
  Traffic.MaxBytesPerConnection = MaxHeaderBytes;
  return Traffic;
}

/** @brief A request whose headers arrive byte by byte and never end. */
crowd_traffic headerByteByByte() {
  crowd_traffic Traffic;
  Traffic.Head = "GET / HTTP/1.1\r\nHost: ";
  Traffic.Repeated = "a";
  Traffic.MaxBytesPerConnection = 100;
  Traffic.BytesPerStep = 1;
  Traffic.StepInterval = std::chrono::milliseconds{20};
  return Traffic;
}

/** @brief A body of the largest size that lacks its last byte. */
crowd_traffic incompleteBody(const std::string &Path,
                             const std::size_t BodyBytes) {
  crowd_traffic Traffic;
  Traffic.Head = post(Path, BodyBytes);
  Traffic.Repeated = std::string(64 * Kilobyte, 'x');
  Traffic.MaxBytesPerConnection = Traffic.Head.size() + BodyBytes - 1;
  return Traffic;
}

/** @brief The node of examples/node.json on ports that the kernel chooses. */
class embedded_node {
public:
  embedded_node() {
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
    publish();
  }
  ~embedded_node() {
    Process->kill();
    std::error_code Ignored;
    std::filesystem::remove_all(Directory, Ignored);
  }
  embedded_node(const embedded_node &) = delete;
  embedded_node &operator=(const embedded_node &) = delete;

  void check(const http::address &Listener, const std::size_t Count,
             const crowd_traffic &Traffic) {
    const bool OnCallers = Listener.Port == Callers.Port;
    checkCrowd(Loop, *Process, Listener, Count, Traffic,
               get(OnCallers ? "/health" : "/v1/status"), 200);
  }

  static constexpr std::size_t MaxBodyBytes = 8 * Megabyte;

  http::loop Loop;
  http::address Callers;
  http::address Operators;

private:
  void await(const std::function<bool()> &Condition) {
    const auto Tick = Loop.every(std::chrono::milliseconds{10}, [] {});
    BOOST_REQUIRE(Loop.runUntil(Condition, boot_clock::now() + StartLimit));
  }

  [[nodiscard]] std::uint16_t portAfter(const std::string &Label) const {
    const std::string Text = textOf(Directory / "node.log");
    const auto At = Text.find(Label);
    if (At == std::string::npos || Text.find('\n', At) == std::string::npos)
      return 0;
    return static_cast<std::uint16_t>(
        std::stoul(Text.substr(At + Label.size())));
  }

  /** @brief Publishes the services of Halloran, so that paths have routes. */
  void publish() {
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

  std::filesystem::path Directory;
  std::unique_ptr<process> Process;
};

/** @brief A node on the users' platform with a queue and two VMs. */
class platform_node {
public:
  platform_node() : Run{"crowd", 2} {
    BOOST_REQUIRE(Run.submit(JobId, 1, 1000, 60000));
  }

  void check(const http::address &Listener, const std::size_t Count,
             const crowd_traffic &Traffic) {
    const bool OnCallers = Listener.Port == callers().Port;
    const bool OnReadiness = Listener.Port == readiness().Port;
    checkCrowd(Run.Loop, Run.Nodes.processOf(0), Listener, Count, Traffic,
               get(OnCallers     ? "/crowd/" + JobId
                   : OnReadiness ? "/ready"
                                 : "/unknown"),
               OnCallers || OnReadiness ? 200 : 400);
  }

  [[nodiscard]] static http::address callers() {
    return soak::node_group::callersListener(0);
  }
  [[nodiscard]] static http::address readiness() {
    return soak::node_group::readinessListener(0);
  }
  [[nodiscard]] static http::address peers() {
    return soak::node_group::peersListener(0);
  }

  /** @return A job of the largest size that is allowed. */
  [[nodiscard]] static std::string largestJob() {
    const json Step{
        {"count", 1}, {"cpu", 1000}, {"memMb", 10}, {"estimateMs", 500}};
    std::string Job =
        json{{"spec", "500"}, {"steps", json::array({Step})}}.dump();
    Job.append(MaxBodyBytes - Job.size(), ' ');
    return Job;
  }

  static constexpr std::size_t MaxBodyBytes = 262144;
  const std::string JobId = "0000000000000001";

  soak::single_node_run Run;
};

} // namespace

BOOST_AUTO_TEST_SUITE(embedded_node_limits)

// The process ran out of memory: input was buffered without bound while
// earlier responses could not be written.
BOOST_AUTO_TEST_CASE(pipelining_without_route) {
  for (const std::size_t Count : Sizes) {
    embedded_node Node;
    Node.check(Node.Callers, Count, {.Head = {}, .Repeated = get("/none")});
  }
}

BOOST_AUTO_TEST_CASE(pipelining_with_route) {
  for (const std::size_t Count : Sizes) {
    embedded_node Node;
    Node.check(
        Node.Callers, Count,
        {.Head = {}, .Repeated = get("/v1/halloran/newsletters/requests/key")});
  }
}

BOOST_AUTO_TEST_CASE(pipelining_at_operators_listener) {
  for (const std::size_t Count : Sizes) {
    embedded_node Node;
    Node.check(Node.Operators, Count, {.Head = {}, .Repeated = get("/v1/vms")});
  }
}

// Bodies of the largest size arrive on many connections at the same time.
BOOST_AUTO_TEST_CASE(large_bodies_at_once) {
  embedded_node Node;
  Node.check(Node.Callers, 100,
             incompleteBody("/v1/halloran/newsletters/proof",
                            embedded_node::MaxBodyBytes));
}

BOOST_AUTO_TEST_CASE(short_header_lines) {
  embedded_node Node;
  Node.check(Node.Callers, 500, shortHeaderLines());
}

// Slow senders took all connections of the listener, so that others waited
// until their time limits.
BOOST_AUTO_TEST_CASE(headers_byte_by_byte) {
  embedded_node Node;
  Node.check(Node.Callers, TooManyConnections, headerByteByByte());
}

BOOST_AUTO_TEST_CASE(connections_that_are_only_opened) {
  embedded_node Node;
  Node.check(Node.Callers, TooManyConnections, {});
}

BOOST_AUTO_TEST_CASE(largest_body_is_accepted) {
  embedded_node Node;
  const int Status = statusOf(Node.Loop, Node.Callers,
                              post("/none", embedded_node::MaxBodyBytes) +
                                  std::string(embedded_node::MaxBodyBytes, 'x'),
                              OrdinaryLimit);
  BOOST_TEST(Status == 404);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_node_limits)

BOOST_AUTO_TEST_CASE(pipelining_without_route) {
  for (const std::size_t Count : Sizes) {
    platform_node Node;
    Node.check(Node.callers(), Count, {.Head = {}, .Repeated = get("/none")});
  }
}

BOOST_AUTO_TEST_CASE(pipelining_with_route) {
  for (const std::size_t Count : Sizes) {
    platform_node Node;
    Node.check(Node.callers(), Count,
               {.Head = {}, .Repeated = get("/crowd/" + Node.JobId)});
  }
}

BOOST_AUTO_TEST_CASE(pipelining_at_readiness_listener) {
  for (const std::size_t Count : Sizes) {
    platform_node Node;
    Node.check(Node.readiness(), Count,
               {.Head = {}, .Repeated = get("/metrics")});
  }
}

BOOST_AUTO_TEST_CASE(pipelining_at_peers_listener) {
  for (const std::size_t Count : Sizes) {
    platform_node Node;
    Node.check(Node.peers(), Count,
               {.Head = {}, .Repeated = get("/v1/jobs/crowd/" + Node.JobId)});
  }
}

BOOST_AUTO_TEST_CASE(large_bodies_at_once) {
  platform_node Node;
  Node.check(
      Node.callers(), 1000,
      incompleteBody("/crowd/0000000000000002", platform_node::MaxBodyBytes));
}

// Requests with bodies that were received completely hold memory as well.
BOOST_AUTO_TEST_CASE(pipelining_of_large_bodies) {
  for (const std::size_t Count : Sizes) {
    platform_node Node;
    const std::string Job = platform_node::largestJob();
    Node.check(Node.callers(), Count,
               {.Head = {},
                .Repeated = post("/crowd/0000000000000002", Job.size()) + Job});
  }
}

BOOST_AUTO_TEST_CASE(large_bodies_at_peers_listener) {
  platform_node Node;
  Node.check(Node.peers(), 1000,
             incompleteBody("/v1/jobs/crowd/0000000000000002",
                            platform_node::MaxBodyBytes));
}

BOOST_AUTO_TEST_CASE(short_header_lines) {
  platform_node Node;
  Node.check(Node.callers(), 500, shortHeaderLines());
}

BOOST_AUTO_TEST_CASE(headers_byte_by_byte) {
  platform_node Node;
  Node.check(Node.callers(), TooManyConnections, headerByteByByte());
}

BOOST_AUTO_TEST_CASE(connections_that_are_only_opened) {
  platform_node Node;
  Node.check(Node.callers(), TooManyConnections, {});
}

BOOST_AUTO_TEST_CASE(connections_that_are_only_opened_at_readiness_listener) {
  platform_node Node;
  Node.check(Node.readiness(), TooManyConnections, {});
}

BOOST_AUTO_TEST_CASE(largest_body_is_accepted) {
  platform_node Node;
  const std::string Job = platform_node::largestJob();
  const int Status = statusOf(Node.Run.Loop, Node.callers(),
                              post("/crowd/0000000000000002", Job.size()) + Job,
                              OrdinaryLimit);
  BOOST_TEST(Status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
