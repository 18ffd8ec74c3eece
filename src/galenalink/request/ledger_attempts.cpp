#include "galenalink/core/assert.hpp"
#include "galenalink/request/ledger.hpp"

namespace galenalink::request {

using detail::entry;
using detail::phase;

prepare_result ledger::prepare(const entry_handle Handle,
                               const attempt_id Attempt, std::string Vm,
                               const std::uint64_t Epoch, const instant At,
                               effects &Out) {
  LastNow = At.Now;
  entry *const Entry = Table.find(Handle);
  if (Entry == nullptr || Entry->Phase != phase::Queued || Retired)
    return prepare_result::NotQueued;
  if (!At.authorized())
    return prepare_result::NoAuthority;
  if (!Entry->Idempotent && !ready())
    return prepare_result::NotReady;
  Table.bindAttempt(*Entry, Attempt);
  Entry->Vm = std::move(Vm);
  Entry->Epoch = Epoch;
  if (Entry->Idempotent || Replicas.empty()) {
    dispatchNow(*Entry, Out);
    return prepare_result::Dispatched;
  }
  Entry->Phase = phase::Preparing;
  Table.scheduleStep(*Entry, At.Now + Settings.AckTimeout);
  push(*Entry, Out);
  return prepare_result::Waiting;
}

void ledger::dispatchNow(entry &Entry, effects &Out) {
  Entry.State = entry_state::Dispatched;
  Entry.Phase = phase::Running;
  Out.emplace_back(dispatch{Entry.handle(), Entry.Attempt, Entry.Vm,
                            Entry.Epoch, Entry.Queue, Entry.Payload});
}

void ledger::release(entry &Entry, const bool Certain, effects &Out) {
  Out.emplace_back(release_slot{Entry.Attempt, Entry.Vm, Certain});
}

void ledger::requeue(entry &Entry, effects &Out) {
  Table.unbindAttempt(Entry);
  Table.endStep(Entry);
  Entry.State = entry_state::Accepted;
  Entry.Phase = phase::Queued;
  // The replicas' record of an attempt would make the work unknown after a
  // takeover, though a handle was given and it did not run.
  if (Entry.Exposed && !Entry.Idempotent && Entry.Attempt != attempt_id{})
    push(Entry, Out);
  else if (!Entry.Exposed)
    forgetPending(Entry);
  Out.emplace_back(enqueue{Entry.handle()});
}

bool ledger::refuse(const entry_handle Handle, const refusal Reason,
                    const duration RetryAfter, const instant At, effects &Out) {
  LastNow = At.Now;
  entry *const Entry = Table.find(Handle);
  if (Entry == nullptr || Entry->Phase != phase::Queued)
    return false;
  Entry->RetryAfter = RetryAfter;
  withdraw(*Entry, Reason, At, Out);
  return true;
}

void ledger::withdraw(entry &Entry, const refusal Reason, const instant At,
                      effects &Out) {
  Table.unbindAttempt(Entry);
  Table.endStep(Entry);
  Entry.Refusal = Reason;
  if (Entry.Ran) {
    finish(Entry, entry_state::Unknown, {}, At.Now, Out);
    return;
  }
  Entry.State = entry_state::Accepted;
  // Another home may have run the work by now.
  if (!At.authorized())
    Entry.Refusal = refusal::NoAuthority;
  Entry.Phase = phase::Withdrawing;
  const bool Recorded = Entry.Attempt != attempt_id{} && !Entry.Idempotent;
  if (!Replicas.empty() && (Entry.Exposed || Recorded))
    push(Entry, Out);
  // A new home never runs work of which it knows an attempt, so only a record
  // from which it would run the work has to be taken back first.
  if (Entry.Exposed && !Replicas.empty())
    Table.scheduleStep(Entry, At.Now + Settings.AckTimeout);
  else
    finishWithdrawal(Entry, At.Now, Out);
}

void ledger::finishWithdrawal(entry &Entry, const time_point Now,
                              effects &Out) {
  Table.endStep(Entry);
  Table.setPayload(Entry, {});
  const bool Cancelled = Entry.Refusal == refusal::Cancelled;
  Entry.State = Cancelled ? entry_state::Cancelled : entry_state::Refused;
  Entry.Phase = phase::Done;
  answerAll(Entry, outcome::NotRun, Out);
  if (Cancelled || Entry.HandleGiven || Entry.Restored)
    Table.scheduleExpiry(Entry, Now + remembered());
  else
    erase(Entry);
}

void ledger::finish(entry &Entry, const entry_state State, shared_text Result,
                    const time_point Now, effects &Out) {
  Entry.State = State;
  Entry.Phase = phase::Done;
  Table.endStep(Entry);
  // An unknown outcome may become known by this attempt's id.
  if (State != entry_state::Unknown)
    Table.unbindAttempt(Entry);
  Table.setPayload(Entry, std::move(Result));
  Table.scheduleExpiry(Entry, Now + remembered());
  answerAll(Entry,
            State == entry_state::Completed ? outcome::Complete
            : State == entry_state::Failed  ? outcome::Failed
                                            : outcome::Unknown,
            Out);
  if (Retired)
    erase(Entry);
  else
    push(Entry, Out);
}

bool ledger::answered(const attempt_id Attempt, shared_text Result,
                      const time_point Now, effects &Out) {
  LastNow = Now;
  entry *const Entry = Table.find(Attempt);
  if (Entry == nullptr || Entry->Phase == phase::Preparing)
    return false;
  if (Entry->Phase == phase::Running)
    release(*Entry, true, Out);
  finish(*Entry, entry_state::Completed, std::move(Result), Now, Out);
  return true;
}

bool ledger::refusedByServer(const attempt_id Attempt, effects &Out) {
  entry *const Entry = Table.find(Attempt);
  if (Entry == nullptr || Entry->Phase != phase::Running)
    return false;
  release(*Entry, true, Out);
  if (Retired) {
    Entry->Refusal = refusal::NotHome;
    answerAll(*Entry, Entry->Ran ? outcome::Unknown : outcome::NotRun, Out);
    erase(*Entry);
    return true;
  }
  requeue(*Entry, Out);
  return true;
}

bool ledger::failed(const attempt_id Attempt, shared_text Message,
                    const bool MayRetry, const time_point Now, effects &Out) {
  LastNow = Now;
  entry *const Entry = Table.find(Attempt);
  if (Entry == nullptr || Entry->Phase == phase::Preparing)
    return false;
  if (Entry->Phase == phase::Running) {
    release(*Entry, true, Out);
    if (Entry->Idempotent && MayRetry && !Retired) {
      Entry->Ran = true;
      requeue(*Entry, Out);
      return true;
    }
  }
  finish(*Entry, entry_state::Failed, std::move(Message), Now, Out);
  return true;
}

bool ledger::lost(const attempt_id Attempt, const bool MayRetry,
                  const time_point Now, effects &Out) {
  LastNow = Now;
  entry *const Entry = Table.find(Attempt);
  if (Entry == nullptr || Entry->Phase != phase::Running)
    return false;
  release(*Entry, false, Out);
  if (Entry->Idempotent && MayRetry && !Retired) {
    Entry->Ran = true;
    requeue(*Entry, Out);
  } else {
    finish(*Entry, entry_state::Unknown, {}, Now, Out);
  }
  return true;
}

} // namespace galenalink::request
