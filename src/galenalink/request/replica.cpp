#include "galenalink/request/replica.hpp"
#include <algorithm>

namespace galenalink::request {

namespace {

// More roster versions than this between two complete copies occur only when
// most of a large fleet is replaced at once.
constexpr std::size_t MaxQuiet = 256;

[[nodiscard]] std::size_t bytesOf(const entry_record &Record) noexcept {
  return Record.Key.Customer.size() + Record.Key.Service.size() +
         Record.Key.Key.size() + Record.Body.size() + Record.Result.size();
}

} // namespace

void replica::rosterChanged(const roster_step Next, const bool NextMember) {
  if (Member && !LedgerActive && SyncedAt != Step.Version) {
    Quiet.push_back(Step);
    if (Quiet.size() > MaxQuiet)
      Quiet.pop_front();
  }
  Step = Next;
  Member = NextMember;
}

replicate_reply replica::store(replicate Message, const time_point Now) {
  replicate_reply Reply{Self, Message.Call, Message.Version, false};
  if (Message.Version != Step.Version || !Member || LedgerActive)
    return Reply;
  for (entry_record &Record : Message.Entries) {
    if (!put(std::move(Record), Now))
      return Reply;
  }
  if (Message.Synced) {
    eraseOlder();
    SyncedAt = Step.Version;
    Quiet.clear();
    UnknownUntil = Now + Message.Horizon.Remaining;
    FreshAfter = Message.Horizon.FreshAfter;
  }
  Reply.Accepted = true;
  return Reply;
}

bool replica::put(entry_record Record, const time_point Now) {
  const auto Known = Entries.find(Record.Key);
  const bool Replaces = Known != Entries.end();
  // Messages may be repeated and overtake each other.
  if (Replaces && Record.Revision < Known->second.Record.Revision) {
    Known->second.WrittenIn = Step.Version;
    return true;
  }
  const std::size_t Size = bytesOf(Record);
  const std::size_t Replaced = Replaces ? bytesOf(Known->second.Record) : 0;
  if (Entries.size() + (Replaces ? 0 : 1) > Settings.MaxEntries ||
      Bytes - Replaced + Size > Settings.MaxBytes)
    return false;
  if (Replaces)
    erase(Known);
  const time_point ExpiresAt = Now + Record.ExpiresIn;
  request_key Key = Record.Key;
  const auto Added =
      Entries
          .try_emplace(std::move(Key),
                       stored{std::move(Record), ExpiresAt, Step.Version})
          .first;
  Bytes += Size;
  Expiry.emplace(ExpiresAt, &Added->first);
  return true;
}

void replica::erase(const table::iterator Entry) {
  Expiry.erase({Entry->second.ExpiresAt, &Entry->first});
  Bytes -= bytesOf(Entry->second.Record);
  Entries.erase(Entry);
}

void replica::eraseOlder() {
  for (auto Entry = Entries.begin(); Entry != Entries.end();) {
    const auto Current = Entry++;
    if (Current->second.WrittenIn != Step.Version)
      erase(Current);
  }
}

std::optional<collect_reply> replica::collect(const log_offset Version,
                                              const time_point Now) const {
  if (Version != Step.Version || LedgerActive)
    return std::nullopt;
  collect_reply Reply{Self, Version, SyncedAt, {}, {}, {}};
  Reply.Quiet.assign(Quiet.begin(), Quiet.end());
  if (Now < UnknownUntil)
    Reply.Horizon = {UnknownUntil - Now, FreshAfter};
  Reply.Entries.reserve(Entries.size());
  for (const auto &[Key, Entry] : Entries) {
    Reply.Entries.push_back(Entry.Record);
    Reply.Entries.back().ExpiresIn =
        std::max(Entry.ExpiresAt - Now, duration{1});
  }
  return Reply;
}

void replica::becameHome() {
  Entries.clear();
  Expiry.clear();
  Quiet.clear();
  Bytes = 0;
  SyncedAt = 0;
  LedgerActive = true;
}

void replica::adopt(std::vector<entry_record> Records, const horizon Horizon,
                    const time_point Now) {
  LedgerActive = false;
  // The bounds of the ledger held these records already.
  const replica_settings Bounds = Settings;
  Settings.MaxEntries = Settings.MaxBytes = ~std::size_t{0};
  for (entry_record &Record : Records)
    static_cast<void>(put(std::move(Record), Now));
  Settings = Bounds;
  SyncedAt = Step.Version;
  UnknownUntil = Now + Horizon.Remaining;
  FreshAfter = Horizon.FreshAfter;
}

void replica::tick(const time_point Now) {
  while (!Expiry.empty() && Expiry.begin()->first <= Now) {
    const auto Entry = Entries.find(*Expiry.begin()->second);
    if (isFinal(Entry->second.Record.State) || !Member) {
      erase(Entry);
      continue;
    }
    // Work without an outcome is the home's to end; it may run for long.
    Expiry.erase(Expiry.begin());
    Entry->second.ExpiresAt = Now + Settings.Retention;
    Expiry.emplace(Entry->second.ExpiresAt, &Entry->first);
  }
}

} // namespace galenalink::request
