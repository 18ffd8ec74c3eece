#include "galenalink/request/unknown_share.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink::request;
using namespace galenalink::request::test;

namespace {

struct totals {
  std::size_t Keys{};
  std::size_t Runs{};
  std::size_t Kills{};
  std::size_t Takeovers{};
  std::size_t WithoutEvidence{};
  std::map<std::string, std::size_t> Violations;
};

totals run(bag_options Options, const std::uint64_t Seeds,
           const std::size_t Steps) {
  totals Totals;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Options.Seed = Seed;
    message_bag Bag{Options};
    for (std::size_t Step = 0; Step < Steps; ++Step)
      Bag.step();
    Bag.settle();
    Totals.Keys += Bag.Keys.size();
    Totals.Runs += Bag.Runs;
    Totals.Kills += Bag.Kills;
    Totals.Takeovers += Bag.Takeovers;
    Totals.WithoutEvidence += Bag.TakeoversWithoutEvidence;
    for (const std::string &Violation : Bag.Violations) {
      ++Totals.Violations[Violation.substr(0, Violation.rfind(' '))];
      if (!Options.AcknowledgeUnsent)
        BOOST_TEST_MESSAGE("seed " << Seed << ": " << Violation);
    }
  }
  BOOST_TEST_MESSAGE(Totals.Keys
                     << " keys, " << Totals.Runs << " runs, " << Totals.Kills
                     << " kills, " << Totals.Takeovers << " takeovers, "
                     << Totals.WithoutEvidence << " without evidence");
  return Totals;
}

void checkClean(const totals &Totals) {
  for (const auto &[What, Count] : Totals.Violations)
    BOOST_ERROR(What << ": " << Count);
  // A history in which nothing happens would prove nothing.
  BOOST_TEST(Totals.Runs > Totals.Keys / 10);
  BOOST_TEST(Totals.Takeovers > 0U);
  BOOST_TEST(Totals.Kills > 0U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(interleaving)

// Up to two losses at a time with two replicas: no double run, no false "not
// run", no answer of another request, and every handle survives.
BOOST_AUTO_TEST_CASE(two_replicas_survive_two_losses) {
  checkClean(run({}, 60, 6000));
}

BOOST_AUTO_TEST_CASE(one_replica_survives_one_loss) {
  bag_options Options;
  Options.Replicas = 1;
  Options.MaxKills = 1;
  checkClean(run(Options, 40, 6000));
}

// With more losses than replicas work may become unknown, but never wrong.
BOOST_AUTO_TEST_CASE(more_losses_than_replicas_stay_safe) {
  for (const std::size_t Replicas : {0U, 1U, 2U}) {
    bag_options Options;
    Options.Replicas = Replicas;
    Options.MaxKills = 100;
    const totals Totals = run(Options, 30, 6000);
    checkClean(Totals);
    BOOST_TEST(Totals.WithoutEvidence > 0U);
  }
}

// Timed keys that are tried again after their retention must not run again.
BOOST_AUTO_TEST_CASE(timed_keys_outlive_the_retention) {
  bag_options Options;
  Options.Timed = true;
  Options.MaxKills = 100;
  checkClean(run(Options, 30, 20000));
}

// As many losses as replicas leave a copy: only work that was running is
// unknown, until backend servers report it. One more loss leaves nothing.
BOOST_AUTO_TEST_CASE(share_of_unknown_keys) {
  BOOST_TEST_MESSAGE(unknownTable());
  for (std::size_t Replicas = 0; Replicas <= 2; ++Replicas) {
    for (std::size_t Losses = 1; Losses <= 3; ++Losses) {
      const unknown_share Share = measureUnknown(Replicas, Losses);
      const std::size_t Lost = Losses > Replicas ? unknown_share::PerGroup : 0U;
      BOOST_TEST(Share.Finished == Lost);
      BOOST_TEST(Share.Running == unknown_share::PerGroup);
      BOOST_TEST(Share.Reconciled == Lost);
      BOOST_TEST(Share.New == Lost);
      BOOST_TEST(Share.Queued == Lost);
    }
  }
}

// The checks above can fail: without replication before the dispatch they
// find double runs.
BOOST_AUTO_TEST_CASE(dispatch_without_replication_is_found) {
  bag_options Options;
  Options.AcknowledgeUnsent = true;
  const totals Totals = run(Options, 60, 6000);
  BOOST_TEST(Totals.Violations.count("double run") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
