#include "galenalink/rules_check/check.hpp"
#include "galenalink/rules_check/check_detail.hpp"
#include <algorithm>

namespace galenalink::rules_check {

namespace {

/** @brief Reports entries with the name of an earlier entry. */
template <typename Rows>
void checkNames(report &Report, const entry_kind Kind, const Rows &Entries,
                const std::string &Consequence) {
  std::map<std::string_view, std::size_t> First;
  for (std::size_t I = 0; I < Entries.size(); ++I) {
    const auto [Earlier, IsNew] = First.try_emplace(Entries[I].Name, I);
    if (IsNew)
      continue;
    const auto Line = Report.lineOf({Kind, Earlier->second, {}, {}});
    Report.add(severity::Error, {Kind, I, field::Name, {}},
               Report.describe(Kind, Entries[I].Name) +
                   " is listed twice, first on line " + std::to_string(Line) +
                   ": " + Consequence);
  }
}

void checkAllNames(const document &Document, report &Report) {
  checkNames(Report, entry_kind::Queue, Document.Rules.Queues,
             "the jobs of both get the settings of the first");
  checkNames(Report, entry_kind::Pool, Document.Rules.Pools,
             "the settings of one of them do not apply");
  if (Document.Rules.Customers)
    checkNames(Report, entry_kind::Customer, *Document.Rules.Customers,
               "the keys of both belong to one customer, and the settings of "
               "one of them do not apply");
}

void checkVersion(const document &Document, report &Report) {
  if (Document.Rules.Version == 0)
    Report.add(severity::Error, {entry_kind::Document, 0, field::Version, {}},
               Report.nameOf(field::Version) +
                   " is 0: the nodes ignore the configuration; the first "
                   "version is 1");
}

void checkLimits(const document &Document, report &Report) {
  for (const auto &[Field, Value] : Document.Limits) {
    if (Value == 0)
      Report.add(severity::Warning, {entry_kind::Limits, 0, Field, {}},
                 Report.nameOf(Field) + " is 0: no request can be within it");
  }
  const auto Header = Document.Limits.find(field::HeaderTimeout);
  const auto Idle = Document.Limits.find(field::IdleTimeout);
  if (Header == Document.Limits.end() || Idle == Document.Limits.end() ||
      Header->second <= Idle->second)
    return;
  Report.add(severity::Warning,
             {entry_kind::Limits, 0, field::HeaderTimeout, {}},
             Report.nameOf(field::HeaderTimeout) + ' ' +
                 std::to_string(Header->second) + " is above " +
                 Report.nameOf(field::IdleTimeout) + ' ' +
                 std::to_string(Idle->second) +
                 ": a connection may be closed as idle before its header is "
                 "due");
}

void checkPools(const document &Document, report &Report) {
  if (Document.Incomplete.contains(entry_kind::Queue))
    return;
  const auto &Pools = Document.Rules.Pools;
  for (std::size_t I = 0; I < Pools.size(); ++I) {
    const bool IsUsed = std::ranges::find(Document.Rules.Queues, Pools[I].Name,
                                          &job::queue_rule::Pool) !=
                        Document.Rules.Queues.end();
    if (!IsUsed && !Pools[I].Standby)
      Report.add(severity::Note, {entry_kind::Pool, I, {}, {}},
                 Report.describe(entry_kind::Pool, Pools[I].Name) +
                     " is not used by any entry of " +
                     Report.nameOf(field::Queues) + ": it runs no jobs");
  }
}

} // namespace

std::vector<finding> check(const document &Document) {
  std::vector<finding> Findings;
  report Report{Document, Findings};
  checkVersion(Document, Report);
  checkLimits(Document, Report);
  checkAllNames(Document, Report);
  detail::checkQueues(Document, Report);
  checkPools(Document, Report);
  detail::checkCustomers(Document, Report);
  return Findings;
}

} // namespace galenalink::rules_check
