#include "galenalink/job/open_jobs.hpp"

namespace galenalink::job {

void open_jobs::insert(job_entry &Entry) {
  All[Entry.Job.id()] = &Entry;
  update(Entry);
}

void open_jobs::erase(job_entry &Entry) {
  All.erase(Entry.Job.id());
  setActive(Entry, false);
  setQueued(Entry, false);
  setDue(Entry, std::nullopt);
}

void open_jobs::update(job_entry &Entry) {
  const job &Job = Entry.Job;
  setActive(Entry, !Job.ended() && !Job.openOccurrences().empty());
  setQueued(Entry, Job.state() == job_state::Queued);
  setDue(Entry, Job.spec().Times > 0 ? Job.nextDue() : std::nullopt);
}

std::vector<job_entry *> open_jobs::due(const wall_ms Wall) const {
  std::vector<job_entry *> Due;
  for (const auto &[Key, Entry] : Scheduled) {
    if (Key.first > Wall)
      break;
    Due.push_back(Entry);
  }
  return Due;
}

std::size_t open_jobs::queued(const std::string &Queue) const {
  const auto Found = Queued.find(Queue);
  return Found == Queued.end() ? 0 : Found->second;
}

void open_jobs::setActive(job_entry &Entry, const bool IsActive) {
  if (std::exchange(Entry.Position.Active, IsActive) == IsActive)
    return;
  if (IsActive)
    Active[Entry.Job.id()] = &Entry;
  else
    Active.erase(Entry.Job.id());
}

void open_jobs::setQueued(job_entry &Entry, const bool IsQueued) {
  if (std::exchange(Entry.Position.Queued, IsQueued) == IsQueued)
    return;
  if (IsQueued) {
    ++Queued[Entry.Job.queue()];
    return;
  }
  const auto Found = Queued.find(Entry.Job.queue());
  if (--Found->second == 0)
    Queued.erase(Found);
}

void open_jobs::setDue(job_entry &Entry, const std::optional<wall_ms> DueMs) {
  const auto Former = std::exchange(Entry.Position.DueMs, DueMs);
  if (Former == DueMs)
    return;
  if (Former)
    Scheduled.erase({*Former, Entry.Job.id()});
  if (DueMs)
    Scheduled[{*DueMs, Entry.Job.id()}] = &Entry;
}

} // namespace galenalink::job
