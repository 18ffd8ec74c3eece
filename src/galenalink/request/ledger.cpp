#include "galenalink/request/ledger.hpp"
#include "galenalink/core/assert.hpp"
#include "galenalink/request/uuid.hpp"
#include <algorithm>

namespace galenalink::request {

using detail::entry;
using detail::phase;

namespace {

[[nodiscard]] wall_ms milliseconds(const duration Time) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

[[nodiscard]] outcome outcomeOf(const entry_state State) noexcept {
  switch (State) {
  case entry_state::Completed:
    return outcome::Complete;
  case entry_state::Failed:
    return outcome::Failed;
  case entry_state::Refused:
  case entry_state::Cancelled:
    return outcome::NotRun;
  case entry_state::Unknown:
    return outcome::Unknown;
  case entry_state::Accepted:
  case entry_state::Dispatched:
    break;
  }
  return outcome::Accepted;
}

} // namespace

submit_result ledger::submit(submission Submission, const instant At,
                             effects &Out) {
  LastNow = At.Now;
  bool Ran = false;
  const auto Refuse = [&](const refusal Reason, const duration RetryAfter) {
    Out.emplace_back(answer{Submission.Waiter,
                            Ran ? outcome::Unknown : outcome::NotRun,
                            Reason,
                            RetryAfter,
                            {}});
    return submit_result::Refused;
  };
  if (Retired)
    return Refuse(refusal::NotHome, {});
  if (entry *const Entry = Table.find(Submission.Key)) {
    if (Entry->BodyHash != bodyHash(Submission.Queue, Submission.Body.str()))
      return Refuse(refusal::KeyReused, {});
    const bool Ended = Entry->State == entry_state::Completed ||
                       Entry->State == entry_state::Failed;
    if (!Ended && !At.authorized())
      return Refuse(refusal::NoAuthority, {});
    // A refusal that was kept for its handle does not block a new try, and
    // idempotent work may be tried again.
    if (Entry->State == entry_state::Refused ||
        (Entry->State == entry_state::Unknown && Entry->Idempotent)) {
      Ran = Entry->State == entry_state::Unknown;
      erase(*Entry);
    } else if (isFinal(Entry->State) || Entry->HandleGiven) {
      replay(*Entry, Submission.Waiter, Out);
      return Entry->State == entry_state::Unknown ? submit_result::Unknown
                                                  : submit_result::Replayed;
    } else {
      Entry->Waiters.push_back(Submission.Waiter);
      return submit_result::Joined;
    }
  }
  if (!At.authorized())
    return Refuse(refusal::NoAuthority, {});
  if (const auto Issued = uuid7IssueTime(Submission.Key.Key)) {
    if (*Issued + milliseconds(Settings.Retention) < At.Wall)
      return Refuse(refusal::KeyExpired, {});
    // Such a key would be valid for longer than its entry is kept.
    if (*Issued > At.Wall + milliseconds(Settings.ClockSkew))
      return Refuse(refusal::BadRequest, {});
  }
  const bool MayHaveRun = mayHaveRun(Submission.Key, Submission.Idempotent, At);
  Ran = Ran || MayHaveRun;
  if (!Submission.Idempotent && MayHaveRun) {
    Out.emplace_back(answer{
        Submission.Waiter, outcome::Unknown, refusal::None, duration{}, {}});
    return submit_result::Unknown;
  }
  if (Table.size() >= Settings.MaxEntries ||
      Table.bytes() + Submission.Body.size() > Settings.MaxBytes)
    return Refuse(refusal::TableFull, Settings.AckTimeout);
  if ((Submission.LongWork || !Submission.Idempotent) &&
      Replicas.size() < Settings.RequiredReplicas)
    return Refuse(refusal::NoReplicas, Settings.AckTimeout);
  addEntry(std::move(Submission), Ran, At.Now, Out);
  return submit_result::New;
}

void ledger::addEntry(submission Submission, const bool Ran,
                      const time_point Now, effects &Out) {
  entry &Entry = Table.create(std::move(Submission.Key));
  Entry.BodyHash = bodyHash(Submission.Queue, Submission.Body.str());
  Entry.Queue = std::move(Submission.Queue);
  Entry.Team = std::move(Submission.Team);
  Entry.Idempotent = Submission.Idempotent;
  Entry.LongWork = Submission.LongWork;
  Entry.Deadline = Submission.Deadline;
  Entry.Ran = Ran;
  Entry.State = entry_state::Accepted;
  Entry.Waiters.push_back(Submission.Waiter);
  Table.setPayload(Entry, std::move(Submission.Body));
  if (!Entry.LongWork) {
    requeue(Entry, Out);
    return;
  }
  Entry.Phase = phase::Accepting;
  if (Replicas.empty()) {
    Entry.HandleGiven = true;
    answerAll(Entry, outcome::Accepted, Out);
    requeue(Entry, Out);
    return;
  }
  Table.scheduleStep(Entry, Now + Settings.AckTimeout);
  if (ready()) {
    Entry.Exposed = true;
    push(Entry, Out);
  }
}

bool ledger::mayHaveRun(const request_key &Key, const bool Idempotent,
                        const instant At) const {
  const time_point Until = Idempotent ? IdempotentUnknownUntil : UnknownUntil;
  const wall_ms Fresh = Idempotent ? IdempotentFreshAfter : FreshAfter;
  if (At.Now >= Until)
    return false;
  const auto Issued = uuid7IssueTime(Key.Key);
  return !Issued || *Issued <= Fresh + milliseconds(Settings.ClockSkew);
}

cancel_result ledger::cancel(const request_key &Key, const waiter Waiter,
                             const instant At, effects &Out) {
  LastNow = At.Now;
  entry *const Entry = Table.find(Key);
  if (Entry == nullptr)
    return cancel_result::NotFound;
  if (!At.authorized() && !isFinal(Entry->State)) {
    Out.emplace_back(
        answer{Waiter, outcome::NotRun, refusal::NoAuthority, duration{}, {}});
    return cancel_result::NoAuthority;
  }
  switch (Entry->Phase) {
  case phase::Done:
    replay(*Entry, Waiter, Out);
    return cancel_result::Finished;
  case phase::Running:
    Out.emplace_back(stop_attempt{Entry->Attempt, Entry->Vm});
    Out.emplace_back(
        answer{Waiter, outcome::Accepted, refusal::None, duration{}, {}});
    return cancel_result::Stopping;
  case phase::Withdrawing:
    Entry->Waiters.push_back(Waiter);
    return cancel_result::Withdrawing;
  case phase::Queued:
    Out.emplace_back(dequeue{Entry->handle()});
    break;
  case phase::Preparing:
    release(*Entry, true, Out);
    break;
  case phase::Accepting:
    break;
  }
  Entry->Waiters.push_back(Waiter);
  withdraw(*Entry, refusal::Cancelled, At, Out);
  return Entry->Phase == phase::Done ? cancel_result::Cancelled
                                     : cancel_result::Withdrawing;
}

void ledger::detach(const request_key &Key, const waiter Waiter) {
  if (entry *const Entry = Table.find(Key))
    std::erase(Entry->Waiters, Waiter);
}

std::optional<query_result> ledger::query(const request_key &Key,
                                          const instant At) const {
  const entry *const Entry = Table.find(Key);
  if (Entry != nullptr)
    return query_result{Entry->State, outcomeOf(Entry->State), Entry->Refusal,
                        isFinal(Entry->State)
                            ? std::string_view{Entry->Payload.str()}
                            : std::string_view{}};
  if (mayHaveRun(Key, false, At))
    return query_result{
        entry_state::Unknown, outcome::Unknown, refusal::None, {}};
  return std::nullopt;
}

std::optional<work_view> ledger::find(const entry_handle Handle) {
  const entry *const Entry = Table.find(Handle);
  if (Entry == nullptr)
    return std::nullopt;
  return work_view{&Entry->Key,     Entry->Queue,      Entry->Team,
                   Entry->Deadline, Entry->Idempotent, Entry->LongWork};
}

void ledger::answerAll(entry &Entry, const outcome Outcome, effects &Out) {
  const bool WithResult = isFinal(Entry.State);
  for (const waiter Waiter : Entry.Waiters)
    Out.emplace_back(answer{Waiter, Outcome, Entry.Refusal, Entry.RetryAfter,
                            WithResult ? Entry.Payload : shared_text{}});
  // A finished entry is kept for long, so its list gives up its memory.
  Entry.Waiters = std::vector<waiter>{};
}

void ledger::replay(const entry &Entry, const waiter Waiter,
                    effects &Out) const {
  answer Answer{Waiter, outcomeOf(Entry.State), refusal::None, duration{}, {}};
  if (isFinal(Entry.State)) {
    Answer.Refusal = Entry.Refusal;
    Answer.RetryAfter = Entry.RetryAfter;
    Answer.Body = Entry.Payload;
  }
  Out.emplace_back(std::move(Answer));
}

void ledger::tick(const instant At, effects &Out) {
  const time_point Now = At.Now;
  LastNow = Now;
  while (entry *const Entry = Table.firstExpiry()) {
    if (Entry->ExpiresAt > Now)
      break;
    erase(*Entry);
  }
  while (entry *const Entry = Table.firstStep()) {
    if (Entry->StepDeadline > Now)
      break;
    // The acknowledgements may have come while there was no authority.
    const bool Acknowledged =
        Entry->Missing == 0 && allSynced() && At.authorized();
    switch (Entry->Phase) {
    case phase::Accepting:
      if (Acknowledged && Entry->Exposed && ready()) {
        stepDone(*Entry, At, Out);
        break;
      }
      withdraw(*Entry, refusal::NoReplicas, At, Out);
      break;
    case phase::Preparing:
      release(*Entry, true, Out);
      // A handle that was given survives; other work may be refused, since
      // no dispatch was returned.
      if (Entry->LongWork)
        requeue(*Entry, Out);
      else
        withdraw(*Entry, refusal::NoReplicas, At, Out);
      break;
    case phase::Withdrawing:
      if (Acknowledged) {
        finishWithdrawal(*Entry, Now, Out);
        break;
      }
      // A replica may still hold the record; only its callers are told.
      answerAll(*Entry, outcome::Unknown, Out);
      Table.scheduleStep(*Entry, Now + Settings.AckTimeout);
      break;
    default:
      GALENALINK_ASSERT(false, "only steps have a step deadline");
    }
  }
}

void ledger::setHorizon(const horizon Horizon, const time_point Now) {
  LastNow = Now;
  UnknownUntil = Now + Horizon.Remaining;
  FreshAfter = Horizon.FreshAfter;
}

void ledger::setIdempotentHorizon(const horizon Horizon, const time_point Now) {
  IdempotentUnknownUntil = Now + Horizon.Remaining;
  IdempotentFreshAfter = Horizon.FreshAfter;
}

horizon ledger::horizonAt(const time_point Now) const noexcept {
  if (Now >= UnknownUntil)
    return {};
  return {UnknownUntil - Now, FreshAfter};
}

} // namespace galenalink::request
