#include "galenalink/job/occurrences.hpp"
#include "galenalink/job/job_limits.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

/** Multiple of its objective after which an occurrence has no more value. */
constexpr double ExpiryFactor = 3;

duration fromMs(const double Ms) {
  return duration{static_cast<std::int64_t>(Ms * 1000)};
}

void setObjective(leader &Leader, const job_entry &Entry,
                  occurrence &Occurrence) {
  const job_rule *Rule = Entry.Job.rule();
  const double Stretch = Rule == nullptr ? 1 : Rule->Stretch;
  const double SlackMs = Rule == nullptr ? 0 : Rule->SlackMs;
  const double ObjectiveMs = Stretch * criticalPathMs(Leader, Entry.Job.queue(),
                                                      Rule, Entry.Job.spec()) +
                             SlackMs;
  const time_point From =
      Leader.Now() - fromMs(static_cast<double>(std::max<wall_ms>(
                         Leader.Wall() - Occurrence.DueMs, 0)));
  Occurrence.Objective = From + fromMs(ObjectiveMs);
  Occurrence.Expiry = From + fromMs(ObjectiveMs * ExpiryFactor);
}

} // namespace

void setObjectives(leader &Leader, job_entry &Entry) {
  for (auto &Each : Entry.Job.openOccurrences())
    setObjective(Leader, Entry, Each);
}

namespace {

/** @brief Whether one more occurrence may be open; otherwise it is opened once
 * earlier ones are done and that is stored. A successor has room for all that
 * this leader opens, since it reads no more occurrences as open. */
bool hasRoomForOccurrence(const leader &Leader, const job_entry &Entry) {
  const std::size_t Open = Entry.storedOpenCount();
  if (Open == 0)
    return true;
  return (Open + 1) * taskCount(Entry.Job.spec()) <= limits::MaxTasks &&
         Leader.JobMemory.fitsOccurrence(Entry);
}

occurrence &openNextOccurrence(leader &Leader, job_entry &Entry) {
  occurrence &Opened = Entry.Job.openNext();
  updateIndexes(Leader, Entry);
  setObjective(Leader, Entry, Opened);
  requestDispatch(Leader, Entry.Job.pool());
  return Opened;
}

} // namespace

void openDueOccurrences(leader &Leader, job_entry &Entry) {
  while (Entry.Job.isNextDue(Leader.Wall()) &&
         hasRoomForOccurrence(Leader, Entry))
    openNextOccurrence(Leader, Entry);
}

namespace {

/** @brief Whether an earlier leader can have opened the occurrences up to the
 * given one. It may have had more memory than this one, so that only the limits
 * of tasks and of the progress record apply. */
bool isPlausible(const job &Job, const std::uint32_t Number) {
  if (Number >= Job.spec().occurrences())
    return false;
  const std::uint64_t Missing = std::uint64_t{Number} + 1 - Job.openedCount();
  const std::uint64_t Open = Job.openOccurrences().size() + Missing;
  const std::uint64_t Tasks = Open * taskCount(Job.spec());
  if (Tasks <= limits::MaxTasks)
    return true;
  return Tasks <= limits::MaxReportedTasks &&
         Open * occurrenceRecordBytes(Job.spec()) <= limits::MaxRecordBytes;
}

} // namespace

void openReportedOccurrence(leader &Leader, job_entry &Entry,
                            const std::uint32_t Number) {
  if (Number < Entry.Job.openedCount() || !isPlausible(Entry.Job, Number))
    return;
  while (Entry.Job.openedCount() <= Number && Entry.Job.nextDue()) {
    occurrence &Opened = openNextOccurrence(Leader, Entry);
    const std::chrono::milliseconds UntilDue{Opened.DueMs - Leader.Wall()};
    for (auto &Step : Opened.Steps) {
      for (auto &Task : Step.Tasks)
        Task.NotBefore = Leader.Now() + UntilDue;
    }
  }
}

} // namespace galenalink::job
