#include "galenalink/core/assert.hpp"
#include "galenalink/request/ledger.hpp"
#include <algorithm>

namespace galenalink::request {

using detail::entry;
using detail::phase;

namespace {

// One chunk of a transfer is small enough not to delay heartbeats that share
// the connection.
constexpr std::size_t ChunkEntries = 64;
constexpr std::size_t ChunkBytes = std::size_t{256} << 10U;

} // namespace

bool ledger::allSynced() const noexcept {
  return std::all_of(
      Replicas.begin(), Replicas.end(),
      [](const replica_link &Replica) { return Replica.Synced; });
}

bool ledger::ready() const noexcept {
  return !Retired && Replicas.size() >= Settings.RequiredReplicas &&
         allSynced();
}

bool ledger::replicable(const entry &Entry) noexcept {
  switch (Entry.Phase) {
  case phase::Queued:
  case phase::Accepting:
    // Short work that waits is not known to replicas: a new home that ran it
    // could contradict a refusal that the old home gave.
    return Entry.Exposed;
  case phase::Running:
    return Entry.Exposed || !Entry.Idempotent;
  case phase::Preparing:
  case phase::Withdrawing:
  case phase::Done:
    break;
  }
  return true;
}

entry_record ledger::recordOf(const entry &Entry) const {
  entry_record Record;
  Record.Key = Entry.Key;
  Record.BodyHash = Entry.BodyHash;
  Record.Attempt = Entry.Attempt;
  Record.Vm = Entry.Vm;
  Record.Queue = Entry.Queue;
  Record.Team = Entry.Team;
  Record.Refusal = Entry.Refusal;
  Record.Idempotent = Entry.Idempotent;
  Record.LongWork = Entry.LongWork;
  Record.Revision = Entry.Revision;
  Record.ExpiresIn = remembered();
  Record.State = Entry.State;
  switch (Entry.Phase) {
  case phase::Preparing:
    Record.State = entry_state::Dispatched;
    break;
  case phase::Withdrawing:
    Record.State = Entry.Refusal == refusal::Cancelled ? entry_state::Cancelled
                                                       : entry_state::Refused;
    break;
  case phase::Done:
    Record.ExpiresIn = std::max(Entry.ExpiresAt - LastNow, duration{1});
    Record.Result = Entry.Payload;
    break;
  case phase::Queued:
  case phase::Accepting:
  case phase::Running:
    break;
  }
  const bool MayRunAgain =
      Record.State == entry_state::Accepted ||
      (Record.State == entry_state::Dispatched && Entry.Idempotent);
  if (Entry.LongWork && MayRunAgain)
    Record.Body = Entry.Payload;
  return Record;
}

void ledger::forgetPending(entry &Entry) {
  Pending.erase(Entry.Revision.Sequence);
  Entry.Missing = 0;
}

void ledger::erase(entry &Entry) {
  Pending.erase(Entry.Revision.Sequence);
  Table.erase(Entry);
}

void ledger::push(entry &Entry, effects &Out) {
  forgetPending(Entry);
  Entry.Revision = {Version, ++Sequence};
  if (Replicas.empty())
    return;
  Entry.Missing = static_cast<std::uint8_t>((1U << Replicas.size()) - 1U);
  Pending.try_emplace(Sequence, Entry.Index);
  for (const replica_link &Replica : Replicas)
    send(Entry, Replica.Node, Out);
}

void ledger::send(const entry &Entry, const node_id To, effects &Out) const {
  replicate Message{To, Entry.Revision.Sequence, Version, {}, false, {}};
  Message.Entries.push_back(recordOf(Entry));
  Out.emplace_back(std::move(Message));
}

void ledger::rosterChanged(const log_offset NewVersion,
                           const std::vector<node_id> &Nodes,
                           const time_point Now, effects &Out) {
  LastNow = Now;
  GALENALINK_ASSERT(Nodes.size() <= 8, "at most eight replicas");
  GALENALINK_ASSERT(!Retired && NewVersion >= Version,
                    "roster versions only rise while a node is home");
  Version = NewVersion;
  Pending.clear();
  Replicas.clear();
  for (const node_id Node : Nodes)
    Replicas.emplace_back().Node = Node;
  const auto All = static_cast<std::uint8_t>((1U << Nodes.size()) - 1U);
  for (std::size_t Slot = 0; Slot < Table.slots(); ++Slot) {
    entry *const Entry = Table.at(Slot);
    if (Entry == nullptr)
      continue;
    Entry->Missing = replicable(*Entry) ? All : 0;
    if (Entry->Phase == phase::Preparing) {
      // Acknowledgements of the former version do not count.
      release(*Entry, true, Out);
      requeue(*Entry, Out);
    }
  }
  for (replica_link &Replica : Replicas)
    sendChunk(Replica, Out);
}

void ledger::sendChunk(replica_link &Replica, effects &Out) {
  Replica.Chunk.clear();
  Replica.Cursor = Replica.Begin;
  Replica.SyncCall = ++Sequence;
  replicate Message{Replica.Node, Replica.SyncCall, Version, {}, false, {}};
  std::size_t Bytes = 0;
  while (Replica.Cursor < Table.slots() &&
         Message.Entries.size() < ChunkEntries && Bytes < ChunkBytes) {
    const entry *const Entry = Table.at(Replica.Cursor++);
    if (Entry == nullptr || !replicable(*Entry))
      continue;
    Message.Entries.push_back(recordOf(*Entry));
    Bytes += Entry->Payload.size();
    Replica.Chunk.emplace_back(Entry->Index, Entry->Revision.Sequence);
  }
  Replica.MarkerSent = Message.Entries.empty();
  if (Replica.MarkerSent) {
    Message.Synced = true;
    Message.Horizon = horizonAt(LastNow);
  }
  Out.emplace_back(std::move(Message));
}

void ledger::acknowledged(const replicate_reply &Reply, const instant At,
                          effects &Out) {
  LastNow = At.Now;
  if (Retired || !Reply.Accepted || Reply.Version != Version)
    return;
  const auto Found = std::find_if(
      Replicas.begin(), Replicas.end(),
      [&](const replica_link &Known) { return Known.Node == Reply.From; });
  if (Found == Replicas.end())
    return;
  const auto Bit = static_cast<std::size_t>(Found - Replicas.begin());
  if (Reply.Call == Found->SyncCall) {
    chunkAcknowledged(Bit, At, Out);
    return;
  }
  const auto Record = Pending.find(Reply.Call);
  if (Record == Pending.end())
    return;
  recordAcknowledged(*Table.at(Record->second), Bit, At, Out);
}

void ledger::chunkAcknowledged(const std::size_t Bit, const instant At,
                               effects &Out) {
  replica_link &Replica = Replicas[Bit];
  if (Replica.Synced)
    return;
  const auto Chunk = std::move(Replica.Chunk);
  Replica.Chunk.clear();
  for (const auto &[Index, Sent] : Chunk) {
    entry *const Entry = Table.at(Index);
    if (Entry != nullptr && Entry->Revision.Sequence == Sent)
      recordAcknowledged(*Entry, Bit, At, Out);
  }
  if (!Replica.MarkerSent) {
    Replica.Begin = Replica.Cursor;
    sendChunk(Replica, Out);
    return;
  }
  Replica.Synced = true;
  if (allSynced())
    becameReady(At, Out);
}

void ledger::recordAcknowledged(entry &Entry, const std::size_t Bit,
                                const instant At, effects &Out) {
  Entry.Missing &= static_cast<std::uint8_t>(~(1U << Bit));
  if (Entry.Missing != 0)
    return;
  Pending.erase(Entry.Revision.Sequence);
  if (allSynced())
    stepDone(Entry, At, Out);
}

void ledger::stepDone(entry &Entry, const instant At, effects &Out) {
  switch (Entry.Phase) {
  case phase::Accepting:
    // Without authority, or with too few replicas, the step times out.
    if (!At.authorized() || !ready())
      return;
    Entry.HandleGiven = true;
    answerAll(Entry, outcome::Accepted, Out);
    requeue(Entry, Out);
    return;
  case phase::Preparing:
    Table.endStep(Entry);
    if (At.authorized() && ready()) {
      dispatchNow(Entry, Out);
      return;
    }
    release(Entry, true, Out);
    requeue(Entry, Out);
    return;
  case phase::Withdrawing:
    if (At.authorized())
      finishWithdrawal(Entry, At.Now, Out);
    return;
  case phase::Queued:
  case phase::Running:
    if (Entry.Restored && At.authorized() && ready()) {
      Entry.HandleGiven = true;
      answerAll(Entry, outcome::Accepted, Out);
    }
    return;
  case phase::Done:
    return;
  }
}

void ledger::becameReady(const instant At, effects &Out) {
  for (std::size_t Slot = 0; Slot < Table.slots(); ++Slot) {
    entry *const Entry = Table.at(Slot);
    if (Entry != nullptr && Entry->Restored && !Entry->HandleGiven &&
        Entry->Missing == 0)
      stepDone(*Entry, At, Out);
  }
  entry *Next = Table.firstStep();
  while (Next != nullptr) {
    entry &Entry = *Next;
    Next = Table.nextStep(Entry);
    if (Entry.Phase == phase::Accepting && !Entry.Exposed) {
      if (ready()) {
        Entry.Exposed = true;
        push(Entry, Out);
      }
    } else if (Entry.Missing == 0) {
      stepDone(Entry, At, Out);
    }
  }
}

void ledger::resend(const node_id Node, const time_point Now, effects &Out) {
  LastNow = Now;
  const auto Found = std::find_if(
      Replicas.begin(), Replicas.end(),
      [&](const replica_link &Known) { return Known.Node == Node; });
  if (Retired || Found == Replicas.end())
    return;
  if (!Found->Synced)
    sendChunk(*Found, Out);
  const auto Bit = static_cast<std::size_t>(Found - Replicas.begin());
  for (const auto &[Call, Index] : Pending) {
    const entry *const Entry = Table.at(Index);
    if (Entry != nullptr && (Entry->Missing & (1U << Bit)) != 0)
      send(*Entry, Node, Out);
  }
}

std::vector<entry_record> ledger::retire(const time_point Now, effects &Out) {
  LastNow = Now;
  std::vector<entry_record> Records;
  for (std::size_t Slot = 0; Slot < Table.slots(); ++Slot) {
    entry *const Entry = Table.at(Slot);
    if (Entry == nullptr)
      continue;
    const bool Short = !Entry->LongWork && Entry->Phase != phase::Withdrawing;
    if (replicable(*Entry) && Entry->Phase != phase::Preparing)
      Records.push_back(recordOf(*Entry));
    if (Entry->Phase == phase::Running)
      continue;
    if (Entry->Phase == phase::Queued)
      Out.emplace_back(dequeue{Entry->handle()});
    if (Entry->Phase == phase::Preparing)
      release(*Entry, true, Out);
    if (Entry->Phase == phase::Queued || Entry->Phase == phase::Preparing)
      recordNotRun(*Entry, Records);
    // A new home may run what replicas hold, so only other work was not run.
    Entry->Refusal = refusal::NotHome;
    const bool NotRun = (Short || !Entry->Exposed) && !Entry->Ran;
    answerAll(*Entry, NotRun ? outcome::NotRun : outcome::Unknown, Out);
    erase(*Entry);
  }
  Pending.clear();
  Replicas.clear();
  Retired = true;
  return Records;
}

void ledger::recordNotRun(entry &Entry, std::vector<entry_record> &Records) {
  if (Entry.Idempotent || Entry.Attempt == attempt_id{})
    return;
  // The replicas' record of the attempt would make the key unknown at the new
  // home; this later record says that the attempt was never dispatched.
  if (Entry.LongWork && Entry.Phase == phase::Queued)
    return;
  Entry.Revision = {Version, ++Sequence};
  Entry.Phase = phase::Queued;
  entry_record Record = recordOf(Entry);
  if (!Entry.LongWork)
    Record.State = entry_state::Refused;
  Records.push_back(std::move(Record));
}

void ledger::restore(entry_record Record, const time_point Now, effects &Out) {
  LastNow = Now;
  // Sequences stay unique among all records that this ledger holds.
  Sequence = std::max(Sequence, Record.Revision.Sequence);
  entry &Entry = Table.create(std::move(Record.Key));
  Entry.BodyHash = Record.BodyHash;
  Entry.Queue = std::move(Record.Queue);
  Entry.Team = std::move(Record.Team);
  Entry.Vm = std::move(Record.Vm);
  Entry.Idempotent = Record.Idempotent;
  Entry.LongWork = Record.LongWork;
  Entry.State = Record.State;
  Entry.Refusal = Record.Refusal;
  Entry.Revision = Record.Revision;
  Entry.Restored = Record.LongWork;
  // Other handles are confirmed when the replicas hold them again: a single
  // copy may be all that is left of this entry.
  Entry.HandleGiven = Record.LongWork && Settings.RequiredReplicas == 0;
  Entry.Exposed = Record.LongWork;
  Entry.Attempt = Record.Attempt;
  GALENALINK_ASSERT(Entry.State != entry_state::Dispatched,
                    "a takeover resolves dispatched work");
  if (Entry.State == entry_state::Accepted) {
    Entry.Ran = Entry.Idempotent;
    Entry.Deadline = time_point::max();
    Table.setPayload(Entry, std::move(Record.Body));
    requeue(Entry, Out);
    return;
  }
  Entry.Phase = phase::Done;
  Table.setPayload(Entry, std::move(Record.Result));
  if (Entry.State == entry_state::Unknown && Record.Attempt != attempt_id{})
    Table.bindAttempt(Entry, Record.Attempt);
  Table.scheduleExpiry(Entry, Now + Record.ExpiresIn);
}

} // namespace galenalink::request
