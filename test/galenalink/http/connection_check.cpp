#include "fixture.hpp"
#include <algorithm>
#include <vector>

using namespace galenalink;
using namespace galenalink::http;
using namespace galenalink::http::test;
using namespace std::chrono_literals;

namespace {

/** @brief A server that names its process in each response, and a client that
 * expects one. */
struct checked_peer {
  loop Loop;
  /** The process that serves at present. */
  std::string Process{"first"};
  bool RespondsToChecks{true};
  bool ClosesAfterChecks{false};
  /** Paths of the requests that arrived. */
  std::vector<std::string> Paths;
  std::vector<exchange> Unanswered;
  server Server{Loop, {}, [this](exchange Exchange) {
                  Paths.emplace_back(Exchange.path());
                  const bool IsCheck = Exchange.path() == "/check";
                  if (IsCheck && !RespondsToChecks) {
                    Unanswered.push_back(std::move(Exchange));
                    return;
                  }
                  headers Headers;
                  if (IsCheck && ClosesAfterChecks)
                    Headers.push_back({"Connection", "close"});
                  Exchange.reply(200, Headers, Process);
                }};
  address Address{Loopback, listenOrFail(Server)};
  client Client{Loop, {}};

  /** @brief Sends a request to the expected process and awaits the answer.
   * @param CheckAnswers The response to the check answers the request. */
  answer send(const std::string &Expected, const duration Limit = 10s,
              const bool CheckAnswers = false) {
    request Request{method::Post, "/order", {}, "body"};
    Request.Check = connection_check{Expected,
                                     method::Post,
                                     "/check",
                                     {},
                                     "",
                                     [Expected](const response &Response) {
                                       return Response.Body == Expected;
                                     }};
    Request.Check->AnswersRequest = CheckAnswers;
    std::optional<answer> Answer;
    Client.send(Address, std::move(Request), boot_clock::now() + Limit,
                [&](answer Each) { Answer = std::move(Each); });
    BOOST_REQUIRE(wait(Loop, [&] { return Answer.has_value(); }));
    return *Answer;
  }

  [[nodiscard]] std::ptrdiff_t count(const std::string &Path) const {
    return std::ranges::count(Paths, Path);
  }
};

bool isNotSent(const answer &Answer) {
  const auto *Failure = std::get_if<failure>(&Answer);
  return Failure != nullptr && Failure->Delivery == delivery::NotSent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(connection_check)

// An order that was meant for a process that had ended reached its successor at
// the same address, which carried it out.
BOOST_AUTO_TEST_CASE(request_is_not_sent_to_another_process) {
  checked_peer Peer;
  Peer.Process = "second";
  BOOST_TEST(isNotSent(Peer.send("first")));
  BOOST_TEST(Peer.count("/order") == 0);
  BOOST_REQUIRE(std::holds_alternative<response>(Peer.send("second")));
  BOOST_TEST(Peer.count("/order") == 1);
}

// Each request paid for a check, although its connection had been checked.
BOOST_AUTO_TEST_CASE(connection_is_checked_once) {
  checked_peer Peer;
  for (int I = 0; I < 3; ++I)
    BOOST_REQUIRE(std::holds_alternative<response>(Peer.send("first")));
  BOOST_TEST(Peer.count("/check") == 1);
  BOOST_TEST(Peer.count("/order") == 3);
}

// A connection that had been checked for one process was used for requests to
// another one.
BOOST_AUTO_TEST_CASE(connection_of_another_process_is_not_used) {
  checked_peer Peer;
  BOOST_REQUIRE(std::holds_alternative<response>(Peer.send("first")));
  BOOST_TEST(isNotSent(Peer.send("second")));
  BOOST_TEST(Peer.count("/check") == 2);
  BOOST_TEST(Peer.count("/order") == 1);
}

// A request whose connection check got no response counted as possibly carried
// out, although no byte of it had been written.
BOOST_AUTO_TEST_CASE(request_without_a_check_response_is_not_sent) {
  checked_peer Peer;
  Peer.RespondsToChecks = false;
  BOOST_TEST(isNotSent(Peer.send("first", 50ms)));
  BOOST_TEST(Peer.count("/check") == 1);
  BOOST_TEST(Peer.count("/order") == 0);
  BOOST_TEST(Peer.Client.connections(Peer.Address) == 0U);
}

// A request that asks for what the check returns needs no second round trip,
// but only on a new connection.
BOOST_AUTO_TEST_CASE(check_answers_a_request_on_a_new_connection) {
  checked_peer Peer;
  for (int I = 0; I < 2; ++I)
    BOOST_REQUIRE(
        std::holds_alternative<response>(Peer.send("first", 10s, true)));
  BOOST_TEST(Peer.count("/check") == 1);
  BOOST_TEST(Peer.count("/order") == 1);
}

// A connection that ended with its check was opened anew for the request, which
// reached whichever process served then.
BOOST_AUTO_TEST_CASE(request_is_not_moved_to_a_new_connection_after_the_check) {
  checked_peer Peer;
  Peer.ClosesAfterChecks = true;
  BOOST_TEST(isNotSent(Peer.send("first")));
  BOOST_TEST(Peer.count("/order") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
