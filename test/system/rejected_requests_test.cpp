#include "system/crowd_nodes.hpp"
#include <boost/mpl/vector.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <vector>

// Requests that are rejected before they reach a handler: malformed ones and
// ones with a body above the limit. The client gets the status at once, its
// connection is closed, and nobody else notices.

using namespace galenalink;
using namespace galenalink::system_test;

namespace {

/** Rejected requests one after another, each followed by an ordinary one. */
constexpr std::size_t Repeats = 10;
/** Clients that send malformed requests one after another, and ordinary
 * requests that are sent meanwhile. */
constexpr std::size_t CrowdSize = 100;
constexpr std::size_t OrdinaryRequests = 20;

std::string postChunked(const std::string &FirstChunkLength) {
  return "POST /none HTTP/1.1\r\nHost: 127.0.0.1\r\nTransfer-Encoding: "
         "chunked\r\n\r\n" +
         FirstChunkLength + "\r\n";
}

const std::string MalformedRequests[] = {
    post("/none", 5, "Transfer-Encoding: chunked\r\n") + "hello",
    postChunked("-1"),
    postChunked("7fffffffffffffff"),
    "GET / HTTP/1.1\r\nno colon\r\n\r\n",
};

/** @brief A listener and an ordinary request to it with its status. */
struct listener_case {
  http::address Address;
  std::string Ordinary;
  int Status;
  std::size_t MaxBodyBytes;
};

std::vector<listener_case> listenersOf(const embedded_node &Node) {
  return {
      {Node.Callers, get("/health"), 200, embedded_node::MaxBodyBytes},
      {Node.Operators, get("/v1/status"), 200, embedded_node::MaxBodyBytes}};
}

std::vector<listener_case> listenersOf(const platform_node &Node) {
  return {{platform_node::callers(), get("/crowd/" + Node.JobId), 200,
           platform_node::MaxBodyBytes},
          {platform_node::peers(), get("/unknown"), 400, 8 * Megabyte},
          {platform_node::readiness(), get("/ready"), 200, 4096}};
}

template <typename Node>
void checkOrdinary(Node &Tested, const listener_case &Listener) {
  BOOST_TEST(statusOf(Tested.loop(), Listener.Address, Listener.Ordinary,
                      OrdinaryLimit) == Listener.Status);
}

/** @brief Sends the request on a connection of its own, several times, and an
 * ordinary one on another after each.
 * @param Accepted Returns whether the status is one that the request may get.
 */
template <typename Node>
void checkRejected(Node &Tested, const listener_case &Listener,
                   const std::string &Request,
                   const std::function<bool(int)> &Accepted) {
  for (std::size_t I = 0; I < Repeats; ++I) {
    const auto Got = sendUntilClosed(Tested.loop(), Listener.Address, Request,
                                     OrdinaryLimit);
    BOOST_TEST(Accepted(Got.Status), "status " << Got.Status);
    BOOST_TEST(Got.Closed);
    checkOrdinary(Tested, Listener);
  }
}

bool isMalformed(const int Status) { return Status == 400 || Status == 413; }
bool isTooLarge(const int Status) { return Status == 413; }

template <typename Node> void checkMalformedOneByOne() {
  Node Tested;
  for (const auto &Listener : listenersOf(Tested)) {
    for (const auto &Malformed : MalformedRequests)
      checkRejected(Tested, Listener, Malformed, isMalformed);
  }
  checkProcess(Tested.nodeProcess());
}

/** @brief Ordinary requests while a crowd sends malformed ones. */
template <typename Node> void checkMalformedCrowd() {
  Node Tested;
  for (const auto &Listener : listenersOf(Tested)) {
    std::size_t Sent = 0;
    const repeating_clients Crowd{
        Tested.loop(), Listener.Address, CrowdSize, [&Sent] {
          return MalformedRequests[Sent++ % std::size(MalformedRequests)];
        }};
    for (std::size_t I = 0; I < OrdinaryRequests; ++I)
      checkOrdinary(Tested, Listener);
  }
  checkProcess(Tested.nodeProcess());
}

/** @param Headers Headers beside the length of the body.
 * @param SendBody Whether the client sends the body without waiting. */
template <typename Node>
void checkTooLarge(const std::string &Headers, const bool SendBody) {
  Node Tested;
  for (const auto &Listener : listenersOf(Tested)) {
    const std::size_t Bytes = Listener.MaxBodyBytes + Listener.MaxBodyBytes / 8;
    std::string Request = post("/none", Bytes, Headers);
    if (SendBody)
      Request += std::string(Bytes, 'x');
    checkRejected(Tested, Listener, Request, isTooLarge);
  }
  checkProcess(Tested.nodeProcess());
}

} // namespace

using nodes = boost::mpl::vector<embedded_node, platform_node>;

BOOST_AUTO_TEST_SUITE(malformed)

// A connection that was accepted within 100 ms after a malformed request, by
// any client, got no answer.
BOOST_AUTO_TEST_CASE_TEMPLATE(one_by_one, Node, nodes) {
  checkMalformedOneByOne<Node>();
}

BOOST_AUTO_TEST_CASE_TEMPLATE(crowd_goes_on, Node, nodes) {
  checkMalformedCrowd<Node>();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(too_large)

// A request whose headers announce a body above the limit got no answer while
// the client waited before it sent the body.
BOOST_AUTO_TEST_CASE_TEMPLATE(headers_alone, Node, nodes) {
  checkTooLarge<Node>({}, false);
}

BOOST_AUTO_TEST_CASE_TEMPLATE(expect_continue, Node, nodes) {
  checkTooLarge<Node>("Expect: 100-continue\r\n", false);
}

// A client that sends the whole body without reading must get the status, not
// a reset of the connection.
BOOST_AUTO_TEST_CASE_TEMPLATE(whole_body, Node, nodes) {
  checkTooLarge<Node>({}, true);
}

BOOST_AUTO_TEST_SUITE_END()
