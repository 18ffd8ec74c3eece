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
 * shares the service it receives among its active children by weight, so what
 * an idle team leaves goes to the other teams of its member first. Cost is the
 * estimated slot time, corrected when the actual time is known. `pick` is
 * O(depth), the other functions O(depth * log of children).
 */
class fair_queue {
public:
  using node = std::uint32_t;
  static constexpr node Root = 0;

  fair_queue();

  /** @brief Adds an inactive child; a weight less than 1 counts as 1. */
  node addNode(node Parent, double Weight);

  void setWeight(node Node, double Weight);

  /** @brief Makes a leaf eligible; nothing happens if it already is. */
  void activate(node Leaf);

  /** @brief Takes a leaf out; it keeps the service it was charged. */
  void deactivate(node Leaf);

  /** @brief Leaf with the lowest start tags, if any is active. */
  [[nodiscard]] std::optional<node> pick() const noexcept;

  /** @brief Charges a leaf, active or not, for one piece of work. */
  void charge(node Leaf, double Cost);

  /**
   * @brief Adds to the charge of a leaf after the fact. A negative amount
   * never puts a node before the service its siblings already received.
   */
  void adjustCharge(node Leaf, double Difference);

  /**
   * @brief Share of the service that a leaf gets as long as the flows that
   * are active now stay active; the leaf counts as active.
   */
  [[nodiscard]] double share(node Leaf) const noexcept;

  [[nodiscard]] bool empty() const noexcept { return Nodes[Root].Heap.empty(); }

private:
  static constexpr std::uint32_t NotActive = ~std::uint32_t{0};

  struct entry {
    node Parent{Root};
    double Weight{1};
    /** Start tag of the work at the head. */
    double StartTag{0};
    /** Start tag of the child served last. */
    double VirtualTime{0};
    double ActiveWeight{0};
    std::uint32_t HeapPosition{NotActive};
    std::uint32_t ChildCount{0};
    /** Active children; the lowest start tag is in front. */
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
