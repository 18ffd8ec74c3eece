#include "galenalink/job/job_memory.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

bool isBackground(const job_spec &Spec) noexcept {
  return Spec.Times > 0 || Spec.isLongRunning();
}

/** @return Memory of a job that is not compacted. Its first occurrence has room
 * also while it is not due, and one that is done until that is stored: a
 * successor reads it as open. */
std::size_t openBytes(const job_entry &Entry) noexcept {
  const job &Job = Entry.Job;
  const std::size_t Occurrences =
      std::max<std::size_t>(Entry.storedOpenCount(), 1);
  return JobOverheadBytes + specificationBytes(Job.spec()) +
         Occurrences * occurrenceBytes(Job.spec());
}

} // namespace

std::size_t specificationBytes(const job_spec &Spec) noexcept {
  std::size_t Bytes = Spec.Spec.size();
  for (const step_spec &Step : Spec.Steps)
    Bytes += sizeof(Step) + Step.Label.size() + Step.Rack.size() +
             Step.Image.size() + Step.DependsOn.size() * sizeof(std::uint32_t);
  return Bytes;
}

std::size_t occurrenceBytes(const job_spec &Spec) noexcept {
  std::size_t Bytes = sizeof(occurrence);
  for (const step_spec &Step : Spec.Steps)
    Bytes += sizeof(step) + std::size_t{Step.Count} * sizeof(task);
  return Bytes;
}

void job_memory::update(job_entry &Entry) {
  release(Entry);
  job_charge &Charge = Entry.Charge;
  if (Entry.Compacted) {
    Charge.EndedBytes = EndedJobBytes;
  } else {
    Charge.OpenBytes = openBytes(Entry);
    Charge.Background = isBackground(Entry.Job.spec());
    Charge.LongRunning = Entry.Job.spec().isLongRunning();
  }
  Open += Charge.OpenBytes;
  Background += Charge.Background ? Charge.OpenBytes : 0;
  Ended += Charge.EndedBytes;
  LongRunningJobs += Charge.LongRunning ? 1 : 0;
}

void job_memory::release(job_entry &Entry) noexcept {
  const job_charge Former = std::exchange(Entry.Charge, {});
  Open -= Former.OpenBytes;
  Background -= Former.Background ? Former.OpenBytes : 0;
  Ended -= Former.EndedBytes;
  LongRunningJobs -= Former.LongRunning ? 1 : 0;
}

std::optional<job_memory_limit>
job_memory::exceededBy(const job_spec &Spec) const noexcept {
  const std::size_t Bytes =
      JobOverheadBytes + specificationBytes(Spec) + occurrenceBytes(Spec);
  if (Ended >= Limits.Ended)
    return job_memory_limit::Ended;
  if (Open + Bytes > Limits.Open)
    return job_memory_limit::Open;
  if (isBackground(Spec) && Background + Bytes > Limits.Background)
    return job_memory_limit::Background;
  if (Spec.isLongRunning() && LongRunningJobs >= Limits.LongRunningJobs)
    return job_memory_limit::LongRunning;
  return std::nullopt;
}

bool job_memory::fitsOccurrence(const job_entry &Entry) const noexcept {
  return Open + occurrenceBytes(Entry.Job.spec()) <= Limits.Open;
}

} // namespace galenalink::job
