#include "backend_server_client.hpp"
#include "codec.hpp"
#include "deep_array.hpp"
#include "galenalink/http/loop.hpp"
#include "galenalink/http/server.hpp"
#include "store_client.hpp"
#include "vm_client.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;
using namespace galenalink::users_platform;

namespace {

constexpr duration TestTimeout = std::chrono::seconds{5};
constexpr std::string_view Registration =
    R"({"service":"a","address":"10.0.0.1:80","zone":"z","state":"ready",)"
    R"("capacity":{"cpu":1000,"memMb":10},"labels":["a","r1"],"born":5,)"
    R"("seq":4})";

std::string replaced(const std::string_view Text, const std::string_view From,
                     const std::string_view To) {
  std::string Out{Text};
  Out.replace(Out.find(From), From.size(), To);
  return Out;
}

/** A service on loopback that sends the listed responses in turn, the last of
 * them from then on. */
struct scripted_service {
  http::loop Loop;
  int Status{200};
  std::vector<std::string> Bodies;
  std::vector<std::string> Requests;
  http::server Server{Loop, {}, [this](http::exchange Exchange) {
                        Requests.push_back(Exchange.received().Path);
                        const std::size_t Next =
                            std::min(Requests.size(), Bodies.size()) - 1;
                        Exchange.reply(Status, {}, Bodies.at(Next));
                      }};
  http::client Client{Loop, {}};
  std::uint16_t Port{tryOr([&] { return Server.listen("127.0.0.1", 0); },
                           [](const error &) { return std::uint16_t{0}; })};
  http::address Address{"127.0.0.1", Port};

