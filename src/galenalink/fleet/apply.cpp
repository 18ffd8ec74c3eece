#include "galenalink/fleet/apply.hpp"
#include "galenalink/fleet/apply_detail.hpp"
#include <algorithm>

namespace galenalink::fleet {

namespace {

void advanceTime(state &State, const wall_ms At) noexcept {
  if (State.LogTime == 0)
    State.LogTime = std::max<wall_ms>(At, 0);
  else if (At > State.LogTime)
    State.LogTime += std::min(At - State.LogTime, MaxTimeStep);
}

void dispatch(state &State, const wire::record &Record, applied &Result) {
  using body = wire::record::BodyCase;
  switch (Record.body_case()) {
  case body::kJoin:
  case body::kLeave:
  case body::kEvict:
  case body::kRenew:
    Result.Reason = detail::applyRoster(State, Record);
    return;
  case body::kConfig:
    detail::applyConfig(State, Record, Result);
    return;
  case body::kSnapshot:
    Result.Reason = detail::applySnapshot(State, Record.snapshot());
    return;
  case body::kWork:
    // Of interest to the account alone.
    return;
  case body::BODY_NOT_SET:
    Result.Reason = rejection::UnknownBody;
    return;
  default:
    Result.Reason = detail::applyVm(State, Record, Result);
  }
}

} // namespace

applied apply(state &State, const log_offset Offset,
              const wire::record &Record) {
  applied Result;
  Result.Offset = Offset;
  if (Offset != State.Offset + 1) {
    Result.Reason = rejection::Gap;
    return Result;
  }
  State.Offset = Offset;
  advanceTime(State, Record.at_ms());
  if (Record.id() == 0)
    Result.Reason = rejection::BadRecord;
  else if (State.Appends.find(Record.id()))
    Result.Reason = rejection::Duplicate;
  else {
    dispatch(State, Record, Result);
    State.Appends.add({Record.id(), Offset, Result.Reason});
    if (Record.has_config())
      State.Config.keepResult({Record.id(), Result});
  }
  ++(Result.accepted() ? State.Accepted : State.Rejected);
  return Result;
}

applied applyUndecodable(state &State, const log_offset Offset) {
  applied Result;
  Result.Offset = Offset;
  if (Offset != State.Offset + 1) {
    Result.Reason = rejection::Gap;
    return Result;
  }
  State.Offset = Offset;
  ++State.Rejected;
  Result.Reason = rejection::BadRecord;
  return Result;
}

std::optional<applied> findAppend(const state &State, const std::uint64_t Id) {
  const auto &Results = State.Config.Results;
  const auto Change =
      std::find_if(Results.rbegin(), Results.rend(),
                   [Id](const change_result &Each) { return Each.Id == Id; });
  if (Change != Results.rend())
    return Change->Result;
  const auto Found = State.Appends.find(Id);
  if (!Found)
    return std::nullopt;
  applied Result;
  Result.Offset = Found->Offset;
  Result.Reason = Found->Reason;
  return Result;
}

rejection detail::applySnapshot(state &State,
                                const wire::snapshot_chunk &Chunk) {
  auto &Progress = State.Snapshot;
  if (Chunk.id() == 0 || Chunk.index() >= Chunk.total() ||
      Chunk.through_offset() >= State.Offset)
    return rejection::BadRecord;
  if (Chunk.index() == 0) {
    Progress.Id = Chunk.id();
    Progress.NextIndex = 0;
  }
  if (Chunk.id() != Progress.Id || Chunk.index() != Progress.NextIndex)
    return rejection::WrongState;
  ++Progress.NextIndex;
  if (Progress.NextIndex == Chunk.total()) {
    if (Chunk.through_offset() > Progress.Through) {
      Progress.Through = Chunk.through_offset();
      Progress.WrittenAt = State.Offset;
      Progress.WrittenAtMs = State.LogTime;
    }
    Progress.Id = 0;
    Progress.NextIndex = 0;
  }
  return rejection::None;
}

} // namespace galenalink::fleet
