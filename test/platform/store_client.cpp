#include "store_client.hpp"
#include "galenalink/http/loop.hpp"
#include "galenalink/http/server.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;

namespace {

constexpr duration TestTimeout = std::chrono::seconds{5};

/** A store on loopback that sends the same response to every request. */
struct store_fixture {
  http::loop Loop;
  int Status{200};
  std::string Body;
  std::vector<std::string> Paths;
  std::vector<std::string> Bodies;
  bool AbortsConnection{false};
  duration ResponseDelay{0};
  std::vector<http::timer> Timers;
  http::server Server{Loop, {}, [this](http::exchange Exchange) {
                        Paths.push_back(Exchange.received().Path);
                        Bodies.push_back(Exchange.body());
                        if (AbortsConnection)
                          Exchange.abort();
                        else if (ResponseDelay.count() > 0)
                          replyLater(std::move(Exchange));
                        else
                          Exchange.reply(Status, {}, Body);
                      }};
  http::client Client{Loop, {}};
  std::uint16_t Port{tryOr([&] { return Server.listen("127.0.0.1", 0); },
                           [](const error &) { return std::uint16_t{0}; })};
  users_platform::store_client Store{Client, Client, {"127.0.0.1", Port}};

  void replyLater(http::exchange Exchange) {
    auto Shared = std::make_shared<http::exchange>(std::move(Exchange));
    Timers.push_back(Loop.at(boot_clock::now() + ResponseDelay, [this, Shared] {
      Shared->reply(Status, {}, Body);
    }));
  }

