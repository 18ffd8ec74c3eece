#include "galenalink/schedule/retry_budget.hpp"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace galenalink::schedule;

BOOST_AUTO_TEST_SUITE(retries)

// Compares the budget with an integer count of tenths of a token. Retries
// beyond the budget prevent an overloaded pool from recovering.
BOOST_AUTO_TEST_CASE(random_operations_match_token_count) {
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937 Random{Seed};
    retry_budget Budget{0.1, 20};
    int Tenths = 0;
    int First = 0;
    int Retries = 0;
    for (int Step = 0; Step < 20000; ++Step) {
      // Alternates phases of mostly first attempts and of many retries.
      if (Random() % 16 < (Step / 1000 % 2 == 0 ? 15U : 8U)) {
        Budget.recordFirstAttempt();
        Tenths = std::min(Tenths + 1, 200);
        ++First;
      } else {
        const bool Allowed = Tenths >= 10;
        BOOST_REQUIRE(Budget.tryRetry() == Allowed);
        Tenths -= Allowed ? 10 : 0;
        Retries += Allowed ? 1 : 0;
      }
      BOOST_REQUIRE(10 * Retries <= First);
    }
    BOOST_TEST(Retries > 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
