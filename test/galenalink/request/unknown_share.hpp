#ifndef GALENALINK_TEST_REQUEST_UNKNOWN_SHARE_HPP
#define GALENALINK_TEST_REQUEST_UNKNOWN_SHARE_HPP

#include "galenalink/request/message_bag.hpp"
#include <array>
#include <cstdio>

namespace galenalink::request::test {

/** Keys whose outcome is unknown after losses, of `PerGroup` in each group. */
struct unknown_share {
  static constexpr std::size_t PerGroup = 200;
  std::size_t Replicas{};
  std::size_t Losses{};
  std::size_t Finished{};
  std::size_t Running{};
  /** `Running` after backend servers reported their attempts. */
  std::size_t Reconciled{};
  std::size_t Queued{};
  /** Plain keys that are sent for the first time after the losses. */
  std::size_t New{};
};

/** Loses the home and then replicas at once, in the order of their rank. */
inline unknown_share measureUnknown(const std::size_t Replicas,
                                    const std::size_t Losses) {
  bag_options Options;
  Options.Replicas = Replicas;
  Options.Faults = false;
  message_bag Bag{Options};
  constexpr std::size_t Many = 1'000'000;
  const auto Submit = [&] {
    for (std::size_t Key = 0; Key < unknown_share::PerGroup; ++Key)
      Bag.submitNew(false, Key % 2 == 0);
    Bag.deliverAll(Many);
  };
  Submit();
  Bag.schedule();
  Bag.deliverAll(Many);
  Submit();
  Bag.HoldReports = true;
  Bag.schedule();
  Bag.deliverAll(Many);
  Submit();
  const auto Members = Bag.membersInOrder();
  for (std::size_t Rank = 0; Rank < std::min(Losses, Members.size()); ++Rank)
    Bag.kill(Members[Rank]);
  Bag.HoldReports = false;
  Bag.recover();

  const auto Count = [&](const std::size_t Group) {
    std::size_t Unknown = 0;
    for (std::size_t Key = 0; Key < unknown_share::PerGroup; ++Key)
      Unknown += Bag.stateOf(Group * unknown_share::PerGroup + Key) ==
                         entry_state::Unknown
                     ? 1
                     : 0;
    return Unknown;
  };
  unknown_share Share{Replicas, Losses, Count(0), Count(1), 0, Count(2), 0};
  for (std::size_t Key = 0; Key < unknown_share::PerGroup; ++Key) {
    const request_key New{"halloran", "newsletters",
                          "new-" + std::to_string(Key)};
    Share.New += Bag.stateOf(New) == entry_state::Unknown ? 1 : 0;
  }
  Bag.reconcile();
  Share.Reconciled = Count(1);
  return Share;
}

inline std::string unknownTable() {
  std::string Text = "unknown keys, %      replicas losses finished running "
                     "reconciled queued new\n";
  for (std::size_t Replicas = 0; Replicas <= 2; ++Replicas) {
    for (std::size_t Losses = 1; Losses <= 3; ++Losses) {
      const unknown_share Share = measureUnknown(Replicas, Losses);
      const auto Percent = [](const std::size_t Keys) {
        return 100.0 * static_cast<double>(Keys) / unknown_share::PerGroup;
      };
      std::array<char, 160> Line{};
      std::snprintf(Line.data(), Line.size(),
                    "%21s%8zu %6zu %8.1f %7.1f %10.1f %6.1f %3.0f\n", "",
                    Replicas, Losses, Percent(Share.Finished),
                    Percent(Share.Running), Percent(Share.Reconciled),
                    Percent(Share.Queued), Percent(Share.New));
      Text += Line.data();
    }
  }
  return Text;
}

} // namespace galenalink::request::test

#endif