  template <typename Result, typename Call> Result await(const Call &Start) {
    std::optional<Result> Received;
    Start([&](const Result &Answer) { Received = Answer; });
    BOOST_REQUIRE(Loop.runUntil([&] { return Received.has_value(); },
                                boot_clock::now() + TestTimeout));
    return *Received;
  }
  latest_result readLatest() {
    store_client Store{Client, Client, Address};
    return await<latest_result>([&](auto Callback) {
      Store.readLatest(topic::Registrations, Callback);
    });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(odd_registrations)

// An address with a port out of range or without a number was accepted; the
// leader then sent heartbeats to it every 200 ms and logged each failure.
BOOST_AUTO_TEST_CASE(unusable_address_names_no_server) {
  BOOST_REQUIRE(parseRegistration({"i-1", std::string{Registration}}));
  for (const std::string_view Port :
       {"0", "65536", "-1", "1e300", "", "80x", "99999999999999999999"}) {
    const std::string Address = "10.0.0.1:" + std::string{Port};
    BOOST_TEST_CONTEXT(Address)
    BOOST_TEST(!parseRegistration(
        {"i-1", replaced(Registration, "10.0.0.1:80", Address)}));
  }
  BOOST_TEST(!parseRegistration(
      {"i-1", replaced(Registration, R"("10.0.0.1:80")", "80")}));
}

// Numbers out of range were wrapped or cast with an undefined result: a
// negative capacity, a start time after all later ones.
BOOST_AUTO_TEST_CASE(numbers_out_of_range_name_no_server) {
  for (const std::string_view Number :
       {"-1", "1e300", "-1e300", "18446744073709551615", "1e400", "\"5\"", "[]",
        "true"}) {
    BOOST_TEST_CONTEXT(Number) {
      BOOST_TEST(
          !parseRegistration({"i-1", replaced(Registration, "1000", Number)}));
      BOOST_TEST(!parseRegistration(
          {"i-1", replaced(Registration, "\"born\":5",
                           "\"born\":" + std::string{Number})}));
      BOOST_TEST(!parseRegistration(
          {"i-1", replaced(Registration, "\"seq\":4",
                           "\"seq\":" + std::string{Number})}));
    }
  }
}

// An id becomes part of a record key with a length of one byte, of a header and
// of JSON bodies: one that is too long or not printable broke all three.
BOOST_AUTO_TEST_CASE(unusable_id_names_no_server) {
  const std::string Value{Registration};
  BOOST_TEST(!parseRegistration({"", Value}));
  BOOST_TEST(!parseRegistration({std::string(255, 'i'), Value}));
  BOOST_TEST(!parseRegistration({"i\r\nX-Other: 1", Value}));
  BOOST_TEST(!parseRegistration({"i-\xff", Value}));
}

// A deeply nested entry must be rejected without a call for each level.
BOOST_AUTO_TEST_CASE(deeply_nested_registration_names_no_server) {
  BOOST_TEST(!parseRegistration({"i-1", deepArray()}));
  BOOST_TEST(!parseRegistration(
      {"i-1", replaced(Registration, R"(["a","r1"])", deepArray())}));
  BOOST_TEST(
      parseRegistration({"i-1", replaced(Registration, "\"seq\":4",
                                         "\"seq\":4,\"other\":" + deepArray())})
          .has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(odd_operator_records)

// One unreadable route or service cost all others of the configuration.
BOOST_AUTO_TEST_CASE(bad_route_costs_that_route_only) {
  const auto Record = parseOperatorRecord(
      {"config",
       R"({"version":1,"routes":[7,{"name":"q","host":"h","pathPrefix":"/q/",)"
       R"("service":"s"},{"name":"r","host":"h","pathPrefix":"/r/",)"
       R"("service":"s","maxAttempts":-1},{"name":"t"}],)"
       R"("services":[{"name":3},{"name":"s"}]})"});
  BOOST_REQUIRE(std::holds_alternative<fleet_rules>(Record));
  const auto &Rules = std::get<fleet_rules>(Record);
  BOOST_REQUIRE(Rules.Queues.size() == 1U);
  BOOST_TEST(Rules.Queues[0].Name == "q");
  BOOST_TEST(Rules.Pools.size() == 1U);
}

// With a version that is negative or near 2^64, nodes ignored all later
// versions as older.
BOOST_AUTO_TEST_CASE(version_out_of_range_is_rejected) {
  for (const std::string_view Version : {"-1", "1e300", "18446744073709551615"})
    BOOST_TEST(std::holds_alternative<std::monostate>(parseOperatorRecord(
        {"config", R"({"routes":[],"services":[],"version":)" +
                       std::string{Version} + "}"})));
}

// A wave with one unreadable VM name must still cover the others; numbers out
// of range must not be wrapped.
BOOST_AUTO_TEST_CASE(odd_wave_keeps_its_valid_vms) {
  const auto Record = parseOperatorRecord(
      {"wave/1",
       R"({"wave":1,"machines":["m",3,{},"n"],"withinS":20,"cap":2})"});
  BOOST_REQUIRE(std::holds_alternative<wave>(Record));
  BOOST_TEST(std::get<wave>(Record).Vms.size() == 2U);
  for (const std::string_view Number : {"-1", "4294967297", "1e300"})
    BOOST_TEST(std::holds_alternative<std::monostate>(parseOperatorRecord(
        {"wave/1", R"({"wave":1,"machines":["m"],"withinS":)" +
                       std::string{Number} + "}"})));
  BOOST_TEST(std::holds_alternative<std::monostate>(
      parseOperatorRecord({"wave/1", R"({"wave":2,"machines":["m"]})"})));
  BOOST_TEST(std::holds_alternative<std::monostate>(
      parseOperatorRecord({"wave/x", R"({"wave":2,"machines":["m"]})"})));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(odd_responses)

// A response whose `reason` is not a text ended the process by an exception.
BOOST_AUTO_TEST_CASE(order_response_with_wrong_types) {
  for (const std::string_view Body :
       {R"({"reason":3,"born":7})", R"({"reason":["fence"],"born":7})"}) {
    order_response Response;
    BOOST_CHECK_NO_THROW(Response = parseOrderResponse(Body));
    BOOST_TEST(Response.Reason.empty());
    BOOST_TEST(Response.StartedAtMs == 7);
  }
  BOOST_CHECK_NO_THROW(
      static_cast<void>(parseOrderResponse(R"({"reason":"old","born":"x"})")));
  BOOST_TEST(parseOrderResponse(R"({"reason":"old","born":1e300})").Reason ==
             "old");
}

// One odd row made the whole response of a backend server unreadable, so that
// its leases expired; a row was logged with a recursive function.
BOOST_AUTO_TEST_CASE(odd_row_of_runs_costs_that_row) {
  for (const std::string &Row :
       {std::string{"7"}, std::string{"[]"}, std::string{"{}"},
        std::string{"null"}, std::string{R"(["a.0.1.2"])"},
        std::string{R"(["a.0.1.2",-1,"",0])"},
        std::string{R"(["a.0.1.2",1,"",1e300])"},
        std::string{R"(["a.0.1.2",1,"",-5])"},
        std::string{R"(["a.0.1.2",1,"",1e400])"},
        std::string{R"(["a.0.1.2",1,7,0])"},
        std::string{R"([["a.0.1.2"],1,"",0])"},
        R"(["bad",1,"",0,)" + deepArray() + "]"}) {
    heartbeat_result Result;
    BOOST_TEST_CONTEXT(Row.substr(0, 40)) {
      BOOST_TEST(parseHeartbeatResponse(R"({"clockMs":9,"running":[)" + Row +
                                            R"(,["a.0.1.3",4,"s",41,7]],)" +
                                            R"("finished":[]})",
                                        Result));
      BOOST_TEST(Result.Running.size() == 1U);
      BOOST_TEST(Result.Incomplete);
    }
  }
}

// A wrapped number of an end would pass for the newest one, and all later ends
// would be taken for ones that were applied before.
BOOST_AUTO_TEST_CASE(odd_row_of_ends_costs_that_row) {
  for (const std::string &Row :
       {std::string{"7"}, std::string{R"([-1,"a.0.1.2",1,"done",""])"},
        std::string{R"([1e300,"a.0.1.2",1,"done",""])"},
        std::string{R"([18446744073709551615,"a.0.1.2",1,"done",""])"},
        std::string{R"([5,"a.0.1.2",1e400,"done",""])"},
        std::string{R"([5,"a.0.1.2",1,7,""])"},
        std::string{R"([5,"a.0.1.2",1,"done"])"},
        R"([5,"bad",1,"done","",)" + deepArray() + "]"}) {
    heartbeat_result Result;
    BOOST_TEST_CONTEXT(Row.substr(0, 40)) {
      BOOST_TEST(
          parseHeartbeatResponse(R"({"clockMs":9,"running":[],"finished":[)" +
                                     Row + R"(,[6,"a.0.1.3",1,"done",""]]})",
                                 Result));
      BOOST_REQUIRE(Result.Ends.size() == 1U);
      BOOST_TEST(Result.Ends[0].Number == 6U);
      BOOST_TEST(Result.Incomplete);
    }
  }
}

// The clock of a backend server is added to lease times; one out of range made
// the sum overflow.
BOOST_AUTO_TEST_CASE(clock_out_of_range_is_rejected) {
  for (const std::string_view Clock :
       {"9223372036854775807", "-9223372036854775808", "1e300", "-1"}) {
    heartbeat_result Result;
    BOOST_TEST(!parseHeartbeatResponse(R"({"running":[],"finished":[],)"
                                       R"("clockMs":)" +
                                           std::string{Clock} + "}",
                                       Result));
  }
}

// One odd VM made the whole list unreadable, so no VM was moved or maintained.
BOOST_AUTO_TEST_CASE(odd_vm_costs_that_vm) {
  for (
      const std::string &Row :
      {std::string{"7"}, std::string{"{}"}, deepArray(),
       std::string{R"({"machine":3,"pool":"p","state":"up"})"},
       std::string{R"({"machine":"a","pool":"p","state":"up","id":4})"},
       std::string{
           R"({"machine":"a","pool":"p","state":"up","capacity":{"cpu":-1}})"},
       std::string{
           R"({"machine":"a","pool":"p","state":"up","capacity":{"cpu":1e400}})"}}) {
    const auto Page =
        parseVmPage(R"({"machines":[)" + Row +
                    R"(,{"machine":"m","pool":"p","state":"up","id":"i"}]})");
    BOOST_TEST_CONTEXT(Row.substr(0, 40)) {
      BOOST_REQUIRE(Page);
      BOOST_REQUIRE(!Page->Vms.empty());
      BOOST_TEST(Page->Vms.back().Name == "m");
      // An entry that can be read by its name alone is not taken for removed.
      const bool Named = Row.starts_with(R"({"machine":"a")");
      BOOST_REQUIRE(Page->Vms.size() == (Named ? 2U : 1U));
      if (Named) {
        BOOST_TEST(Page->Vms[0].Name == "a");
        BOOST_CHECK(Page->Vms[0].State == vm_state::Unknown);
      }
    }
  }
}

// A service that names the same next page again must not be asked for ever.
BOOST_AUTO_TEST_CASE(repeated_page_token_ends_the_list) {
  scripted_service Service;
  Service.Bodies = {R"({"machines":[],"nextToken":"t"})"};
  vm_client Vms{Service.Client, Service.Address, "node"};
  const auto Result =
      Service.await<vms_result>([&](auto Callback) { Vms.listVms(Callback); });
  BOOST_CHECK(Result.Outcome == call_outcome::Unknown);
}

// One odd ticket made all of them unreadable.
BOOST_AUTO_TEST_CASE(odd_ticket_costs_that_ticket) {
  const auto Tickets =
      parseTickets(R"({"good":[7,["i"],["i-1",4],["i-2","t2"],[[],"t"]]})");
  BOOST_REQUIRE(Tickets);
  BOOST_REQUIRE(Tickets->size() == 1U);
  BOOST_TEST(Tickets->at(0).Server == "i-2");
}

// Text that is not UTF-8, such as the specification of a job that reached the
// store in another way, ended the process when an order with it was encoded.
BOOST_AUTO_TEST_CASE(text_that_is_not_utf8_is_encoded) {
  start_order Start;
  Start.Run = {{"a\xff", 0, 0, 0}, 1};
  Start.Spec = "\xc3";
  Start.Checkpoint = "\x80";
  BOOST_CHECK_NO_THROW(static_cast<void>(toBody(Start)));
  job::ticket_request Tickets;
  Tickets.Step = {"a", 0, 0, 0};
  Tickets.Servers = {"i-\xff"};
  BOOST_CHECK_NO_THROW(static_cast<void>(toBody(Tickets)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(odd_store_responses)

// A status 410 whose `first` is not a number ended the process; one that does
// not advance was read again at once, for ever.
BOOST_AUTO_TEST_CASE(expired_read_with_odd_first_offset) {
  for (const std::string_view Body :
       {R"({"first":"12"})", R"({"first":-1})", R"({"first":1e300})", "{}", "",
        R"({"first":5})", R"({"first":3})"}) {
    scripted_service Service;
    Service.Status = 410;
    Service.Bodies = {std::string{Body}};
    store_client Store{Service.Client, Service.Client, Service.Address};
    BOOST_TEST_CONTEXT(Body) {
      const auto Result = Service.await<read_result>(
          [&](auto Callback) { Store.read(topic::Leader, 5, 0, Callback); });
      BOOST_TEST(!Result.Expired);
      BOOST_CHECK(Result.Outcome == call_outcome::Unknown);
    }
  }
}

// One odd item made the page unreadable, and the reader asked for it again for
// ever without any of the others.
BOOST_AUTO_TEST_CASE(odd_latest_record_costs_that_record) {
  for (const std::string &Item :
       {std::string{"7"}, std::string{R"({"key":4,"value":"aGk="})"},
        std::string{R"({"key":"x"})"}, std::string{R"({"key":"x","value":1})"},
        std::string{"{\"key\":\"x\xff\",\"value\":\"aGk=\"}"},
        std::string{R"({"key":"x","value":1e400})"}, deepArray()}) {
    scripted_service Service;
    Service.Bodies = {R"({"items":[{"key":"a","value":"aGk="},)" + Item +
                      R"(,{"key":"b","value":"aGk="}],"end":4})"};
    BOOST_TEST_CONTEXT(Item.substr(0, 40)) {
      const auto Result = Service.readLatest();
      BOOST_CHECK(Result.Outcome == call_outcome::Done);
      BOOST_TEST(Result.End == 4U);
      std::size_t Good = 0;
      for (const auto &Each : Result.Records)
        Good +=
            Each == keyed_record{"a", "hi"} || Each == keyed_record{"b", "hi"}
                ? 1
                : 0;
      BOOST_TEST(Good == 2U);
    }
  }
}

// A page that does not advance was asked for again for ever.
BOOST_AUTO_TEST_CASE(page_that_does_not_advance_ends_the_read) {
  scripted_service Service;
  Service.Bodies = {
      R"({"items":[{"key":"a","value":"aGk="}],"hasMore":true,"end":4})"};
  BOOST_CHECK(Service.readLatest().Outcome == call_outcome::Unknown);
  Service.Bodies = {R"({"items":[7],"hasMore":true,"end":4})"};
  BOOST_CHECK(Service.readLatest().Outcome == call_outcome::Unknown);
}

// An end offset that is missing or wrapped would make the reader wait at an
// offset that the log never reaches.
BOOST_AUTO_TEST_CASE(page_without_usable_end_is_rejected) {
  for (const std::string_view End : {"-1", "1e300", "\"4\"", "null"}) {
    scripted_service Service;
    Service.Bodies = {R"({"items":[],"end":)" + std::string{End} + "}"};
    BOOST_TEST_CONTEXT(End)
    BOOST_CHECK(Service.readLatest().Outcome == call_outcome::Unknown);
  }
}

BOOST_AUTO_TEST_SUITE_END()
