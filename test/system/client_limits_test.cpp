#include "system/crowd_nodes.hpp"
#include <boost/test/unit_test.hpp>

// Clients outside our control must neither end a process nor keep ordinary
// callers out. The tests check memory, descriptors and one ordinary request;
// they do not check times.

using namespace galenalink;
using namespace galenalink::system_test;

namespace {

constexpr std::size_t Sizes[] = {8, 100};
/** More than a listener accepts at the same time. */
constexpr std::size_t TooManyConnections = 1500;
constexpr std::size_t MaxHeaderBytes = 16384;

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

/** @brief A complete request of the largest size, with a key of its own on each
 * connection. */
crowd_traffic completeBody(const std::string &Path,
                           const std::size_t BodyBytes) {
  crowd_traffic Traffic;
  Traffic.HeadOf = [=](const std::size_t Connection) {
    return post(Path, BodyBytes,
                "Idempotency-Key: " + std::to_string(1000 + Connection) +
                    "\r\n");
  };
  Traffic.Repeated = std::string(64 * Kilobyte, 'x');
  Traffic.MaxBytesPerConnection = Traffic.HeadOf(0).size() + BodyBytes;
  return Traffic;
}

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

// The node held bodies of requests that it had refused.
BOOST_AUTO_TEST_CASE(complete_large_bodies) {
  embedded_node Node;
  Node.check(Node.Callers, 60,
             completeBody("/v1/halloran/newsletters/mailing",
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
