#include "galenalink/schedule/queue_set.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>

using namespace galenalink;
using namespace galenalink::schedule;

namespace {

using std::chrono::milliseconds;

constexpr time_point Start{std::chrono::hours{1}};

/**
 * Reference model of `queue_set`: start-time fair queueing as in the paper,
 * without indexes. Each choice scans all children of a node, and each sum scans
 * all items.
 */
struct reference_queues {
  struct item {
    work_item Work;
    duration Cost{};
    time_point StartBy{};
  };
  struct node {
    int Parent{-1};
    double Weight{1};
    double StartTag{0};
    double VirtualTime{0};
    std::deque<item> Items{};
  };
  /** Nodes per class: root 0, customers 1 and 2, teams 3 to 5, then flows. */
  std::array<std::vector<node>, 2> Trees;
  std::vector<work_class> Classes;
  std::vector<item> Requeued;

  [[nodiscard]] bool active(const std::vector<node> &Tree,
                            const std::size_t Index) const {
    if (!Tree[Index].Items.empty())
      return true;
    for (std::size_t Child = 0; Child < Tree.size(); ++Child) {
      if (Tree[Child].Parent == static_cast<int>(Index) && active(Tree, Child))
        return true;
    }
    return false;
  }
  [[nodiscard]] std::size_t pick(const std::vector<node> &Tree,
                                 const std::size_t Index) const {
    std::optional<std::size_t> Best;
    for (std::size_t Child = 0; Child < Tree.size(); ++Child) {
      if (Tree[Child].Parent == static_cast<int>(Index) &&
          active(Tree, Child) &&
          (!Best || Tree[Child].StartTag < Tree[*Best].StartTag))
        Best = Child;
    }
    return Best ? pick(Tree, *Best) : Index;
  }
  void push(std::vector<node> &Tree, const std::size_t Leaf, const item &Item) {
    // A node that becomes active gets at least the virtual time of its parent,
    // as start tag.
    std::vector<std::size_t> Activated;
    for (auto Index = Leaf; Index != 0 && !active(Tree, Index);
         Index = static_cast<std::size_t>(Tree[Index].Parent))
      Activated.push_back(Index);
    for (const auto Index : Activated) {
      const auto &Parent = Tree[static_cast<std::size_t>(Tree[Index].Parent)];
      Tree[Index].StartTag = std::max(Tree[Index].StartTag, Parent.VirtualTime);
    }
    Tree[Leaf].Items.push_back(Item);
  }
  static void charge(std::vector<node> &Tree, const std::size_t Leaf,
                     const double Cost, const bool Picked) {
    for (auto Index = Leaf; Index != 0;
         Index = static_cast<std::size_t>(Tree[Index].Parent)) {
      auto &Parent = Tree[static_cast<std::size_t>(Tree[Index].Parent)];
      const auto MinStartTag =
          std::min(Tree[Index].StartTag, Parent.VirtualTime);
      if (Picked)
        Parent.VirtualTime = std::max(Parent.VirtualTime, Tree[Index].StartTag);
      Tree[Index].StartTag += Cost / Tree[Index].Weight;
      if (!Picked)
        Tree[Index].StartTag = std::max(Tree[Index].StartTag, MinStartTag);
    }
  }
  [[nodiscard]] double share(const std::vector<node> &Tree,
                             const std::size_t Leaf) const {
    double Share = 1;
    for (auto Index = Leaf; Index != 0;
         Index = static_cast<std::size_t>(Tree[Index].Parent)) {
      double Total = 0;
      for (std::size_t Child = 0; Child < Tree.size(); ++Child) {
        if (Tree[Child].Parent == Tree[Index].Parent &&
            (Child == Index || active(Tree, Child)))
          Total += Tree[Child].Weight;
      }
      Share *= Tree[Index].Weight / Total;
    }
    return Share;
  }
};

constexpr std::uint32_t QueueCount = 3;
constexpr std::array<double, 3> Quotas{1, 4, 2};
constexpr std::array<std::uint32_t, 3> CustomerOf{0, 0, 1};

/** Node of a flow in the reference tree, in order of creation. */
[[nodiscard]] std::size_t leafOf(const queue_index Queue,
                                 const team_index Team) {
  return 6 + rawIndex(Queue) * 3 + rawIndex(Team);
}

} // namespace

BOOST_AUTO_TEST_SUITE(queues)

