#include "galenalink/job/overload_gate.hpp"
#include "galenalink/job/start_window.hpp"
#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr duration Second = std::chrono::seconds{1};
constexpr duration Millisecond = std::chrono::milliseconds{1};

constexpr std::uint32_t TasksPerJob = 13;
constexpr std::uint32_t TaskMs = 680;
constexpr std::int64_t TaskCpu = 4500;
constexpr int ServerCount = 60;
/** Processor time of the leader for an event, a start order, the head of a
 * request and the rest of a submission. */
constexpr duration CostOfEvent = std::chrono::microseconds{200};
constexpr duration RequestCost = std::chrono::microseconds{300};
constexpr duration StartCost = std::chrono::microseconds{1000};
constexpr duration SubmissionCost = std::chrono::microseconds{4000};
/** An entry node sends a submission again after this time without a reply. */
constexpr duration ForwardTimeout = std::chrono::milliseconds{900};
constexpr duration CallerTimeout = std::chrono::milliseconds{2000};
constexpr int CallerRetries = 4;
constexpr std::uint64_t Seed = 19;

/** @brief A job of a caller, who repeats it with the same id until it is
 * accepted. */
struct caller_job {
  int Retries{0};
  bool Answered{false};
  bool Accepted{false};
  time_point FirstSentAt;
  time_point AcceptedAt;
};

/** @brief A leader with little processor time in front of a pool that has more
 * capacity than the leader can use, with callers that repeat requests. */
struct busy_leader : simulated_platform {
  std::map<std::string, caller_job> Jobs;
  std::mt19937_64 Random{Seed};

  busy_leader() {
    for (int I = 0; I < ServerCount; ++I)
      addServer("s" + std::to_string(I), "press");
    // As a node of a twelfth of a core sets it.
    StartLimits.Orders = 16;
    limitProcessor();
    elect();
    advance(Second);
  }

  /** @brief Charges calls, and lets an order time out whose response the leader
   * has not handled by then. */
  void limitProcessor() {
    EventCost = CostOfEvent;
    const auto Start = Ports.Start;
    Ports.Start = [this, Start](const start_order &Order,
                                const auto &Callback) {
      Now += StartCost;
      const auto Done = std::make_shared<bool>(false);
      const auto Once = [Done, Callback](const order_result &Result) {
        if (!std::exchange(*Done, true))
          Callback(Result);
      };
      schedule(Millisecond, [Start, Order, Once] { Start(Order, Once); });
      schedule(Order.ResponseDeadline - Now, [Once] { Once(order_result{}); });
    };
  }

  void send(const std::string &Id, const time_point Deadline) {
    caller_job &Job = Jobs.at(Id);
    if (Job.Accepted || Job.Answered)
      return;
    if (Now >= Deadline) {
      retry(Id);
      return;
    }
    Now += RequestCost;
    if (const auto Refusal = Leader->refuseUnparsed(Id)) {
      answer(Id, *Refusal);
      return;
    }
    Now += SubmissionCost;
    job_spec Spec;
    Spec.Spec = "text";
    Spec.Steps = {makeStep(TasksPerJob, TaskCpu, TaskMs)};
    Leader->submit(
        {"press", 0, Id, Spec},
        [this, Id](const caller_reply &Reply) { answer(Id, Reply); });
    schedule(ForwardTimeout, [this, Id, Deadline] { send(Id, Deadline); });
  }
  void retry(const std::string &Id) {
    if (++Jobs.at(Id).Retries <= CallerRetries)
      send(Id, Now + CallerTimeout);
  }
  void answer(const std::string &Id, const caller_reply &Reply) {
    caller_job &Job = Jobs.at(Id);
    if (Job.Accepted)
      return;
    Job.Accepted = Reply.Verdict == caller_reply::verdict::Ok;
    if (Job.Accepted) {
      Job.AcceptedAt = Now;
      return;
    }
    Job.Answered = true;
    schedule(Reply.RetryAfterMs * Millisecond, [this, Id] {
      Jobs.at(Id).Answered = false;
      retry(Id);
    });
  }
  /** @brief Submits jobs at random times with the given mean rate. */
  void offer(const double JobsPerSecond, const duration Time) {
    std::exponential_distribution<double> Gap{JobsPerSecond};
    const time_point End = Now + Time;
    for (time_point At = Now; At < End;
         At += duration{static_cast<std::int64_t>(Gap(Random) * 1e6)}) {
      const std::string Id = "j" + std::to_string(Jobs.size());
      Jobs[Id].FirstSentAt = At;
      schedule(At - Now, [this, Id] { send(Id, Now + CallerTimeout); });
    }
    advance(End - Now);
  }
  [[nodiscard]] std::uint64_t doneTasks() const {
    const auto &Ends = Leader->state().Counts->Ends;
    const auto Found = Ends.find(run_outcome::Done);
    return Found == Ends.end() ? 0 : Found->second;
  }
  [[nodiscard]] std::size_t countAccepted(const time_point From) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Jobs, [&](const auto &Each) {
          return Each.second.Accepted && Each.second.FirstSentAt >= From;
        }));
  }
};

