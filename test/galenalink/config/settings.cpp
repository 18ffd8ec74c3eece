#include "galenalink/config/settings.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::config;

BOOST_AUTO_TEST_SUITE(node_settings)

BOOST_AUTO_TEST_CASE(minimal_settings_have_defaults) {
  settings Settings;
  const auto Found = parseSettings(
      "n.json", R"({"name": "n1", "place": "p1", "member": "halloran"})",
      Settings);
  BOOST_TEST(Found.empty());
  BOOST_TEST(Settings.AuthorityMs == 1500U);
  BOOST_TEST((Settings.Platform.Kind == platform_kind::Embedded));
}

BOOST_AUTO_TEST_CASE(range_error_gives_unit_and_range) {
  settings Settings;
  const auto Found = parseSettings("n.json",
                                   R"({"name": "n1", "place": "p1",
  "member": "halloran",
  "stop_deadline_ms": 5})",
                                   Settings);
  BOOST_REQUIRE(Found.size() == 1U);
  BOOST_TEST(toString(Found[0]) ==
             "n.json:3:3: /stop_deadline_ms: must be a whole number from 100 "
             "to 3600000 ms");
}

// One lost heartbeat reply would end the authority of a healthy node.
BOOST_AUTO_TEST_CASE(authority_must_outlast_heartbeats) {
  settings Settings;
  const auto Found =
      parseSettings("n.json",
                    R"({"name": "n1", "place": "p1", "member": "m",
                        "heartbeat_ms": 1000})",
                    Settings);
  BOOST_TEST(Found.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
