#ifndef GALENALINK_SCHEDULE_FAIR_QUEUE_HPP
#define GALENALINK_SCHEDULE_FAIR_QUEUE_HPP

#include "galenalink/schedule/fwd.hpp"
#include <optional>
#include <vector>

namespace galenalink::schedule {

/**
 * @brief Hierarchical start-time fair queueing over flows.
 *
 * Goyal, Vin and Cheng, "Start-time fair queueing", SIGCOMM 1996. Node 0 is
 * the root; the flows with waiting work are the active leaves. Each node
 * divides the service it receives among its active children by weight, so the
 * share of an idle team goes first to the other teams of its customer. Cost is
 * the estimated slot time, adjusted when the actual time is known. `pick` is
 * O(depth), the other functions are O(depth * log(children)).
 */
class fair_queue {
public:
  using node = std::uint32_t;
  static constexpr node Root = 0;

  fair_queue();

  /** @brief Adds an inactive child; a weight less than 1 counts as 1. */
  node addNode(node Parent, double Weight);

  void setWeight(node Node, double Weight);

  /** @brief Makes a leaf eligible for `pick`; idempotent. */
  void activate(node Leaf);

  /** @brief Makes a leaf ineligible for `pick`; its charges are kept. */
  void deactivate(node Leaf);

  /** @brief Active leaf on the path of lowest start tags, if there is one. */
  [[nodiscard]] std::optional<node> pick() const noexcept;

  /** @brief Charges a leaf, active or not, for one item. */
  void charge(node Leaf, double Cost);

  /**
   * @brief Adds a difference to the charge of a leaf. A negative difference
   * never lowers a start tag below the virtual time of the parent.
   */
  void adjustCharge(node Leaf, double Difference);

  /**
   * @brief Share of the service that a leaf gets while the set of active
   * leaves does not change; the leaf itself counts as active.
   */
  [[nodiscard]] double share(node Leaf) const noexcept;

  [[nodiscard]] bool empty() const noexcept { return Nodes[Root].Heap.empty(); }

private:
  static constexpr std::uint32_t NotActive = ~std::uint32_t{0};

  struct entry {
    node Parent{Root};
    double Weight{1};
    /** Start tag of the item at the head. */
    double StartTag{0};
    /** Start tag of the child served last. */
    double VirtualTime{0};
    double ActiveWeight{0};
    std::uint32_t HeapPosition{NotActive};
    std::uint32_t ChildCount{0};
    /** Active children; a binary min-heap by start tag. */
    std::vector<node> Heap;
  };

  [[nodiscard]] bool precedes(node Left, node Right) const noexcept;
  void placeInHeap(std::vector<node> &Heap, std::uint32_t Position, node Node);
  void siftUp(std::vector<node> &Heap, std::uint32_t Position);
  void siftDown(std::vector<node> &Heap, std::uint32_t Position);
  void reposition(node Node);

  std::vector<entry> Nodes;
};

} // namespace galenalink::schedule

#endif
