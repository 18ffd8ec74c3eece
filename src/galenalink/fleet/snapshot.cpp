#include "galenalink/fleet/snapshot.hpp"
#include "galenalink/core/hash.hpp"
#include "galenalink/fleet/save_detail.hpp"
#include <algorithm>

namespace galenalink::fleet {

namespace {

void saveProgress(const snapshot_progress &From, wire::saved_progress &To) {
  To.set_through(From.Through);
  To.set_written_at(From.WrittenAt);
  To.set_written_at_ms(From.WrittenAtMs);
  To.set_id(From.Id);
  To.set_next_index(From.NextIndex);
}

void saveAppends(const append_window &From, wire::saved_appends &To) {
  log_offset Before = 0;
  From.forEach([&](const append_result &Each) {
    To.add_ids(Each.Id);
    To.add_offset_steps(Each.Offset - Before);
    To.add_reasons(static_cast<std::uint32_t>(Each.Reason));
    Before = Each.Offset;
  });
}

[[nodiscard]] bool loadAppends(const wire::saved_appends &From,
                               append_window &To) {
  if (From.ids_size() != From.offset_steps_size() ||
      From.ids_size() != From.reasons_size())
    return false;
  log_offset Offset = 0;
  for (int Index = 0; Index < From.ids_size(); ++Index) {
    Offset += From.offset_steps(Index);
    if (To.find(From.ids(Index)))
      return false;
    To.add(
        {From.ids(Index), Offset, static_cast<rejection>(From.reasons(Index))});
  }
  return true;
}

} // namespace

std::string serialize(const state &State, const std::string_view Account) {
  wire::saved_state To;
  To.set_offset(State.Offset);
  To.set_log_time(State.LogTime);
  To.set_accepted(State.Accepted);
  To.set_rejected(State.Rejected);
  To.set_pools_version(State.PoolsVersion);
  detail::saveRoster(State.Roster, *To.mutable_roster());
  detail::saveConfiguration(State.Config, *To.mutable_configuration());
  detail::saveVms(State.Vms, To);
  saveAppends(State.Appends, *To.mutable_appends());
  saveProgress(State.Snapshot, *To.mutable_snapshot());
  To.set_account(Account.data(), Account.size());
  return To.SerializeAsString();
}

result<restored> restore(const std::string_view Bytes, parse_hook Parse) {
  wire::saved_state From;
  if (Bytes.size() > INT32_MAX ||
      !From.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return fail(errc::Corrupt, "the saved state cannot be decoded");
  restored To{state{std::move(Parse)}, From.account()};
  auto &State = To.State;
  State.Offset = From.offset();
  State.LogTime = From.log_time();
  State.Accepted = From.accepted();
  State.Rejected = From.rejected();
  State.PoolsVersion = From.pools_version();
  const auto &Progress = From.snapshot();
  State.Snapshot = {Progress.through(), Progress.written_at(),
                    Progress.written_at_ms(), Progress.id(),
                    Progress.next_index()};
  if (!detail::loadRoster(From.roster(), State.Roster))
    return fail(errc::Corrupt, "the saved roster is not consistent");
  if (!detail::loadConfiguration(From.configuration(), State))
    return fail(errc::Corrupt, "a saved document cannot be parsed");
  if (!detail::loadVms(From, State.Vms))
    return fail(errc::Corrupt, "the saved VMs are not consistent");
  if (!loadAppends(From.appends(), State.Appends))
    return fail(errc::Corrupt, "the saved appends are not consistent");
  return To;
}

std::vector<wire::snapshot_chunk> makeChunks(const std::string_view Bytes,
                                             const std::uint64_t Id,
                                             const log_offset Through) {
  const auto Total = (Bytes.size() + ChunkBytes - 1) / ChunkBytes;
  std::vector<wire::snapshot_chunk> Chunks(Total);
  for (std::size_t Index = 0; Index < Total; ++Index) {
    auto &Chunk = Chunks[Index];
    const auto Part = Bytes.substr(Index * ChunkBytes, ChunkBytes);
    Chunk.set_id(Id);
    Chunk.set_index(static_cast<std::uint32_t>(Index));
    Chunk.set_total(static_cast<std::uint32_t>(Total));
    Chunk.set_through_offset(Through);
    Chunk.set_checksum(hash64(Bytes));
    Chunk.set_data(Part.data(), Part.size());
  }
  return Chunks;
}

bool snapshot_schedule::due(const state &State) const noexcept {
  return State.Offset >= State.Snapshot.Through + Records ||
         (State.Offset > State.Snapshot.WrittenAt &&
          State.LogTime - State.Snapshot.WrittenAtMs >= IntervalMs);
}

} // namespace galenalink::fleet
