#include "galenalink/job_node/leader_elector.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::job_node;

namespace {

constexpr duration Millisecond = std::chrono::milliseconds{1};

/** A follower of another node's epoch, with a log that holds only the claim of
 * that epoch. */
struct follower_fixture {
  http::loop Loop;
  ports Ports;
  std::uint32_t Reads{0};
  std::uint32_t Claims{0};
  std::uint32_t Probes{0};
  /** Result of all probes but the first, which is always healthy. */
  probe_result LaterProbes{probe_result::Healthy};
  /** Number of the read that fails; 0 for none. */
  std::uint32_t FailingRead{0};
  std::vector<http::timer> Timers;

  follower_fixture() {
    Ports.Read = [this](topic, const std::uint64_t From, std::uint32_t WaitMs,
                        const auto &Callback) {
      ++Reads;
      read_result Result;
      if (Reads != FailingRead)
        Result.Outcome = call_outcome::Done;
      if (From == 0 && Result.Outcome == call_outcome::Done)
        Result.Records.push_back(
            {"", toText({leader_record::kind::Claim, "other", "other:1", 0})});
      Result.Next = From + Result.Records.size();
      Result.End = Result.Next;
      const bool Waits =
          Result.Outcome == call_outcome::Done && Result.Records.empty();
      runAfter(Waits ? WaitMs : 1, [Callback, Result] { Callback(Result); });
    };
    Ports.Claim = [this](std::uint64_t, const std::string &,
                         const auto &Callback) {
      ++Claims;
      runAfter(1, [Callback] { Callback({call_outcome::Done, 0}); });
    };
  }

  void runAfter(const std::uint32_t DelayMs, std::function<void()> Call) {
    Timers.push_back(
        Loop.at(boot_clock::now() + DelayMs * Millisecond, std::move(Call)));
  }

