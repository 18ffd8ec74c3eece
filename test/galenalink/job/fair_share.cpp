#include "galenalink/job/fair_share.hpp"
#include "customer_rules.hpp"
#include "galenalink/job/admission.hpp"
#include "one_pool.hpp"

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr double Capacity = 100;
constexpr double HorizonMs = 1000;

double rateOf(const std::vector<customer_claim> &Claims,
              const std::string &Customer, const double Weight) {
  return fairRate(Claims, Customer, Weight, Capacity, HorizonMs);
}

} // namespace

BOOST_AUTO_TEST_SUITE(fair_shares)

// Guards against shares that are kept for customers who don't use them.
BOOST_AUTO_TEST_CASE(unused_shares_go_to_the_others) {
  BOOST_TEST(rateOf({}, "a", 1) == 100);
  BOOST_TEST(rateOf({{"a", 1, 0, 500}, {"b", 1, 0, 20}}, "a", 1) == 80);
  BOOST_TEST(rateOf({{"b", 3, 0, 20}, {"c", 1, 0, 5}}, "a", 1) == 75);
}

BOOST_AUTO_TEST_CASE(full_pool_is_shared_by_weight) {
  const std::vector<customer_claim> Claims{
      {"a", 1, 0, 500}, {"b", 3, 0, 500}, {"c", 1, 0, 10}};
  BOOST_TEST(rateOf(Claims, "a", 1) == 22.5);
  BOOST_TEST(rateOf(Claims, "b", 3) == 67.5);
  // A customer that asks for less than its share gets all that it asks for.
  BOOST_TEST(rateOf(Claims, "c", 1) == 20);
}

// Accepted work that still waits is demand, too, also when nothing arrives any
// more.
BOOST_AUTO_TEST_CASE(accepted_work_counts_as_demand) {
  BOOST_TEST(rateOf({{"b", 1, 500 * HorizonMs, 0}}, "a", 1) == 50);
}

// The flood of one customer filled the pool with accepted jobs, and the jobs of
// the others were refused until it had passed.
BOOST_AUTO_TEST_CASE(flood_leaves_room_for_the_others) {
  pool_load Load;
  Load.Capacity = Capacity / PackingEfficiency;
  Load.Claims = {{"flood", 1, 0, 5000}, {"calm", 1, 0, 20}};
  admission_request Flood;
  Flood.Customer = "flood";
  Flood.Work = 1000;
  Flood.CriticalPathMs = 100;
  Flood.ObjectiveMs = 1000;
  int Accepted = 0;
  while (admit(Load, Flood).Verdict == admission_verdict::InTime) {
    Load.InTimeWork += Flood.Work;
    Load.Claims.front().Work += Flood.Work;
    ++Accepted;
  }
  BOOST_TEST(Accepted > 0);
  admission_request Calm = Flood;
  Calm.Customer = "calm";
  BOOST_CHECK(admit(Load, Calm).Verdict == admission_verdict::InTime);
}

// Accepted jobs of a flood ran before those of other customers that came later
// with later objectives. Only a customer far above its share of a full pool
// gives way.
BOOST_AUTO_TEST_CASE(customer_above_its_share_is_found) {
  const std::vector<customer_claim> Flooded{{"flood", 1, 200 * HorizonMs, 400},
                                            {"calm", 1, 60 * HorizonMs, 60}};
  BOOST_TEST(exceedsShare(Flooded, Flooded[0], Capacity, HorizonMs));
  BOOST_TEST(!exceedsShare(Flooded, Flooded[1], Capacity, HorizonMs));
  const std::vector<customer_claim> Even{{"a", 1, 200 * HorizonMs, 400},
                                         {"b", 3, 500 * HorizonMs, 900}};
  for (const auto &Each : Even)
    BOOST_TEST(!exceedsShare(Even, Each, Capacity, HorizonMs));
  // One customer alone, or a pool with room, is no reason to give way.
  const std::vector<customer_claim> Alone{{"flood", 1, 200 * HorizonMs, 400}};
  BOOST_TEST(!exceedsShare(Alone, Alone[0], Capacity, HorizonMs));
  const std::vector<customer_claim> Calm{{"flood", 1, 50 * HorizonMs, 400},
                                         {"calm", 1, 0, 1}};
  BOOST_TEST(!exceedsShare(Calm, Calm[0], Capacity, HorizonMs));
}

// A job beyond its customer's rate takes only capacity that nobody waits for.
BOOST_AUTO_TEST_CASE(job_beyond_the_rate_waits_for_all_others) {
  pool_load Load;
  Load.Capacity = Capacity / PackingEfficiency;
  admission_request Request;
  Request.Customer = "flood";
  Request.Work = 1000;
  Request.CriticalPathMs = 100;
  Request.ObjectiveMs = 1000;
  Request.WithinRate = false;
  BOOST_CHECK(admit(Load, Request).Verdict == admission_verdict::Deferred);
  Load.DeferredWork = Capacity * Request.ObjectiveMs;
  BOOST_CHECK(admit(Load, Request).Verdict == admission_verdict::Refused);
}

// In a flood of one customer at six times what the pool can do, beside three
// customers that send as usual, the usual jobs must be served as without it.
BOOST_AUTO_TEST_CASE(flooded_pool_serves_the_others) {
  constexpr int Rounds = 200;
  constexpr std::uint32_t TaskMs = 400;
  const auto Play = [&](const int FloodJobs) {
    simulated_platform Platform;
    for (const char *Name : {"flood", "b", "c", "d"})
      addCustomer(Platform.Rules, Name, 10);
    Platform.Rules.Version = 2;
    for (int I = 0; I < 4; ++I)
      Platform.addServer("s" + std::to_string(I), "press", 8000);
    Platform.elect();
    Platform.advance(Second);
    std::vector<std::string> Usual;
    const auto Submit = [&](const std::string &Customer,
                            const std::string &Id) {
      Platform.Leader->submit(
          {"press", 0, Id, makeJob({makeStep(4, 1000, TaskMs)}), Customer},
          [](const caller_reply &) {});
    };
    for (int Round = 0; Round < Rounds; ++Round) {
      for (int I = 0; I < FloodJobs; ++I)
        Submit("flood", "f" + std::to_string(Round) + "-" + std::to_string(I));
      const std::string Customer(1, static_cast<char>('b' + Round % 3));
      Usual.push_back(Customer + std::to_string(Round));
      Submit(Customer, Usual.back());
      Platform.advance(100 * Millisecond);
    }
    Platform.advance(10 * Second);
    checkNoViolations(Platform);
    return std::ranges::count_if(Usual, [&](const std::string &Id) {
      return Platform.Leader->query({Id, "press", Id.substr(0, 1)}).Verdict ==
                 caller_reply::verdict::Ok &&
             Platform.stateOf(Id) == job_state::Completed;
    });
  };
  const auto Calm = Play(0);
  const auto Flooded = Play(12);
  BOOST_TEST(Calm == Rounds);
  BOOST_TEST(Flooded >= Rounds * 95 / 100);
}

BOOST_AUTO_TEST_SUITE_END()
