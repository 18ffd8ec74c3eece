#include "galenalink/job/recovery.hpp"
#include "galenalink/job/customers.hpp"
#include "galenalink/job/job_limits.hpp"
#include "galenalink/job/occurrences.hpp"
#include "galenalink/job/pool_load.hpp"
#include "galenalink/job/server_watch.hpp"
#include "galenalink/telemetry/log.hpp"
#include <charconv>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"recovery"};

/** The first character of a key in `Jobs` is the kind of the record. */
constexpr char JobKey = 'j';
constexpr char ProgressKey = 'p';
constexpr char ServerKey = 's';
constexpr char InitialSizesKey = 'h';
constexpr char WaveKey = 'w';
constexpr char PeaksKey = 't';
constexpr char DurationsKey = 'l';
constexpr char VmOrderKey = 'v';
constexpr char AppliedRulesKey = 'c';

/** Age from which on a VM order is certainly no longer in effect. Includes a
 * margin for the differing wall clocks of the nodes. */
constexpr wall_ms MaxOrderAgeMs = 10000;

void recoverInitialSizes(leader &Leader, const std::string & /*Id*/,
                         const std::string &Record) {
  Leader.InitialSizes = parseSizes(Record);
  if (Leader.InitialSizes.empty())
    Log.error("invalid record of pool sizes");
}

void recoverWave(leader &Leader, const std::string &Number,
                 const std::string &Record) {
  auto Wave = parseWave(Record);
  std::uint64_t Key = 0;
  const char *End = Number.data() + Number.size();
  const auto Parsed = std::from_chars(Number.data(), End, Key);
  if (Wave && Parsed.ec == std::errc{} && Parsed.ptr == End)
    Leader.Waves[Key] = std::move(*Wave);
  else
    Log.error("invalid record of a maintenance wave", {{"wave", Number}});
}

void recoverPeaks(leader &Leader, const std::string & /*Id*/,
                  const std::string &Record) {
  auto Peaks = parsePeaks(Record);
  if (Peaks.empty())
    Log.error("invalid record of demand peaks");
  Leader.Forecast.restore(std::move(Peaks));
}

void recoverDurations(leader &Leader, const std::string & /*Id*/,
                      const std::string &Record) {
  if (!restoreDurations(Record, Leader.Durations))
    Log.error("invalid record of task durations");
}

void recoverVmOrder(leader &Leader, const std::string &Vm,
                    const std::string &Record) {
  wall_ms OrderedMs = 0;
  const char *End = Record.data() + Record.size();
  if (std::from_chars(Record.data(), End, OrderedMs).ec != std::errc{}) {
    Log.error("invalid record of a VM order", {{"vm", Vm}});
    OrderedMs = Leader.Wall();
  }
  if (OrderedMs > Leader.Wall() - MaxOrderAgeMs)
    Leader.RecentlyOrdered.insert(Vm);
}

void recoverAppliedRules(leader &Leader, const std::string & /*Id*/,
                         const std::string &Record) {
  const char *End = Record.data() + Record.size();
  if (std::from_chars(Record.data(), End, Leader.AppliedRulesVersion).ec !=
      std::errc{})
    Log.error("invalid record of the applied rules version");
}

void recoverJob(leader &Leader, const std::string &Id,
                const std::string &Record) {
  auto Job = isValidJobId(Id) ? parseJob(Id, Record) : std::nullopt;
  if (!Job) {
    Log.error("invalid job record", {{"job", Id}});
    return;
  }
  job_entry &Entry = addJob(Leader, std::move(*Job));
  Entry.Stored = true;
  Entry.Recovered = true;
}

void recoverProgress(leader &Leader, const std::string &Id,
                     const std::string &Record) {
  job_entry *Entry = Leader.findJob(Id);
  if (Entry == nullptr && isValidJobId(Id)) {
    // Compaction removes the job record of an ended job; its progress record
    // suffices.
    if (auto Ended = parseEnded(Id, Record)) {
      Entry = &addJob(Leader, std::move(*Ended));
      Entry->Stored = true;
      Entry->Compacted = true;
    }
  }
  if (Entry == nullptr || !Entry->Job.restore(Record)) {
    Log.error("invalid progress record of a job", {{"job", Id}});
    return;
  }
  Entry->StoredState = Entry->Job.state();
  Entry->StoredDoneCount = Entry->Job.doneCount();
  if (Entry->Job.ended())
    addEndedJob(Leader, *Entry);
  else
    updateIndexes(Leader, *Entry);
}

} // namespace

void recover(leader &Leader, const latest_result &Records) {
  const auto ForEachRecord = [&](const char Kind, const auto &Apply) {
    for (const auto &Record : Records.Records) {
      if (Record.Value && !Record.Key.empty() && Record.Key.front() == Kind)
        Apply(Leader, Record.Key.substr(1), *Record.Value);
    }
  };
  ForEachRecord(JobKey, recoverJob);
  ForEachRecord(ProgressKey, recoverProgress);
  ForEachRecord(ServerKey, recoverServer);
  ForEachRecord(InitialSizesKey, recoverInitialSizes);
  ForEachRecord(WaveKey, recoverWave);
  ForEachRecord(PeaksKey, recoverPeaks);
  ForEachRecord(DurationsKey, recoverDurations);
  ForEachRecord(VmOrderKey, recoverVmOrder);
  ForEachRecord(AppliedRulesKey, recoverAppliedRules);
  restoreClaims(Leader);
  for (const auto &[Id, Entry] : Leader.OpenJobs.all()) {
    setObjectives(Leader, *Entry);
    openDueOccurrences(Leader, *Entry);
    Entry->Work = remainingWork(Leader, Entry->Job);
  }
  Log.info("recovered", {{"epoch", Leader.Epoch},
                         {"records", Records.Records.size()},
                         {"jobs", Leader.Jobs.size()},
                         {"open", Leader.OpenJobs.size()},
                         {"servers", Leader.Servers.size()}});
}

} // namespace galenalink::job
