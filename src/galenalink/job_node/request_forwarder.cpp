#include "galenalink/job_node/request_forwarder.hpp"
#include "galenalink/job/job_memory.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>
#include <vector>

namespace galenalink::job_node {

namespace {

constexpr telemetry::logger Log{"relay"};

/** How long a request waits for a leader before it is refused. A planned
 * leader change takes about this long; a longer wait would cost the caller more
 * than a retry. */
constexpr duration MaxLeaderWait = std::chrono::milliseconds{400};
/** Delay before a request without a reply is sent again; doubled with each
 * failure up to the limit, so that repeats do not keep a leader overloaded. */
constexpr duration FirstRetryDelay = std::chrono::milliseconds{50};
constexpr std::uint32_t MaxDoublings = 3;
/** How long submissions are sent without their bodies after a refusal. */
constexpr duration RefusalMemory = std::chrono::milliseconds{1000};
/** Timeout of one send. An established connection may hang while new ones work,
 * and a retry is idempotent. */
constexpr duration ResponseTimeout = std::chrono::milliseconds{900};
/** Requests beyond this number of open ones are refused. */
constexpr std::size_t MaxOpenRequests = 2000;
/** Retry-after of a refusal, ms; a new leader should be elected by then. */
constexpr std::uint32_t NoLeaderRetryMs = 1000;

job::caller_reply refusal(std::string Reason) {
  job::caller_reply Reply;
  Reply.Verdict = job::caller_reply::verdict::Refused;
  Reply.RetryAfterMs = NoLeaderRetryMs;
  Reply.Reason = std::move(Reason);
  return Reply;
}

/** @return Memory of an open request, bytes. */
std::size_t memoryOf(const caller_request &Request) noexcept {
  constexpr std::size_t OverheadBytes = 1024;
  return OverheadBytes + job::specificationBytes(Request.Spec);
}

job::caller_reply unknown() {
  job::caller_reply Reply;
  Reply.Verdict = job::caller_reply::verdict::Unknown;
  Reply.Reason = "an earlier send may still be taken";
  return Reply;
}

} // namespace

void request_forwarder::forward(const caller_request &Request,
                                job::reply_function Reply) {
  const std::size_t Bytes = memoryOf(Request);
  if (!admits(Bytes)) {
    ++Refused;
    logRefusal();
    Reply(refusal("too many open calls"));
    return;
  }
  const time_point Now = Hooks.Now();
  open_request &Entry = Requests[++LastRequestId];
  Entry.Request = Request;
  Entry.Bytes = Bytes;
  OpenBytes += Bytes;
  Entry.Reply = std::move(Reply);
  Entry.RefuseAt = Now + MaxLeaderWait;
  Entry.RetryAt = Now;
  send(LastRequestId, Entry);
}

void request_forwarder::send(const std::uint64_t Id, open_request &Entry) {
  const time_point Now = Hooks.Now();
  if (Leader.Epoch == 0 || Entry.SendInFlight != 0 || Now < Entry.RetryAt)
    return;
  Entry.SendInFlight = ++LastSendId;
  Entry.Request.BodyWithheld = Entry.Request.Kind == request_kind::Submit &&
                               !Entry.BodyNeeded && Entry.Failures == 0 &&
                               Now < WithholdBodiesUntil;
  Hooks.Send(
      Leader, Entry.Request,
      std::min(Entry.Request.Deadline, Now + ResponseTimeout),
      [this, Id, SendId = LastSendId,
       Weak = std::weak_ptr{LifetimeToken}](const forward_result &Result) {
        if (Weak.lock())
          handleResult(Id, SendId, Result);
      });
}

void request_forwarder::handleResult(const std::uint64_t Id,
                                     const std::uint64_t SendId,
                                     const forward_result &Result) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  open_request &Entry = Found->second;
  if (const auto *Reply = std::get_if<job::caller_reply>(&Result)) {
    // A leader that has been replaced may not know the jobs of its successor,
    // so only its acceptance is valid.
    const bool Applies = SendId == Entry.SendInFlight ||
                         Reply->Verdict == job::caller_reply::verdict::Ok;
    if (!Applies)
      return;
    if (Reply->Verdict == job::caller_reply::verdict::BodyNeeded) {
      Entry.BodyNeeded = true;
      Entry.SendInFlight = 0;
      send(Id, Entry);
      return;
    }
    if (Reply->Verdict == job::caller_reply::verdict::Refused)
      WithholdBodiesUntil = Hooks.Now() + RefusalMemory;
    const bool MayStillBeAccepted =
        Reply->Verdict != job::caller_reply::verdict::Ok &&
        Entry.UnansweredEpoch != 0 && Entry.UnansweredEpoch == Leader.Epoch;
    complete(Found, MayStillBeAccepted ? unknown() : *Reply);
    return;
  }
  const auto Failure = std::get<forward_failure>(Result);
  Log.warning(
      "forwarding a request to the leader failed",
      {{"job", Entry.Request.Job},
       {"call", std::string{nameOf(RequestKindNames, Entry.Request.Kind)}},
       {"leader", Leader.Node},
       {"why", std::string{nameOf(ForwardFailureNames, Failure)}}});
  Entry.MaybeAccepted =
      Entry.MaybeAccepted || Failure == forward_failure::Unknown;
  if (SendId != Entry.SendInFlight)
    return; // sent to a previous leader
  if (Failure == forward_failure::Unknown)
    Entry.UnansweredEpoch = Leader.Epoch;
  Entry.SendInFlight = 0;
  Entry.RetryAt =
      Hooks.Now() +
      FirstRetryDelay * (1U << std::min(Entry.Failures, MaxDoublings));
  ++Entry.Failures;
}

