#include "galenalink/job/election.hpp"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace galenalink::job {

namespace {

/** Nodes of equal strength claim after delays that differ by up to this; a
 * claim takes a tenth of it. */
constexpr std::uint64_t JitterRangeMs = 100;
/** Processor time with which a node claims without a further delay; small
 * fleets, a quarter of a core a node, lead well with it. */
constexpr double FullSpeedCores = 0.25;
/** Further delay of a node with next to none, ms. */
constexpr double MaxCoreDelayMs = 500;
/** Delay by the time that the process has run, up to a limit: when nodes are
 * restarted in turn, one that was restarted stays. */
constexpr int UptimeDivisor = 300;
constexpr duration MaxUptimeDelay = std::chrono::milliseconds{150};

} // namespace

duration claimDelay(const double Cores, const std::uint64_t NodeSeed) {
  const double Shortfall = 1 - std::clamp(Cores / FullSpeedCores, 0.0, 1.0);
  const auto DelayMs = static_cast<std::int64_t>(MaxCoreDelayMs * Shortfall);
  return std::chrono::milliseconds{
      DelayMs + static_cast<std::int64_t>(NodeSeed % JitterRangeMs)};
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

void election::applyRecord(const std::uint64_t Offset,
                           const leader_record &Record, const time_point Now) {
  End = std::max(End, Offset + 1);
  LastRecordAt = Now;
  UnreachableEpoch = 0;
  switch (Record.Kind) {
  case leader_record::kind::Claim:
    Current = {Offset + 1, Record.Node, Record.Address, false};
    // A claim whose answer was lost is found in the log.
    if (Record.Node == Settings.Node)
      OwnEpoch = Offset + 1;
    break;
  case leader_record::kind::Heartbeat:
    if (Record.Epoch >= Current.Epoch)
      Current = {Record.Epoch, Record.Node, Record.Address, false};
    break;
  case leader_record::kind::Release:
    if (Record.Epoch >= Current.Epoch)
      Current = {Record.Epoch, Record.Node, Record.Address, true};
    break;
  }
}

void election::readSucceeded(const std::uint64_t NewEnd,
                             const time_point Now) noexcept {
  End = std::max(End, NewEnd);
  if (!Reading)
    ReadingSince = Now;
  Reading = true;
}

void election::claimed(const std::uint64_t Offset, const time_point Now) {
  applyRecord(Offset,
              {leader_record::kind::Claim, Settings.Node, Settings.Address, 0},
              Now);
  LastAppendAt = Now;
}

void election::presumeDead(const std::uint64_t Epoch) noexcept {
  if (Current.Epoch == Epoch && !leads())
    Current.Released = true;
}

time_point election::claimAt(const time_point Now) const {
  const duration UptimeDelay = std::min<duration>(
      (Now - Settings.StartedAt) / UptimeDivisor, MaxUptimeDelay);
  const time_point Since = std::max(ReadingSince, LastRecordAt);
  if (Current.Released)
    return Since + Settings.ClaimDelay + UptimeDelay;
  const bool Unreachable =
      UnreachableEpoch != 0 && UnreachableEpoch == Current.Epoch;
  return Since + Settings.ClaimDelay + UptimeDelay +
         (Unreachable ? Settings.UnreachableTimeout : Settings.ElectionTimeout);
}

election_action election::next(const time_point Now) const {
  if (leads())
    return Now >= LastAppendAt + Settings.HeartbeatInterval
               ? election_action::Heartbeat
               : election_action::None;
  if (!Reading)
    return election_action::None;
  return Now >= claimAt(Now) ? election_action::Claim : election_action::None;
}

} // namespace galenalink::job
