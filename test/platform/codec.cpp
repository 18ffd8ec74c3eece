#include "codec.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::users_platform;

BOOST_AUTO_TEST_SUITE(platform_codec)

// The platform omits fields whose value is 0, false or empty. A decoder that
// requires them would reject valid jobs.
BOOST_AUTO_TEST_CASE(job_body_with_omitted_fields) {
  const auto Spec = parseJobBody(
      R"({"spec":"text","steps":[{"count":4,"cpu":500},)"
      R"({"count":1,"dependsOn":[0],"checkpointing":true,"antiAffinity":2}]})");
  BOOST_REQUIRE(Spec);
  BOOST_TEST(Spec->Steps.size() == 2U);
  BOOST_TEST(Spec->Steps[0].Size.Cpu == 500);
  BOOST_TEST(!Spec->Steps[0].Checkpointing);
  BOOST_TEST(Spec->Steps[1].Checkpointing);
  BOOST_TEST(Spec->Steps[1].MaxPerServer == 2U);
  BOOST_TEST(Spec->occurrences() == 1U);
}

// A malformed body must not be decoded as a job without steps.
BOOST_AUTO_TEST_CASE(malformed_job_body_is_rejected) {
  BOOST_TEST(!parseJobBody("{"));
  BOOST_TEST(!parseJobBody(R"({"steps":[{"count":"many"}]})"));
}

// A wrongly decoded or incomplete task name would assign runs to the wrong
// task.
BOOST_AUTO_TEST_CASE(task_names_round_trip) {
  const task_id Task{"5c0e7a21d94b36f8", 3, 1, 17};
  BOOST_TEST(toTaskName(Task) == "5c0e7a21d94b36f8.3.1.17");
  BOOST_CHECK(parseTaskName(toTaskName(Task)) == Task);
  BOOST_TEST(!parseTaskName("5c0e7a21d94b36f8.3.1"));
  BOOST_TEST(!parseTaskName("5c0e7a21d94b36f8.3.1.x"));
}

// Registrations that are malformed, incomplete or in an unknown state must not
// yield a backend server.
BOOST_AUTO_TEST_CASE(invalid_registrations_are_ignored) {
  const std::string Good =
      R"({"service":"a","address":"10.0.0.1:80","zone":"z","state":"ready",)"
      R"("capacity":{"cpu":1000,"memMb":10},"labels":["a","r1"],"born":5,"seq":4})";
  const auto Entry = parseRegistration({"i-1", Good});
  BOOST_REQUIRE(Entry);
  BOOST_TEST(Entry->Pool == "a");
  BOOST_TEST(Entry->StartedAtMs == 5);
  BOOST_TEST(!parseRegistration({"i-1", std::nullopt}));
  BOOST_TEST(!parseRegistration({"i-1", "\xff\x01"}));
  BOOST_TEST(!parseRegistration({"i-1", R"({"service":"a"})"}));
  std::string Unknown = Good;
  Unknown.replace(Unknown.find("ready"), 5, "eager");
  BOOST_TEST(!parseRegistration({"i-1", Unknown}));
}

// Operator records that are malformed or have an unknown key must be ignored.
BOOST_AUTO_TEST_CASE(operator_records_are_decoded_by_key) {
  const auto Rules = parseOperatorRecord(
      {"config",
       R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/",)"
       R"("service":"a","sloMs":600,"stretchFactor":1.6,"maxAttempts":4}],)"
       R"("services":[{"name":"a","standby":true}],"new":1})"});
  BOOST_REQUIRE(std::holds_alternative<fleet_rules>(Rules));
  const auto &Parsed = std::get<fleet_rules>(Rules);
  BOOST_TEST(Parsed.Version == 7U);
  BOOST_TEST(Parsed.Queues[0].SlackMs == 600U);
  BOOST_TEST(Parsed.Pools[0].Standby);
  const auto Wave = parseOperatorRecord(
      {"wave/1", R"({"wave":1,"machines":["m"],"withinS":20,"cap":2})"});
  BOOST_REQUIRE(std::holds_alternative<wave>(Wave));
  BOOST_CHECK(std::holds_alternative<std::monostate>(
      parseOperatorRecord({"config", "{"})));
  BOOST_CHECK(std::holds_alternative<std::monostate>(
      parseOperatorRecord({"other", "{}"})));
}

// A configuration without customers must not be taken for one whose customers
// have no keys. A row that cannot be read costs that customer only.
BOOST_AUTO_TEST_CASE(customers_are_decoded) {
  const auto Parse = [](const std::string &Customers) {
    const auto Record = parseOperatorRecord(
        {"config", R"({"version":7,"services":[],"routes":[{"name":"r",)"
                   R"("host":"h","pathPrefix":"/p/","service":"a",)"
                   R"("public":true}])" +
                       Customers + "}"});
    return std::get<fleet_rules>(Record);
  };
  BOOST_TEST(!Parse("").Customers.has_value());
  BOOST_TEST(Parse("").Queues[0].Public);
  BOOST_TEST(Parse(R"(,"tenants":[])").Customers->empty());
  const auto Rules =
      Parse(R"(,"tenants":[{"name":"north","apiKeys":["k1","k2"],"priority":1,)"
            R"("weight":179,"cap":{"cpu":5026565000,"memMb":7,"gpu":0}},)"
            R"({"name":"south"},{"weight":1},{"name":"east","weight":-1}])");
  BOOST_REQUIRE(Rules.Customers->size() == 2U);
  const customer_rule &North = Rules.Customers->front();
  BOOST_TEST(North.Keys.size() == 2U);
  BOOST_TEST(North.Weight == 179);
  BOOST_CHECK(North.Quota == (resources{5026565000, 7, 0}));
  BOOST_TEST(Rules.customer("south")->Keys.empty());
  BOOST_CHECK(Rules.customer("south")->Quota == resources{});
}

