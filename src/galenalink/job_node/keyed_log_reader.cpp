#include "galenalink/job_node/keyed_log_reader.hpp"
#include "galenalink/telemetry/log.hpp"

namespace galenalink::job_node {

namespace {

constexpr telemetry::logger Log{"tail"};

/** Delay before a failed read is retried. */
constexpr duration RetryDelay = std::chrono::milliseconds{150};
/** A read that takes longer than it asked to wait by this is logged. */
constexpr duration SlowRead = std::chrono::milliseconds{500};

} // namespace

keyed_log_reader::keyed_log_reader(http::loop &Loop, const job::ports &Ports,
                                   const log_reader_settings Settings,
                                   hooks Hooks)
    : Loop{Loop}, Ports{Ports}, Settings{Settings}, Hooks{std::move(Hooks)} {}

void keyed_log_reader::start() { readSnapshot(); }

void keyed_log_reader::schedule(const duration Delay,
                                void (keyed_log_reader::*Step)()) {
  if (Delay == duration{0}) {
    (this->*Step)();
    return;
  }
  Timer = Loop.at(boot_clock::now() + Delay, [this, Step] { (this->*Step)(); });
}

void keyed_log_reader::handleFailure(const std::string_view Operation,
                                     const job::call_outcome Outcome) {
  if (ConsecutiveFailures++ == 0)
    Log.warning(
        "cannot read from the store; retrying",
        {{"topic", std::string{nameOf(job::TopicNames, Settings.Topic)}},
         {"call", std::string{Operation}},
         {"outcome", std::string{nameOf(job::CallOutcomeNames, Outcome)}}});
}

void keyed_log_reader::handleSuccess(const std::string_view Operation,
                                     const duration Wait,
                                     const std::size_t Records) {
  const time_point Now = boot_clock::now();
  const duration Elapsed = Now - ReadSince;
  if (ConsecutiveFailures > 0 || Elapsed >= Wait + SlowRead)
    Log.info("slow read from the store",
             {{"topic", std::string{nameOf(job::TopicNames, Settings.Topic)}},
              {"call", std::string{Operation}},
              {"ms", static_cast<std::uint64_t>(
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                             Elapsed)
                             .count())},
              {"failures", ConsecutiveFailures},
              {"records", Records}});
  ConsecutiveFailures = 0;
  LastResponseAt = Now;
}

void keyed_log_reader::readSnapshot() {
  if (ConsecutiveFailures == 0)
    ReadSince = boot_clock::now();
  Ports.ReadLatest(Settings.Topic, [this, Weak = std::weak_ptr{LifetimeToken}](
                                       const job::latest_result &Result) {
    if (!Weak.lock())
      return;
    if (Result.Outcome != job::call_outcome::Done) {
      handleFailure("newest", Result.Outcome);
      schedule(RetryDelay, &keyed_log_reader::readSnapshot);
      return;
    }
    handleSuccess("newest", duration{0}, Result.Records.size());
    NextOffset = Result.End;
    Hooks.OnSnapshot(Result.Records);
    schedule(Settings.Pause, &keyed_log_reader::readNext);
  });
}

void keyed_log_reader::readNext() {
  if (ConsecutiveFailures == 0)
    ReadSince = boot_clock::now();
  Ports.Read(
      Settings.Topic, NextOffset, Settings.WaitMs,
      [this,
       Weak = std::weak_ptr{LifetimeToken}](const job::read_result &Result) {
        if (!Weak.lock())
          return;
        if (Result.Expired) {
          Log.info(
              "records have expired; reading the latest record of each key",
              {{"topic", std::string{nameOf(job::TopicNames, Settings.Topic)}},
               {"from", NextOffset}});
          readSnapshot();
          return;
        }
        if (Result.Outcome != job::call_outcome::Done) {
          handleFailure("read", Result.Outcome);
          schedule(RetryDelay, &keyed_log_reader::readNext);
          return;
        }
        handleSuccess("read", std::chrono::milliseconds{Settings.WaitMs},
                      Result.Records.size());
        NextOffset = Result.Next;
        if (!Result.Records.empty())
          Hooks.OnRecords(Result.Records);
        schedule(Settings.Pause, &keyed_log_reader::readNext);
      });
}

} // namespace galenalink::job_node