  template <typename Result, typename Call> Result await(const Call &Start) {
    std::optional<Result> Received;
    Start([&](const Result &Answer) { Received = Answer; });
    BOOST_REQUIRE(Loop.runUntil([&] { return Received.has_value(); },
                                boot_clock::now() + TestTimeout));
    return *Received;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_store_client)

// Records must be framed by their length, with the length-prefixed key before
// the value.
BOOST_AUTO_TEST_CASE(append_frames_records) {
  store_fixture Fixture;
  Fixture.Body = R"({"offset":0,"end":2})";
  const auto Result = Fixture.await<append_result>([&](auto Callback) {
    Fixture.Store.append(7, 3, {{"ab", "xyz"}, {"c", std::nullopt}},
                         boot_clock::now() + TestTimeout, Callback);
  });
  BOOST_CHECK(Result.Outcome == call_outcome::Done);
  BOOST_TEST(Fixture.Bodies[0] ==
             std::string("\0\0\0\6\2abxyz\0\0\0\2\1c", 16));
  BOOST_TEST(Fixture.Paths[0].find("epoch=7&seq=3") != std::string::npos);
}

// Appends that were refused, fenced or possibly carried out must have different
// outcomes.
BOOST_AUTO_TEST_CASE(append_outcomes_are_distinguished) {
  store_fixture Fixture;
  const auto Append = [&] {
    return Fixture
        .await<append_result>([&](auto Callback) {
          Fixture.Store.append(1, 0, {{"a", "b"}},
                               boot_clock::now() + TestTimeout, Callback);
        })
        .Outcome;
  };
  Fixture.Status = 409;
  Fixture.Body = R"({"reason":"fenced"})";
  BOOST_CHECK(Append() == call_outcome::Fenced);
  Fixture.Status = 503;
  BOOST_CHECK(Append() == call_outcome::Refused);
  Fixture.AbortsConnection = true;
  BOOST_CHECK(Append() == call_outcome::Unknown);
}

// A read must return the records and the offset of the next read, or records
// would be skipped or read twice.
BOOST_AUTO_TEST_CASE(read_decodes_records) {
  store_fixture Fixture;
  Fixture.Body = std::string("\0\0\0\0\0\0\0\7\0\0\0\0\0\0\0\2", 16) +
                 std::string("\0\0\0\4\1kvw\0\0\0\2\1z", 14);
  const auto Result = Fixture.await<read_result>([&](auto Callback) {
    Fixture.Store.read(topic::Registrations, 5, 0, Callback);
  });
  BOOST_CHECK(Result.Outcome == call_outcome::Done);
  BOOST_TEST(Result.End == 7U);
  BOOST_TEST(Result.Next == 7U);
  BOOST_CHECK((Result.Records ==
               std::vector<keyed_record>{{"k", "vw"}, {"z", std::nullopt}}));
}

// On an overloaded leader, responses of the store waited behind thousands of
// callbacks of other clients: the leader went by rules that were seconds old,
// and acknowledged cancels seconds late.
BOOST_AUTO_TEST_CASE(rules_and_appends_do_not_wait_behind_other_callbacks) {
  store_fixture Fixture;
  http::client UrgentClient{Fixture.Loop, {.UrgentCallbacks = true}};
  users_platform::store_client Store{
      Fixture.Client, UrgentClient, {"127.0.0.1", Fixture.Port}};
  constexpr int Callbacks = 400;
  constexpr duration CallbackTime = std::chrono::milliseconds{5};
  const auto Work = [CallbackTime] {
    const time_point End = boot_clock::now() + CallbackTime;
    while (boot_clock::now() < End) {
    }
  };
  const auto Elapsed = [&](const auto &Send) {
    for (int I = 0; I < Callbacks; ++I)
      Fixture.Loop.post(Work);
    const time_point Start = boot_clock::now();
    time_point End = time_point::max();
    Send([&](const auto &) { End = boot_clock::now(); });
    BOOST_REQUIRE(
        Fixture.Loop.runUntil([&] { return End != time_point::max(); },
                              boot_clock::now() + 2 * TestTimeout));
    return End - Start;
  };
  constexpr duration Backlog = Callbacks * CallbackTime;
  Fixture.Body = std::string(16, '\0');
  BOOST_CHECK(Elapsed([&](auto Callback) {
                Store.read(topic::Operator, 0, 0, Callback);
              }) < Backlog / 2);
  Fixture.Body = R"({"offset":0,"end":2})";
  BOOST_CHECK(Elapsed([&](auto Callback) {
                Store.append(1, 0, {{"a", "b"}},
                             boot_clock::now() + 2 * TestTimeout, Callback);
              }) < Backlog / 2);
}

// A truncated body must not pass for an empty read.
BOOST_AUTO_TEST_CASE(truncated_read_has_unknown_outcome) {
  store_fixture Fixture;
  Fixture.Body = std::string("\0\0\0\0\0\0\0\7\0\0\0\0\0\0\0\2\0\0\0\7k", 21);
  const auto Result = Fixture.await<read_result>(
      [&](auto Callback) { Fixture.Store.read(topic::Jobs, 5, 0, Callback); });
  BOOST_CHECK(Result.Outcome == call_outcome::Unknown);
}

// A read of an expired offset must return the first retained offset and not
// pass for a failed read.
BOOST_AUTO_TEST_CASE(read_of_expired_offset) {
  store_fixture Fixture;
  Fixture.Status = 410;
  Fixture.Body = R"({"first":12})";
  const auto Result = Fixture.await<read_result>([&](auto Callback) {
    Fixture.Store.read(topic::Leader, 5, 0, Callback);
  });
  BOOST_TEST(Result.Expired);
  BOOST_TEST(Result.Next == 12U);
}

// Values are base64. A malformed page must not pass for an empty one.
BOOST_AUTO_TEST_CASE(latest_records_are_decoded) {
  store_fixture Fixture;
  Fixture.Body =
      R"({"items":[{"key":"a","value":"aGk=","offset":1},)"
      R"({"key":"b","value":"aGkh","offset":2}],"hasMore":false,"end":4})";
  auto Result = Fixture.await<latest_result>(
      [&](auto Callback) { Fixture.Store.readLatest(topic::Jobs, Callback); });
  BOOST_CHECK(
      (Result.Records == std::vector<keyed_record>{{"a", "hi"}, {"b", "hi!"}}));
  BOOST_TEST(Result.End == 4U);
  Fixture.Body = "{";
  Result = Fixture.await<latest_result>(
      [&](auto Callback) { Fixture.Store.readLatest(topic::Jobs, Callback); });
  BOOST_CHECK(Result.Outcome == call_outcome::Unknown);
}

// With a shorter timeout a node on a slow link never received a page of 1 MB in
// time, and became the leader without having recovered the state.
BOOST_AUTO_TEST_CASE(slow_page_of_latest_records) {
  store_fixture Fixture;
  Fixture.Body = R"({"items":[],"hasMore":false,"end":4})";
  Fixture.ResponseDelay = std::chrono::milliseconds{1300};
  const auto Result = Fixture.await<latest_result>(
      [&](auto Callback) { Fixture.Store.readLatest(topic::Jobs, Callback); });
  BOOST_CHECK(Result.Outcome == call_outcome::Done);
}

BOOST_AUTO_TEST_SUITE_END()
