#include "galenalink/rules_check/compare.hpp"
#include "rules.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::rules_check;

namespace {

/** @brief Findings on a change of the sound rules, with a higher version. */
template <typename Change>
std::vector<finding> compareWith(const Change &Apply,
                                 const job::fleet_rules &Old = soundRules()) {
  job::fleet_rules New = Old;
  ++New.Version;
  Apply(New);
  return compare(documentOf(std::move(New)), documentOf(Old, "old"));
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

} // namespace

BOOST_AUTO_TEST_SUITE(comparison_of_rules)

// Guards against differences that do not exist.
BOOST_AUTO_TEST_CASE(equal_rules_have_no_findings) {
  BOOST_TEST(compareWith([](job::fleet_rules &) {}).empty());
}

// Guards against a configuration that every node ignores.
BOOST_AUTO_TEST_CASE(version_must_rise) {
  for (const std::uint64_t Version : {std::uint64_t{0}, std::uint64_t{1}}) {
    const auto Found =
        compareWith([&](job::fleet_rules &Rules) { Rules.Version = Version; });
    BOOST_TEST(count(Found, severity::Error,
                     {entry_kind::Document, 0, field::Version, {}}) == 1U);
  }
}

// Guards against callers that get 404 without the operator's knowledge; a
// request may also be taken over by another queue.
BOOST_AUTO_TEST_CASE(removed_and_moved_queues) {
  const auto Removed =
      compareWith([](job::fleet_rules &Rules) { Rules.Queues.clear(); });
  BOOST_TEST(count(Removed, severity::Warning, {entry_kind::Queue, 0, {}, {}},
                   "old") == 1U);
  BOOST_TEST(mentions(Removed, R"("h/q/" get 404)"));
  const auto Renamed =
      compareWith([](job::fleet_rules &Rules) { Rules.Queues[0].Name = "r"; });
  BOOST_TEST(mentions(Renamed, R"("h/q/" reach entry "r")"));
  BOOST_TEST(count(Renamed, severity::Note, {entry_kind::Queue, 0, {}, {}}) ==
             1U);
  const auto Moved = compareWith(
      [](job::fleet_rules &Rules) { Rules.Queues[0].PathPrefix = "/"; });
  BOOST_TEST(
      count(Moved, severity::Warning, queueField(0, field::PathPrefix)) == 1U);
  BOOST_TEST(mentions(Moved, R"("h/q/" get 404)"));
}

// Guards against a changed field of a queue that is not reported, or reported
// with the wrong severity.
BOOST_AUTO_TEST_CASE(changed_fields_of_queues) {
  const auto Severity = [](const field Field, const auto &Change) {
    const auto Found =
        compareWith([&](job::fleet_rules &Rules) { Change(Rules.Queues[0]); });
    BOOST_REQUIRE(Found.size() == 1U);
    BOOST_TEST(Found[0].Diagnostic.Path == pathOf(queueField(0, Field)));
    return Found[0].Severity;
  };
  using queue = job::queue_rule;
  BOOST_CHECK(Severity(field::Pool, [](queue &Each) { Each.Pool = "x"; }) ==
              severity::Warning);
  BOOST_CHECK(Severity(field::Public, [](queue &Each) {
                Each.Public = true;
              }) == severity::Warning);
  BOOST_CHECK(Severity(field::Priority, [](queue &Each) {
                Each.Priority = 1;
              }) == severity::Warning);
  BOOST_CHECK(Severity(field::MaxAttempts, [](queue &Each) {
                Each.MaxAttempts = 0;
              }) == severity::Warning);
  BOOST_CHECK(Severity(field::MaxAttempts, [](queue &Each) {
                Each.MaxAttempts = 2;
              }) == severity::Note);
  BOOST_CHECK(Severity(field::Slack, [](queue &Each) { Each.SlackMs = 9; }) ==
              severity::Warning);
  BOOST_CHECK(Severity(field::Stretch, [](queue &Each) { Each.Stretch = 2; }) ==
              severity::Note);
  // Setting a timeout where there was none is a restriction.
  BOOST_CHECK(Severity(field::Timeout, [](queue &Each) {
                Each.TimeoutMs = 9;
              }) == severity::Warning);
  BOOST_CHECK(Severity(field::Advice, [](queue &Each) {
                Each.Advice = job::ticket_rule{1, 1, 900};
              }) == severity::Warning);
}

// Guards against a changed pool that is not reported.
BOOST_AUTO_TEST_CASE(changed_pools) {
  const auto Found = compareWith([](job::fleet_rules &Rules) {
    Rules.Pools[0].Standby = true;
    Rules.Pools.push_back({"more", false, false});
  });
  BOOST_TEST(Found.size() == 2U);
  BOOST_TEST(count(Found, severity::Warning,
                   {entry_kind::Pool, 0, field::Standby, {}}) == 1U);
  BOOST_TEST(count(Found, severity::Note, {entry_kind::Pool, 1, {}, {}}) == 1U);
  const auto Removed =
      compareWith([](job::fleet_rules &Rules) { Rules.Pools.clear(); });
  BOOST_TEST(count(Removed, severity::Warning, {entry_kind::Pool, 0, {}, {}},
                   "old") == 1U);
}

// Guards against callers that get 401, or 403 for their own jobs, without the
// operator's knowledge.
BOOST_AUTO_TEST_CASE(keys_taken_away_added_and_passed_over) {
  const auto Found = compareWith([](job::fleet_rules &Rules) {
    Rules.Customers->at(0).Keys = {"new-key-of-a", "key-of-b"};
    Rules.Customers->at(1).Keys = {"new-key-of-b"};
  });
  BOOST_TEST(count(Found, severity::Warning, keyAt(0, 0), "old") == 1U);
  BOOST_TEST(count(Found, severity::Note, keyAt(0, 0)) == 1U);
  BOOST_TEST(count(Found, severity::Warning, keyAt(0, 1)) == 1U);
  BOOST_TEST(count(Found, severity::Note, keyAt(1, 0)) == 1U);
  BOOST_TEST(count(Found, severity::Warning, keyAt(1, 0), "old") == 0U);
  BOOST_TEST(mentions(Found, "get 403"));
  BOOST_TEST(!mentions(Found, "key-of"));
}

// Guards against a renamed customer that is reported like one whose callers are
// locked out.
BOOST_AUTO_TEST_CASE(renamed_customer_keeps_its_keys) {
  const auto Found = compareWith(
      [](job::fleet_rules &Rules) { Rules.Customers->at(0).Name = "c"; });
  BOOST_TEST(count(Found, severity::Warning, {entry_kind::Customer, 0, {}, {}},
                   "old") == 1U);
  BOOST_TEST(count(Found, severity::Warning, keyAt(0, 0)) == 1U);
  BOOST_TEST(!mentions(Found, "401"));
  BOOST_TEST(!mentions(Found, "403"));
}

// Guards against a quota that is lowered unnoticed; 0 is no limit, not the
// lowest one.
BOOST_AUTO_TEST_CASE(quota_of_0_is_no_limit) {
  const auto Found = compareWith([](job::fleet_rules &Rules) {
    Rules.Customers->at(0).Quota = {0, 99, 1};
    Rules.Customers->at(1).Quota = {5000, 0, 0};
  });
  BOOST_TEST(Found.size() == 4U);
  BOOST_TEST(count(Found, severity::Note, customerField(0, field::Cpu)) == 1U);
  BOOST_TEST(count(Found, severity::Warning, customerField(0, field::Memory)) ==
             1U);
  BOOST_TEST(count(Found, severity::Warning, customerField(0, field::Gpu)) ==
             1U);
  BOOST_TEST(count(Found, severity::Warning, customerField(1, field::Cpu)) ==
             1U);
}

// Guards against a share or a rate that is lowered unnoticed.
BOOST_AUTO_TEST_CASE(changed_weights) {
  const auto Found = compareWith([](job::fleet_rules &Rules) {
    Rules.Customers->at(0).Weight = 1;
    Rules.Customers->at(1).Weight = 3;
  });
  BOOST_TEST(Found.size() == 2U);
  BOOST_TEST(count(Found, severity::Warning, customerField(0, field::Weight)) ==
             1U);
  BOOST_TEST(count(Found, severity::Note, customerField(1, field::Weight)) ==
             1U);
}

// Guards against a first list of customers after which nobody has access, and
// against a removed one after which everybody has.
BOOST_AUTO_TEST_CASE(keys_needed_from_now_on_or_no_longer) {
  const location At{entry_kind::Document, 0, field::Customers, {}};
  const auto Removed =
      compareWith([](job::fleet_rules &Rules) { Rules.Customers.reset(); });
  BOOST_TEST(count(Removed, severity::Warning, At, "old") == 1U);
  job::fleet_rules Old = soundRules();
  Old.Customers.reset();
  const auto Added = compareWith(
      [](job::fleet_rules &Rules) { Rules.Customers.emplace(); }, Old);
  BOOST_TEST(count(Added, severity::Warning, At) == 1U);
}

// Guards against changes of request limits and of unused fields that are not
// reported.
BOOST_AUTO_TEST_CASE(limits_and_unused_fields) {
  job::fleet_rules Rules = soundRules();
  auto Old = documentOf(Rules, "old");
  ++Rules.Version;
  auto New = documentOf(Rules);
  Old.Limits = {{field::MaxBodyBytes, 9}, {field::IdleTimeout, 5}};
  New.Limits = {{field::MaxBodyBytes, 8}, {field::HeaderTimeout, 5}};
  Old.Unused[entry_kind::Pool] = {{{field::Tls, "true"}}};
  New.Unused[entry_kind::Pool] = {{{field::Protocol, "\"h2\""}}};
  const auto Found = compare(New, Old);
  BOOST_TEST(Found.size() == 5U);
  BOOST_TEST(count(Found, severity::Warning,
                   {entry_kind::Limits, 0, field::MaxBodyBytes, {}}) == 1U);
  BOOST_TEST(count(Found, severity::Note,
                   {entry_kind::Limits, 0, field::IdleTimeout, {}}) == 1U);
  BOOST_TEST(count(Found, severity::Note,
                   {entry_kind::Pool, 0, field::Tls, {}}) == 1U);
  BOOST_TEST(count(Found, severity::Note,
                   {entry_kind::Pool, 0, field::Protocol, {}}) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