void request_forwarder::complete(const request_map::iterator Entry,
                                 const job::caller_reply &Reply) {
  const auto Callback = std::move(Entry->second.Reply);
  erase(Entry);
  Callback(Reply);
}

request_forwarder::request_map::iterator
request_forwarder::erase(const request_map::iterator Entry) {
  OpenBytes -= Entry->second.Bytes;
  return Requests.erase(Entry);
}

bool request_forwarder::admits(const std::size_t Bytes) const noexcept {
  return Requests.size() < MaxOpenRequests && OpenBytes + Bytes <= MaxOpenBytes;
}

void request_forwarder::logRefusal() {
  const auto Dropped = RefusalLogRate.admit(Hooks.Now());
  if (!Dropped)
    return;
  Log.warning("too many requests wait for the leader, refusing new ones",
              {{"leader", Leader.Node},
               {"open", Requests.size()},
               {"open_bytes", OpenBytes},
               {"max_open_bytes", MaxOpenBytes},
               {"lines_dropped", *Dropped}});
}

void request_forwarder::setLeader(const forward_target &NewLeader) {
  if (NewLeader == Leader)
    return;
  Leader = NewLeader;
  for (auto &[Id, Entry] : Requests) {
    // The previous leader may still reply, but the request no longer waits for
    // it.
    Entry.MaybeAccepted = Entry.MaybeAccepted || Entry.SendInFlight != 0;
    Entry.SendInFlight = 0;
    Entry.RetryAt = Hooks.Now();
    Entry.Failures = 0;
    Entry.BodyNeeded = false;
    send(Id, Entry);
  }
}

void request_forwarder::tick() {
  const time_point Now = Hooks.Now();
  std::vector<std::uint64_t> Refused;
  for (auto Found = Requests.begin(); Found != Requests.end();) {
    open_request &Entry = Found->second;
    // withDeadline() has already replied that the outcome is unknown.
    if (Now >= Entry.Request.Deadline) {
      Found = erase(Found);
      continue;
    }
    send(Found->first, Entry);
    if (Entry.SendInFlight == 0 && !Entry.MaybeAccepted &&
        Now >= Entry.RefuseAt)
      Refused.push_back(Found->first);
    ++Found;
  }
  for (const auto Id : Refused) {
    if (const auto Found = Requests.find(Id); Found != Requests.end())
      complete(Found,
               refusal(Leader.Epoch == 0 ? "no leader"
                                         : "the leader can't be reached"));
  }
}

} // namespace galenalink::job_node
