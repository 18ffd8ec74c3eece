#include "galenalink/job_node/fleet_view.hpp"
#include "galenalink/job/queue_match.hpp"
#include "galenalink/job_node/settings.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::job_node;

namespace {

/** Ports that decode a record's value as a version or a sequence number. */
ports decodeNumericRecords() {
  ports Ports;
  Ports.DecodeOperator = [](const keyed_record &Record) -> operator_record {
    fleet_rules Rules;
    Rules.Version = std::stoull(*Record.Value);
    return Rules;
  };
  Ports.DecodeRegistration =
      [](const keyed_record &Record) -> std::optional<registration> {
    if (!Record.Value)
      return std::nullopt;
    registration Entry;
    Entry.Id = Record.Key;
    Entry.Sequence = std::stoull(*Record.Value);
    return Entry;
  };
  return Ports;
}

queue_rule queueAt(const std::string &Host, const std::string &Prefix) {
  queue_rule Queue;
  Queue.Name = Prefix;
  Queue.Host = Host;
  Queue.PathPrefix = Prefix;
  return Queue;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_view_updates)

// Guards against replacing the rules by an older version when the store returns
// stale records.
BOOST_AUTO_TEST_CASE(rules_ignore_older_versions) {
  const ports Ports = decodeNumericRecords();
  fleet_view View{Ports};
  BOOST_TEST(View.applyOperatorRecords({{"config", "7"}}));
  BOOST_TEST(!View.applyOperatorRecords({{"config", "4"}}));
  BOOST_TEST(View.rules().Version == 7U);
}

// Guards against a stale registration that replaces a newer one, and against
// keeping a removed registration.
BOOST_AUTO_TEST_CASE(registrations_ignore_older_records) {
  const ports Ports = decodeNumericRecords();
  fleet_view View{Ports};
  View.applyRegistrations({{"i", "5"}, {"k", "1"}}, true);
  View.applyRegistrations({{"i", "3"}}, false);
  BOOST_TEST(View.registrations().front().Sequence == 5U);
  View.applyRegistrations({{"k", std::nullopt}}, false);
  BOOST_TEST(View.registrations().size() == 1U);
  View.applyRegistrations({}, true);
  BOOST_TEST(View.registrations().empty());
}

// Guards against an entry of another writer with a sequence number that the
// backend server never reaches: its own entries were ignored for ever.
BOOST_AUTO_TEST_CASE(registration_recovers_from_a_huge_sequence_number) {
  const ports Ports = decodeNumericRecords();
  fleet_view View{Ports};
  View.applyRegistrations({{"i", "5"}}, true);
  View.applyRegistrations({{"i", "9000000000000000"}}, false);
  View.applyRegistrations({{"i", "6"}}, false);
  View.applyRegistrations({{"i", "7"}}, false);
  View.applyRegistrations({{"i", "8"}}, false);
  BOOST_TEST(View.registrations().front().Sequence == 8U);
  // The same with snapshots only.
  View.applyRegistrations({{"i", "9000000000000000"}}, true);
  for (const char *Sequence : {"9", "10", "11"})
    View.applyRegistrations({{"i", Sequence}}, true);
  BOOST_TEST(View.registrations().front().Sequence == 11U);
}

// Guards against matching a shorter prefix or a queue of another host.
BOOST_AUTO_TEST_CASE(longest_path_prefix_is_matched) {
  fleet_rules Rules;
  Rules.Queues = {queueAt("h", "/a/"), queueAt("h", "/a/b/"),
                  queueAt("g", "/a/b/c/")};
  BOOST_TEST(matchQueue(Rules, "h", "/a/b/c/1")->Name == "/a/b/");
  BOOST_TEST(matchQueue(Rules, "h", "/a/1")->Name == "/a/");
  BOOST_TEST(matchQueue(Rules, "h", "/x/1") == nullptr);
  BOOST_TEST(matchQueue(Rules, "f", "/a/1") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(node_settings)

// Guards against rejecting or misreading valid settings.
BOOST_AUTO_TEST_CASE(valid_settings_are_parsed) {
  settings Settings;
  const auto Errors = parseSettings("node.json", R"({
    // comment
    "name": "n", "data_centre": "d", "callers": "10.0.0.1:80",
    "readiness": "10.0.0.1:81", "peers": {"host": "10.0.0.1", "port": 82},
    "store": "10.0.0.2:80", "vm_list": "10.0.0.3:80", "stop_deadline_s": 2.5,
    "processor_share": 0.5
  })",
                                    Settings);
  BOOST_TEST(Errors.empty());
  BOOST_TEST(Settings.StopDeadlineS == 2.5);
  BOOST_TEST(Settings.ProcessorShare == 0.5);
  BOOST_TEST(Settings.Peers.Port == 82);
}

// Guards against starting a node with invalid settings, and against reporting
// only the first error.
BOOST_AUTO_TEST_CASE(invalid_settings_are_reported) {
  settings Settings;
  const auto Errors = parseSettings("node.json", R"({
    "name": "n", "data_centre": "d", "callers": "host:80",
    "readiness": "10.0.0.1:81", "store": "10.0.0.2:80",
    "vm_list": "10.0.0.3:80", "max_lease_ms": 0, "typo": 1
  })",
                                    Settings);
  BOOST_TEST(Errors.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
