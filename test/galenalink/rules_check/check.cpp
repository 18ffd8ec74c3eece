#include "galenalink/rules_check/check.hpp"
#include "galenalink/job/queue_match.hpp"
#include "rules.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::rules_check;

namespace {

/** @brief Findings on the sound rules with one change. */
template <typename Change> std::vector<finding> checkWith(const Change &Apply) {
  job::fleet_rules Rules = soundRules();
  Apply(Rules);
  return check(documentOf(std::move(Rules)));
}

location queueField(const std::size_t Index, const field Field) {
  return {entry_kind::Queue, Index, Field, {}};
}

location customerField(const std::size_t Index, const field Field) {
  return {entry_kind::Customer, Index, Field, {}};
}

location keyAt(const std::size_t Index, const std::size_t Item) {
  return {entry_kind::Customer, Index, field::Keys, Item};
}

std::vector<finding> checkAddress(const std::string &Host,
                                  const std::string &Prefix) {
  return checkWith([&](job::fleet_rules &Rules) {
    Rules.Queues = {queueAt("q", Host, Prefix)};
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(checks_of_rules)

// Guards against findings on rules that have no fault, after which operators
// would ignore the others.
BOOST_AUTO_TEST_CASE(sound_rules_have_no_findings) {
  BOOST_TEST(checkWith([](job::fleet_rules &) {}).empty());
  BOOST_TEST(checkWith([](job::fleet_rules &Rules) {
               Rules.Customers.reset();
             }).empty());
}

// Guards against a version that every node ignores without a message.
BOOST_AUTO_TEST_CASE(version_0_is_an_error) {
  const auto Found = checkWith([](auto &Rules) { Rules.Version = 0; });
  BOOST_TEST(count(Found, severity::Error,
                   {entry_kind::Document, 0, field::Version, {}}) == 1U);
}

// Guards against an entry whose settings silently do not apply because an
// earlier entry has its name.
BOOST_AUTO_TEST_CASE(duplicate_names_are_errors) {
  const auto Found = checkWith([](job::fleet_rules &Rules) {
    Rules.Queues.push_back(queueAt("q", "h", "/other/"));
    Rules.Pools.push_back(Rules.Pools[0]);
    Rules.Customers->push_back({"b", {"key-of-c"}, 1, {}});
  });
  BOOST_TEST(count(Found, severity::Error, queueField(1, field::Name)) == 1U);
  BOOST_TEST(count(Found, severity::Error,
                   {entry_kind::Pool, 1, field::Name, {}}) == 1U);
  BOOST_TEST(count(Found, severity::Error, customerField(2, field::Name)) ==
             1U);
  BOOST_TEST(mentions(Found, "first on line 2"));
}

// Guards against a queue whose jobs are accepted but never run.
BOOST_AUTO_TEST_CASE(unlisted_pool_is_an_error) {
  const auto Change = [](job::fleet_rules &Rules) {
    Rules.Queues[0].Pool = "elsewhere";
  };
  BOOST_TEST(count(checkWith(Change), severity::Error,
                   queueField(0, field::Pool)) == 1U);
}

// Guards against a second finding that only follows from an entry which could
// not be read.
BOOST_AUTO_TEST_CASE(incomplete_lists_are_not_judged) {
  job::fleet_rules Rules = soundRules();
  Rules.Queues[0].Pool = "elsewhere";
  Rules.Customers->clear();
  auto Document = documentOf(Rules);
  Document.Incomplete = {entry_kind::Pool, entry_kind::Customer,
                         entry_kind::Queue};
  BOOST_TEST(check(Document).empty());
}

// Guards against a queue on a pool whose VMs are powered off, and against
// reporting a standby pool for running nothing.
BOOST_AUTO_TEST_CASE(standby_pools_run_no_jobs) {
  const auto Found = checkWith([](job::fleet_rules &Rules) {
    Rules.Pools[0].Standby = true;
    Rules.Pools.push_back({"spare", false, true});
    Rules.Pools.push_back({"idle", false, false});
  });
  BOOST_TEST(count(Found, severity::Warning, queueField(0, field::Pool)) == 1U);
  BOOST_TEST(count(Found, severity::Note, {entry_kind::Pool, 1, {}, {}}) == 0U);
  BOOST_TEST(count(Found, severity::Note, {entry_kind::Pool, 2, {}, {}}) == 1U);
}

// Guards against hosts that no request has: none, with a port, with blanks, or
// in a case that clients do not send.
BOOST_AUTO_TEST_CASE(hosts_that_never_match) {
  for (const char *Host : {"", "h:80", "[::1]", "a b", "h\n", "Print.example"})
    BOOST_TEST(count(checkAddress(Host, "/q/"), severity::Warning,
                     queueField(0, field::Host)) == 1U,
               Host);
  BOOST_TEST(checkAddress("print-1.example", "/q/").empty());
}

// Guards against prefixes that no path has, or after which a job's id does not
// follow.
BOOST_AUTO_TEST_CASE(prefixes_that_never_match) {
  for (const char *Prefix : {"q/", "/q", "/q?/", "/q#/", "/q /", "/q\r/"})
    BOOST_TEST(count(checkAddress("h", Prefix), severity::Warning,
                     queueField(0, field::PathPrefix)) == 1U,
               Prefix);
  BOOST_TEST(checkAddress("h", "/").empty());
  BOOST_TEST(checkAddress("h", "/q/r/").empty());
}

// Guards against a check that differs from the nodes' matching: a queue is
// reported as hidden exactly if the nodes never choose it.
BOOST_AUTO_TEST_CASE(hidden_queues_are_those_that_nodes_never_choose) {
  const std::vector<std::string> Hosts{"g", "h"};
  const std::vector<std::string> Prefixes{"/", "/a/", "/a/b/"};
  // All lists of three queues out of six addresses.
  for (std::size_t Choice = 0; Choice < 216; ++Choice) {
    job::fleet_rules Rules = soundRules();
    Rules.Queues.clear();
    for (const std::size_t Address : {Choice % 6, Choice / 6 % 6, Choice / 36})
      Rules.Queues.push_back(queueAt(std::to_string(Rules.Queues.size()),
                                     Hosts[Address % 2],
                                     Prefixes[Address / 2]));
    const auto Found = check(documentOf(Rules));
    for (std::size_t I = 0; I < 3; ++I) {
      const auto &Queue = Rules.Queues[I];
      const bool Chosen =
          job::matchQueue(Rules, Queue.Host,
                          Queue.PathPrefix + "0123456789abcdef") == &Queue;
      BOOST_TEST(count(Found, severity::Warning,
                       queueField(I, field::PathPrefix)) == (Chosen ? 0U : 1U));
    }
  }
}

// Guards against a limit of attempts that acts otherwise than it reads.
BOOST_AUTO_TEST_CASE(no_attempts_is_a_warning) {
  const auto Found =
      checkWith([](auto &Rules) { Rules.Queues[0].MaxAttempts = 0; });
  BOOST_TEST(
      count(Found, severity::Warning, queueField(0, field::MaxAttempts)) == 1U);
}

// Guards against objectives that jobs can't meet however idle the fleet is, and
// against reporting those that they can.
BOOST_AUTO_TEST_CASE(objectives_that_cannot_be_met) {
  const auto CheckObjective = [](const double Stretch,
                                 const std::uint32_t Slack) {
    return checkWith([&](job::fleet_rules &Rules) {
      Rules.Queues[0].Stretch = Stretch;
      Rules.Queues[0].SlackMs = Slack;
    });
  };
  const auto Found = CheckObjective(0.5, 100);
  BOOST_TEST(count(Found, severity::Warning, queueField(0, field::Stretch)) ==
             1U);
  BOOST_TEST(mentions(Found, "longer than 200 ms"));
  BOOST_TEST(count(CheckObjective(1, 0), severity::Note,
                   queueField(0, field::Slack)) == 1U);
  BOOST_TEST(CheckObjective(1.5, 0).empty());
  BOOST_TEST(CheckObjective(1, 1).empty());
}

// Guards against tickets that expire before a task can start with them.
BOOST_AUTO_TEST_CASE(tickets_that_expire_too_early) {
  const auto CheckTickets = [](const job::ticket_rule &Advice) {
    return checkWith(
        [&](job::fleet_rules &Rules) { Rules.Queues[0].Advice = Advice; });
  };
  const auto Validity = queueField(0, field::Validity);
  BOOST_TEST(count(CheckTickets({}), severity::Error, Validity) == 1U);
  BOOST_TEST(count(CheckTickets({30, 4, 150}), severity::Error, Validity) ==
             1U);
  BOOST_TEST(count(CheckTickets({300, 4, 303}), severity::Warning, Validity) ==
             1U);
  BOOST_TEST(CheckTickets({300, 4, 304}).empty());
  // The sum exceeds 32 bits.
  BOOST_TEST(count(CheckTickets({UINT32_MAX, UINT32_MAX, UINT32_MAX}),
                   severity::Warning, Validity) == 1U);
}

// Guards against customers that can send nothing, and against queues that
// nobody can use.
BOOST_AUTO_TEST_CASE(missing_keys_are_warnings) {
  const auto Found = checkWith([](job::fleet_rules &Rules) {
    Rules.Customers = {{{"a", {}, 1, {}}, {"b", {""}, 1, {}}}};
    Rules.Queues.push_back(queueAt("open", "h", "/open/"));
    Rules.Queues.back().Public = true;
  });
  BOOST_TEST(count(Found, severity::Warning, customerField(0, field::Keys)) ==
             1U);
  BOOST_TEST(count(Found, severity::Warning, keyAt(1, 0)) == 1U);
  BOOST_TEST(count(Found, severity::Warning, queueField(0, field::Public)) ==
             1U);
  BOOST_TEST(count(Found, severity::Warning, queueField(1, field::Public)) ==
             0U);
}

// Guards against keys that can't arrive in a header as they are written.
BOOST_AUTO_TEST_CASE(unusable_keys_are_warnings) {
  const auto Found = checkWith([](job::fleet_rules &Rules) {
    Rules.Customers->at(0).Keys = {"trailing ", "line\nbreak", "in side",
                                   "key-of-a"};
  });
  BOOST_TEST(Found.size() == 2U);
  BOOST_TEST(count(Found, severity::Warning, keyAt(0, 0)) == 1U);
  BOOST_TEST(count(Found, severity::Warning, keyAt(0, 1)) == 1U);
}

// Guards against requests that are assigned to another customer than the one
// that sends them.
BOOST_AUTO_TEST_CASE(shared_keys_are_errors) {
  const auto Found = checkWith([](job::fleet_rules &Rules) {
    Rules.Customers->at(1).Keys = {"key-of-b", "key-of-a", "key-of-b"};
  });
  BOOST_TEST(Found.size() == 2U);
  BOOST_TEST(count(Found, severity::Error, keyAt(1, 1)) == 1U);
  BOOST_TEST(count(Found, severity::Warning, keyAt(1, 2)) == 1U);
  BOOST_TEST(!mentions(Found, "key-of"));
}

// Guards against a weight of 0 that is taken for "gets nothing".
BOOST_AUTO_TEST_CASE(weight_0_is_explained) {
  const auto Found = checkWith(
      [](job::fleet_rules &Rules) { Rules.Customers->at(0).Weight = 0; });
  BOOST_TEST(count(Found, severity::Warning, customerField(0, field::Weight)) ==
             1U);
  const auto NoQuota = checkWith(
      [](job::fleet_rules &Rules) { Rules.Customers->at(1).Weight = 0; });
  BOOST_TEST(count(NoQuota, severity::Note, customerField(1, field::Weight)) ==
             1U);
}

// Guards against a quota in cores where thousandths are meant.
BOOST_AUTO_TEST_CASE(tiny_quota_is_a_warning) {
  const auto Found = checkWith(
      [](job::fleet_rules &Rules) { Rules.Customers->at(0).Quota.Cpu = 24; });
  BOOST_TEST(count(Found, severity::Warning, customerField(0, field::Cpu)) ==
             1U);
  BOOST_TEST(mentions(Found, "0.024 of a core"));
}

// Guards against limits of requests that contradict each other.
BOOST_AUTO_TEST_CASE(contradicting_request_limits) {
  auto Document = documentOf(soundRules());
  Document.Limits = {{field::MaxBodyBytes, 0},
                     {field::HeaderTimeout, 3000},
                     {field::IdleTimeout, 2999}};
  const auto Found = check(Document);
  BOOST_TEST(Found.size() == 2U);
  BOOST_TEST(count(Found, severity::Warning,
                   {entry_kind::Limits, 0, field::MaxBodyBytes, {}}) == 1U);
  BOOST_TEST(count(Found, severity::Warning,
                   {entry_kind::Limits, 0, field::HeaderTimeout, {}}) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
