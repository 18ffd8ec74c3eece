#include "galenalink/job/recovery.hpp"
#include "galenalink/job/server_watch.hpp"
#include "galenalink/telemetry/log.hpp"
#include <charconv>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"recovery"};

/** First byte of a key: what the record is about. */
constexpr char JobKey = 'j';
constexpr char ProgressKey = 'p';
constexpr char ServerKey = 's';
constexpr char HomeSizesKey = 'h';
constexpr char WaveKey = 'w';
constexpr char PeaksKey = 't';
constexpr char RunTimesKey = 'l';
constexpr char VmOrderKey = 'v';

/** Orders that are older than this by the time of day, which may differ between
 * nodes, are past for sure. */
constexpr wall_ms MaxOrderAgeMs = 10000;

void recoverSizes(leader &Leader, const std::string & /*Id*/,
                  const std::string &Record) {
  Leader.InitialSizes = parseSizes(Record);
  if (Leader.InitialSizes.empty())
    Log.error("record of the pools' sizes can't be read");
}

void recoverWave(leader &Leader, const std::string &Number,
                 const std::string &Record) {
  auto Wave = parseWave(Record);
  if (Wave)
    Leader.Waves[std::stoull(Number)] = std::move(*Wave);
  else
    Log.error("record of a wave can't be read", {{"wave", Number}});
}

void recoverPeaks(leader &Leader, const std::string & /*Id*/,
                  const std::string &Record) {
  auto Peaks = parsePeaks(Record);
  if (Peaks.empty())
    Log.error("record of the turns of demand can't be read");
  Leader.Forecast.restore(std::move(Peaks));
}

void recoverRunTimes(leader &Leader, const std::string & /*Id*/,
                     const std::string &Record) {
  if (!restoreDurations(Record, Leader.Times))
    Log.error("record of learnt durations can't be read");
}

void recoverVmOrder(leader &Leader, const std::string &Vm,
                    const std::string &Record) {
  wall_ms OrderedMs = 0;
  const char *End = Record.data() + Record.size();
  if (std::from_chars(Record.data(), End, OrderedMs).ec != std::errc{}) {
    Log.error("record of an order for a VM can't be read", {{"vm", Vm}});
    OrderedMs = Leader.Wall();
  }
  if (OrderedMs > Leader.Wall() - MaxOrderAgeMs)
    Leader.RecentlyOrdered.insert(Vm);
}

void recoverJob(leader &Leader, const std::string &Id,
                const std::string &Record) {
  auto Job = parseJob(Id, Record);
  if (!Job) {
    Log.error("record of a job can't be read", {{"job", Id}});
    return;
  }
  job_entry &Entry = addJob(Leader, std::move(*Job));
  Entry.Stored = true;
  Entry.Recovered = true;
}

void recoverProgress(leader &Leader, const std::string &Id,
                     const std::string &Record) {
  job_entry *Entry = Leader.findJob(Id);
  if (Entry == nullptr) {
    // The constant part of a job that has ended is removed.
    if (auto Ended = parseEnded(Id, Record)) {
      Entry = &addJob(Leader, std::move(*Ended));
      Entry->Stored = true;
      Entry->Compacted = true;
    }
  }
  if (Entry == nullptr || !Entry->Job.restore(Record)) {
    Log.error("progress of a job can't be read", {{"job", Id}});
    return;
  }
  Entry->StoredState = Entry->Job.state();
  if (Entry->Job.ended()) {
    Entry->EndedAt = Leader.Now();
    Leader.Open.erase(Id);
  }
}

} // namespace

void recover(leader &Leader, const latest_result &Records) {
  const auto EachOf = [&](const char Kind, const auto &Apply) {
    for (const auto &Record : Records.Records) {
      if (Record.Value && !Record.Key.empty() && Record.Key.front() == Kind)
        Apply(Leader, Record.Key.substr(1), *Record.Value);
    }
  };
  EachOf(JobKey, recoverJob);
  EachOf(ProgressKey, recoverProgress);
  EachOf(ServerKey, recoverServer);
  EachOf(HomeSizesKey, recoverSizes);
  EachOf(WaveKey, recoverWave);
  EachOf(PeaksKey, recoverPeaks);
  EachOf(RunTimesKey, recoverRunTimes);
  EachOf(VmOrderKey, recoverVmOrder);
  for (auto &[Id, Entry] : Leader.Open) {
    setObjectives(Leader, *Entry);
    openDueOccurrences(Leader, *Entry);
  }
  Log.info("recovered", {{"epoch", Leader.Epoch},
                         {"records", Records.Records.size()},
                         {"jobs", Leader.Jobs.size()},
                         {"open", Leader.Open.size()},
                         {"servers", Leader.Servers.size()}});
}

} // namespace galenalink::job
