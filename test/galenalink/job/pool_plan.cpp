#include "galenalink/job/pool_plan.hpp"
#include "galenalink/job/admission.hpp"
#include "galenalink/job/demand.hpp"
#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr duration Second = std::chrono::seconds{1};
constexpr double VmCapacity = 32000;

std::vector<pool_view> pools() {
  return {{"press", false, 0, 4 * VmCapacity, 4, 4, 4, false},
          {"post", false, 0, 4 * VmCapacity, 4, 4, 4, false},
          {"spare", true, 0, 3 * VmCapacity, 0, 0, 3, false}};
}

std::vector<vm_view> vms(const bool Idle) {
  std::vector<vm_view> Vms;
  for (std::size_t Pool = 0; Pool < 3; ++Pool) {
    for (std::size_t I = 0; I < (Pool == 2 ? 3U : 4U); ++I)
      Vms.push_back({"vm" + std::to_string(Pool) + std::to_string(I), Pool,
                     VmCapacity, Idle});
  }
  return Vms;
}

std::size_t movesTo(const std::vector<planned_move> &Moves,
                    const std::string &Pool) {
  return static_cast<std::size_t>(
      std::ranges::count(Moves, Pool, &planned_move::To));
}

/** @brief Two pools that peak at different times, and a standby pool. */
struct peak_platform : simulated_platform {
  peak_platform() {
    queue_rule Post = Rules.Queues.front();
    Post.Name = "post";
    Post.Pool = "post";
    Rules.Queues.push_back(Post);
    Rules.Pools.push_back({"post", false, false});
    Rules.Pools.push_back({"spare", false, true});
    for (int I = 0; I < 4; ++I) {
      addServer("a" + std::to_string(I), "press");
      addServer("b" + std::to_string(I), "post");
    }
    for (int I = 0; I < 4; ++I)
      Vms.push_back({"spare" + std::to_string(I),
                     "spare",
                     vm_state::Up,
                     "",
                     {32000, 1 << 20, 0},
                     {"a", "r2"}});
    elect();
    advance(4 * Second);
  }

  /** @brief Submits one and a half times the work that the queue's initial VMs
   * can do.
   * @return Number of accepted jobs. */
  std::size_t simulatePeak(const std::string &Queue, std::mt19937 &Random,
                           const duration PeakDuration) {
    std::uniform_int_distribution<std::uint32_t> Width{4, 16};
    std::size_t Accepted = 0;
    for (const time_point End = Now + PeakDuration; Now < End;) {
      job_spec Spec;
      Spec.Steps.push_back(makeStep(Width(Random), 4000, 480));
      const auto Reply =
          submit(Queue, "job" + std::to_string(++Submitted), Spec);
      Accepted += Reply && Reply->Verdict == caller_reply::verdict::Ok ? 1 : 0;
      advance(std::chrono::milliseconds{60});
    }
    return Accepted;
  }

  std::size_t countVms(const std::string &Pool) const {
    return static_cast<std::size_t>(std::ranges::count(Vms, Pool, &vm::Pool));
  }

