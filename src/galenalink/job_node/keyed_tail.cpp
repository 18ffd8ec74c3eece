#include "galenalink/job_node/keyed_tail.hpp"
#include "galenalink/telemetry/log.hpp"

namespace galenalink::job_node {

namespace {

constexpr telemetry::logger Log{"tail"};

/** Pause after a read that failed. */
constexpr duration FailurePause = std::chrono::milliseconds{150};

} // namespace

keyed_tail::keyed_tail(http::loop &Loop, const job::ports &Ports,
                       const tail_settings Settings, hooks Hooks)
    : Loop{Loop}, Ports{Ports}, Settings{Settings}, Hooks{std::move(Hooks)} {}

void keyed_tail::start() { readNewest(); }

void keyed_tail::later(const duration Pause, void (keyed_tail::*Step)()) {
  Timer = Loop.at(boot_clock::now() + Pause, [this, Step] { (this->*Step)(); });
}

void keyed_tail::failed(const std::string_view What,
                        const job::call_outcome Outcome) {
  if (Failures++ == 0)
    Log.warning(
        "the store does not answer",
        {{"topic", std::string{nameOf(job::TopicNames, Settings.Topic)}},
         {"call", std::string{What}},
         {"outcome", std::string{nameOf(job::CallOutcomeNames, Outcome)}}});
}

void keyed_tail::readNewest() {
  Ports.ReadLatest(Settings.Topic, [this, Weak = std::weak_ptr{Alive}](
                                       const job::latest_result &Result) {
    if (!Weak.lock())
      return;
    if (Result.Outcome != job::call_outcome::Done) {
      failed("newest", Result.Outcome);
      later(FailurePause, &keyed_tail::readNewest);
      return;
    }
    Failures = 0;
    AnsweredAt = boot_clock::now();
    Next = Result.End;
    Hooks.OnNewest(Result.Records);
    later(Settings.Pause, &keyed_tail::readOn);
  });
}

void keyed_tail::readOn() {
  Ports.Read(
      Settings.Topic, Next, Settings.WaitMs,
      [this, Weak = std::weak_ptr{Alive}](const job::read_result &Result) {
        if (!Weak.lock())
          return;
        if (Result.Expired) {
          Log.info(
              "history has expired, reading the newest records",
              {{"topic", std::string{nameOf(job::TopicNames, Settings.Topic)}},
               {"from", Next}});
          readNewest();
          return;
        }
        if (Result.Outcome != job::call_outcome::Done) {
          failed("read", Result.Outcome);
          later(FailurePause, &keyed_tail::readOn);
          return;
        }
        Failures = 0;
        AnsweredAt = boot_clock::now();
        Next = Result.Next;
        if (!Result.Records.empty())
          Hooks.OnRecords(Result.Records);
        later(Settings.Pause, &keyed_tail::readOn);
      });
}

} // namespace galenalink::job_node
