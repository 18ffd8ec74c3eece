#include "codec.hpp"
#include "galenalink/job/election.hpp"
#include "galenalink/job/job_limits.hpp"
#include "galenalink/job/json_fields.hpp"
#include "galenalink/job/leader.hpp"
#include "galenalink/job_node/peer_api.hpp"
#include "json_body.hpp"
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::users_platform;

namespace {

/** Parts of messages that decoders have to expect. */
const std::vector<std::string> Fragments{
    "-1",       "1e300",  "1e400", "18446744073709551616",
    "65536",    "null",   "[]",    "{}",
    "\"\"",     "NaN",    "[[[[",  "\\ud800",
    "\"\xff\"", "true",   "\"x\"", "9223372036854775807",
    "-0.5",     "\x81",   "\x9f",  "\x7b\x7f\xff\xff\xff\xff\xff\xff\xff",
    "\x5f",     "4e9",    ",",     std::string(1, '\0'),
    "\"a\":1,", "[1e400]"};

/** @brief A message with some parts replaced, inserted, removed or doubled. */
std::string mutate(std::string Text) {
  const auto Changes = *rc::gen::inRange(1, 5);
  for (int I = 0; I < Changes; ++I) {
    const auto At = *rc::gen::inRange<std::size_t>(0, Text.size() + 1);
    const auto Length = *rc::gen::inRange<std::size_t>(0, 12);
    const auto New = *rc::gen::oneOf(
        rc::gen::elementOf(Fragments),
        rc::gen::container<std::string>(rc::gen::arbitrary<char>()),
        rc::gen::just(Text.substr(At, Length)));
    Text.replace(At, *rc::gen::inRange<std::size_t>(0, 12), New);
  }
  return Text;
}

std::string anyBytes() {
  return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

template <typename Property>
void checkProperty(const std::string &Name, const Property &Function) {
  BOOST_TEST(rc::check(Name, Function));
}

/** @brief Feeds a message to every decoder; each must return. */
void decodeEverywhere(const std::string &Message) {
  static_cast<void>(parseJobBody(Message));
  for (const char *Key : {"config", "wave/1", "wave/", "other", ""})
    static_cast<void>(parseOperatorRecord({Key, Message}));
  static_cast<void>(parseRegistration({"i-1", Message}));
  static_cast<void>(parseRegistration({Message, Message}));
  static_cast<void>(parseTaskName(Message));
  static_cast<void>(parseTickets(Message));
  static_cast<void>(parseOrderResponse(Message));
  static_cast<void>(parseVmPage(Message));
  heartbeat_result Result;
  static_cast<void>(parseHeartbeatResponse(Message, Result));
  static_cast<void>(parseLeader(Message));
  static_cast<void>(job_node::parseReply(Message));
  static_cast<void>(job_node::parseLeader(Message));
  static_cast<void>(parseJob(Message, Message));
  static_cast<void>(parseEnded("a", Message));
  static_cast<void>(parseWave(Message));
  static_cast<void>(parseSizes(Message));
  static_cast<void>(parsePeaks(Message));
  duration_estimator Durations;
  static_cast<void>(restoreDurations(Message, Durations));
  job_spec Spec;
  Spec.Steps.resize(2);
  Spec.Steps[0].Count = 9;
  Spec.Steps[1].Count = 1;
  galenalink::job::job Job{"a", "q", "p", Spec, wall_ms{1}};
  static_cast<void>(Job.restore(Message));
}

/** Valid messages; mutations of them pass more checks than any bytes do. */
std::vector<std::string> validMessages() {
  job_spec Spec;
  Spec.Spec = "text";
  Spec.Steps.resize(2);
  Spec.Steps[0].Count = 9;
  Spec.Steps[1].Count = 1;
  Spec.Steps[1].DependsOn = {0};
  galenalink::job::job Job{"a", "q", "p", Spec, wall_ms{1}};
  Job.setRule({}, 3);
  Job.setCustomer("c");
  static_cast<void>(Job.openNext());
  static_cast<void>(Job.taskDone({"a", 0, 0, 1}));
  static_cast<void>(Job.taskFailed({{"a", 0, 0, 2}, 7}));
  const job_node::forward_target Leader{3, "node", "10.0.0.1:80"};
  job_node::peer_reply Reply;
  Reply.Reply.Reason = "why";
  Reply.Leader = Leader;
  wave_progress Wave;
  Wave.Done = {"m"};
  return {
      (R"({"spec":"text","steps":[{"count":4,"cpu":500,"labels":["a"]},)"
       R"({"count":1,"dependsOn":[0],"gang":true}],"times":2,"startAtMs":5})"),
      (R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/",)"
       R"("service":"a","advice":{"decisionMs":3},"stretchFactor":1.6}],)"
       R"("services":[{"name":"a","standby":true}],"tenants":[{"name":"c",)"
       R"("apiKeys":["k"],"weight":1.5,"cap":{"cpu":5,"memMb":6,"gpu":7}}]})"),
      R"({"wave":1,"machines":["m","n"],"withinS":20,"cap":2})",
      (R"({"service":"a","address":"10.0.0.1:80","zone":"z","state":"ready",)"
       R"("capacity":{"cpu":1000,"memMb":10},"labels":["a","r1"],"born":5})"),
      (R"({"clockMs":9,"born":3,"running":[["a.0.1.2",4,"s",41,7]],)"
       R"("finished":[[58,"a.0.1.3",1,"done",""]]})"),
      (R"({"machines":[{"machine":"m","pool":"p","state":"up","id":"i",)"
       R"("capacity":{"cpu":5},"labels":["a"]}],"nextToken":"t"})"),
      R"({"good":[["i-1","t1"],["i-2","t2"]]})",
      R"({"reason":"old","born":5})",
      R"([1,"node","10.0.0.1:80",3])",
      "a.0.1.2",
      toRecord(Job),
      Job.progressRecord(),
      job_node::toBody(Reply),
      job_node::toBody(Leader),
      toRecord(Wave),
      toRecord(std::map<std::string, std::size_t>{{"p", 3}}),
      toRecord(std::vector<demand_peak>{{"p", 1, 2, 1.5, 10, 3}})};
}

} // namespace

BOOST_AUTO_TEST_SUITE(decoder_properties)

// No bytes may end the process or leave a decoder by an exception.
BOOST_AUTO_TEST_CASE(any_bytes_are_decoded_or_rejected) {
  checkProperty("any bytes", [] { decodeEverywhere(anyBytes()); });
}

// No change of a valid message may end the process; what is accepted is within
// the limits and can be encoded for the next program.
BOOST_AUTO_TEST_CASE(changed_messages_are_decoded_or_rejected) {
  const auto Messages = validMessages();
  checkProperty("changed messages", [&] {
    const auto Message = mutate(*rc::gen::elementOf(Messages));
    decodeEverywhere(Message);
    if (const auto Spec = parseJobBody(Message)) {
      RC_ASSERT(checkSpec(*Spec).empty());
      const galenalink::job::job Job{"a", "q", "p", *Spec, wall_ms{1}};
      const auto Again = parseJob("a", toRecord(Job));
      RC_ASSERT(Again.has_value());
      RC_ASSERT(Again->spec() == *Spec);
    }
    if (const auto Entry = parseRegistration({"i-1", Message})) {
      RC_ASSERT(Entry->Capacity.Cpu >= 0);
      RC_ASSERT(Entry->StartedAtMs >= 0);
      RC_ASSERT(isUtf8(Entry->Address + Entry->Pool));
    }
  });
}

// The valid rows beside a changed one are returned as long as the list itself
// is readable.
BOOST_AUTO_TEST_CASE(rows_beside_a_changed_one_are_returned) {
  checkProperty("runs", [] {
    const auto Row = mutate(R"(["a.0.1.2",4,"s",41,7])");
    const std::string List =
        R"([["b.0.0.0",1,"",1],)" + Row + R"(,["c.0.0.0",2,"",1]])";
    const auto Json = parseTolerantly(List);
    // The change may have ended the row or a text within it.
    if (!Json || !Json->is_array() || Json->size() != 3)
      return;
    heartbeat_result Result;
    RC_ASSERT(parseHeartbeatResponse(
        R"({"clockMs":1,"finished":[],"running":)" + List + "}", Result));
    RC_ASSERT(Result.Running.size() >= 2U);
    RC_ASSERT(Result.Running.front().Run.Task.Job == "b");
    RC_ASSERT(Result.Running.back().Run.Task.Job == "c");
  });
  checkProperty("VMs", [] {
    const auto Row =
        mutate(R"({"machine":"a","pool":"p","state":"up","labels":["r"]})");
    const std::string Good = R"({"machine":"m","pool":"p","state":"up"})";
    const std::string List = "[" + Good + "," + Row + "," + Good + "]";
    const auto Json = parseTolerantly(List);
    if (!Json || !Json->is_array() || Json->size() != 3)
      return;
    const auto Page = parseVmPage(R"({"machines":)" + List + "}");
    RC_ASSERT(Page.has_value());
    RC_ASSERT(Page->Vms.size() >= 2U);
  });
}

// Documents that the library reads must be read alike; a replaced value must
// not change the values beside it.
BOOST_AUTO_TEST_CASE(tolerant_parser_keeps_valid_values) {
  BOOST_TEST((*parseTolerantly(R"(["a",1e400,"b\"",NaN,-Infinity,3])") ==
              nlohmann::json::parse(R"(["a",[],"b\"",[],[],3])")));
  BOOST_TEST(
      (*parseTolerantly("[\"a\xff\",\"\\ud800\",\"\\ud83d\\ude00\"]") ==
       nlohmann::json::parse("[\"a\uFFFD\",\"\uFFFD\",\"\U0001F600\"]")));
  BOOST_TEST(!parseTolerantly("[1,"));
  BOOST_TEST(!parseTolerantly("[\"a"));
}

BOOST_AUTO_TEST_SUITE_END()