  std::uint32_t Submitted{0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(pool_scaling)

// A peaking pool must get standby VMs first, and no more than it needs.
BOOST_AUTO_TEST_CASE(standby_vms_go_to_the_peaking_pool) {
  auto Pools = pools();
  Pools[0].RequiredCapacity = 5.5 * VmCapacity;
  const auto Moves = planMoves(Pools, vms(true));
  BOOST_TEST(Moves.size() == 2U);
  BOOST_TEST(movesTo(Moves, "press") == 2U);
  BOOST_TEST(Moves[0].Vm.starts_with("vm2"));
}

// A pool whose required capacity was greatly overestimated took all standby
// VMs, which left another pool with half of its capacity.
BOOST_AUTO_TEST_CASE(standby_vms_are_shared_between_short_pools) {
  auto Pools = pools();
  Pools[0].RequiredCapacity = 20 * VmCapacity;
  Pools[1].RequiredCapacity = 30 * VmCapacity;
  const auto Moves = planMoves(Pools, vms(false));
  BOOST_TEST(movesTo(Moves, "press") >= 1U);
  BOOST_TEST(movesTo(Moves, "post") >= 1U);
}

// A pool between its peaks lent most of its VMs, and had a third of its initial
// size when its own peak started.
BOOST_AUTO_TEST_CASE(pools_keep_vms_for_their_own_peak) {
  auto Pools = pools();
  Pools[0].RequiredCapacity = 12 * VmCapacity;
  const auto Moves = planMoves(Pools, vms(true));
  BOOST_TEST(Moves.size() == 3U);
  Pools[1].MinVmsWhenLending = 3;
  BOOST_TEST(planMoves(Pools, vms(true)).size() == 4U);
}

// A VM with runs must not be moved, because a move ends them.
BOOST_AUTO_TEST_CASE(busy_vms_are_not_moved) {
  auto Pools = pools();
  Pools[0].RequiredCapacity = 12 * VmCapacity;
  const auto Moves = planMoves(Pools, vms(false));
  BOOST_TEST(Moves.size() == 3U);
}

// Pools must return VMs only after a sustained surplus, and must keep their
// minimum size.
BOOST_AUTO_TEST_CASE(sustained_surplus_returns_down_to_the_minimum) {
  auto Pools = pools();
  Pools[0].MinVms = 2;
  BOOST_TEST(planMoves(Pools, vms(true)).empty());
  Pools[0].SustainedSurplus = true;
  BOOST_TEST(movesTo(planMoves(Pools, vms(true)), "spare") == 2U);
}

// A pool must grow during its peak and shrink to its initial size afterwards.
BOOST_AUTO_TEST_CASE(pools_follow_demand_peaks) {
  peak_platform Platform;
  std::mt19937 Random{7};
  Platform.simulatePeak("press", Random, 4 * Second);
  BOOST_TEST(Platform.countVms("press") > 4U);
  Platform.advance(5 * Second);
  BOOST_TEST(Platform.countVms("press") == 4U);
  // The other pool may have lent a VM, which waits in the standby pool.
  BOOST_TEST(Platform.countVms("spare") >= 4U);
  Platform.simulatePeak("post", Random, 4 * Second);
  BOOST_TEST(Platform.countVms("post") > 4U);
  for (const auto &Each : Platform.Violations)
    BOOST_ERROR(Each);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(admission_control)

// A job that can meet its objective after the accepted work must be admitted.
BOOST_AUTO_TEST_CASE(work_that_meets_its_objective_is_admitted) {
  const auto Result = admit({100000, 30000000, 0}, {500, 1000000, 1400});
  BOOST_CHECK(Result.Verdict == admission_verdict::InTime);
}

// A job that would miss its objective must not displace jobs that meet theirs.
BOOST_AUTO_TEST_CASE(late_work_is_deferred) {
  const auto Result = admit({100000, 100000000, 0}, {500, 1000000, 1400});
  BOOST_CHECK(Result.Verdict == admission_verdict::Deferred);
}

// A job that would complete too late to be useful must be refused, with the
// time after which it would fit.
BOOST_AUTO_TEST_CASE(work_past_its_useful_time_is_refused) {
  const auto Result =
      admit({100000, 200000000, 200000000}, {500, 1000000, 1400});
  BOOST_CHECK(Result.Verdict == admission_verdict::Refused);
  BOOST_TEST(Result.RetryAfterMs >= 1000U);
}

// A deferred job stayed behind all others although capacity had become
// available for it.
BOOST_AUTO_TEST_CASE(deferred_job_is_promoted_when_capacity_frees_up) {
  simulated_platform Platform;
  Platform.addServer("s0", "press");
  Platform.elect();
  Platform.advance(Second);
  job_spec Large;
  Large.Steps.push_back(makeStep(14, 16000, 400));
  Platform.submit("press", "large", Large);
  job_spec Small;
  Small.Steps.push_back(makeStep(1, 1000, 400));
  Platform.submit("press", "small", Small);
  const leader &State = Platform.Leader->state();
  BOOST_REQUIRE(State.findJob("large")->Deferred);
  Platform.Leader->cancel({"large"}, [](const caller_reply &) {});
  Platform.submit("press", "next", Large);
  Platform.addServer("s1", "press");
  Platform.addServer("s2", "press");
  Platform.addServer("s3", "press");
  Platform.advance(Second / 2);
  BOOST_TEST(!State.findJob("next")->Deferred);
}

// Admission to a pool without capacity must refuse instead of dividing by zero.
BOOST_AUTO_TEST_CASE(pool_without_capacity_refuses) {
  BOOST_CHECK(admit({}, {500, 1000000, 1400}).Verdict ==
              admission_verdict::Refused);
}

// The demand meter must show a peak within half a second and decay within two
// seconds after it.
BOOST_AUTO_TEST_CASE(demand_meter_follows_a_peak) {
  demand_meter Meter;
  time_point Now{Second};
  for (int I = 0; I < 50; ++I) {
    Now += Second / 100;
    Meter.recordArrival(Now, 100 * 1000);
  }
  BOOST_TEST(Meter.rate(Now) > 4000);
  BOOST_TEST(Meter.rate(Now + 2 * Second) < 1000);
}

// A job that is resubmitted after a refusal must not count as new demand.
BOOST_AUTO_TEST_CASE(resubmissions_are_not_counted_as_demand) {
  recent_jobs Jobs;
  BOOST_TEST(Jobs.add("a", time_point{Second}));
  BOOST_TEST(!Jobs.add("a", time_point{2 * Second}));
}

BOOST_AUTO_TEST_SUITE_END()
