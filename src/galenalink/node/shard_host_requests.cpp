#include "galenalink/node/shard_host.hpp"
#include <utility>

namespace galenalink::node {

namespace {

/** Told to callers while a shard has no home yet. */
constexpr duration HomeRetry = std::chrono::milliseconds{500};

/** @brief Answer about a key that is not held; it may have run in the past. */
[[nodiscard]] reply notHeld() {
  return {outcome::Unknown,
          refusal::NoSuchQueue,
          {},
          "no request with this key is held\n",
          {}};
}

[[nodiscard]] request::request_key keyOf(const call &Call) {
  return {Call.Customer, Call.Service, Call.Key};
}

} // namespace

request::waiter shard_host::await(reply_hook Done) {
  Waiters[++LastWaiter] = std::move(Done);
  return LastWaiter;
}

void shard_host::answer(const request::answer &Answer) {
  auto Waiter = Waiters.extract(Answer.Waiter);
  if (!Waiter)
    return;
  Waiter.mapped()(
      {Answer.Outcome, Answer.Refusal, Answer.RetryAfter, Answer.Body, {}});
}

void shard_host::countEnd(const shard_id &Shard, const std::string &Customer,
                          const time_point Deadline, const reply &Reply) {
  if (Reply.Outcome == outcome::NotRun) {
    // The caller withdrew the request, or the router tries another home.
    const bool Refused = Reply.Refusal != refusal::Cancelled &&
                         Reply.Refusal != refusal::NotHome &&
                         Reply.Refusal != refusal::NoAuthority &&
                         Reply.Refusal != refusal::Stopping;
    if (Refused)
      Hooks.Worked(Customer, Shard.Pool, {0, 1, 0});
  } else if (Deadline < boot_clock::now()) {
    Hooks.Worked(Customer, Shard.Pool, {0, 0, 1});
  }
}

void shard_host::submit(const shard_id &Shard, const call &Call,
                        const config::queue &Queue, reply_hook Done) {
  const auto Home = find(Shard);
  if (!Home) {
    Done(refuse(Stopping ? refusal::Stopping : refusal::NotHome, HomeRetry));
    return;
  }
  if (!instant().authorized()) {
    Done(refuse(refusal::NoAuthority, HomeRetry));
    return;
  }
  const std::string Owner = fleet::serviceKey(Call.Customer, Call.Service);
  request::submission Submission;
  Submission.Key = keyOf(Call);
  Submission.Queue = Owner + '/' + Queue.Name;
  Submission.Team = Owner + '/' + Call.Team;
  Submission.Body = Call.Body;
  Submission.Idempotent = Queue.Idempotent;
  Submission.LongWork = Queue.Kind == config::work_kind::Long;
  Submission.Deadline = Call.Deadline;
  Submission.Waiter =
      await([this, Shard, Customer = Call.Customer, Deadline = Call.Deadline,
             Done = std::move(Done)](reply Reply) {
        countEnd(Shard, Customer, Deadline, Reply);
        Done(std::move(Reply));
      });
  Home->submit(std::move(Submission), instant());
}

void shard_host::cancel(const shard_id &Shard, const call &Call,
                        reply_hook Done) {
  const auto Home = find(Shard);
  if (!Home) {
    Done(refuse(refusal::NotHome, HomeRetry));
    return;
  }
  const auto Key = keyOf(Call);
  const auto Waiter = await(std::move(Done));
  const auto Result = Home->cancel(Key, Waiter, instant());
  if (Result == request::cancel_result::NotFound) {
    if (auto Waiting = Waiters.extract(Waiter))
      Waiting.mapped()(notHeld());
  }
}

void shard_host::query(const shard_id &Shard, const call &Call,
                       const reply_hook &Done) {
  const auto Home = find(Shard);
  if (!Home) {
    Done(refuse(refusal::NotHome, HomeRetry));
    return;
  }
  const auto Found = Home->ledger().query(keyOf(Call), instant());
  if (!Found) {
    Done(notHeld());
    return;
  }
  Done({Found->Outcome,
        Found->Refusal,
        {},
        std::string{Found->Result},
        std::string{nameOf(request::EntryStateNames, Found->State)}});
}

} // namespace galenalink::node
