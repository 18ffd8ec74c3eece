#include "galenalink/node/peer_codec.hpp"
#include "peer.pb.h"
#include <algorithm>

namespace galenalink::node {

namespace {

[[nodiscard]] std::uint64_t microseconds(const duration Time) noexcept {
  return static_cast<std::uint64_t>(std::max<duration::rep>(Time.count(), 0));
}

/** @brief Longest time in a message; far above every retention. */
constexpr std::uint64_t MaxMicroseconds = 366ULL * 86'400 * 1'000'000;

[[nodiscard]] duration bounded(const std::uint64_t Microseconds) noexcept {
  return duration{
      static_cast<duration::rep>(std::min(Microseconds, MaxMicroseconds))};
}

/** @brief Enumerator for a number, or nothing if the table lacks it. */
template <typename Enum, std::size_t N>
[[nodiscard]] std::optional<Enum> enumerator(const enum_names<Enum, N> &Names,
                                             const std::uint32_t Value) {
  for (const auto &[Known, Unused] : Names) {
    if (static_cast<std::uint32_t>(Known) == Value)
      return Known;
  }
  return std::nullopt;
}

void encode(const request::horizon &From, wire::horizon &To) {
  To.set_remaining_us(microseconds(From.Remaining));
  To.set_fresh_after_ms(From.FreshAfter);
}

[[nodiscard]] request::horizon decode(const wire::horizon &From) {
  return {bounded(From.remaining_us()), From.fresh_after_ms()};
}

void encode(const request::entry_record &From, wire::ledger_entry &To) {
  To.set_member(From.Key.Customer);
  To.set_service(From.Key.Service);
  To.set_key(From.Key.Key);
  To.set_body_hash(From.BodyHash);
  To.set_state(static_cast<std::uint32_t>(From.State));
  To.set_attempt_node(static_cast<std::uint64_t>(From.Attempt.Node));
  To.set_attempt_sequence(From.Attempt.Sequence);
  To.set_vm(From.Vm);
  To.set_queue(From.Queue);
  To.set_team(From.Team);
  To.set_body(From.Body);
  To.set_result(From.Result);
  To.set_expires_in_us(microseconds(From.ExpiresIn));
  To.set_idempotent(From.Idempotent);
  To.set_long_work(From.LongWork);
  To.set_refusal(static_cast<std::uint32_t>(From.Refusal));
  To.set_revision_version(From.Revision.Version);
  To.set_revision_sequence(From.Revision.Sequence);
}

[[nodiscard]] std::optional<request::entry_record>
decode(const wire::ledger_entry &From) {
  const auto State = enumerator(request::EntryStateNames, From.state());
  const auto Refusal = enumerator(RefusalNames, From.refusal());
  if (!State || !Refusal)
    return std::nullopt;
  request::entry_record To;
  To.Key = {From.member(), From.service(), From.key()};
  To.BodyHash = From.body_hash();
  To.State = *State;
  To.Attempt = {node_id{From.attempt_node()}, From.attempt_sequence()};
  To.Vm = From.vm();
  To.Queue = From.queue();
  To.Team = From.team();
  To.Body = From.body();
  To.Result = From.result();
  To.ExpiresIn = bounded(From.expires_in_us());
  To.Refusal = *Refusal;
  To.Idempotent = From.idempotent();
  To.LongWork = From.long_work();
  To.Revision = {From.revision_version(), From.revision_sequence()};
  return To;
}

template <typename Repeated>
[[nodiscard]] bool decodeAll(const Repeated &From,
                             std::vector<request::entry_record> &To) {
  for (const auto &Entry : From) {
    auto Record = decode(Entry);
    if (!Record)
      return false;
    To.push_back(std::move(*Record));
  }
  return true;
}

} // namespace

void encode(const request::replicate &From, const shard_id &Shard,
            wire::replicate &To) {
  To.set_call(From.Call);
  To.set_pool(Shard.Pool);
  To.set_shard(Shard.Index);
  To.set_roster_version(From.Version);
  To.set_synced(From.Synced);
  encode(From.Horizon, *To.mutable_horizon());
  for (const auto &Entry : From.Entries)
    encode(Entry, *To.add_entries());
}

std::optional<request::replicate> decode(const wire::replicate &From) {
  request::replicate To;
  To.Call = From.call();
  To.Version = From.roster_version();
  To.Synced = From.synced();
  To.Horizon = decode(From.horizon());
  if (!decodeAll(From.entries(), To.Entries))
    return std::nullopt;
  return To;
}

void encode(const request::replicate_reply &From, const shard_id &Shard,
            wire::replicate_reply &To) {
  To.set_call(From.Call);
  To.set_accepted(From.Accepted);
  To.set_pool(Shard.Pool);
  To.set_shard(Shard.Index);
  To.set_roster_version(From.Version);
}

request::replicate_reply decode(const node_id Sender,
                                const wire::replicate_reply &From) {
  return {Sender, From.call(), From.roster_version(), From.accepted()};
}

std::vector<wire::collect_reply> encode(const request::collect_reply &From,
                                        const shard_id &Shard) {
  std::vector<wire::collect_reply> Parts(1);
  auto &Head = Parts.front();
  Head.set_synced_at(From.SyncedAt);
  encode(From.Horizon, *Head.mutable_horizon());
  for (const auto &Step : From.Quiet) {
    auto &Quiet = *Head.add_quiet();
    Quiet.set_version(Step.Version);
    Quiet.set_previous(Step.Previous);
  }
  std::size_t Bytes = 0;
  for (const auto &Entry : From.Entries) {
    if (Bytes >= MaxEntryBytesPerMessage) {
      Parts.emplace_back();
      Bytes = 0;
    }
    auto &Target = *Parts.back().add_entries();
    encode(Entry, Target);
    Bytes += Target.ByteSizeLong();
  }
  for (std::size_t Part = 0; Part < Parts.size(); ++Part) {
    Parts[Part].set_pool(Shard.Pool);
    Parts[Part].set_shard(Shard.Index);
    Parts[Part].set_roster_version(From.Version);
    Parts[Part].set_part(static_cast<std::uint32_t>(Part));
    Parts[Part].set_last(Part + 1 == Parts.size());
  }
  return Parts;
}

bool append(const wire::collect_reply &From, request::collect_reply &To) {
  if (From.part() == 0) {
    To.Version = From.roster_version();
    To.SyncedAt = From.synced_at();
    To.Horizon = decode(From.horizon());
    To.Quiet.clear();
    To.Entries.clear();
    for (const auto &Step : From.quiet())
      To.Quiet.push_back({Step.version(), Step.previous()});
  }
  return From.roster_version() == To.Version &&
         decodeAll(From.entries(), To.Entries);
}

void encode(const call &From, const time_point Now, wire::forward &To) {
  To.set_operation(static_cast<wire::forward_operation>(From.Operation));
  To.set_member(From.Customer);
  To.set_service(From.Service);
  To.set_queue(From.Queue);
  To.set_team(From.Team);
  To.set_key(From.Key);
  To.set_body(From.Body);
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      From.Deadline - Now);
  To.set_timeout_ms(static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Left.count(), 0, UINT32_MAX)));
}

std::optional<call> decode(const wire::forward &From, const time_point Now) {
  const auto Operation =
      enumerator(OperationNames, static_cast<std::uint32_t>(From.operation()));
  if (!Operation)
    return std::nullopt;
  return call{
      *Operation,     From.member(),
      From.service(), From.queue(),
      From.team(),    From.key(),
      From.body(),    Now + std::chrono::milliseconds{From.timeout_ms()}};
}

void encode(const reply &From, wire::forward_reply &To) {
  To.set_outcome(static_cast<std::uint32_t>(From.Outcome));
  To.set_refusal(static_cast<std::uint32_t>(From.Refusal));
  To.set_retry_after_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(From.RetryAfter).count(), 0,
      UINT32_MAX)));
  To.set_body(From.Body);
  To.set_state(From.State);
}

std::optional<reply> decode(const wire::forward_reply &From) {
  const auto Outcome = enumerator(OutcomeNames, From.outcome());
  const auto Refusal = enumerator(RefusalNames, From.refusal());
  if (!Outcome || !Refusal)
    return std::nullopt;
  return reply{*Outcome, *Refusal,
               std::chrono::milliseconds{From.retry_after_ms()}, From.body(),
               From.state()};
}

} // namespace galenalink::node
