#include "store.hpp"
#include "galenalink/http/loop.hpp"
#include "galenalink/http/server.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;

namespace {

constexpr duration Patience = std::chrono::seconds{5};

/** A store on loopback that gives one answer to every call. */
struct stand_in {
  http::loop Loop;
  int Status{200};
  std::string Body;
  std::vector<std::string> Paths;
  std::vector<std::string> Bodies;
  bool Breaks{false};
  /** Time until an answer leaves. */
  duration Delay{0};
  std::vector<http::timer> Timers;
  http::server Server{Loop, {}, [this](http::exchange Exchange) {
                        Paths.push_back(Exchange.received().Path);
                        Bodies.push_back(Exchange.body());
                        if (Breaks)
                          Exchange.abort();
                        else if (Delay.count() > 0)
                          answerLater(std::move(Exchange));
                        else
                          Exchange.reply(Status, {}, Body);
                      }};
  http::client Client{Loop, {}};
  std::uint16_t Port{tryOr([&] { return Server.listen("127.0.0.1", 0); },
                           [](const error &) { return std::uint16_t{0}; })};
  users_platform::store Store{Client, {"127.0.0.1", Port}};

  void answerLater(http::exchange Exchange) {
    auto Shared = std::make_shared<http::exchange>(std::move(Exchange));
    Timers.push_back(Loop.at(boot_clock::now() + Delay, [this, Shared] {
      Shared->reply(Status, {}, Body);
    }));
  }

  template <typename Result, typename Call> Result await(const Call &Start) {
    std::optional<Result> Got;
    Start([&](const Result &Answer) { Got = Answer; });
    BOOST_REQUIRE(Loop.runUntil([&] { return Got.has_value(); },
                                boot_clock::now() + Patience));
    return *Got;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_of_the_users_platform)

// Records must be framed by their length, with the key before the value.
BOOST_AUTO_TEST_CASE(append_frames_records) {
  stand_in Stand;
  Stand.Body = R"({"offset":0,"end":2})";
  const auto Result = Stand.await<append_result>([&](auto Callback) {
    Stand.Store.append(7, 3, {{"ab", "xyz"}, {"c", std::nullopt}},
                       boot_clock::now() + Patience, Callback);
  });
  BOOST_CHECK(Result.Outcome == call_outcome::Done);
  BOOST_TEST(Stand.Bodies[0] == std::string("\0\0\0\6\2abxyz\0\0\0\2\1c", 16));
  BOOST_TEST(Stand.Paths[0].find("epoch=7&seq=3") != std::string::npos);
}

// What was refused, superseded or may have been done must be told apart.
BOOST_AUTO_TEST_CASE(outcomes_are_told_apart) {
  stand_in Stand;
  const auto Append = [&] {
    return Stand
        .await<append_result>([&](auto Callback) {
          Stand.Store.append(1, 0, {{"a", "b"}}, boot_clock::now() + Patience,
                             Callback);
        })
        .Outcome;
  };
  Stand.Status = 409;
  Stand.Body = R"({"reason":"fenced"})";
  BOOST_CHECK(Append() == call_outcome::Fenced);
  Stand.Status = 503;
  BOOST_CHECK(Append() == call_outcome::Refused);
  Stand.Breaks = true;
  BOOST_CHECK(Append() == call_outcome::Unknown);
}

// A read must give the records and where to read on.
BOOST_AUTO_TEST_CASE(read_decodes_records) {
  stand_in Stand;
  Stand.Body = std::string("\0\0\0\0\0\0\0\7\0\0\0\0\0\0\0\2", 16) +
               std::string("\0\0\0\4\1kvw\0\0\0\2\1z", 14);
  const auto Result = Stand.await<read_result>([&](auto Callback) {
    Stand.Store.read(topic::Registrations, 5, 0, Callback);
  });
  BOOST_CHECK(Result.Outcome == call_outcome::Done);
  BOOST_TEST(Result.End == 7U);
  BOOST_TEST(Result.Next == 7U);
  BOOST_CHECK((Result.Records ==
               std::vector<keyed_record>{{"k", "vw"}, {"z", std::nullopt}}));
}

// A body that is cut short must be no empty read.
BOOST_AUTO_TEST_CASE(short_body_is_no_empty_read) {
  stand_in Stand;
  Stand.Body = std::string("\0\0\0\0\0\0\0\7\0\0\0\0\0\0\0\2\0\0\0\7k", 21);
  const auto Result = Stand.await<read_result>(
      [&](auto Callback) { Stand.Store.read(topic::Jobs, 5, 0, Callback); });
  BOOST_CHECK(Result.Outcome == call_outcome::Unknown);
}

// Expired history must name where to go on, and not look like a failure.
BOOST_AUTO_TEST_CASE(expired_history) {
  stand_in Stand;
  Stand.Status = 410;
  Stand.Body = R"({"first":12})";
  const auto Result = Stand.await<read_result>(
      [&](auto Callback) { Stand.Store.read(topic::Leader, 5, 0, Callback); });
  BOOST_TEST(Result.Expired);
  BOOST_TEST(Result.Next == 12U);
}

// Values are base64, and an unreadable page is no empty list.
BOOST_AUTO_TEST_CASE(newest_records) {
  stand_in Stand;
  Stand.Body =
      R"({"items":[{"key":"a","value":"aGk=","offset":1},)"
      R"({"key":"b","value":"aGkh","offset":2}],"hasMore":false,"end":4})";
  auto Result = Stand.await<latest_result>(
      [&](auto Callback) { Stand.Store.newest(topic::Jobs, Callback); });
  BOOST_CHECK(
      (Result.Records == std::vector<keyed_record>{{"a", "hi"}, {"b", "hi!"}}));
  BOOST_TEST(Result.End == 4U);
  Stand.Body = "{";
  Result = Stand.await<latest_result>(
      [&](auto Callback) { Stand.Store.newest(topic::Jobs, Callback); });
  BOOST_CHECK(Result.Outcome == call_outcome::Unknown);
}

// A node with a slow link never got a page of 1 MB in time, and led without
// having recovered.
BOOST_AUTO_TEST_CASE(large_page_on_a_slow_link) {
  stand_in Stand;
  Stand.Body = R"({"items":[],"hasMore":false,"end":4})";
  Stand.Delay = std::chrono::milliseconds{1300};
  const auto Result = Stand.await<latest_result>(
      [&](auto Callback) { Stand.Store.newest(topic::Jobs, Callback); });
  BOOST_CHECK(Result.Outcome == call_outcome::Done);
}

BOOST_AUTO_TEST_SUITE_END()