// Compares each operation with the reference model. A wrong order of items
// starves a team; a wrong backlog admits work that cannot start in time.
BOOST_AUTO_TEST_CASE(random_operations_match_reference_queues) {
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937_64 Random{Seed};
    const auto RandomBelow = [&](const std::uint64_t Limit) {
      return Random() % Limit;
    };
    queue_set Queues{{.MaxItems = 60, .MaxFlowItems = 12}};
    reference_queues Reference;
    Reference.Classes.assign(QueueCount, work_class::Short);
    for (std::uint32_t Team = 0; Team < 3; ++Team)
      Queues.setTeam(team_index{Team}, CustomerOf[Team], Quotas[Team]);
    for (auto &Tree : Reference.Trees) {
      Tree = {{-1, 1}, {0, 5}, {0, 2}, {1, 1}, {1, 4}, {2, 2}};
      for (std::uint32_t Flow = 0; Flow < 3 * QueueCount; ++Flow)
        Tree.push_back({static_cast<int>(3 + Flow % 3), 1});
    }
    for (std::uint32_t Queue = 0; Queue < QueueCount; ++Queue) {
      for (std::uint32_t Team = 0; Team < 3; ++Team)
        (void)Queues.findOrCreateFlow(queue_index{Queue}, team_index{Team});
    }
    auto Now = Start;
    std::uint64_t LastItem = 0;
    std::vector<queued_item *> Running;
    const auto TreeOf = [&](const queue_index Queue) -> auto & {
      return Reference
          .Trees[static_cast<std::size_t>(Reference.Classes[rawIndex(Queue)])];
    };
    const auto EraseIf = [&](const auto &Matches) {
      std::uint32_t Count = 0;
      for (auto &Tree : Reference.Trees) {
        for (auto &Node : Tree)
          Count +=
              static_cast<std::uint32_t>(std::erase_if(Node.Items, Matches));
      }
      return Count + static_cast<std::uint32_t>(
                         std::erase_if(Reference.Requeued, Matches));
    };
    for (int Step = 0; Step < 2500; ++Step) {
      Now += milliseconds{RandomBelow(30)};
      std::uint32_t Expired = 0;
      Queues.expire(Now, [&](queued_item &Item) {
        BOOST_REQUIRE(Item.startBy() <= Now);
        ++Expired;
        Queues.erase(Item);
      });
      BOOST_REQUIRE(Expired == EraseIf([&](const auto &Item) {
                      return Item.StartBy <= Now;
                    }));
      const auto Kind = RandomBelow(100);
      const queue_index Queue{
          static_cast<std::uint32_t>(RandomBelow(QueueCount))};
      const team_index Team{static_cast<std::uint32_t>(RandomBelow(3))};
      const auto Flow = Queues.findOrCreateFlow(Queue, Team);
      if (Kind < 45) {
        const work_item Work{item_id{++LastItem}, Queue, Team, {}};
        const duration Cost{1000 + RandomBelow(100000)};
        // Some deadlines are more than one revolution of the timer wheel ahead.
        const auto StartBy =
            Now +
            milliseconds{RandomBelow(RandomBelow(10) == 0 ? 20000 : 2000)};
        std::size_t InFlow = TreeOf(Queue)[leafOf(Queue, Team)].Items.size();
        for (const auto &Item : Reference.Requeued)
          InFlow += Item.Work.Queue == Queue && Item.Work.Team == Team ? 1 : 0;
        const bool Full = Queues.checkCapacity(Flow) != refusal::None;
        BOOST_REQUIRE(Full == (Queues.size() == 60 || InFlow >= 12));
        if (!Full) {
          Queues.insert(Work, Flow, Cost, StartBy);
          Reference.push(TreeOf(Queue), leafOf(Queue, Team),
                         {Work, Cost, StartBy});
        }
      } else if (Kind < 75) {
        const auto Class = static_cast<work_class>(RandomBelow(2));
        auto &Tree = Reference.Trees[static_cast<std::size_t>(Class)];
        auto *Item = Queues.front(Class);
        const auto Leaf = Reference.pick(Tree, 0);
        BOOST_REQUIRE((Item == nullptr) == (Leaf == 0));
        if (Item != nullptr) {
          const auto Expected = Tree[Leaf].Items.front();
          BOOST_REQUIRE((Item->Work.Id == Expected.Work.Id));
          Queues.start(*Item, {node_id{1}, LastItem});
          reference_queues::charge(
              Tree, Leaf, static_cast<double>(Expected.Cost.count()), true);
          Tree[Leaf].Items.pop_front();
          Running.push_back(Item);
        }
      } else if (Kind < 85 && !Running.empty()) {
        auto *Item = Running.back();
        Running.pop_back();
        const duration Difference{static_cast<long>(RandomBelow(50000)) -
                                  25000};
        Queues.adjustCharge(*Item, Difference);
        reference_queues::charge(
            TreeOf(Item->Work.Queue), leafOf(Item->Work.Queue, Item->Work.Team),
            static_cast<double>(Difference.count()), false);
        if (RandomBelow(2) == 0) {
          Queues.erase(*Item);
        } else {
          Queues.requeue(*Item);
          Reference.Requeued.push_back(
              {Item->Work, Item->Cost, Item->startBy()});
        }
      } else if (Kind < 95 && LastItem > 0) {
        const item_id Id{1 + RandomBelow(LastItem)};
        auto *Item = Queues.find(Id);
        if (Item != nullptr && Item->Queued) {
          Queues.erase(*Item);
          BOOST_REQUIRE(1 == EraseIf([&](const auto &Stored) {
                          return Stored.Work.Id == Id;
                        }));
        }
      } else {
        const auto Class = static_cast<work_class>(RandomBelow(2));
        const auto Old =
            static_cast<std::size_t>(Reference.Classes[rawIndex(Queue)]);
        const auto New = static_cast<std::size_t>(Class);
        for (std::uint32_t Other = 0; Other < 3 && Old != New; ++Other) {
          const auto Leaf = leafOf(Queue, team_index{Other});
          auto Items = std::exchange(Reference.Trees[Old][Leaf].Items, {});
          for (const auto &Item : Items)
            Reference.push(Reference.Trees[New], Leaf, Item);
        }
        Reference.Classes[rawIndex(Queue)] = Class;
        Queues.setClass(Queue, Class);
      }
      const auto &Tree = TreeOf(Queue);
      BOOST_TEST_REQUIRE(Queues.share(Flow) ==
                             Reference.share(Tree, leafOf(Queue, Team)),
                         boost::test_tools::tolerance(1e-9));
      std::array<duration, 2> Backlog{};
      for (std::size_t Class = 0; Class < 2; ++Class) {
        for (const auto &Node : Reference.Trees[Class]) {
          for (const auto &Item : Node.Items)
            Backlog[Class] += Item.Cost;
        }
      }
      for (const auto &Item : Reference.Requeued)
        Backlog[static_cast<std::size_t>(
            Reference.Classes[rawIndex(Item.Work.Queue)])] += Item.Cost;
      BOOST_REQUIRE((Queues.backlog(work_class::Short) == Backlog[0]));
      BOOST_REQUIRE((Queues.backlog(work_class::Long) == Backlog[1]));
    }
  }
}

