#include "galenalink/job_node/leader_elector.hpp"
#include "galenalink/job/leadership_limits.hpp"
#include "galenalink/telemetry/log.hpp"

namespace galenalink::job_node {

namespace {

using job::election_action;
using job::leader_record;

constexpr telemetry::logger Log{"election"};

/** No read of the log is started if a claim is due sooner than this. */
constexpr std::chrono::milliseconds MinReadWait{60};
constexpr duration MinStepDelay = std::chrono::milliseconds{5};
/** How long a read of the log waits for the next heartbeat, ms. */
constexpr std::uint32_t ReadWaitMs = 700;
/** Interval at which the leader checks whether a heartbeat is due. */
constexpr duration StepInterval = std::chrono::milliseconds{50};
/** A leader without a heartbeat for this long is probed, then again at each
 * interval. */
constexpr duration ProbeAfterSilence = std::chrono::milliseconds{750};
constexpr duration ProbeInterval = std::chrono::milliseconds{250};
/** Minimum time between heartbeats that are sent ahead of their interval. */
constexpr duration MinHeartbeatGap = std::chrono::milliseconds{100};
/** Delay before a failed request to the store is retried. */
constexpr duration RetryDelay = std::chrono::milliseconds{150};
/** A leader counts as unhealthy if no append has succeeded for this long after
 * one was sent. A slow store takes up to 0.3 s to respond. */
constexpr duration MaxAppendResponseTime = std::chrono::milliseconds{500};

} // namespace

leader_elector::leader_elector(http::loop &Loop, const job::ports &Ports,
                               job::election_settings Settings, hooks Hooks)
    : Loop{Loop}, Ports{Ports}, Election{std::move(Settings)}, Hooks{std::move(
                                                                   Hooks)} {}

void leader_elector::start() {
  step();
  ProbeTimer = Loop.every(ProbeInterval, [this] { probeLeader(); });
}

void leader_elector::probeLeader() {
  const job::leadership &Current = Election.current();
  // A missing heartbeat counts only if the store has served a request since the
  // last one; otherwise the store itself may be unavailable.
  const time_point SilentSince = Election.lastRecordAt();
  const bool Silent = boot_clock::now() >= SilentSince + ProbeAfterSilence &&
                      LastResponseAt != NoDeadline &&
                      LastResponseAt > SilentSince;
  const bool ShouldProbe = !Stopped && !ProbeInFlight && !Election.leads() &&
                           !Current.Released && Current.Epoch != 0 &&
                           (Silent || ProbedEpoch == 0);
  if (!ShouldProbe)
    return;
  ProbeInFlight = true;
  ProbedEpoch = Current.Epoch;
  Hooks.Probe(Current,
              [this, Epoch = Current.Epoch,
               Weak = std::weak_ptr{LifetimeToken}](const probe_result Result) {
                if (Weak.lock())
                  handleProbeResult(Epoch, Result);
              });
}

void leader_elector::handleProbeResult(const std::uint64_t Epoch,
                                       const probe_result Result) {
  ProbeInFlight = false;
  if (Result == probe_result::Healthy)
    return;
  Log.info("leader probe failed",
           {{"epoch", Epoch},
            {"answer", std::string{nameOf(ProbeResultNames, Result)}}});
  if (Result == probe_result::Unhealthy)
    Election.presumeDead(Epoch, boot_clock::now());
  else
    Election.markUnreachable(Epoch);
  notifyLeaderChange();
  // Does not wait for a pending read of the log before the claim.
  const time_point Now = boot_clock::now();
  schedule(std::max<duration>(Election.claimAt(Now) - Now, MinStepDelay));
}

bool leader_elector::isHealthyLeader() const noexcept {
  const time_point Now = boot_clock::now();
  return Election.leads() && (UnconfirmedSince == NoDeadline ||
                              Now < UnconfirmedSince + MaxAppendResponseTime ||
                              Now < ConfirmedAt + job::ConfirmationValidity);
}

void leader_elector::schedule(const duration Delay) {
  const time_point At = boot_clock::now() + Delay;
  const auto Step = [this] { step(); };
  // A heartbeat must not be late because the leader is busy. A claim, in
  // contrast, must not precede records that wait to be read.
  Timer = Election.leads() ? Loop.beforeEvents(At, Step) : Loop.at(At, Step);
}

void leader_elector::step() {
  if (Stopped || AppendInFlight)
    return;
  if (MustReadLog) {
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
    schedule(StepInterval);
    return;
  }
  if (!Election.reading()) {
    read(0);
    return;
  }
  // A read that waits for a heartbeat must not delay a claim.
  const time_point Now = boot_clock::now();
  const auto UntilClaim = std::chrono::duration_cast<std::chrono::milliseconds>(
      Election.claimAt(Now) - Now);
  if (UntilClaim < MinReadWait)
    schedule(std::max<duration>(UntilClaim, MinStepDelay));
  else
    read(std::min(ReadWaitMs, static_cast<std::uint32_t>(UntilClaim.count())));
}

void leader_elector::read(const std::uint32_t WaitMs) {
  if (ReadInFlight)
    return;
  ReadInFlight = true;
  Ports.Read(job::topic::Leader, Election.end(), WaitMs,
             [this, Weak = std::weak_ptr{LifetimeToken}](
                 const job::read_result &Result) {
               if (Weak.lock())
                 handleReadResult(Result);
             });
}

void leader_elector::handleReadResult(const job::read_result &Result) {
  ReadInFlight = false;
  const time_point Now = boot_clock::now();
  if (Result.Outcome != job::call_outcome::Done && !Result.Expired) {
    Election.readFailed();
    schedule(RetryDelay);
    return;
  }
  LastResponseAt = Now;
  if (Result.Expired)
    Election.recordsLost(Now);
  MustReadLog = Result.Expired || Result.Next < Result.End;
  std::uint64_t Offset = Result.Next - Result.Records.size();
  for (const auto &Record : Result.Records) {
    const auto Parsed = job::parseLeader(Record.Value.value_or(""));
    if (Parsed) {
      Election.applyRecord(Offset, *Parsed, Now);
      confirmByRecord(*Parsed);
    } else
      Log.error("cannot parse record of the leader log", {{"offset", Offset}});
    ++Offset;
  }
  Election.readSucceeded(Result.Next, Now);
  notifyIfDeposed();
  notifyLeaderChange();
  notifyIfElected();
  step();
}

void leader_elector::confirmByRecord(const leader_record &Record) {
  const bool Own = Record.Kind == leader_record::kind::Heartbeat &&
                   Record.Node == Election.settings().Node;
  if (!Own || UnconfirmedSince == NoDeadline)
    return;
  ConfirmedAt = std::max(ConfirmedAt, UnconfirmedSince);
  UnconfirmedSince = NoDeadline;
}

void leader_elector::append(const leader_record::kind Kind) {
  leader_record Record;
  Record.Kind = Kind;
  Record.Node = Election.settings().Node;
  Record.Address = Election.settings().Address;
  Record.Epoch =
      Kind == leader_record::kind::Claim ? 0 : Election.current().Epoch;
  const std::uint64_t Offset = Election.end();
  AppendInFlight = true;
  AppendSentAt = boot_clock::now();
  if (UnconfirmedSince == NoDeadline)
    UnconfirmedSince = AppendSentAt;
  Ports.Claim(Offset, toText(Record),
              [this, Kind, Offset, Weak = std::weak_ptr{LifetimeToken}](
                  const job::claim_result &Result) {
                if (Weak.lock())
                  handleAppendResult(Kind, Offset, Result);
              });
}

void leader_elector::handleAppendResult(const leader_record::kind Kind,
                                        const std::uint64_t Offset,
                                        const job::claim_result &Result) {
  AppendInFlight = false;
  if (Stopped)
    return;
  const time_point Now = boot_clock::now();
  if (Result.Outcome == job::call_outcome::Fenced)
    UnconfirmedSince = NoDeadline;
  if (Result.Outcome != job::call_outcome::Done) {
    MustReadLog = true;
    schedule(Result.Outcome == job::call_outcome::Fenced ? duration{0}
                                                         : RetryDelay);
    return;
  }
  LastResponseAt = Now;
  ConfirmedAt = AppendSentAt;
  UnconfirmedSince = NoDeadline;
  if (Kind == leader_record::kind::Claim) {
    Election.claimed(Offset, Now);
    notifyLeaderChange();
    notifyIfElected();
  } else {
    Election.readSucceeded(Offset + 1, Now);
    Election.heartbeatSent(Now);
  }
  step();
}

void leader_elector::notifyLeaderChange() {
  const job::leadership &Current = Election.current();
  if (Current.Epoch == NotifiedEpoch && Current.Released == NotifiedReleased)
    return;
  NotifiedEpoch = Current.Epoch;
  NotifiedReleased = Current.Released;
  Log.info("leader changed", {{"epoch", Current.Epoch},
                              {"leader", Current.Node},
                              {"vacant", Current.Released ? "yes" : "no"}});
  Hooks.OnLeaderChange(Current);
}

void leader_elector::notifyIfElected() {
  const std::uint64_t Epoch = Election.current().Epoch;
  if (!Election.leads() || Epoch <= LedEpoch)
    return;
  WasLeading = true;
  LedEpoch = Epoch;
  Log.info("elected", {{"epoch", Epoch}});
  Hooks.OnElected(Epoch);
}

void leader_elector::notifyIfDeposed(const std::string_view RejectedBy) {
  const bool Leads = Election.leads() && Election.current().Epoch == LedEpoch;
  if (!WasLeading || Leads)
    return;
  WasLeading = false;
  // After a fence, the log names the successor once it is read again.
  const bool Fenced = !RejectedBy.empty();
  Log.warning("deposed",
              {{"epoch", LedEpoch},
               {"by", Fenced ? "" : Election.current().Node},
               {"successor_epoch", Fenced ? 0 : Election.current().Epoch},
               {"fenced_by", std::string{RejectedBy}},
               {"confirmed_ms_ago", static_cast<std::uint64_t>(wholeMs(
                                        boot_clock::now() - ConfirmedAt))}});
  Hooks.OnDeposed();
}

void leader_elector::markFenced(const std::string_view RejectedBy) {
  Election.resign();
  MustReadLog = true;
  notifyIfDeposed(RejectedBy);
}

void leader_elector::confirmSoon() {
  const bool Busy = Stopped || AppendInFlight || ReadInFlight || MustReadLog;
  const time_point Now = boot_clock::now();
  if (!Busy && Election.leads() && Now >= AppendSentAt + MinHeartbeatGap)
    append(leader_record::kind::Heartbeat);
}

void leader_elector::release(std::function<void()> OnReleased) {
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
  Log.info("releasing leadership", {{"epoch", Record.Epoch}});
  Ports.Claim(
      Election.end(), toText(Record),
      [Done = std::move(OnReleased)](const job::claim_result &) { Done(); });
}

} // namespace galenalink::job_node
