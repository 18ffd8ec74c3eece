#include "galenalink/job/election.hpp"
#include "galenalink/job/json_fields.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

/** Claim delays of nodes with equal CPU time differ by up to this, ms. A claim
 * takes about a tenth of it, so competing claims are rare. */
constexpr std::uint64_t JitterRangeMs = 100;
/** CPU time from which on a node claims without additional delay. Suffices to
 * lead small fleets, whose nodes have a quarter of a core each. */
constexpr double MinCoresWithoutDelay = 0.25;
/** Additional delay of a node with almost no CPU time, ms. */
constexpr double MaxCoreDelayMs = 500;
/** The claim is delayed by the uptime of the process divided by this, up to the
 * limit below. During a rolling restart, leadership thus moves to a node that
 * has been restarted already and stays there. */
constexpr int UptimeDivisor = 300;
constexpr duration MaxUptimeDelay = std::chrono::milliseconds{150};

} // namespace

duration claimDelay(const double Cores, const std::uint64_t NodeSeed) {
  const double Shortfall =
      1 - std::clamp(Cores / MinCoresWithoutDelay, 0.0, 1.0);
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
    constexpr auto LastKind =
        static_cast<std::uint32_t>(leader_record::kind::Release);
    Record.Kind = static_cast<leader_record::kind>(
        boundedInteger<std::uint32_t>(From.at(0), {0, LastKind}));
    Record.Node = From.at(1);
    Record.Address = From.at(2);
    Record.Epoch = boundedInteger<std::uint64_t>(From.at(3));
    return Record;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

void election::applyRecord(const std::uint64_t Offset,
                           const leader_record &Record, const time_point Now) {
  End = std::max(End, Offset + 1);
  // The claim of an epoch precedes its other records.
  if (Record.Kind != leader_record::kind::Claim && Record.Epoch > Offset)
    return;
  // A claim is reported by its response and by a read of the log, in any order.
  // Between the two the node may have resigned or read a later claim.
  if (Record.Kind == leader_record::kind::Claim && Offset < Current.Epoch)
    return;
  const bool OwnClaim =
      Record.Kind == leader_record::kind::Claim && Record.Node == Settings.Node;
  if (OwnClaim)
    PredecessorSeenAt = std::max({LastRecordAt, LastAppendAt, RecordsLostAt});
  LastRecordAt = Now;
  UnreachableEpoch = 0;
  switch (Record.Kind) {
  case leader_record::kind::Claim:
    Current = {Offset + 1, Record.Node, Record.Address, false};
    // Covers an own claim whose response was lost.
    if (OwnClaim)
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

void election::presumeDead(const std::uint64_t Epoch,
                           const time_point Now) noexcept {
  if (Current.Epoch != Epoch || Current.Released || leads())
    return;
  Current.Released = true;
  PresumedDeadAt = Now;
}

time_point election::claimAt(const time_point Now) const {
  const duration UptimeDelay = std::min<duration>(
      (Now - Settings.StartedAt) / UptimeDivisor, MaxUptimeDelay);
  const time_point Since = std::max(ReadingSince, LastRecordAt);
  if (Current.Released)
    return std::max(Since + UptimeDelay, PresumedDeadAt) + Settings.ClaimDelay;
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
