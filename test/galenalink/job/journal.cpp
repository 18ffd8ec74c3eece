#include "galenalink/job/journal.hpp"
#include "galenalink/job/lease.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;

namespace {

constexpr duration Ms = std::chrono::milliseconds{1};

/** Store whose responses are triggered by the test. */
struct manual_store {
  time_point Now{std::chrono::seconds{50}};
  std::vector<std::pair<std::uint64_t, std::vector<keyed_record>>> Appends;
  std::function<void(append_result)> Respond;
  std::vector<duration> Timeouts;
  bool Fenced{false};

  journal makeJournal() {
    return journal{
        {[this](std::uint64_t, const std::uint64_t Sequence,
                const std::vector<keyed_record> &Records,
                const time_point ResponseDeadline, const auto &Callback) {
           Appends.emplace_back(Sequence, Records);
           Respond = Callback;
           Timeouts.push_back(ResponseDeadline - Now);
         },
         [this] { return Now; }, [this] { Fenced = true; }},
        1};
  }
};

journal::value_function valueOf(const std::string &Value) {
  return [Value] { return std::optional{Value}; };
}

} // namespace

BOOST_AUTO_TEST_SUITE(leader_journal)

// Records put during an append must go into the next one, with only the latest
// value of each key.
BOOST_AUTO_TEST_CASE(appends_are_batched) {
  manual_store Store;
  journal Journal = Store.makeJournal();
  Journal.put("a", valueOf("1"));
  Journal.flush();
  Journal.put("b", valueOf("1"));
  Journal.put("b", valueOf("2"));
  Journal.flush();
  BOOST_TEST(Store.Appends.size() == 1U);
  Store.Respond({call_outcome::Done, ""});
  Journal.flush();
  BOOST_REQUIRE(Store.Appends.size() == 2U);
  BOOST_TEST(Store.Appends[1].first == 1U);
  BOOST_CHECK(
      (Store.Appends[1].second == std::vector<keyed_record>{{"b", "2"}}));
}

// A store that was silent for a while leaves requests without a response, and
// the leader stored nothing until their timeout, up to 1.2 s after the outage.
// A late response of the first request must not count for a later append.
BOOST_AUTO_TEST_CASE(append_without_a_response_is_sent_again) {
  manual_store Store;
  journal Journal = Store.makeJournal();
  int Stored = 0;
  Journal.put("a", valueOf("1"));
  Journal.whenStored([&] { ++Stored; });
  Journal.flush();
  const auto First = Store.Respond;
  Store.Now += 400 * Ms;
  Journal.flush();
  BOOST_TEST(Store.Appends.size() == 1U);
  Store.Now += 100 * Ms;
  Journal.flush();
  BOOST_REQUIRE(Store.Appends.size() == 2U);
  BOOST_CHECK(Store.Appends[0] == Store.Appends[1]);
  Store.Respond({call_outcome::Done, ""});
  BOOST_TEST(Stored == 1);
  Journal.put("a", valueOf("2"));
  Journal.whenStored([&] { ++Stored; });
  Journal.flush();
  for (const auto Late :
       {call_outcome::Done, call_outcome::Unknown, call_outcome::Fenced})
    First({Late, ""});
  BOOST_TEST(Stored == 1);
  BOOST_TEST(!Store.Fenced);
  BOOST_TEST(Journal.healthy());
  Store.Respond({call_outcome::Done, ""});
  BOOST_TEST(Stored == 2);
}

// Requests without a response must not pile up during a long outage.
BOOST_AUTO_TEST_CASE(repeats_of_an_append_are_bounded) {
  manual_store Store;
  journal Journal = Store.makeJournal();
  Journal.put("a", valueOf("1"));
  for (int I = 0; I < 1000; ++I) {
    Journal.flush();
    Store.Now += 10 * Ms;
  }
  BOOST_TEST(Store.Appends.size() == 3U);
}

// An append without a response must be retried with the same sequence number
// and records, or it could take effect twice.
BOOST_AUTO_TEST_CASE(unanswered_append_is_retried_unchanged) {
  manual_store Store;
  journal Journal = Store.makeJournal();
  bool Stored = false;
  Journal.put("a", valueOf("1"));
  Journal.whenStored([&] { Stored = true; });
  Journal.flush();
  Store.Respond({call_outcome::Unknown, ""});
  Journal.put("a", valueOf("2"));
  Store.Now += 500 * Ms;
  Journal.flush();
  BOOST_REQUIRE(Store.Appends.size() == 2U);
  BOOST_CHECK(Store.Appends[0] == Store.Appends[1]);
  BOOST_TEST(!Stored);
  Store.Respond({call_outcome::Done, ""});
  BOOST_TEST(Stored);
  BOOST_TEST(Journal.healthy());
}

