#include "galenalink/core/rendezvous.hpp"
#include <boost/test/unit_test.hpp>
#include <functional>
#include <numeric>

using namespace galenalink;

BOOST_AUTO_TEST_SUITE(rendezvous)

// Takeover relies on this: losing one node must not move other nodes' keys.
BOOST_AUTO_TEST_CASE(removal_keeps_the_order_of_the_rest) {
  std::vector<std::uint64_t> Nodes(17);
  std::iota(Nodes.begin(), Nodes.end(), 1);
  for (std::uint64_t Key = 0; Key < 200; ++Key) {
    auto Before = rendezvousOrder(Key, Nodes, std::identity{});
    const auto Lost = Before[Key % Before.size()];
    auto Rest = Nodes;
    std::erase(Rest, Lost);
    std::erase(Before, Lost);
    BOOST_TEST((rendezvousOrder(Key, Rest, std::identity{}) == Before));
  }
}

BOOST_AUTO_TEST_CASE(keys_spread_over_all_nodes) {
  std::vector<std::uint64_t> Nodes(8);
  std::iota(Nodes.begin(), Nodes.end(), 1);
  std::vector<int> Count(9);
  for (std::uint64_t Key = 0; Key < 8000; ++Key)
    ++Count[rendezvousOrder(Key, Nodes, std::identity{}).front()];
  for (const auto Node : Nodes)
    BOOST_TEST((Count[Node] > 800 && Count[Node] < 1200));
}

BOOST_AUTO_TEST_SUITE_END()
