#include "galenalink/config/service_file.hpp"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace galenalink;
using namespace galenalink::config;

namespace {

const std::string Valid = R"({
  // Proofs of the newsletters.
  "member": "halloran",
  "pools": [{"name": "proofs", "shards": 2, "min_up": 6}],
  "services": [
    {"name": "newsletters", "pool": "proofs", "min_up": 6,
     "queues": [{"name": "proof", "kind": "short", "idempotent": true},
                {"name": "archive", "kind": "long", "on_drain": "finish"}],
     "teams": [{"name": "north", "quota_slots": 10}]}],
  "maintenance": {"period_days": 49, "hold_ms": 3600000},
  "lending": [{"to": "authority", "max_vms": 4}]
})";

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  return Text.replace(Text.find(From), From.size(), To);
}

std::vector<diagnostic> parse(const std::string &Text) {
  service_file File;
  return parseServiceFile("a.json", Text, File);
}

} // namespace

BOOST_AUTO_TEST_SUITE(service_files)

BOOST_AUTO_TEST_CASE(valid_file_is_read_whole) {
  service_file File;
  BOOST_TEST(parseServiceFile("a.json", Valid, File).empty());
  BOOST_TEST(File.Customer == "halloran");
  BOOST_TEST(File.Pools.at(0).Shards == 2U);
  BOOST_TEST((File.Services.at(0).Queues.at(1).Kind == work_kind::Long));
  BOOST_TEST(File.Services.at(0).Teams.at(0).QuotaSlots == 10U);
  BOOST_TEST(File.Maintenance->HoldMs.value() == 3600000U);
  BOOST_TEST(File.Lending.at(0).MaxVms == 4U);
}

BOOST_AUTO_TEST_CASE(error_names_position_and_correction) {
  const auto Found = parse(replaced(Valid, "\"long\"", "\"lnog\""));
  BOOST_REQUIRE(Found.size() == 1U);
  BOOST_TEST(toString(Found[0]) ==
             "a.json:8:37: /services/0/queues/1/kind: must be one of "
             "\"short\", \"long\"");
}

BOOST_AUTO_TEST_CASE(unknown_key_names_the_nearest) {
  const auto Found =
      parse(replaced(Valid, "\"min_up\": 6}]", "\"minup\": 6}]"));
  BOOST_REQUIRE(Found.size() == 1U);
  BOOST_TEST(Found[0].Message == "is not known here; did you mean \"min_up\"?");
  BOOST_TEST(Found[0].Line == 4U);
}

// An operator should not have to publish once for each mistake.
BOOST_AUTO_TEST_CASE(all_errors_are_reported_at_once) {
  auto Text = replaced(Valid, "\"shards\": 2", "\"shards\": 0");
  Text = replaced(Text, "\"period_days\": 49", "\"period_days\": -1");
  Text = replaced(Text, "\"to\": \"authority\"", "\"to\": \"Au thority\"");
  BOOST_TEST(parse(Text).size() == 3U);
}

BOOST_AUTO_TEST_CASE(repeated_name_is_an_error) {
  const auto Found = parse(replaced(Valid, "\"archive\"", "\"proof\""));
  BOOST_REQUIRE(Found.size() == 1U);
  BOOST_TEST(Found[0].Message == "\"proof\" is declared twice");
}

// Random edits must give a diagnostic or a valid file, never a crash.
BOOST_AUTO_TEST_CASE(random_edits_are_handled) {
  std::mt19937_64 Random{20261204};
  const std::string Bytes = "{}[]\",:/*0-9truefalsnu \n\\\x01\xff";
  std::size_t Rejected = 0;
  constexpr int Rounds = 20000;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::string Text = Valid;
    for (int Edit = 0; Edit < 3; ++Edit) {
      const auto At = Random() % Text.size();
      switch (Random() % 3) {
      case 0:
        Text[At] = Bytes[Random() % Bytes.size()];
        break;
      case 1:
        Text.erase(At, 1 + Random() % 8);
        break;
      default:
        Text.insert(At, 1, Bytes[Random() % Bytes.size()]);
      }
    }
    Rejected += parse(Text).empty() ? 0 : 1;
  }
  BOOST_TEST(Rejected > Rounds / 2U);
}

BOOST_AUTO_TEST_SUITE_END()
