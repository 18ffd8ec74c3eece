#include "galenalink/job_node/leader_directory.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job_node;

namespace {

constexpr duration Second = std::chrono::seconds{1};

const forward_target First{5, "a@1", "a:1"};
const forward_target Next{9, "b@1", "b:1"};

job::leadership toLog(const forward_target &Leader, const bool Released) {
  return {Leader.Epoch, Leader.Node, Leader.Address, Released};
}

} // namespace

BOOST_AUTO_TEST_SUITE(directory_of_leaders)

// A node that is cut off from the store goes on sending requests to the former
// leader unless other nodes tell it of the successor. When it reads the log
// again, it sees the former leader's records first.
BOOST_AUTO_TEST_CASE(report_of_a_newer_leader_counts) {
  leader_directory Directory;
  BOOST_TEST(Directory.applyLog(toLog(First, false)));
  BOOST_TEST(Directory.applyReport(Next));
  BOOST_CHECK(Directory.current() == Next);
  BOOST_TEST(!Directory.applyReport(First));
  BOOST_TEST(!Directory.applyLog(toLog(First, true)));
  BOOST_CHECK(Directory.current() == Next);
  BOOST_TEST(!Directory.applyLog(toLog(Next, false)));
}

// The log shows that the leader has released leadership. A delayed report must
// not send requests to it again.
BOOST_AUTO_TEST_CASE(released_leadership_stays_released) {
  leader_directory Directory;
  BOOST_TEST(Directory.applyLog(toLog(First, false)));
  BOOST_TEST(Directory.applyLog(toLog(First, true)));
  BOOST_TEST(Directory.current().Epoch == 0U);
  BOOST_TEST(!Directory.applyReport(First));
  BOOST_TEST(Directory.current().Epoch == 0U);
}

// A leader is elected after a time without one, in which the log showed its
// predecessor as dead. The predecessor's address must not be lost meanwhile: it
// may be cut off from the log and is told of its successor.
BOOST_AUTO_TEST_CASE(former_leader_is_known_after_a_vacancy) {
  leader_directory Directory;
  BOOST_TEST(Directory.former().Epoch == 0U);
  BOOST_TEST(Directory.applyLog(toLog(First, false)));
  BOOST_TEST(Directory.applyLog(toLog(First, true)));
  BOOST_TEST(Directory.applyLog(toLog(Next, false)));
  BOOST_CHECK(Directory.former() == First);
}

BOOST_AUTO_TEST_CASE(table_of_peers_forgets_silent_ones) {
  peer_table Peers;
  time_point Now{100 * Second};
  Peers.recordRequest("a:1", Now);
  Peers.recordRequest("", Now);
  Now += 20 * Second;
  Peers.recordRequest("b:1", Now);
  BOOST_TEST(Peers.recent(Now).size() == 2U);
  Now += 15 * Second;
  const auto Recent = Peers.recent(Now);
  BOOST_REQUIRE(Recent.size() == 1U);
  BOOST_TEST(Recent.front() == "b:1");
}

BOOST_AUTO_TEST_SUITE_END()
