#include "galenalink/job/election.hpp"
#include "galenalink/job/leader.hpp"
#include "galenalink/job/server_watch.hpp"
#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;
using nlohmann::json;

namespace {

constexpr duration Second = std::chrono::seconds{1};
/** Deep enough to exhaust a stack of 8 MB if each level is a call. */
constexpr std::size_t DeepLevels = 260000;

std::string toBytes(const json &Json) {
  const auto Bytes = json::to_cbor(Json);
  return {Bytes.begin(), Bytes.end()};
}

/** @brief Records that no decoder accepts: nested arrays, maps, tags, byte and
 * text strings of indefinite length, and lengths that the record lacks. */
std::vector<std::string> unreadableRecords() {
  std::vector<std::string> Records{"", "{", "\xff", std::string{"\x80"}};
  for (const char Each : {'\x81', '\x9f', '\xbf', '\xc1', '\x5f', '\x7f'})
    Records.emplace_back(DeepLevels, Each);
  Records.emplace_back("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff");
  Records.emplace_back("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff");
  Records.emplace_back("\xbb\xff\xff\xff\xff\xff\xff\xff\xff");
  return Records;
}

job_spec makeSpec() {
  job_spec Spec;
  Spec.Spec = "text";
  Spec.Steps = {makeStep(4, 1000, 500)};
  return Spec;
}

json jobFields(const job_spec &Spec = makeSpec()) {
  return json::from_cbor(
      toRecord(galenalink::job::job{"a", "press", "press", Spec, wall_ms{5}}));
}

struct one_pool : simulated_platform {
  one_pool() {
    addServer("s0", "press");
    addServer("s1", "press");
    elect();
    advance(Second);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(odd_records)

// Nested arrays and strings of indefinite length exhausted the stack: one
// record, or one request of another node, ended the process.
BOOST_AUTO_TEST_CASE(unreadable_records_are_rejected) {
  for (const auto &Record : unreadableRecords()) {
    BOOST_TEST_CONTEXT(Record.size()
                       << " bytes, first "
                       << static_cast<int>(Record.empty() ? 0 : Record[0])) {
      BOOST_TEST(!parseJob("a", Record));
      BOOST_TEST(!parseEnded("a", Record));
      BOOST_TEST(!parseWave(Record));
      BOOST_TEST(parseSizes(Record).empty());
      BOOST_TEST(parsePeaks(Record).empty());
      duration_estimator Durations;
      if (Record != "\x80")
        BOOST_TEST(!restoreDurations(Record, Durations));
      galenalink::job::job Job{"a", "press", "press", makeSpec(), wall_ms{5}};
      BOOST_TEST(!Job.restore(Record));
    }
  }
}

// Counts and times out of range were wrapped, or made each leader in turn
// allocate billions of tasks.
BOOST_AUTO_TEST_CASE(job_records_out_of_range_are_rejected) {
  BOOST_REQUIRE(parseJob("a", toBytes(jobFields())).has_value());
  const auto With = [](const std::size_t Field, const json &Value) {
    json Fields = jobFields();
    Fields.at(4).at(0).at(Field) = Value;
    return parseJob("a", toBytes(Fields)).has_value();
  };
  for (const json &Count : {json(-1), json(4294967296U * 2), json(4294967295U),
                            json(1e300), json(20001)})
    BOOST_TEST(!With(0, Count), Count.dump());
  for (const json &Size : {json(-1), json(1e300), json(~std::uint64_t{0})})
    BOOST_TEST(!With(1, Size), Size.dump());
  json Fields = jobFields();
  Fields.at(6) = std::numeric_limits<std::int64_t>::max();
  BOOST_TEST(!parseJob("a", toBytes(Fields)));
  Fields = jobFields();
  Fields.at(3) = "\xff";
  BOOST_TEST(!parseJob("a", toBytes(Fields)));
}

// A progress record with an unknown state, or that names tasks and occurrences
// that the job does not have, must change nothing.
BOOST_AUTO_TEST_CASE(odd_progress_changes_nothing) {
  const json Done = json::binary({1});
  const json Step = json::array({Done, json::array(), json::array()});
  const json Occurrence = json::array({0, json::array({Step})});
  const auto Restores = [](const json &Progress) {
    galenalink::job::job Job{"a", "press", "press", makeSpec(), wall_ms{5}};
    const bool Restored = Job.restore(toBytes(Progress));
    if (!Restored) {
      BOOST_CHECK(Job.state() == job_state::Queued);
      BOOST_TEST(Job.openedCount() == 0U);
      BOOST_TEST(Job.openOccurrences().empty());
    }
    return Restored;
  };
  BOOST_TEST(Restores({1, 1, json::array({Occurrence})}));
  BOOST_TEST(!Restores({5, 1, json::array({Occurrence})}));
  BOOST_TEST(!Restores({257, 1, json::array({Occurrence})}));
  BOOST_TEST(!Restores({-1, 1, json::array({Occurrence})}));
  BOOST_TEST(!Restores({1, 1, json::array({json::array({1, {Step}})})}));
  BOOST_TEST(!Restores({1, 1, json::array({json::array({-1, {Step}})})}));
  BOOST_TEST(!Restores({1, 1, json::array({Occurrence, Occurrence})}));
  BOOST_TEST(!Restores({1, 1,
                        json::array({json::array(
                            {0, json::array({json::array(
                                    {Done, json::array({json::array({9, {1}})}),
                                     json::array()})})})})}));
}

// A job with many occurrences that are due at once made the leader open all of
// them, and its successor all that were ever opened.
BOOST_AUTO_TEST_CASE(due_occurrences_are_opened_within_a_limit) {
  one_pool Platform;
  job_spec Spec = makeSpec();
  Spec.Steps[0].Count = 1000;
  Spec.Times = 100000;
  Spec.StartAtMs = 1;
  Spec.IntervalMs = 0;
  Platform.submit("press", "a", Spec);
  const auto OpenTasks = [&] {
    const job_entry *Entry = Platform.Leader->state().findJob("a");
    BOOST_REQUIRE(Entry != nullptr);
    return Entry->Job.openOccurrences().size() * Spec.Steps[0].Count;
  };
  BOOST_TEST(OpenTasks() <= 20000U);
  Platform.advance(Second);
  Platform.elect();
  BOOST_TEST(OpenTasks() <= 20000U);
  BOOST_TEST(OpenTasks() > 0U);
}

// The due time of a late occurrence overflowed.
BOOST_AUTO_TEST_CASE(due_time_does_not_overflow) {
  job_spec Spec = makeSpec();
  Spec.Times = std::numeric_limits<std::uint32_t>::max();
  Spec.IntervalMs = std::numeric_limits<std::uint32_t>::max();
  Spec.StartAtMs = 1;
  galenalink::job::job Job{"a", "press", "press", Spec, wall_ms{5}};
  BOOST_REQUIRE(Job.restore(toBytes({1, Spec.Times - 1, json::array()})));
  BOOST_REQUIRE(Job.nextDue().has_value());
  BOOST_TEST(*Job.nextDue() > 0);
}

// A record whose key has no number ended each leader in turn by an exception;
// every other odd record must cost only itself.
BOOST_AUTO_TEST_CASE(leader_recovers_beside_odd_records) {
  one_pool Platform;
  Platform.submit("press", "good", makeSpec());
  auto Values = unreadableRecords();
  Values.push_back(toBytes({5, json::array({"m"}), true}));
  Values.push_back(toBytes({1, 1, json::array(), "press"}));
  Values.push_back(toBytes({"x", 4, -1}));
  Values.push_back(toBytes(jobFields()));
  Values.emplace_back("99999999999999999999");
  Values.emplace_back("-9223372036854775808");
  std::size_t Next = 0;
  for (const auto &Value : Values) {
    for (const char Kind : {'j', 'p', 's', 'h', 'w', 't', 'l', 'v', 'z'}) {
      for (const char *Id : {"", "x", "-1", "1e9", "99999999999999999999",
                             "a.0", "\xff", "\r\n"})
        Platform.Stored[Kind + std::string{Id} + std::string(Next % 2, '#')] =
            Value;
      ++Next;
    }
    Platform.elect();
    Platform.advance(Second / 10);
  }
  Platform.advance(8 * Second);
  BOOST_CHECK(Platform.stateOf("good") == job_state::Completed);
  for (const auto &Each : Platform.Violations)
    BOOST_ERROR(Each);
}

// An unreadable record of a backend server does not name its pool, so its runs
// may be of any pool; tasks were started a second time meanwhile.
BOOST_AUTO_TEST_CASE(unreadable_server_record_holds_back_all_pools) {
  simulated_platform Platform;
  Platform.Stored["ss9"] = "\xff";
  Platform.elect();
  BOOST_TEST(runsUnknown(Platform.Leader->state(), "press"));
}

// A record of the leader log from another writer must not depose the leader
// with an epoch that no claim has, or an unknown kind.
BOOST_AUTO_TEST_CASE(odd_leader_records_are_rejected) {
  BOOST_TEST(parseLeader(R"([1,"n","a:1",3])").has_value());
  for (const std::string &Text :
       {std::string{R"([3,"n","a:1",3])"}, std::string{R"([256,"n","a:1",3])"},
        std::string{R"([-1,"n","a:1",3])"}, std::string{R"([1e300,"n","a",3])"},
        std::string{R"([1,"n","a:1",-1])"},
        std::string{R"([1,"n","a:1",18446744073709551615])"},
        std::string{R"([1,"n","a:1",1e400])"}, std::string{R"({"a":1})"},
        std::string{R"([1,[],"a:1",3])"}, std::string(DeepLevels, '['),
        std::string(DeepLevels, '[') + std::string(DeepLevels, ']'),
        std::string{"[1,\"n\xff\",\"a:1\",3]"}})
    BOOST_TEST(!parseLeader(Text), Text.substr(0, 40));
  election Election{{}};
  Election.applyRecord(4, {leader_record::kind::Claim, "n", "a:1", 0}, {});
  Election.applyRecord(5, {leader_record::kind::Heartbeat, "x", "b:1", 9}, {});
  Election.applyRecord(6, {leader_record::kind::Release, "x", "b:1", 9}, {});
  BOOST_TEST(Election.current().Epoch == 5U);
  BOOST_TEST(Election.current().Node == "n");
  BOOST_TEST(!Election.current().Released);
}

BOOST_AUTO_TEST_SUITE_END()
