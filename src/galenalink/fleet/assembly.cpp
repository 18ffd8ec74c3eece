#include "galenalink/fleet/assembly.hpp"
#include "galenalink/core/hash.hpp"
#include <algorithm>

namespace galenalink::fleet {

void assembly::add(const wire::snapshot_chunk &Chunk) {
  if (Chunk.id() == 0 || Chunk.total() > MaxChunks ||
      Chunk.index() >= Chunk.total() || Chunk.data().empty())
    return;
  const auto [Entry, New] = Snapshots.try_emplace(Chunk.id());
  auto &Held = Entry->second;
  if (New) {
    Held.Through = Chunk.through_offset();
    Held.Checksum = Chunk.checksum();
    Held.Parts.resize(Chunk.total());
    Held.Missing = Chunk.total();
  }
  if (Held.Through != Chunk.through_offset() ||
      Held.Checksum != Chunk.checksum() || Held.Parts.size() != Chunk.total()) {
    Held.Mixed = true;
    return;
  }
  auto &Part = Held.Parts[Chunk.index()];
  if (Part.empty()) {
    Part = Chunk.data();
    --Held.Missing;
  }
  if (Snapshots.size() > MaxHeld) {
    // A complete snapshot is worth more than newer ones that may stay torn.
    const auto Least = std::min_element(
        Snapshots.begin(), Snapshots.end(),
        [](const auto &Left, const auto &Right) {
          const bool LeftWhole = Left.second.Missing == 0;
          const bool RightWhole = Right.second.Missing == 0;
          return LeftWhole != RightWhole
                     ? RightWhole
                     : Left.second.Through < Right.second.Through;
        });
    Skipped.Torn += Least->second.Missing > 0 ? 1U : 0U;
    Snapshots.erase(Least);
  }
}

std::optional<restored> assembly::take(const log_offset First,
                                       const parse_hook &Parse) {
  std::vector<const held *> Newest;
  for (const auto &Entry : Snapshots)
    Newest.push_back(&Entry.second);
  std::sort(Newest.begin(), Newest.end(),
            [](const held *Left, const held *Right) {
              return Left->Through > Right->Through;
            });
  for (const auto *Held : Newest) {
    if (!mayResume(Held->Through, First)) {
      ++Skipped.Stale;
      continue;
    }
    if (auto Found = open(*Held, Parse))
      return Found;
  }
  return std::nullopt;
}

std::optional<restored> assembly::open(const held &Held,
                                       const parse_hook &Parse) {
  if (Held.Mixed) {
    ++Skipped.Corrupt;
    return std::nullopt;
  }
  if (Held.Missing > 0) {
    ++Skipped.Torn;
    return std::nullopt;
  }
  std::string Bytes;
  for (const auto &Part : Held.Parts)
    Bytes += Part;
  std::optional<restored> Found;
  if (hash64(Bytes) == Held.Checksum) {
    Found = tryOr(
        [&]() -> result<std::optional<restored>> {
          auto Restored = restore(Bytes, Parse);
          if (!Restored)
            return Restored.error();
          return std::optional{std::move(*Restored)};
        },
        [](const error &) { return std::optional<restored>{}; });
  }
  if (!Found || Found->State.Offset != Held.Through) {
    ++Skipped.Corrupt;
    return std::nullopt;
  }
  return Found;
}

} // namespace galenalink::fleet