  void run(const duration Time) {
    election_settings Settings;
    Settings.Node = "self";
    Settings.Address = "self:1";
    Settings.StartedAt = boot_clock::now();
    leader_elector Elector{
        Loop,
        Ports,
        Settings,
        {[](std::uint64_t) {}, [] {}, [](const leadership &) {},
         [this](const leadership &, std::function<void(probe_result)> Done) {
           ++Probes;
           runAfter(1, [this, Done = std::move(Done)] {
             Done(Probes > 1 ? LaterProbes : probe_result::Healthy);
           });
         }}};
    Elector.start();
    static_cast<void>(
        Loop.runUntil([] { return false; }, boot_clock::now() + Time));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(leader_elector_as_follower)

// Guards against a node that stops reading the log after one failed read and so
// keeps following a dead leader.
BOOST_AUTO_TEST_CASE(log_is_read_again_after_a_failed_read) {
  follower_fixture Follower;
  Follower.FailingRead = 3;
  Follower.LaterProbes = probe_result::Unhealthy;
  Follower.run(1500 * Millisecond);
  BOOST_TEST(Follower.Reads > 3U);
  BOOST_TEST(Follower.Claims >= 1U);
}

// Guards against waiting for the full election timeout when a leader without
// heartbeats reports that it is unhealthy.
BOOST_AUTO_TEST_CASE(unhealthy_leader_is_replaced) {
  follower_fixture Follower;
  Follower.LaterProbes = probe_result::Unhealthy;
  Follower.run(1200 * Millisecond);
  BOOST_TEST(Follower.Claims >= 1U);
}

// Guards against replacing a leader that responds to probes before the election
// timeout.
BOOST_AUTO_TEST_CASE(healthy_leader_is_not_replaced) {
  follower_fixture Follower;
  Follower.run(1600 * Millisecond);
  BOOST_TEST(Follower.Probes >= 1U);
  BOOST_TEST(Follower.Claims == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/** A node that leads on a log of its own, with one append whose response is
 * lost. */
struct leader_fixture {
  http::loop Loop;
  ports Ports;
  std::vector<keyed_record> Log;
  std::uint32_t Claims{0};
  /** Number of the append that is carried out without a response. */
  std::uint32_t LostResponse{0};
  time_point LostSentAt{NoDeadline};
  std::vector<http::timer> Timers;

  leader_fixture() {
    Ports.Read = [this](topic, const std::uint64_t From, std::uint32_t,
                        const auto &Callback) {
      read_result Result;
      Result.Outcome = call_outcome::Done;
      Result.Records.assign(Log.begin() + static_cast<std::ptrdiff_t>(From),
                            Log.end());
      Result.Next = Log.size();
      Result.End = Log.size();
      runSoon([Callback, Result] { Callback(Result); });
    };
    Ports.Claim = [this](std::uint64_t, const std::string &Record,
                         const auto &Callback) {
      Log.push_back({"", Record});
      const bool Lost = ++Claims == LostResponse;
      if (Lost)
        LostSentAt = boot_clock::now();
      // Further appends fail, so that only the log can confirm the leader.
      const auto Outcome = LostResponse == 0 || Claims < LostResponse
                               ? call_outcome::Done
                               : call_outcome::Unknown;
      if (Claims > LostResponse && LostResponse != 0)
        Log.pop_back();
      runSoon([Callback, Outcome] { Callback({Outcome, 0}); });
    };
  }

  void runSoon(std::function<void()> Call) {
    Timers.push_back(Loop.at(boot_clock::now() + Millisecond, std::move(Call)));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(leader_elector_as_leader)

// A leader whose heartbeat was stored, but whose response was lost, counted as
// unconfirmed until the next one and started nothing meanwhile.
BOOST_AUTO_TEST_CASE(own_heartbeat_in_the_log_confirms_the_leader) {
  leader_fixture Leader;
  Leader.LostResponse = 3;
  election_settings Settings;
  Settings.Node = "self";
  Settings.Address = "self:1";
  Settings.StartedAt = boot_clock::now();
  leader_elector Elector{Leader.Loop,
                         Leader.Ports,
                         Settings,
                         {[](std::uint64_t) {}, [] {},
                          [](const leadership &) {},
                          [](const leadership &, const auto &Done) {
                            Done(probe_result::Healthy);
                          }}};
  Elector.start();
  static_cast<void>(
      Leader.Loop.runUntil([&] { return Leader.Claims >= 4U; },
                           boot_clock::now() + 5000 * Millisecond));
  BOOST_REQUIRE(Elector.leads());
  BOOST_REQUIRE((Leader.LostSentAt != NoDeadline));
  const auto Difference = Leader.LostSentAt - Elector.confirmedAt();
  BOOST_TEST((Difference >= duration::zero()));
  BOOST_TEST((Difference < 100 * Millisecond));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/** A node that replaces an unhealthy leader on a log whose reads wait for new
 * records, and whose responses to appends arrive long after the record. */
struct slow_claim_fixture {
  http::loop Loop;
  ports Ports;
  std::vector<keyed_record> Log;
  /** Responds to the read that waits for a new record; unset without one. */
  std::function<void()> WaitingRead;
  std::uint32_t ClaimResponses{0};
  std::vector<std::uint64_t> ElectedEpochs;
  std::vector<http::timer> Timers;

  slow_claim_fixture() {
    Log.push_back(
        {"", toText({leader_record::kind::Claim, "other", "other:1", 0})});
    Ports.Read = [this](topic, const std::uint64_t From, const std::uint32_t,
                        const auto &Callback) {
      WaitingRead = [this, From, Callback] {
        read_result Result;
        Result.Outcome = call_outcome::Done;
        Result.Records.assign(Log.begin() + static_cast<std::ptrdiff_t>(From),
                              Log.end());
        Result.Next = Log.size();
        Result.End = Log.size();
        Callback(Result);
      };
      if (From < Log.size())
        runAfter(1, [this] { respondToRead(); });
    };
    Ports.Claim = [this](std::uint64_t, const std::string &Record,
                         const auto &Callback) {
      Log.push_back({"", Record});
      runAfter(1, [this] { respondToRead(); });
      runAfter(100, [this, Callback] {
        ++ClaimResponses;
        Callback({call_outcome::Done, 0});
      });
    };
  }

  void respondToRead() {
    if (const auto Respond = std::exchange(WaitingRead, nullptr))
      Respond();
  }

  void runAfter(const std::uint32_t DelayMs, std::function<void()> Call) {
    Timers.push_back(
        Loop.at(boot_clock::now() + DelayMs * Millisecond, std::move(Call)));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(leader_elector_with_slow_store)

// A claim that was read from the log before its response arrived elected the
// node twice for one epoch. The second leader reused the sequence numbers of
// the first one, so the store acknowledged its appends without storing them:
// accepted jobs were lost.
BOOST_AUTO_TEST_CASE(claim_read_before_its_response_elects_once) {
  slow_claim_fixture Store;
  election_settings Settings;
  Settings.Node = "self";
  Settings.Address = "self:1";
  Settings.StartedAt = boot_clock::now();
  leader_elector Elector{
      Store.Loop,
      Store.Ports,
      Settings,
      {[&](const std::uint64_t Epoch) { Store.ElectedEpochs.push_back(Epoch); },
       [] {}, [](const leadership &) {},
       [&](const leadership &, std::function<void(probe_result)> Done) {
         Store.runAfter(
             1, [Done = std::move(Done)] { Done(probe_result::Unhealthy); });
       }}};
  Elector.start();
  static_cast<void>(
      Store.Loop.runUntil([&] { return Store.ClaimResponses > 0; },
                          boot_clock::now() + 5000 * Millisecond));
  BOOST_REQUIRE(Store.ClaimResponses > 0);
  BOOST_TEST(Elector.leads());
  BOOST_REQUIRE(Store.ElectedEpochs.size() == 1U);
  BOOST_TEST(Store.ElectedEpochs.front() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