/** Jobs a second that the leader can decide: heartbeats take a fifth of its
 * time, a job 4 ms and each of its tasks 2 ms. */
constexpr double MaxJobsPerSecond = 26;
constexpr double CalmJobsPerSecond = 0.8 * MaxJobsPerSecond;

} // namespace

BOOST_AUTO_TEST_SUITE(overloaded_leader)

// Metastable overload: in a demand peak above what the leader can decide, all
// starts that fitted the pool were sent at once. Their responses were handled
// after their timeouts, the repeats kept the leader busy after the peak, and
// its heartbeats came so late that a successor was elected beside it.
BOOST_AUTO_TEST_CASE(demand_peak_leaves_the_leader_responsive) {
  for (const double Factor : {1.5, 2.0, 5.0}) {
    BOOST_TEST_CONTEXT("peak of " << Factor << " times") {
      busy_leader Platform;
      Platform.offer(CalmJobsPerSecond, 5 * Second);
      const auto DoneBefore = Platform.doneTasks();
      Platform.offer(CalmJobsPerSecond, 5 * Second);
      const auto CalmDone = Platform.doneTasks() - DoneBefore;
      const auto DoneAtPeak = Platform.doneTasks();
      Platform.offer(MaxJobsPerSecond * Factor, 5 * Second);
      const auto PeakDone = Platform.doneTasks() - DoneAtPeak;
      BOOST_TEST(static_cast<double>(PeakDone) >=
                 0.8 * static_cast<double>(CalmDone));
      // The leader appends a heartbeat every 600 ms.
      BOOST_TEST((Platform.LongestLoopDelay < 600 * Millisecond));
      Platform.offer(CalmJobsPerSecond, 2 * Second);
      const time_point Recovered = Platform.Now;
      const auto Offered = Platform.Jobs.size();
      Platform.LongestLoopDelay = duration{0};
      Platform.offer(CalmJobsPerSecond, 3 * Second);
      BOOST_TEST((Platform.LongestLoopDelay < 200 * Millisecond));
      Platform.advance(15 * Second);
      BOOST_TEST(Platform.countAccepted(Recovered) ==
                 Platform.Jobs.size() - Offered);
      for (const auto &[Id, Job] : Platform.Jobs) {
        if (Job.Accepted)
          BOOST_CHECK(Platform.stateOf(Id) == job_state::Completed);
      }
      for (const auto &Each : Platform.Violations)
        BOOST_ERROR(Each);
    }
  }
}

// A store that takes 0.3 s for each append made replies wait for up to 0.6 s.
// The leader refused jobs as overloaded although it could store and start them.
BOOST_AUTO_TEST_CASE(slow_store_is_no_overload) {
  simulated_platform Platform;
  for (const char *Id : {"s0", "s1"})
    Platform.addServer(Id, "press");
  Platform.AppendTime = 300 * Millisecond;
  Platform.elect();
  Platform.advance(Second);
  job_spec Spec;
  Spec.Spec = "text";
  Spec.Steps = {makeStep(1, 1000, 100)};
  std::map<caller_reply::verdict, int> Verdicts;
  for (int I = 0; I < 60; ++I) {
    Platform.Leader->submit(
        {"press", 0, "j" + std::to_string(I), Spec},
        [&](const caller_reply &Reply) { ++Verdicts[Reply.Verdict]; });
    Platform.advance(40 * Millisecond);
  }
  Platform.advance(2 * Second);
  BOOST_TEST(Verdicts[caller_reply::verdict::Ok] == 60);
  BOOST_TEST(Verdicts[caller_reply::verdict::Refused] == 0);
}

