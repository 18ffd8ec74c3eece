#include "galenalink/fleet/shard_map.hpp"
#include "galenalink/fleet/apply.hpp"
#include "galenalink/fleet/documents.hpp"
#include "records.pb.h"
#include <boost/test/unit_test.hpp>
#include <set>

using namespace galenalink;
using namespace galenalink::fleet;

// Losing one place must leave a copy of each shard's ledger, and a node that
// keeps its seat must not lose the offset since which it has it.
BOOST_AUTO_TEST_CASE(seats_are_in_different_places_and_keep_their_since) {
  state State{test::parseWords};
  wire::record Record;
  Record.mutable_config()->add_documents()->set_name("m");
  Record.mutable_config()->mutable_documents(0)->set_text("m pool=p:16:0");
  shard_map Map;
  std::vector<shard_seats> Before(16);
  for (std::uint64_t Step = 1; Step <= 40; ++Step) {
    Record.set_id(Step);
    BOOST_REQUIRE(apply(State, Step, Record).accepted());
    BOOST_TEST(Map.update(State));
    BOOST_TEST(!Map.update(State));
    for (std::uint32_t Shard = 0; Shard < 16 && Step > 1; ++Shard) {
      const auto &Seats = *Map.find(0, Shard);
      std::set<std::string> DataCentres{
          State.Roster.find(Seats.Home->Node)->DataCentre};
      for (const auto &Each : Seats.Replicas)
        DataCentres.insert(State.Roster.find(Each.Node)->DataCentre);
      const auto Nodes = State.Roster.nodes().size();
      BOOST_TEST(DataCentres.size() == std::min<std::size_t>(Nodes, 3));
      BOOST_TEST(State.Roster.find(Seats.Home->Node)->Customer == "m");
      const bool Same =
          Before[Shard].Home && Before[Shard].Home->Node == Seats.Home->Node;
      BOOST_TEST(Seats.Home->Since ==
                 (Same ? Before[Shard].Home->Since : Step));
      Before[Shard] = Seats;
    }
    // Two customers in four places each join in turn; later some leave.
    const auto Node = Step < 30 ? Step : 2 * Step - 58;
    Record.set_writer(Node);
    auto &Join = *Record.mutable_join();
    Join.set_node(Node);
    Join.set_member(Step % 2 == 1 ? "m" : "n");
    Join.set_place("z" + std::to_string(Step % 8));
    if (Step >= 30)
      Record.mutable_leave()->set_node(Node);
  }
}
