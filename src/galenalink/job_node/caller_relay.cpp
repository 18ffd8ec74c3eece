#include "galenalink/job_node/caller_relay.hpp"
#include "galenalink/telemetry/log.hpp"
#include <vector>

namespace galenalink::job_node {

namespace {

constexpr telemetry::logger Log{"relay"};

/** How long a call waits for a leader before it is refused. A planned change
 * takes about this long; longer waits would cost the caller more than coming
 * back. */
constexpr duration LongestWait = std::chrono::milliseconds{400};
/** Pause before a call that was not taken is sent again. */
constexpr duration RetryPause = std::chrono::milliseconds{50};
/** Wait for one answer: a connection may have gone silent while new ones
 * work, and a repeat does no harm. */
constexpr duration AnswerTime = std::chrono::milliseconds{900};
/** Calls that are open at once; more are refused. */
constexpr std::size_t MaxOpen = 2000;
/** A refused caller comes back when a new leader should be there, ms. */
constexpr std::uint32_t NoLeaderRetryMs = 1000;

job::caller_reply refusal(std::string Reason) {
  job::caller_reply Reply;
  Reply.Verdict = job::caller_reply::verdict::Refused;
  Reply.RetryAfterMs = NoLeaderRetryMs;
  Reply.Reason = std::move(Reason);
  return Reply;
}

job::caller_reply unknown() {
  job::caller_reply Reply;
  Reply.Verdict = job::caller_reply::verdict::Unknown;
  Reply.Reason = "an earlier send may still be taken";
  return Reply;
}

} // namespace

void caller_relay::call(const caller_call &Call, job::reply_function Reply) {
  if (Open.size() >= MaxOpen) {
    Reply(refusal("too many open calls"));
    return;
  }
  const time_point Now = Hooks.Now();
  open_call &Added = Open[++LastId];
  Added.Call = Call;
  Added.Reply = std::move(Reply);
  Added.WaitsUntil = Now + LongestWait;
  Added.RetryAt = Now;
  send(LastId, Added);
}

void caller_relay::send(const std::uint64_t Id, open_call &Call) {
  const time_point Now = Hooks.Now();
  if (Leader.Epoch == 0 || Call.Sent != 0 || Now < Call.RetryAt)
    return;
  Call.Sent = ++LastSend;
  Hooks.Send(Leader, Call.Call, std::min(Call.Call.Deadline, Now + AnswerTime),
             [this, Id, Send = LastSend,
              Weak = std::weak_ptr{Alive}](const relay_answer &Answer) {
               if (Weak.lock())
                 answered(Id, Send, Answer);
             });
}

void caller_relay::answered(const std::uint64_t Id, const std::uint64_t Send,
                            const relay_answer &Answer) {
  const auto Each = Open.find(Id);
  if (Each == Open.end())
    return;
  open_call &Call = Each->second;
  if (const auto *Reply = std::get_if<job::caller_reply>(&Answer)) {
    // A leader that was replaced meanwhile may not know of its successor's
    // jobs; what it accepted holds.
    const bool Holds =
        Send == Call.Sent || Reply->Verdict == job::caller_reply::verdict::Ok;
    if (!Holds)
      return;
    const bool MayStillArrive =
        Reply->Verdict != job::caller_reply::verdict::Ok &&
        Call.LostAtEpoch != 0 && Call.LostAtEpoch == Leader.Epoch;
    finish(Each, MayStillArrive ? unknown() : *Reply);
    return;
  }
  const auto Failure = std::get<relay_failure>(Answer);
  Log.warning("leader not reached",
              {{"job", Call.Call.Job},
               {"call", std::string{nameOf(CallKindNames, Call.Call.Kind)}},
               {"leader", Leader.Node},
               {"why", std::string{nameOf(RelayFailureNames, Failure)}}});
  Call.MaybeTaken = Call.MaybeTaken || Failure == relay_failure::Unknown;
  if (Send != Call.Sent)
    return; // it went to a leader before the present one
  if (Failure == relay_failure::Unknown)
    Call.LostAtEpoch = Leader.Epoch;
  Call.Sent = 0;
  Call.RetryAt = Hooks.Now() + RetryPause;
}

void caller_relay::finish(const calls::iterator Each,
                          const job::caller_reply &Reply) {
  const auto Call = std::move(Each->second.Reply);
  Open.erase(Each);
  Call(Reply);
}

void caller_relay::leaderChanged(const relay_target &Next) {
  if (Next == Leader)
    return;
  Leader = Next;
  for (auto &[Id, Call] : Open) {
    // The last leader may still answer, but no longer needs to.
    Call.MaybeTaken = Call.MaybeTaken || Call.Sent != 0;
    Call.Sent = 0;
    Call.RetryAt = Hooks.Now();
    send(Id, Call);
  }
}

void caller_relay::tick() {
  const time_point Now = Hooks.Now();
  std::vector<std::uint64_t> Refused;
  for (auto Each = Open.begin(); Each != Open.end();) {
    open_call &Call = Each->second;
    // The caller was told by now that the outcome is unknown.
    if (Now >= Call.Call.Deadline) {
      Each = Open.erase(Each);
      continue;
    }
    send(Each->first, Call);
    if (Call.Sent == 0 && !Call.MaybeTaken && Now >= Call.WaitsUntil)
      Refused.push_back(Each->first);
    ++Each;
  }
  for (const auto Id : Refused) {
    if (const auto Each = Open.find(Id); Each != Open.end())
      finish(Each, refusal(Leader.Epoch == 0 ? "no leader"
                                             : "the leader can't be reached"));
  }
}

} // namespace galenalink::job_node
