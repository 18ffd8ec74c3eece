#include "galenalink/core/error.hpp"
#include "galenalink/core/outcome.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;

namespace {

template <typename Table> void checkTable(const Table &Names) {
  for (const auto &[Value, Name] : Names) {
    BOOST_TEST(nameOf(Names, Value) == Name);
    BOOST_TEST((parseName(Names, Name) == Value));
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(enum_tables)

// A repeated name or value in a table would make parsing ambiguous.
BOOST_AUTO_TEST_CASE(names_are_unique) {
  checkTable(OutcomeNames);
  checkTable(RefusalNames);
  checkTable(ErrcNames);
  BOOST_TEST(!parseName(OutcomeNames, "done").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
