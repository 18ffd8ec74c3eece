#include "galenalink/cli/publish.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink::cli;

BOOST_AUTO_TEST_SUITE(publishing)

BOOST_AUTO_TEST_CASE(only_changed_documents_are_sent) {
  const documents InForce{{"a", "1"}, {"b", "2"}, {"c", "3"}};
  const documents Wanted{{"a", "1"}, {"b", "two"}, {"d", "4"}};
  BOOST_TEST(
      (changed(Wanted, InForce, false) == documents{{"b", "two"}, {"d", "4"}}));
}

// Another customer's documents must not vanish by publishing one directory.
BOOST_AUTO_TEST_CASE(documents_are_removed_only_on_request) {
  const documents InForce{{"a", "1"}, {"b", "2"}};
  const documents Wanted{{"a", "1"}};
  BOOST_TEST(changed(Wanted, InForce, false).empty());
  BOOST_TEST((changed(Wanted, InForce, true) == documents{{"b", ""}}));
}

BOOST_AUTO_TEST_CASE(service_on_an_undeclared_pool_is_an_error) {
  const documents Documents{
      {"a.json", R"({"member": "m", "services": [{"name": "s", "pool": "p",
                     "queues": [{"name": "q"}]}]})"}};
  BOOST_TEST(!checkDocuments(Documents));
}

BOOST_AUTO_TEST_SUITE_END()
