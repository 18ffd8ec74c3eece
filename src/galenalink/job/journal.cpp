#include "galenalink/job/journal.hpp"
#include <algorithm>
#include <utility>

namespace galenalink::job {

namespace {

/** Size of an append from which on further records wait for the next one. */
constexpr std::size_t MaxBatchBytes = std::size_t{512} << 10U;

/** Delay before a failed append is retried, doubled up to the limit. Callers
 * wait for the end of an outage no longer than 3 s, so that each tenth of a
 * second after it counts. */
constexpr duration FirstRetryDelay = std::chrono::milliseconds{50};
constexpr duration MaxRetryDelay = std::chrono::milliseconds{200};
/** An append without a response is sent again after this time, while the first
 * request may still get one: an outage that began and ended meanwhile leaves
 * the connection without a response. Appends are idempotent, and a slow store
 * takes less. */
constexpr duration HedgeDelay = std::chrono::milliseconds{500};
/** Requests for one append that may be without a response. */
constexpr std::uint32_t MaxUnanswered = 3;

/** Timeout of an append, doubled with each retry up to the limit. It starts
 * short so that a lost response does not delay callers for long, which is safe
 * because appends are idempotent. It grows because a slow store may take
 * several hundred milliseconds to respond. */
constexpr duration FirstAppendTimeout = std::chrono::milliseconds{300};
constexpr duration MaxAppendTimeout = std::chrono::milliseconds{1200};

} // namespace

journal::journal(hooks Hooks, const std::uint64_t Epoch)
    : Hooks{std::move(Hooks)}, Epoch{Epoch} {}

void journal::put(const std::string &Key, value_function Value) {
  const auto [Found, Added] = PendingPuts.try_emplace(Key);
  Found->second.Value = std::move(Value);
  if (!Added)
    return;
  Found->second.Number = ++LastPut;
  PendingKeys.push_back(Key);
}

void journal::whenStored(callback Callback) {
  StoredCallbacks.push_back({std::move(Callback), Hooks.Now(), LastPut});
}

void journal::flush() {
  if (InFlight) {
    if (Unanswered < MaxUnanswered && Hooks.Now() >= RetryAt)
      send();
    return;
  }
  if (!PendingPuts.empty() || !StoredCallbacks.empty())
    collect();
}

journal::load journal::currentLoad() const {
  load Load;
  Load.Records = Batch.size() + PendingPuts.size();
  Load.BatchBytes = Batch.empty() ? 0 : BatchBytes;
  Load.Callbacks = BatchCallbacks.size() + StoredCallbacks.size();
  // Callbacks of the append in flight are older than those that wait.
  if (!BatchCallbacks.empty())
    Load.OldestAt = BatchCallbacks.front().AddedAt;
  else if (!StoredCallbacks.empty())
    Load.OldestAt = StoredCallbacks.front().AddedAt;
  return Load;
}

void journal::collect() {
  BatchBytes = 0;
  while (!PendingKeys.empty() && BatchBytes < MaxBatchBytes) {
    const auto First = PendingPuts.find(PendingKeys.front());
    Batch.push_back({First->first, First->second.Value()});
    const keyed_record &Record = Batch.back();
    BatchBytes += Record.Key.size() + (Record.Value ? Record.Value->size() : 0);
    PendingPuts.erase(First);
    PendingKeys.pop_front();
  }
  const std::uint64_t FirstPending =
      PendingKeys.empty() ? LastPut + 1
                          : PendingPuts.at(PendingKeys.front()).Number;
  while (!StoredCallbacks.empty() &&
         StoredCallbacks.front().AfterPut < FirstPending) {
    BatchCallbacks.push_back(std::move(StoredCallbacks.front()));
    StoredCallbacks.pop_front();
  }
  InFlight = true;
  FirstSent = LastSent + 1;
  Unanswered = 0;
  if (Batch.empty()) {
    onAppendResult(++LastSent, {call_outcome::Done, {}});
    return;
  }
  send();
}

void journal::send() {
  const time_point Now = Hooks.Now();
  const duration Timeout = FirstAppendTimeout * (1U << std::min(Failures, 2U));
  ++Unanswered;
  RetryAt = Now + HedgeDelay;
  Hooks.Append(Epoch, Sequence, Batch,
               Now + std::min<duration>(Timeout, MaxAppendTimeout),
               [this, Sent = ++LastSent, Weak = std::weak_ptr{LifetimeToken}](
                   const append_result &Result) {
                 if (Weak.lock())
                   onAppendResult(Sent, Result);
               });
}

void journal::onAppendResult(const std::uint64_t Sent,
                             const append_result &Result) {
  // Another request for the same append has succeeded. The store rejects this
  // one if several appends have followed, which shows no successor.
  if (!InFlight || Sent < FirstSent)
    return;
  if (Result.Outcome == call_outcome::Fenced) {
    Hooks.OnFenced();
    return;
  }
  if (Unanswered > 0)
    --Unanswered;
  if (Result.Outcome != call_outcome::Done) {
    const auto Delay = FirstRetryDelay * (1U << std::min(Failures, 3U));
    ++Failures;
    RetryAt = Hooks.Now() + std::min<duration>(Delay, MaxRetryDelay);
    return;
  }
  Failures = 0;
  InFlight = false;
  if (!Batch.empty())
    ++Sequence;
  Batch.clear();
  for (const auto &Callback : std::exchange(BatchCallbacks, {}))
    Callback.Function();
  flush();
}

} // namespace galenalink::job
