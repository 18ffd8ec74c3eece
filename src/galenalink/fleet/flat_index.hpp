#ifndef GALENALINK_FLEET_FLAT_INDEX_HPP
#define GALENALINK_FLEET_FLAT_INDEX_HPP

#include <cstdint>
#include <optional>
#include <vector>

namespace galenalink::fleet::detail {

/**
 * @brief Open-addressed index from hashes to positions in another container.
 * One lookup touches one cache line here in most cases; a full container is
 * changed without allocation.
 */
class flat_index {
public:
  /**
   * @brief Position with this hash that matches.
   * @param Matches Whether the element at a position has the wanted key.
   */
  template <typename Predicate>
  [[nodiscard]] std::optional<std::uint32_t>
  find(const std::uint64_t Hash, const Predicate &Matches) const {
    if (Slots.empty())
      return std::nullopt;
    const auto Key = fold(Hash);
    for (auto Slot = Key & mask(); Slots[Slot].Used; Slot = next(Slot)) {
      if (Slots[Slot].Hash == Key && Matches(Slots[Slot].Position))
        return Slots[Slot].Position;
    }
    return std::nullopt;
  }

  /** @brief Adds a position; its key must not be present. */
  void insert(const std::uint64_t Hash, const std::uint32_t Position) {
    if (2 * (Count + 1) > Slots.size())
      grow();
    put({fold(Hash), Position, true});
    ++Count;
  }

  /** @brief Removes a position that was inserted with this hash. */
  void erase(const std::uint64_t Hash, const std::uint32_t Position) noexcept {
    auto Hole = fold(Hash) & mask();
    while (Slots[Hole].Position != Position || !Slots[Hole].Used)
      Hole = next(Hole);
    // Entries after the hole move back unless that would pass their home.
    for (auto Slot = next(Hole); Slots[Slot].Used; Slot = next(Slot)) {
      const auto Home = Slots[Slot].Hash & mask();
      if (((Slot - Home) & mask()) >= ((Slot - Hole) & mask())) {
        Slots[Hole] = Slots[Slot];
        Hole = Slot;
      }
    }
    Slots[Hole] = {};
    --Count;
  }

private:
  struct slot {
    std::uint32_t Hash{0};
    std::uint32_t Position : 31 {0};
    std::uint32_t Used : 1 {0};
  };

  [[nodiscard]] static std::uint32_t fold(const std::uint64_t Hash) noexcept {
    // Keys need not be random; the multiplier is 2^64 divided by the golden
    // ratio, whose high bits spread any sequence.
    return static_cast<std::uint32_t>(Hash * 0x9e3779b97f4a7c15U >> 32U);
  }
  [[nodiscard]] std::uint32_t mask() const noexcept {
    return static_cast<std::uint32_t>(Slots.size() - 1);
  }
  [[nodiscard]] std::uint32_t next(const std::uint32_t Slot) const noexcept {
    return (Slot + 1) & mask();
  }

  void put(const slot &Entry) noexcept {
    auto Slot = Entry.Hash & mask();
    while (Slots[Slot].Used)
      Slot = next(Slot);
    Slots[Slot] = Entry;
  }

  void grow() {
    std::vector<slot> Old(Slots.empty() ? 64 : 2 * Slots.size());
    Old.swap(Slots);
    for (const auto &Entry : Old) {
      if (Entry.Used)
        put(Entry);
    }
  }

  /** A power of two, at most half full. */
  std::vector<slot> Slots;
  std::size_t Count{0};
};

} // namespace galenalink::fleet::detail

#endif
