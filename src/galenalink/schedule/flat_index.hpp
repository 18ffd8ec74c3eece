#ifndef GALENALINK_SCHEDULE_FLAT_INDEX_HPP
#define GALENALINK_SCHEDULE_FLAT_INDEX_HPP

#include <bit>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace galenalink::schedule {

/**
 * @brief Hash map from keys to 32-bit values that allocates only in `reserve`.
 *
 * Linear probing in a table that is at most half full, with deletion by
 * backward shift (Knuth, "The Art of Computer Programming" 3, 6.4, algorithm
 * R). The unordered maps of the standard library and of Boost allocate a node
 * for each key, or rehash after many insertions and deletions.
 *
 * @tparam Hash Function object from a key to 64 well-mixed bits.
 */
template <typename Key, typename Hash> class flat_index {
public:
  /** @brief Reserves capacity for a number of keys; keeps all entries. */
  void reserve(const std::size_t Keys) {
    const auto Size = std::bit_ceil(2 * Keys);
    if (Size <= Table.size())
      return;
    auto Old = std::exchange(Table, std::vector<entry>(Size));
    Count = 0;
    for (const auto &Entry : Old) {
      if (Entry.Used)
        insert(Entry.EntryKey, Entry.Value);
    }
  }

  /**
   * @brief Inserts a key; the reserved capacity must suffice.
   * @return False if the key exists; then its value is unchanged.
   */
  bool insert(const Key &EntryKey, const std::uint32_t Value) noexcept {
    auto Position = homePosition(EntryKey);
    for (; Table[Position].Used; Position = nextPosition(Position)) {
      if (Table[Position].EntryKey == EntryKey)
        return false;
    }
    Table[Position] = {EntryKey, Value, true};
    ++Count;
    return true;
  }

  [[nodiscard]] std::optional<std::uint32_t>
  find(const Key &EntryKey) const noexcept {
    const auto Position = findPosition(EntryKey);
    return Position == Table.size() ? std::nullopt
                                    : std::optional{Table[Position].Value};
  }

  /** @return Value of the removed key, if it existed. */
  std::optional<std::uint32_t> erase(const Key &EntryKey) noexcept {
    auto Gap = findPosition(EntryKey);
    if (Gap == Table.size())
      return std::nullopt;
    const auto Value = Table[Gap].Value;
    // Moves each following entry whose probe sequence includes the gap into it.
    for (auto Next = nextPosition(Gap); Table[Next].Used;
         Next = nextPosition(Next)) {
      const auto Mask = Table.size() - 1;
      const auto Distance = (Next - homePosition(Table[Next].EntryKey)) & Mask;
      if (Distance >= ((Next - Gap) & Mask)) {
        Table[Gap] = Table[Next];
        Gap = Next;
      }
    }
    Table[Gap].Used = false;
    --Count;
    return Value;
  }

  /** @brief Prefetches the home position of a key that is accessed soon. */
  void prefetch(const Key &EntryKey) const noexcept {
    if (!Table.empty())
      __builtin_prefetch(&Table[homePosition(EntryKey)], 1);
  }

  [[nodiscard]] std::size_t size() const noexcept { return Count; }

private:
  struct entry {
    Key EntryKey{};
    std::uint32_t Value{0};
    bool Used{false};
  };

  [[nodiscard]] std::size_t homePosition(const Key &EntryKey) const noexcept {
    return Hash{}(EntryKey) & (Table.size() - 1);
  }
  [[nodiscard]] std::size_t
  nextPosition(const std::size_t Position) const noexcept {
    return (Position + 1) & (Table.size() - 1);
  }
  /** Position of a key, or the table size if the key does not exist. */
  [[nodiscard]] std::size_t findPosition(const Key &EntryKey) const noexcept {
    if (Table.empty())
      return 0;
    for (auto Position = homePosition(EntryKey); Table[Position].Used;
         Position = nextPosition(Position)) {
      if (Table[Position].EntryKey == EntryKey)
        return Position;
    }
    return Table.size();
  }

  std::vector<entry> Table;
  std::size_t Count{0};
};

} // namespace galenalink::schedule

#endif