// A team with a large backlog must not get more than its share by quota while
// other teams have waiting work, and must get the whole service otherwise.
BOOST_AUTO_TEST_CASE(backlogged_teams_share_by_quota) {
  queue_set Queues{{.MaxItems = 3000, .MaxFlowItems = 3000}};
  for (std::uint32_t Team = 0; Team < 3; ++Team) {
    Queues.setTeam(team_index{Team}, CustomerOf[Team], Quotas[Team]);
    for (std::uint64_t Item = 0; Item < 1000; ++Item)
      Queues.insert(
          {item_id{Item * 3 + Team}, queue_index{0}, team_index{Team}, Start},
          Queues.findOrCreateFlow(queue_index{0}, team_index{Team}),
          milliseconds{100}, Start);
  }
  std::array<int, 3> Served{};
  for (int Pick = 0; Pick < 700; ++Pick) {
    auto *Item = Queues.front(work_class::Short);
    ++Served[rawIndex(Item->Work.Team)];
    Queues.start(*Item, {});
    Queues.erase(*Item);
  }
  BOOST_TEST(std::abs(Served[0] - 100) <= 2);
  BOOST_TEST(std::abs(Served[1] - 400) <= 2);
  BOOST_TEST(std::abs(Served[2] - 200) <= 2);
}

BOOST_AUTO_TEST_SUITE_END()