// Runs and ended runs must be decoded by position; a body without them must not
// pass for an empty list.
BOOST_AUTO_TEST_CASE(heartbeat_response_with_runs) {
  heartbeat_result Result;
  BOOST_REQUIRE(parseHeartbeatResponse(
      R"({"clockMs":9,"born":3,"running":[["a.0.1.2",4,"s",41,7]],)"
      R"("finished":[[58,"a.0.1.3",1,"done",""],[59,"a.0.1.4",1,"odd",""]]})",
      Result));
  BOOST_TEST(Result.ClockMs == 9);
  BOOST_TEST(Result.StartedAtMs == 3);
  BOOST_REQUIRE(Result.Running.size() == 1U);
  BOOST_TEST(Result.Running[0].Percent == 41U);
  BOOST_TEST(Result.Running[0].Gauge == 7U);
  // An ended run with an unknown outcome is logged and skipped.
  BOOST_REQUIRE(Result.Ends.size() == 1U);
  BOOST_CHECK(Result.Ends[0].Outcome == run_outcome::Done);
  BOOST_TEST(!parseHeartbeatResponse("{}", Result));
}

// A response with as many ends as it can list must not pass for one with all of
// them, or a run whose end follows would be started again.
BOOST_AUTO_TEST_CASE(full_list_of_ends_may_be_truncated) {
  const auto IsTruncated = [](const int Count) {
    std::string Body = R"({"clockMs":9,"running":[],"finished":[)";
    for (int I = 1; I <= Count; ++I)
      Body += (I > 1 ? ",[" : "[") + std::to_string(I) + R"(,"a.0.0.)" +
              std::to_string(I) + R"(",1,"done",""])";
    heartbeat_result Result;
    BOOST_REQUIRE(parseHeartbeatResponse(Body + "]}", Result));
    return Result.EndsTruncated;
  };
  BOOST_TEST(!IsTruncated(0));
  BOOST_TEST(!IsTruncated(499));
  BOOST_TEST(IsTruncated(500));
}

// A lease end or a wait of 0 means none and must not be sent as a limit.
BOOST_AUTO_TEST_CASE(zero_and_empty_fields_are_omitted) {
  heartbeat_order Order;
  Order.Epoch = 3;
  BOOST_TEST(toBody(Order) == R"({"fencingToken":3,"lastSeen":0})");
  start_order Start;
  Start.Run = {{"a", 0, 0, 0}, 1};
  BOOST_TEST(toBody(Start).find("checkpoint") == std::string::npos);
}

// A null token marks the last page; a body without VMs must not pass for an
// empty page.
BOOST_AUTO_TEST_CASE(vm_list_page) {
  const auto Page = parseVmPage(
      R"({"machines":[{"machine":"m","pool":"p","state":"upkeep","id":"i",)"
      R"("capacity":{"cpu":5}}],"nextToken":null})");
  BOOST_REQUIRE(Page);
  BOOST_CHECK(Page->Vms[0].State == vm_state::Maintenance);
  BOOST_TEST(Page->NextToken.empty());
  BOOST_TEST(!parseVmPage("{}"));
}

// A response pairs backend servers with their tickets; a request names the step
// without a task index.
BOOST_AUTO_TEST_CASE(ticket_request_and_response) {
  const auto Tickets = parseTickets(R"({"good":[["i-1","t1"],["i-2","t2"]]})");
  BOOST_REQUIRE(Tickets);
  BOOST_REQUIRE(Tickets->size() == 2U);
  BOOST_TEST(Tickets->at(1).Ticket == "t2");
  BOOST_TEST(!parseTickets(R"({"good":3})"));
  job::ticket_request Order;
  Order.Step = {"ab", 1, 2, 0};
  Order.Servers = {"i-1"};
  BOOST_TEST(toBody(Order) == R"({"step":"ab.1.2","workers":["i-1"]})");
}

// The ticket settings of a queue must be decoded; without them the queue would
// pass for one that needs no tickets.
BOOST_AUTO_TEST_CASE(queue_with_ticket_settings) {
  const auto Record = parseOperatorRecord(
      {"config", R"({"version":1,"services":[],"routes":[{"name":"q",
      "host":"h","pathPrefix":"/q/","service":"s","advice":{"decisionMs":30,
      "periodMs":4,"validityMs":900}}]})"});
  const auto &Rules = std::get<job::fleet_rules>(Record);
  BOOST_REQUIRE(Rules.Queues.at(0).Advice);
  BOOST_TEST(Rules.Queues.at(0).Advice->PerServerMs == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
