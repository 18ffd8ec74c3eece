#include "galenalink/request/takeover.hpp"
#include <algorithm>

namespace galenalink::request {

namespace {

[[nodiscard]] duration remembered(const takeover_settings &Settings) noexcept {
  return rememberedFor(Settings.Retention, Settings.ClockSkew);
}

} // namespace

takeover::takeover(const takeover_settings Settings, const roster_step Step,
                   std::vector<node_id> Roster, const time_point GraceDeadline,
                   const time_point GiveUpDeadline)
    : Settings(Settings), Step(Step), Roster(std::move(Roster)),
      GraceDeadline(GraceDeadline), GiveUpDeadline(GiveUpDeadline) {}

void takeover::replied(collect_reply Reply) {
  const auto Waiting = missing();
  if (Reply.Version == Step.Version &&
      std::find(Waiting.begin(), Waiting.end(), Reply.From) != Waiting.end())
    Replies.push_back(std::move(Reply));
}

std::vector<node_id> takeover::missing() const {
  std::vector<node_id> Waiting;
  for (const node_id Node : Roster) {
    if (std::none_of(
            Replies.begin(), Replies.end(),
            [&](const collect_reply &Reply) { return Reply.From == Node; }))
      Waiting.push_back(Node);
  }
  return Waiting;
}

bool takeover::finished(const time_point Now) const {
  return Now >= GiveUpDeadline || missing().empty() ||
         (Now >= GraceDeadline && findEvidence().Found);
}

takeover::evidence takeover::findEvidence() const {
  // From the newest version back: either a complete copy of it is at hand, or
  // a member states that nothing was dispatched in it.
  log_offset Version = Step.Previous;
  while (Version != 0) {
    log_offset Before = Version;
    for (const collect_reply &Reply : Replies) {
      if (Reply.SyncedAt == Version)
        return {true, Version};
      for (const roster_step &Quiet : Reply.Quiet) {
        if (Quiet.Version == Version)
          Before = Quiet.Previous;
      }
    }
    if (Before >= Version)
      return {};
    Version = Before;
  }
  return {true, 0};
}

takeover::entries takeover::merge(const evidence Evidence) const {
  entries Merged;
  for (const collect_reply &Reply : Replies) {
    // Copies that are not complete may list work that was withdrawn since.
    if (Evidence.Found && Reply.SyncedAt != Evidence.Version)
      continue;
    for (const entry_record &Record : Reply.Entries) {
      const auto [Known, Added] = Merged.try_emplace(Record.Key, Record);
      if (!Added && Known->second.Revision < Record.Revision)
        Known->second = Record;
    }
  }
  if (Evidence.Found)
    return Merged;
  for (auto &[Key, Record] : Merged) {
    // A later record may have been lost: the work may have been dispatched,
    // or taken back.
    if (Record.State == entry_state::Accepted ||
        Record.State == entry_state::Refused) {
      Record.State = entry_state::Unknown;
      Record.ExpiresIn = remembered(Settings);
    }
  }
  return Merged;
}

void takeover::addResults(entries &Merged) const {
  for (const collect_reply &Reply : Replies) {
    for (const entry_record &Record : Reply.Entries) {
      if (Record.State != entry_state::Completed &&
          Record.State != entry_state::Failed)
        continue;
      const auto Known = Merged.find(Record.Key);
      if (Known != Merged.end() &&
          (Known->second.State == entry_state::Dispatched ||
           Known->second.State == entry_state::Unknown) &&
          Known->second.Attempt == Record.Attempt)
        Known->second = Record;
    }
  }
}

takeover_result takeover::resolve(const instant At) const {
  const duration Remembered = remembered(Settings);
  const evidence Evidence = findEvidence();
  entries Merged = merge(Evidence);
  addResults(Merged);
  takeover_result Result;
  Result.Evidence = Evidence.Found;
  if (Step.Previous != 0)
    Result.IdempotentHorizon = {Remembered, At.Wall};
  if (!Evidence.Found) {
    Result.Horizon = {Remembered, At.Wall};
  } else {
    for (const collect_reply &Reply : Replies) {
      if (Reply.SyncedAt != Evidence.Version)
        continue;
      auto &[Remaining, FreshAfter] = Result.Horizon;
      Remaining = std::max(Remaining, Reply.Horizon.Remaining);
      FreshAfter = std::max(FreshAfter, Reply.Horizon.FreshAfter);
    }
  }
  for (auto &[Key, Record] : Merged) {
    if (Record.State == entry_state::Dispatched) {
      // Short idempotent work is not on replicas with its body; the caller
      // sends it again.
      if (Record.Idempotent && !Record.LongWork)
        continue;
      Record.State =
          Record.Idempotent ? entry_state::Accepted : entry_state::Unknown;
      Record.ExpiresIn = Remembered;
    }
    Result.Entries.push_back(std::move(Record));
  }
  std::sort(Result.Entries.begin(), Result.Entries.end(),
            [](const entry_record &Left, const entry_record &Right) {
              return Left.ExpiresIn != Right.ExpiresIn
                         ? Left.ExpiresIn < Right.ExpiresIn
                         : Left.Key < Right.Key;
            });
  return Result;
}

ledger makeLedger(const ledger_settings Settings, const log_offset Version,
                  takeover_result Result, const time_point Now, effects &Out) {
  ledger Ledger{Settings, Version};
  Ledger.setHorizon(Result.Horizon, Now);
  Ledger.setIdempotentHorizon(Result.IdempotentHorizon, Now);
  for (entry_record &Record : Result.Entries)
    Ledger.restore(std::move(Record), Now, Out);
  return Ledger;
}

} // namespace galenalink::request