// A single lost response made the leader refuse all jobs for a second while the
// store lost a third of its responses. A real outage must still be reported.
BOOST_AUTO_TEST_CASE(one_lost_response_is_not_an_outage) {
  manual_store Store;
  journal Journal = Store.makeJournal();
  Journal.put("a", valueOf("1"));
  Journal.flush();
  BOOST_TEST((Store.Timeouts[0] <= 300 * Ms));
  Store.Respond({call_outcome::Unknown, ""});
  BOOST_TEST(Journal.healthy());
  Store.Now += 100 * Ms;
  Journal.flush();
  BOOST_TEST((Store.Timeouts[1] > Store.Timeouts[0]));
  Store.Respond({call_outcome::Unknown, ""});
  BOOST_TEST(!Journal.healthy());
}

// Guards against a stalled journal that neither metrics nor log show: the age
// of the oldest waiting reply must count from when it was added, also while the
// append that it waits for is retried.
BOOST_AUTO_TEST_CASE(load_shows_the_oldest_waiting_reply) {
  manual_store Store;
  journal Journal = Store.makeJournal();
  BOOST_TEST(!Journal.currentLoad().OldestAt.has_value());
  const time_point Begin = Store.Now;
  Journal.put("a", valueOf("12345"));
  Journal.whenStored([] {});
  Journal.flush();
  Store.Now += 400 * Ms;
  Store.Respond({call_outcome::Unknown, ""});
  Journal.put("b", valueOf("1"));
  Journal.whenStored([] {});
  const journal::load Load = Journal.currentLoad();
  BOOST_TEST(Load.Records == 2U);
  BOOST_TEST(Load.BatchBytes == 6U);
  BOOST_TEST(Load.Callbacks == 2U);
  BOOST_TEST((Load.OldestAt == Begin));
  Store.Now += 400 * Ms;
  Journal.flush();
  Store.Respond({call_outcome::Done, ""});
  BOOST_TEST((Journal.currentLoad().OldestAt == Begin + 400 * Ms));
}

// Guards against cancels and submits that are never acknowledged by a leader
// whose records exceed one append at all times: a reply must wait only for the
// records put before it, in the order in which they were put.
BOOST_AUTO_TEST_CASE(replies_do_not_wait_for_later_records) {
  manual_store Store;
  journal Journal = Store.makeJournal();
  const std::string Large(400 << 10U, 'x');
  int Generation = 0;
  // Fills more than one append; the keys sort before the key of the cancel.
  const auto PutProgress = [&] {
    ++Generation;
    for (const char *Key : {"a", "b", "c", "d"})
      Journal.put(Key + std::to_string(Generation), valueOf(Large));
  };
  PutProgress();
  Journal.flush();
  bool Stored = false;
  Journal.put("z", valueOf("cancelled"));
  Journal.whenStored([&] { Stored = true; });
  std::size_t Appends = 0;
  for (; !Stored && Appends < 20; ++Appends) {
    PutProgress();
    Store.Respond({call_outcome::Done, ""});
  }
  BOOST_TEST(Stored);
  // Two appends with the records before the one of the cancel.
  BOOST_TEST(Appends <= 3U);
  const auto IsCancel = [](const keyed_record &Each) {
    return Each.Key == "z";
  };
  BOOST_TEST(
      std::ranges::count_if(Store.Appends[Appends - 1].second, IsCancel) == 1);
}

// A fenced leader must be notified and must not report records as stored.
BOOST_AUTO_TEST_CASE(fenced_leader_is_notified) {
  manual_store Store;
  journal Journal = Store.makeJournal();
  bool Stored = false;
  Journal.put("a", valueOf("1"));
  Journal.whenStored([&] { Stored = true; });
  Journal.flush();
  Store.Respond({call_outcome::Fenced, ""});
  BOOST_TEST(Store.Fenced);
  BOOST_TEST(!Stored);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(server_leases)

// A backend server's clock may run 2% slow, so the leader must assume that the
// lease lasts longer on its own clock.
BOOST_AUTO_TEST_CASE(slow_clock_lengthens_the_lease) {
  lease Lease;
  const time_point Now{std::chrono::seconds{10}};
  Lease.recordClock(5000, Now);
  BOOST_TEST(Lease.extend(Now, 4000 * Ms) == 9000);
  BOOST_CHECK(Lease.expiry() >= Now + 4081 * Ms);
}

// A later, shorter lease must not shorten one that was granted before.
BOOST_AUTO_TEST_CASE(lease_never_shortens) {
  lease Lease;
  const time_point Now{std::chrono::seconds{10}};
  Lease.recordClock(5000, Now);
  BOOST_TEST(Lease.extend(Now, 4000 * Ms) == 9000);
  BOOST_TEST(Lease.extend(Now, 1000 * Ms) == 9000);
}

// A response that arrives out of order must not set the clock estimate back.
BOOST_AUTO_TEST_CASE(older_sample_is_ignored) {
  lease Lease;
  const time_point Now{std::chrono::seconds{10}};
  Lease.recordClock(5000, Now);
  Lease.recordClock(1000, Now - 100 * Ms);
  BOOST_TEST(Lease.extend(Now, 1000 * Ms) == 6000);
}

BOOST_AUTO_TEST_SUITE_END()
