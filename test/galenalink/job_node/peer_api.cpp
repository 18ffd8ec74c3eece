#include "galenalink/job_node/peer_api.hpp"
#include "galenalink/http/client.hpp"
#include "galenalink/http/loop.hpp"
#include "galenalink/http/server.hpp"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace galenalink;
using namespace galenalink::job_node;
using nlohmann::json;

namespace {

constexpr duration TestTimeout = std::chrono::seconds{5};

std::string toBytes(const json &Json) {
  const auto Bytes = json::to_cbor(Json);
  return {Bytes.begin(), Bytes.end()};
}

caller_request makeRequest() {
  caller_request Request;
  Request.Kind = request_kind::Submit;
  Request.Job = "0123456789abcdef";
  Request.Queue = "press";
  Request.Deadline = boot_clock::now() + TestTimeout;
  Request.Spec.Steps.resize(1);
  Request.Spec.Steps[0].Count = 1;
  return Request;
}

/** @return The request as a node decodes it. */
std::optional<caller_request> receive(const http::request &Sent) {
  http::loop Loop;
  std::optional<caller_request> Received;
  http::server Server{Loop, {}, [&](http::exchange Exchange) {
                        Received = parseRequest(Exchange);
                        Exchange.reply(200, {}, {});
                      }};
  http::client Client{Loop, {}};
  const auto Port = tryOr([&] { return Server.listen("127.0.0.1", 0); },
                          [](const error &) { return std::uint16_t{0}; });
  bool Done = false;
  Client.send({"127.0.0.1", Port}, Sent, boot_clock::now() + TestTimeout,
              [&](const http::answer &) { Done = true; });
  BOOST_REQUIRE(
      Loop.runUntil([&] { return Done; }, boot_clock::now() + TestTimeout));
  return Received;
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_peer_messages)

// A deeply nested body exhausted the stack; a job without tasks or with an id
// that is no part of a task's name would have been stored for every leader.
BOOST_AUTO_TEST_CASE(odd_requests_are_rejected) {
  BOOST_TEST(receive(toRequest(makeRequest())).has_value());
  http::request Deep = toRequest(makeRequest());
  Deep.Body = std::string(260000, '\x81');
  BOOST_TEST(!receive(Deep));
  caller_request Odd = makeRequest();
  Odd.Spec.Steps[0].Count = 0;
  BOOST_TEST(!receive(toRequest(Odd)));
  for (const std::string &Id :
       {std::string{"a.b"}, std::string(300, 'a'), std::string{"a\xff"}}) {
    Odd = makeRequest();
    Odd.Job = Id;
    BOOST_TEST(!receive(toRequest(Odd)));
  }
}

// The sum of a huge wait and the clock overflowed, so that the request expired
// before it was served.
BOOST_AUTO_TEST_CASE(huge_wait_is_limited) {
  http::request Request = toRequest(makeRequest());
  for (auto &Each : Request.Headers)
    Each.Value = "9223372036854775807";
  const auto Received = receive(Request);
  BOOST_REQUIRE(Received.has_value());
  BOOST_TEST((Received->Deadline > boot_clock::now()));
}

// A reply with an unknown verdict was never answered to the caller.
BOOST_AUTO_TEST_CASE(odd_replies_are_rejected) {
  BOOST_TEST(parseReply(toBytes(json::array({0, 1, 2, 3, "why"}))).has_value());
  for (const json &Reply :
       {json::array({9, 1, 2, 3, "why"}), json::array({-1, 1, 2, 3, "why"}),
        json::array({256, 1, 2, 3, "why"}), json::array({0, 5, 2, 3, "why"}),
        json::array({0, 1, -2, 3, "why"}),
        json::array({0, 1, 2, 4294967296U * 2, "why"}),
        json::array({0, 1, 2, 3, "\xff"}), json::array({0, 1, 2, 3}),
        json::array({0, 1, 2, 3, 4})})
    BOOST_TEST(!parseReply(toBytes(Reply)));
  for (const char Each : {'\x81', '\x9f', '\x5f', '\x7f'})
    BOOST_TEST(!parseReply(std::string(260000, Each)));
}

// A node that the store does not serve learns of the present leader and of
// newer rules from replies. Those of an earlier version lack both.
BOOST_AUTO_TEST_CASE(reply_names_leader_and_rules) {
  peer_reply Reply;
  Reply.Reply.Verdict = job::caller_reply::verdict::NotLeading;
  Reply.RulesVersion = 7;
  Reply.Leader = {12, "a@1", "127.0.0.1:1"};
  const auto Received = parseReply(toBody(Reply));
  BOOST_REQUIRE(Received);
  BOOST_TEST(Received->RulesVersion == 7U);
  BOOST_CHECK(Received->Leader == Reply.Leader);
  const auto Earlier = parseReply(toBytes(json::array({5, 1, 2, 3, "why"})));
  BOOST_REQUIRE(Earlier);
  BOOST_TEST(Earlier->RulesVersion == 0U);
  BOOST_TEST(Earlier->Leader.Epoch == 0U);
  BOOST_CHECK(*parseLeader(toBody(Reply.Leader)) == Reply.Leader);
  for (const json &Odd :
       {json::array({0, "a", "b"}), json::array({-1, "a", "b"}),
        json::array({1, "a", ""}), json::array({1, "a"}), json(7)})
    BOOST_TEST(!parseLeader(toBytes(Odd)));
}

// The leader decides on the key with what the entry node found. A key that
// contains characters with a meaning in headers must arrive unchanged.
BOOST_AUTO_TEST_CASE(key_and_decision_reach_the_leader) {
  caller_request Request = makeRequest();
  Request.Key = "k 1\r\nHost: other";
  Request.Access = {job::access_verdict::Granted, "north & south"};
  Request.RulesVersion = 7;
  auto Received = receive(toRequest(Request));
  BOOST_REQUIRE(Received);
  BOOST_TEST(Received->Key == Request.Key);
  BOOST_CHECK(Received->Access == Request.Access);
  Request.Access = {};
  Received = receive(toRequest(Request));
  BOOST_CHECK(Received->Access.Verdict == job::access_verdict::UnknownKey);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/** @brief Rules of a version with one customer and a queue. */
job::fleet_rules rulesWithKey(const std::uint64_t Version, const char *Key) {
  job::fleet_rules Rules;
  Rules.Version = Version;
  Rules.Queues.emplace_back().Name = "press";
  Rules.Customers.emplace();
  Rules.Customers->push_back({"north", {Key}, 0, {}});
  return Rules;
}

job::access_verdict decide(const job::fleet_rules &Rules,
                           const caller_request &Request) {
  return decideAccess(Rules, job::key_index{Rules}, Request).Verdict;
}

} // namespace

BOOST_AUTO_TEST_SUITE(access_at_the_leader)

// A node that is cut off from the store goes on admitting a key that was taken
// away, and refuses one that was added. The leader has the newer rules.
BOOST_AUTO_TEST_CASE(newer_rules_of_the_leader_decide) {
  caller_request Request = makeRequest();
  Request.RulesVersion = 6;
  Request.Key = "removed";
  Request.Access = {job::access_verdict::Granted, "north"};
  const auto Rules = rulesWithKey(7, "added");
  BOOST_CHECK(decide(Rules, Request) == job::access_verdict::UnknownKey);
  Request.Key = "added";
  Request.Access = {};
  BOOST_CHECK(decide(Rules, Request) == job::access_verdict::Granted);
}

// A leader that has not read the newest version yet must not refuse a new key,
// nor admit one that was taken away.
BOOST_AUTO_TEST_CASE(newer_rules_of_the_entry_node_decide) {
  caller_request Request = makeRequest();
  Request.RulesVersion = 8;
  Request.Key = "added";
  Request.Access = {job::access_verdict::Granted, "north"};
  const auto Rules = rulesWithKey(7, "removed");
  BOOST_CHECK(decide(Rules, Request) == job::access_verdict::Granted);
  Request.Key = "removed";
  Request.Access = {};
  BOOST_CHECK(decide(Rules, Request) == job::access_verdict::UnknownKey);
}

// The jobs of a queue that was removed are accessible by a valid key only.
BOOST_AUTO_TEST_CASE(removed_queue_still_needs_a_key) {
  caller_request Request = makeRequest();
  Request.Queue = "removed";
  Request.RulesVersion = 6;
  Request.Access = {job::access_verdict::Granted, "north"};
  const auto Rules = rulesWithKey(7, "key");
  Request.Key = "key";
  BOOST_CHECK(decide(Rules, Request) == job::access_verdict::Granted);
  Request.Key = "other";
  BOOST_CHECK(decide(Rules, Request) == job::access_verdict::UnknownKey);
  Request.Key.clear();
  Request.Access = {job::access_verdict::Granted, ""};
  BOOST_CHECK(decide(Rules, Request) == job::access_verdict::Granted);
}

BOOST_AUTO_TEST_SUITE_END()
