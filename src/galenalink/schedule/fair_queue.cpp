#include "galenalink/schedule/fair_queue.hpp"
#include <algorithm>

namespace galenalink::schedule {

fair_queue::fair_queue() : Nodes(1) {}

fair_queue::node fair_queue::addNode(const node Parent, const double Weight) {
  const auto Node = static_cast<node>(Nodes.size());
  auto &Entry = Nodes.emplace_back();
  Entry.Parent = Parent;
  Entry.Weight = std::max(Weight, 1.0);
  auto &Above = Nodes[Parent];
  ++Above.ChildCount;
  if (Above.Heap.capacity() < Above.ChildCount)
    Above.Heap.reserve(2 * std::size_t{Above.ChildCount});
  return Node;
}

void fair_queue::setWeight(const node Node, const double Weight) {
  auto &Entry = Nodes[Node];
  const auto NewWeight = std::max(Weight, 1.0);
  if (Entry.HeapPosition != NotActive)
    Nodes[Entry.Parent].ActiveWeight += NewWeight - Entry.Weight;
  Entry.Weight = NewWeight;
}

bool fair_queue::precedes(const node Left, const node Right) const noexcept {
  const auto LeftStart = Nodes[Left].StartTag;
  const auto RightStart = Nodes[Right].StartTag;
  return LeftStart != RightStart ? LeftStart < RightStart : Left < Right;
}

void fair_queue::placeInHeap(std::vector<node> &Heap,
                             const std::uint32_t Position, const node Node) {
  Heap[Position] = Node;
  Nodes[Node].HeapPosition = Position;
}

void fair_queue::siftUp(std::vector<node> &Heap, std::uint32_t Position) {
  const auto Node = Heap[Position];
  while (Position > 0) {
    const auto Above = (Position - 1) / 2;
    if (!precedes(Node, Heap[Above]))
      break;
    placeInHeap(Heap, Position, Heap[Above]);
    Position = Above;
  }
  placeInHeap(Heap, Position, Node);
}

void fair_queue::siftDown(std::vector<node> &Heap, std::uint32_t Position) {
  const auto Node = Heap[Position];
  for (;;) {
    auto Below = 2 * Position + 1;
    if (Below >= Heap.size())
      break;
    if (Below + 1 < Heap.size() && precedes(Heap[Below + 1], Heap[Below]))
      ++Below;
    if (!precedes(Heap[Below], Node))
      break;
    placeInHeap(Heap, Position, Heap[Below]);
    Position = Below;
  }
  placeInHeap(Heap, Position, Node);
}

void fair_queue::reposition(const node Node) {
  const auto Position = Nodes[Node].HeapPosition;
  if (Position == NotActive)
    return;
  auto &Heap = Nodes[Nodes[Node].Parent].Heap;
  siftUp(Heap, Position);
  siftDown(Heap, Nodes[Node].HeapPosition);
}

void fair_queue::activate(const node Leaf) {
  auto Node = Leaf;
  while (Node != Root && Nodes[Node].HeapPosition == NotActive) {
    auto &Entry = Nodes[Node];
    auto &Above = Nodes[Entry.Parent];
    Entry.StartTag = std::max(Entry.StartTag, Above.VirtualTime);
    Above.ActiveWeight += Entry.Weight;
    Above.Heap.push_back(Node);
    siftUp(Above.Heap, static_cast<std::uint32_t>(Above.Heap.size() - 1));
    Node = Entry.Parent;
  }
}

void fair_queue::deactivate(const node Leaf) {
  auto Node = Leaf;
  while (Node != Root && Nodes[Node].HeapPosition != NotActive &&
         Nodes[Node].Heap.empty()) {
    auto &Entry = Nodes[Node];
    auto &Above = Nodes[Entry.Parent];
    const auto Position = Entry.HeapPosition;
    const auto Last = Above.Heap.back();
    Above.Heap.pop_back();
    Entry.HeapPosition = NotActive;
    if (Last != Node) {
      placeInHeap(Above.Heap, Position, Last);
      reposition(Last);
    }
    // Summing up and down again would leave a rounding error behind.
    Above.ActiveWeight =
        Above.Heap.empty() ? 0 : Above.ActiveWeight - Entry.Weight;
    Node = Entry.Parent;
  }
}

std::optional<fair_queue::node> fair_queue::pick() const noexcept {
  if (empty())
    return std::nullopt;
  auto Node = Root;
  while (!Nodes[Node].Heap.empty())
    Node = Nodes[Node].Heap.front();
  return Node;
}

void fair_queue::charge(const node Leaf, const double Cost) {
  for (auto Node = Leaf; Node != Root; Node = Nodes[Node].Parent) {
    auto &Entry = Nodes[Node];
    auto &Above = Nodes[Entry.Parent];
    Above.VirtualTime = std::max(Above.VirtualTime, Entry.StartTag);
    Entry.StartTag += Cost / Entry.Weight;
    reposition(Node);
  }
}

void fair_queue::adjustCharge(const node Leaf, const double Difference) {
  for (auto Node = Leaf; Node != Root; Node = Nodes[Node].Parent) {
    auto &Entry = Nodes[Node];
    const auto MinStartTag =
        std::min(Entry.StartTag, Nodes[Entry.Parent].VirtualTime);
    Entry.StartTag =
        std::max(Entry.StartTag + Difference / Entry.Weight, MinStartTag);
    reposition(Node);
  }
}

double fair_queue::share(const node Leaf) const noexcept {
  double Share = 1;
  for (auto Node = Leaf; Node != Root; Node = Nodes[Node].Parent) {
    const auto &Entry = Nodes[Node];
    auto Total = Nodes[Entry.Parent].ActiveWeight;
    if (Entry.HeapPosition == NotActive)
      Total += Entry.Weight;
    Share *= Entry.Weight / Total;
  }
  return Share;
}

} // namespace galenalink::schedule
