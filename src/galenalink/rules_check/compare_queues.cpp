#include "galenalink/job/queue_match.hpp"
#include "galenalink/rules_check/compare_detail.hpp"

namespace galenalink::rules_check::detail {

namespace {

/** @brief What happens to requests for an address that a queue had. */
std::string fateOfRequests(const comparison &Both,
                           const job::queue_rule &Queue) {
  const job::queue_rule *Next =
      job::matchQueue(Both.New.Rules, Queue.Host, Queue.PathPrefix);
  const std::string Address =
      "requests for " + quote(Queue.Host + Queue.PathPrefix);
  // Behind a shorter prefix, the rest of the path is not a job's id.
  if (Next == nullptr || Next->PathPrefix != Queue.PathPrefix)
    return Address + " get 404";
  return Address + " reach " +
         Both.ToNew.describe(entry_kind::Queue, Next->Name);
}

void compareAddress(const comparison &Both, entry_changes &Changes,
                    const job::queue_rule &Old, const job::queue_rule &New) {
  const std::string Fate = fateOfRequests(Both, Old);
  Changes.compareText(field::Host, Old.Host, New.Host,
                      {severity::Warning, Fate});
  Changes.compareText(field::PathPrefix, Old.PathPrefix, New.PathPrefix,
                      {severity::Warning, Fate});
}

void compareLimits(entry_changes &Changes, const job::queue_rule &Old,
                   const job::queue_rule &New) {
  Changes.compareNumber(
      field::Priority, Old.Priority, New.Priority,
      {severity::Note, "its jobs come earlier, ahead of other queues' jobs"},
      {severity::Warning, "its jobs come later, behind other queues' jobs"});
  Changes.compareNumber(
      field::MaxAttempts, Old.MaxAttempts, New.MaxAttempts,
      {severity::Warning, "jobs fail after fewer failed runs of a task, also "
                          "jobs accepted earlier"},
      {severity::Note, "jobs fail after more failed runs of a task"});
  const consequence Stricter{severity::Warning,
                             "the objective is stricter, also for jobs "
                             "accepted earlier; more jobs may be refused"};
  const consequence Looser{severity::Note, "the objective is looser"};
  Changes.compareNumber(field::Stretch, Old.Stretch, New.Stretch, Stricter,
                        Looser);
  Changes.compareNumber(field::Slack, Old.SlackMs, New.SlackMs, Stricter,
                        Looser);
}

void compareTimeout(entry_changes &Changes, const job::queue_rule &Old,
                    const job::queue_rule &New) {
  const consequence Shorter{severity::Warning,
                            "requests are answered, or end as unknown, within "
                            "the shorter time"};
  const consequence Longer{severity::Note,
                           "requests may wait longer for an answer"};
  // 0 sets no timeout.
  const bool IsShorter = New.TimeoutMs != 0 &&
                         (Old.TimeoutMs == 0 || New.TimeoutMs < Old.TimeoutMs);
  const consequence &Consequence = IsShorter ? Shorter : Longer;
  Changes.compareNumber(field::Timeout, Old.TimeoutMs, New.TimeoutMs,
                        Consequence, Consequence);
}

void compareTickets(entry_changes &Changes, const job::queue_rule &Old,
                    const job::queue_rule &New) {
  if (Old.Advice.has_value() != New.Advice.has_value()) {
    Changes.add(
        field::Advice, Old.Advice ? "set" : "none", New.Advice ? "set" : "none",
        {severity::Warning, New.Advice ? "its tasks start only with a ticket"
                                       : "its tasks start without a ticket"});
    return;
  }
  if (!Old.Advice)
    return;
  Changes.compareNumber(field::Decision, Old.Advice->DecisionMs,
                        New.Advice->DecisionMs, {}, {});
  Changes.compareNumber(field::PerServer, Old.Advice->PerServerMs,
                        New.Advice->PerServerMs, {}, {});
  Changes.compareNumber(field::Validity, Old.Advice->ValidityMs,
                        New.Advice->ValidityMs, {}, {});
}

void compareQueue(const comparison &Both, const std::size_t OldIndex,
                  const std::size_t NewIndex) {
  const job::queue_rule &Old = Both.Old.Rules.Queues[OldIndex];
  const job::queue_rule &New = Both.New.Rules.Queues[NewIndex];
  entry_changes Changes{Both, entry_kind::Queue, New.Name, OldIndex, NewIndex};
  compareAddress(Both, Changes, Old, New);
  Changes.compareText(field::Pool, Old.Pool, New.Pool,
                      {severity::Warning,
                       "its jobs, also those accepted earlier, start their "
                       "tasks in the new one"});
  Changes.compareFlag(
      field::Public, Old.Public, New.Public,
      {severity::Warning, "requests need no key, and new jobs belong to no "
                          "customer"},
      {severity::Warning, "requests without a customer's key get 401"});
  compareLimits(Changes, Old, New);
  compareTimeout(Changes, Old, New);
  compareTickets(Changes, Old, New);
  Changes.compareUnused();
}

} // namespace

void compareQueues(const comparison &Both) {
  const auto &Old = Both.Old.Rules.Queues;
  const auto &New = Both.New.Rules.Queues;
  matchEntries(
      Old, New,
      [&](const std::size_t Index) {
        Both.ToOld.add(severity::Warning, {entry_kind::Queue, Index, {}, {}},
                       Both.ToOld.describe(entry_kind::Queue, Old[Index].Name) +
                           " is removed: " + fateOfRequests(Both, Old[Index]) +
                           "; accepted jobs go on with its last settings");
      },
      [&](const std::size_t Index) {
        Both.ToNew.add(
            severity::Note, {entry_kind::Queue, Index, {}, {}},
            Both.ToNew.describe(entry_kind::Queue, New[Index].Name) +
                " is added for " +
                quote(New[Index].Host + New[Index].PathPrefix) + ", with " +
                Both.ToNew.describe(entry_kind::Pool, New[Index].Pool));
      },
      [&](const std::size_t OldIndex, const std::size_t NewIndex) {
        compareQueue(Both, OldIndex, NewIndex);
      });
}

void comparePools(const comparison &Both) {
  const auto &Old = Both.Old.Rules.Pools;
  const auto &New = Both.New.Rules.Pools;
  matchEntries(
      Old, New,
      [&](const std::size_t Index) {
        Both.ToOld.add(
            severity::Warning, {entry_kind::Pool, Index, {}, {}},
            Both.ToOld.describe(entry_kind::Pool, Old[Index].Name) +
                " is removed: its VMs stay in it, and none is moved into it");
      },
      [&](const std::size_t Index) {
        Both.ToNew.add(severity::Note, {entry_kind::Pool, Index, {}, {}},
                       Both.ToNew.describe(entry_kind::Pool, New[Index].Name) +
                           " is added");
      },
      [&](const std::size_t OldIndex, const std::size_t NewIndex) {
        entry_changes Changes{Both, entry_kind::Pool, New[NewIndex].Name,
                              OldIndex, NewIndex};
        Changes.compareFlag(
            field::Standby, Old[OldIndex].Standby, New[NewIndex].Standby,
            {severity::Warning, "its VMs are powered off"},
            {severity::Note, "its VMs are no longer powered off"});
        Changes.compareFlag(
            field::EnforcesCapacity, Old[OldIndex].EnforcesCapacity,
            New[NewIndex].EnforcesCapacity,
            {severity::Note, "its backend servers refuse tasks that exceed "
                             "their free resources"},
            {severity::Note, "its backend servers accept tasks beyond their "
                             "free resources"});
        Changes.compareUnused();
      });
}

} // namespace galenalink::rules_check::detail
