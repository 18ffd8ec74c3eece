#include "galenalink/job/election.hpp"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace galenalink::job {

namespace {

/** Nodes of equal strength claim after delays that differ by up to this; a
 * claim takes a tenth of it. */
constexpr std::uint64_t SpreadMs = 100;
/** Processor time with which a node claims without a further delay; small
 * fleets, a quarter of a core a node, lead well with it. */
constexpr double AmpleCores = 0.25;
/** Further delay of a node with next to none, ms. */
constexpr double LongestDelayMs = 500;
/** Delay by the time that the process has run, up to a limit: when nodes are
 * restarted in turn, one that was restarted stays. */
constexpr int AgeShare = 300;
constexpr duration LongestAgeDelay = std::chrono::milliseconds{150};

} // namespace

duration claimDelay(const double Cores, const std::uint64_t Spread) {
  const double Lack = 1 - std::clamp(Cores / AmpleCores, 0.0, 1.0);
  const auto DelayMs = static_cast<std::int64_t>(LongestDelayMs * Lack);
  return std::chrono::milliseconds{
      DelayMs + static_cast<std::int64_t>(Spread % SpreadMs)};
}

std::string toText(const leader_record &Record) {
  return nlohmann::json::array({static_cast<std::uint32_t>(Record.Kind),
                                Record.Node, Record.Address, Record.Epoch})
      .dump();
}

std::optional<leader_record> parseLeader(const std::string_view Text) {
  try {
    const auto From = nlohmann::json::parse(Text);
    leader_record Record;
    Record.Kind =
        static_cast<leader_record::kind>(From.at(0).get<std::uint32_t>());
    Record.Node = From.at(1);
    Record.Address = From.at(2);
    Record.Epoch = From.at(3);
    return Record;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

void election::seen(const std::uint64_t Offset, const leader_record &Record,
                    const time_point Now) {
  End = std::max(End, Offset + 1);
  LastSign = Now;
  UnreachableEpoch = 0;
  switch (Record.Kind) {
  case leader_record::kind::Claim:
    Current = {Offset + 1, Record.Node, Record.Address, false};
    // A claim whose answer was lost is found in the log.
    if (Record.Node == Settings.Node)
      OwnEpoch = Offset + 1;
    break;
  case leader_record::kind::Alive:
    if (Record.Epoch >= Current.Epoch)
      Current = {Record.Epoch, Record.Node, Record.Address, false};
    break;
  case leader_record::kind::Release:
    if (Record.Epoch >= Current.Epoch)
      Current = {Record.Epoch, Record.Node, Record.Address, true};
    break;
  }
}

void election::readTo(const std::uint64_t NewEnd,
                      const time_point Now) noexcept {
  End = std::max(End, NewEnd);
  if (!Reading)
    ReadingSince = Now;
  Reading = true;
}

void election::claimed(const std::uint64_t Offset, const time_point Now) {
  seen(Offset, {leader_record::kind::Claim, Settings.Node, Settings.Address, 0},
       Now);
  LastAlive = Now;
}

void election::presumeGone(const std::uint64_t Epoch) noexcept {
  if (Current.Epoch == Epoch && !leads())
    Current.Released = true;
}

time_point election::claimAt(const time_point Now) const {
  const duration AgeDelay = std::min<duration>(
      (Now - Settings.StartedAt) / AgeShare, LongestAgeDelay);
  const time_point Since = std::max(ReadingSince, LastSign);
  if (Current.Released)
    return Since + Settings.Stagger + AgeDelay;
  const bool Unreachable =
      UnreachableEpoch != 0 && UnreachableEpoch == Current.Epoch;
  return Since + Settings.Stagger + AgeDelay +
         (Unreachable ? Settings.UnreachableSilence : Settings.Silence);
}

election_action election::next(const time_point Now) const {
  if (leads())
    return Now >= LastAlive + Settings.AliveInterval ? election_action::Alive
                                                     : election_action::None;
  if (!Reading)
    return election_action::None;
  return Now >= claimAt(Now) ? election_action::Claim : election_action::None;
}

} // namespace galenalink::job
