#include "galenalink/job_node/leader_seat.hpp"
#include "galenalink/telemetry/log.hpp"

namespace galenalink::job_node {

namespace {

using job::election_action;
using job::leader_record;

constexpr telemetry::logger Log{"election"};

/** A claim that is due sooner is waited for without a read. */
constexpr std::chrono::milliseconds ShortestReadWait{60};
constexpr duration ShortestPause = std::chrono::milliseconds{5};
/** How long a read of the log waits for the next sign of life, ms. */
constexpr std::uint32_t ReadWaitMs = 700;
/** Pause between looks at the clock. */
constexpr duration StepPause = std::chrono::milliseconds{50};
/** A leader that misses its sign of life is asked, and asked again. */
constexpr duration ProbeAfter = std::chrono::milliseconds{750};
constexpr duration ProbeInterval = std::chrono::milliseconds{250};
/** Pause after a call that failed. */
constexpr duration FailurePause = std::chrono::milliseconds{150};
/** A leader whose appends have had no answer for this long lets another one
 * lead; slow days bring answers of 0.3 s. */
constexpr duration LongestUnanswered = std::chrono::milliseconds{500};

} // namespace

leader_seat::leader_seat(http::loop &Loop, const job::ports &Ports,
                         job::election_settings Settings, hooks Hooks)
    : Loop{Loop}, Ports{Ports}, Election{std::move(Settings)}, Hooks{std::move(
                                                                   Hooks)} {}

void leader_seat::start() {
  step();
  ProbeTimer = Loop.every(ProbeInterval, [this] { probe(); });
}

void leader_seat::probe() {
  const job::leadership &Current = Election.current();
  // While the store answers nobody, silence says nothing of the leader.
  const time_point SilentSince = Election.silentSince();
  const bool Silent = boot_clock::now() >= SilentSince + ProbeAfter &&
                      AnsweredAt != NoDeadline && AnsweredAt > SilentSince;
  const bool Asks = !Stopped && !Probing && !Election.leads() &&
                    !Current.Released && Current.Epoch != 0 &&
                    (Silent || ProbedEpoch == 0);
  if (!Asks)
    return;
  Probing = true;
  ProbedEpoch = Current.Epoch;
  Hooks.Probe(Current,
              [this, Epoch = Current.Epoch,
               Weak = std::weak_ptr{Alive}](const probe_answer Answer) {
                if (Weak.lock())
                  probed(Epoch, Answer);
              });
}

void leader_seat::probed(const std::uint64_t Epoch, const probe_answer Answer) {
  Probing = false;
  if (Answer == probe_answer::Leads)
    return;
  Log.info("leader asked",
           {{"epoch", Epoch},
            {"answer", std::string{nameOf(ProbeAnswerNames, Answer)}}});
  if (Answer == probe_answer::Gone)
    Election.presumeDead(Epoch);
  else
    Election.markUnreachable(Epoch);
  tellLeader();
  // A read that waits for a sign of life does not hold up the claim.
  const time_point Now = boot_clock::now();
  later(std::max<duration>(Election.claimAt(Now) - Now, ShortestPause));
}

bool leader_seat::leadsWell() const noexcept {
  return Election.leads() &&
         (UnansweredSince == NoDeadline ||
          boot_clock::now() < UnansweredSince + LongestUnanswered);
}

void leader_seat::later(const duration Pause) {
  Timer = Loop.at(boot_clock::now() + Pause, [this] { step(); });
}

void leader_seat::step() {
  if (Stopped || Appending)
    return;
  if (MustRead) {
    read(0);
    return;
  }
  switch (Election.next(boot_clock::now())) {
  case election_action::Claim:
    append(leader_record::kind::Claim);
    return;
  case election_action::Heartbeat:
    append(leader_record::kind::Heartbeat);
    return;
  case election_action::None:
    break;
  }
  if (Election.leads()) {
    later(StepPause);
    return;
  }
  if (!Election.reading()) {
    read(0);
    return;
  }
  // A read that waits for a sign of life must not hold up a claim.
  const time_point Now = boot_clock::now();
  const auto LeftMs = std::chrono::duration_cast<std::chrono::milliseconds>(
      Election.claimAt(Now) - Now);
  if (LeftMs < ShortestReadWait)
    later(std::max<duration>(LeftMs, ShortestPause));
  else
    read(std::min(ReadWaitMs, static_cast<std::uint32_t>(LeftMs.count())));
}

void leader_seat::read(const std::uint32_t WaitMs) {
  if (ReadOpen)
    return;
  ReadOpen = true;
  Ports.Read(
      job::topic::Leader, Election.end(), WaitMs,
      [this, Weak = std::weak_ptr{Alive}](const job::read_result &Result) {
        if (Weak.lock())
          take(Result);
      });
}

void leader_seat::take(const job::read_result &Result) {
  ReadOpen = false;
  const time_point Now = boot_clock::now();
  if (Result.Outcome != job::call_outcome::Done && !Result.Expired) {
    Election.readFailed();
    later(FailurePause);
    return;
  }
  AnsweredAt = Now;
  MustRead = Result.Expired || Result.Next < Result.End;
  std::uint64_t Offset = Result.Next - Result.Records.size();
  for (const auto &Record : Result.Records) {
    const auto Parsed = job::parseLeader(Record.Value.value_or(""));
    if (Parsed)
      Election.applyRecord(Offset, *Parsed, Now);
    else
      Log.error("record of the leader's log can't be read",
                {{"offset", Offset}});
    ++Offset;
  }
  Election.readSucceeded(Result.Next, Now);
  checkDeposed();
  tellLeader();
  if (Election.leads() && !WasLeading) {
    WasLeading = true;
    Hooks.OnElected(Election.current().Epoch);
  }
  step();
}

void leader_seat::append(const leader_record::kind Kind) {
  leader_record Record;
  Record.Kind = Kind;
  Record.Node = Election.settings().Node;
  Record.Address = Election.settings().Address;
  Record.Epoch =
      Kind == leader_record::kind::Claim ? 0 : Election.current().Epoch;
  const std::uint64_t At = Election.end();
  Appending = true;
  AppendSentAt = boot_clock::now();
  if (UnansweredSince == NoDeadline)
    UnansweredSince = AppendSentAt;
  Ports.Claim(At, toText(Record),
              [this, Kind, At,
               Weak = std::weak_ptr{Alive}](const job::claim_result &Result) {
                if (Weak.lock())
                  appended(Kind, At, Result);
              });
}

void leader_seat::appended(const leader_record::kind Kind,
                           const std::uint64_t At,
                           const job::claim_result &Result) {
  Appending = false;
  if (Stopped)
    return;
  const time_point Now = boot_clock::now();
  if (Result.Outcome == job::call_outcome::Fenced)
    UnansweredSince = NoDeadline;
  if (Result.Outcome != job::call_outcome::Done) {
    MustRead = true;
    later(Result.Outcome == job::call_outcome::Fenced ? duration{0}
                                                      : FailurePause);
    return;
  }
  AnsweredAt = Now;
  ConfirmedAt = AppendSentAt;
  UnansweredSince = NoDeadline;
  if (Kind == leader_record::kind::Claim) {
    Election.claimed(At, Now);
    WasLeading = true;
    Log.info("elected", {{"epoch", At + 1}});
    tellLeader();
    Hooks.OnElected(At + 1);
  } else {
    Election.readSucceeded(At + 1, Now);
    Election.heartbeatSent(Now);
  }
  step();
}

void leader_seat::tellLeader() {
  const job::leadership &Current = Election.current();
  if (Current.Epoch == ToldEpoch && Current.Released == ToldReleased)
    return;
  ToldEpoch = Current.Epoch;
  ToldReleased = Current.Released;
  Hooks.OnLeader(Current);
}

void leader_seat::checkDeposed() {
  if (!WasLeading || Election.leads())
    return;
  WasLeading = false;
  Log.warning("deposed", {{"epoch", Election.current().Epoch},
                          {"by", Election.current().Node}});
  Hooks.OnDeposed();
}

void leader_seat::fenced() {
  Election.resign();
  MustRead = true;
  checkDeposed();
}

void leader_seat::release(std::function<void()> OnReleased) {
  const bool Leads = Election.leads();
  Stopped = true;
  Timer.cancel();
  ProbeTimer.cancel();
  if (!Leads) {
    Loop.post(std::move(OnReleased));
    return;
  }
  leader_record Record{leader_record::kind::Release, Election.settings().Node,
                       Election.settings().Address, Election.current().Epoch};
  Log.info("lead released", {{"epoch", Record.Epoch}});
  Ports.Claim(
      Election.end(), toText(Record),
      [Done = std::move(OnReleased)](const job::claim_result &) { Done(); });
}

} // namespace galenalink::job_node
