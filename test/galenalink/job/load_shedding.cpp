#include "galenalink/job/load_shedding.hpp"
#include "customer_rules.hpp"
#include "galenalink/job/admission.hpp"
#include "one_pool.hpp"

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

using verdict = caller_reply::verdict;

/** @brief A pool at its capacity whose deferred jobs are given. */
admission decide(const std::vector<deferred_job> &Deferred, const double Work) {
  constexpr double Capacity = 100;
  pool_load Load;
  Load.Capacity = Capacity / PackingEfficiency;
  Load.InTimeWork = Capacity * 1000;
  for (const deferred_job &Each : Deferred)
    Load.DeferredWork += Each.Remaining;
  Load.Deferred = Deferred;
  admission_request Request;
  Request.CriticalPathMs = 100;
  Request.ObjectiveMs = 1000;
  Request.Work = Work;
  return admit(Load, Request);
}

/** @brief One pool whose demand rises to a multiple of its capacity for some
 * seconds. One job in five has ten times the work of the others. */
struct uneven_demand : simulated_platform {
  static constexpr int Rounds = 60;
  static constexpr std::uint32_t TaskMs = 500;

  std::map<std::string, time_point> Submitted;
  std::size_t Refused{0};

  explicit uneven_demand(const bool WithCustomers) {
    if (WithCustomers)
      addCustomer(Rules, "north");
    Rules.Version = 2;
    for (int I = 0; I < 4; ++I)
      addServer("s" + std::to_string(I), "press", 8000);
    elect();
    advance(Second);
  }

  void play() {
    for (int Round = 0; Round < Rounds; ++Round) {
      for (int I = 0; I < 5; ++I)
        send((I == 0 ? "large" : "small") + std::to_string(Round) + "-" +
                 std::to_string(I),
             I == 0 ? 20 : 2);
      advance(50 * Millisecond);
    }
    advance(20 * Second);
  }
  void send(const std::string &Id, const std::uint32_t Tasks) {
    Submitted[Id] = Now;
    const std::string Customer = Rules.Customers ? "north" : "";
    Leader->submit(
        {"press", 0, Id, makeJob({makeStep(Tasks, 1000, TaskMs)}), Customer},
        [this](const caller_reply &Reply) {
          Refused += Reply.Verdict == verdict::Refused ? 1 : 0;
        });
  }
  [[nodiscard]] std::size_t countCompleted(const std::string &Prefix) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Submitted, [&](const auto &Each) {
          return Each.first.starts_with(Prefix) &&
                 Leader->state().findJob(Each.first) != nullptr &&
                 stateOf(Each.first) == job_state::Completed;
        }));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(shedding_of_load)

// Jobs with little work were refused because of the backlog of large ones,
// which cost many callers their service for the sake of few.
BOOST_AUTO_TEST_CASE(small_job_passes_a_backlog_of_large_ones) {
  const std::vector<deferred_job> Large(10, {20000, 20000});
  BOOST_CHECK(decide(Large, 1000).Verdict == admission_verdict::Deferred);
  BOOST_CHECK(decide(Large, 20000).Verdict == admission_verdict::Refused);
}

// A large job that would wait for all smaller ones beyond its useful time must
// be refused at once, with the time at which it would fit.
BOOST_AUTO_TEST_CASE(large_job_behind_small_ones_is_refused) {
  const std::vector<deferred_job> Small(100, {2000, 2000});
  const admission Result = decide(Small, 20000);
  BOOST_CHECK(Result.Verdict == admission_verdict::Refused);
  BOOST_TEST(Result.RetryAfterMs > 1000U);
}

// In a demand peak of three times the capacity with uneven jobs, more callers
// must be served than in the order of objectives, and the large jobs at least
// half as often as all.
BOOST_AUTO_TEST_CASE(uneven_peak_serves_more_callers) {
  uneven_demand ByObjective{false};
  ByObjective.play();
  uneven_demand ByWork{true};
  ByWork.play();
  const auto Total = ByWork.Submitted.size();
  const auto Before = ByObjective.countCompleted("");
  const auto Served = ByWork.countCompleted("");
  BOOST_TEST(Served > Before);
  const double LargeShare =
      static_cast<double>(ByWork.countCompleted("large")) /
      uneven_demand::Rounds;
  BOOST_TEST(LargeShare >=
             0.5 * static_cast<double>(Served) / static_cast<double>(Total));
  checkNoViolations(ByWork);
}

// A deployment without customers must be served in the order of objectives as
// before, unless its settings say otherwise.
BOOST_AUTO_TEST_CASE(shedding_is_switched_by_configuration_and_settings) {
  uneven_demand Plain{false};
  uneven_demand Shared{true};
  leader &First = Plain.Leader->state();
  leader &Other = Shared.Leader->state();
  BOOST_TEST(!First.shedsLoad());
  BOOST_TEST(Other.shedsLoad());
  First.Settings.LoadShedding = load_shedding::Always;
  Other.Settings.LoadShedding = load_shedding::Off;
  BOOST_TEST(First.shedsLoad());
  BOOST_TEST(!Other.shedsLoad());
}

BOOST_AUTO_TEST_SUITE_END()
