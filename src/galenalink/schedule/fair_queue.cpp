#include "galenalink/schedule/fair_queue.hpp"
#include <algorithm>

namespace galenalink::schedule {

fair_queue::fair_queue() : Nodes(1) {}

fair_queue::node fair_queue::addNode(const node Parent, const double Weight) {
  const auto Node = static_cast<node>(Nodes.size());
  auto &Entry = Nodes.emplace_back();
  Entry.Parent = Parent;
  Entry.Weight = std::max(Weight, 1.0);
  auto &ParentEntry = Nodes[Parent];
  ++ParentEntry.ChildCount;
  if (ParentEntry.Heap.capacity() < ParentEntry.ChildCount)
    ParentEntry.Heap.reserve(2 * std::size_t{ParentEntry.ChildCount});
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
    const auto ParentPosition = (Position - 1) / 2;
    if (!precedes(Node, Heap[ParentPosition]))
      break;
    placeInHeap(Heap, Position, Heap[ParentPosition]);
    Position = ParentPosition;
  }
  placeInHeap(Heap, Position, Node);
}

void fair_queue::siftDown(std::vector<node> &Heap, std::uint32_t Position) {
  const auto Node = Heap[Position];
  for (;;) {
    auto ChildPosition = 2 * Position + 1;
    if (ChildPosition >= Heap.size())
      break;
    if (ChildPosition + 1 < Heap.size() &&
        precedes(Heap[ChildPosition + 1], Heap[ChildPosition]))
      ++ChildPosition;
    if (!precedes(Heap[ChildPosition], Node))
      break;
    placeInHeap(Heap, Position, Heap[ChildPosition]);
    Position = ChildPosition;
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
    auto &ParentEntry = Nodes[Entry.Parent];
    Entry.StartTag = std::max(Entry.StartTag, ParentEntry.VirtualTime);
    ParentEntry.ActiveWeight += Entry.Weight;
    ParentEntry.Heap.push_back(Node);
    siftUp(ParentEntry.Heap,
           static_cast<std::uint32_t>(ParentEntry.Heap.size() - 1));
    Node = Entry.Parent;
  }
}

void fair_queue::deactivate(const node Leaf) {
  auto Node = Leaf;
  while (Node != Root && Nodes[Node].HeapPosition != NotActive &&
         Nodes[Node].Heap.empty()) {
    auto &Entry = Nodes[Node];
    auto &ParentEntry = Nodes[Entry.Parent];
    const auto Position = Entry.HeapPosition;
    const auto Last = ParentEntry.Heap.back();
    ParentEntry.Heap.pop_back();
    Entry.HeapPosition = NotActive;
    if (Last != Node) {
      placeInHeap(ParentEntry.Heap, Position, Last);
      reposition(Last);
    }
    // Set to 0 exactly: repeated additions and subtractions would accumulate a
    // rounding error.
    ParentEntry.ActiveWeight =
        ParentEntry.Heap.empty() ? 0 : ParentEntry.ActiveWeight - Entry.Weight;
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
    auto &ParentEntry = Nodes[Entry.Parent];
    ParentEntry.VirtualTime = std::max(ParentEntry.VirtualTime, Entry.StartTag);
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