// Guards against a window that backend servers without responses keep closed
// for the others.
BOOST_AUTO_TEST_CASE(start_without_a_response_leaves_the_window) {
  start_window Window{{.Orders = 2, .Bytes = 1000}};
  const time_point Now{Second};
  const auto First = Window.acquire(100, Now);
  static_cast<void>(Window.acquire(100, Now));
  BOOST_TEST(!Window.open());
  Window.release(First);
  BOOST_TEST(Window.open());
  static_cast<void>(Window.acquire(100, Now + 50 * Millisecond));
  BOOST_TEST(!Window.open());
  Window.expire(Now + 100 * Millisecond);
  BOOST_TEST(Window.open());
  BOOST_TEST(Window.size() == 1U);
  // A late response must not release another order.
  Window.release(First);
  Window.release(First + 1);
  BOOST_TEST(Window.size() == 1U);
  BOOST_TEST(Window.bytes() == 100U);
}

// Start orders filled a slow link although few of them were under way: appends
// and heartbeats behind them timed out, and leases lapsed. Orders must stay
// below their share of the link even if each gets its response at once.
BOOST_AUTO_TEST_CASE(window_bounds_the_bytes_on_the_link) {
  start_window Window{{.Orders = 100, .Bytes = 15000}};
  std::size_t Sent = 0;
  for (int Ms = 0; Ms < 1000; Ms += 5) {
    const time_point Now = time_point{Second} + Ms * Millisecond;
    Window.expire(Now);
    if (!Window.open())
      continue;
    Window.release(Window.acquire(2500, Now));
    Sent += 2500;
  }
  BOOST_TEST(Window.size() == 0U);
  BOOST_TEST(Sent <= 150000U);
  BOOST_TEST(Sent >= 120000U);
}

// Guards against new jobs that wait behind a backlog, and against a Retry-After
// that brings callers back before the backlog can have drained.
BOOST_AUTO_TEST_CASE(overload_refuses_with_the_time_to_drain) {
  const time_point Now{Second};
  overload_gate Gate;
  for (int I = 0; I < 20; ++I)
    Gate.recordJobStart(Now);
  leader_backlog Backlog;
  Backlog.WaitingJobs = 50;
  BOOST_TEST(Gate.accepts(Backlog, Now));
  Backlog.StartsHeldSince = Now - 100 * Millisecond;
  Backlog.OldestReplyAt = Now - 100 * Millisecond;
  Backlog.LoopDelay = 50 * Millisecond;
  BOOST_TEST(Gate.accepts(Backlog, Now));
  Backlog.StartsHeldSince = Now - 400 * Millisecond;
  BOOST_TEST(!Gate.accepts(Backlog, Now));
  BOOST_TEST(Gate.retryAfterMs(Backlog, Now) == 2500U);
  // A short queue is let in, so that the leader does not fall idle.
  Backlog.WaitingJobs = 4;
  BOOST_TEST(Gate.accepts(Backlog, Now));
  BOOST_TEST(Gate.retryAfterMs(Backlog, Now) == 1000U);
  Backlog.OldestReplyAt = Now - 900 * Millisecond;
  BOOST_TEST(!Gate.accepts(Backlog, Now));
  Backlog.OldestReplyAt = NoDeadline;
  Backlog.LoopDelay = 300 * Millisecond;
  BOOST_TEST(!Gate.accepts(Backlog, Now));
}

// A leader whose control loop and appends were on time accepted more jobs than
// it could start, while thousands of responses waited in its event loop.
BOOST_AUTO_TEST_CASE(responses_that_wait_in_the_loop_refuse_jobs) {
  const time_point Now{Second};
  overload_gate Gate;
  leader_backlog Backlog;
  Backlog.CallbackDelay = 400 * Millisecond;
  BOOST_TEST(Gate.accepts(Backlog, Now));
  Backlog.CallbackDelay = 500 * Millisecond;
  BOOST_TEST(!Gate.accepts(Backlog, Now));
}

BOOST_AUTO_TEST_SUITE_END()
