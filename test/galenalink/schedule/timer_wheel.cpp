#include "galenalink/schedule/timer_wheel.hpp"
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <set>

using namespace galenalink;
using namespace galenalink::schedule;

BOOST_AUTO_TEST_SUITE(timers)

// Compares the wheel with a sorted set of deadlines. A timer that fires early
// expires work too soon; one that never fires leaves a caller without a
// response.
BOOST_AUTO_TEST_CASE(random_operations_match_sorted_set) {
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937_64 Random{Seed};
    std::deque<timer> Timers(50);
    timer_wheel Wheel;
    std::set<std::pair<time_point, timer *>> Reference;
    time_point Now{std::chrono::hours{2}};
    for (int Step = 0; Step < 5000; ++Step) {
      auto &Timer = Timers[Random() % Timers.size()];
      const auto Kind = Random() % 10;
      std::erase_if(Reference, [&](const auto &Entry) {
        return Kind < 8 && Entry.second == &Timer;
      });
      if (Kind < 6) {
        // Up to 30 s ahead, which is several revolutions, or up to 1 s ago.
        const auto Due =
            Now + duration{static_cast<long>(Random() % 31000000) - 1000000};
        Wheel.add(Timer, Due);
        Reference.emplace(Due, &Timer);
      } else if (Kind < 8) {
        Wheel.remove(Timer);
      } else {
        Now += duration{Random() % (Random() % 50 == 0 ? 60000000 : 300000)};
        std::set<timer *> Fired;
        Wheel.advance(
            Now, [&](timer &Due) { BOOST_REQUIRE(Fired.insert(&Due).second); });
        std::set<timer *> Expected;
        while (!Reference.empty() && Reference.begin()->first <= Now) {
          Expected.insert(Reference.begin()->second);
          Reference.erase(Reference.begin());
        }
        BOOST_REQUIRE((Fired == Expected));
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
