#ifndef GALENALINK_TEST_REQUEST_NAIVE_LEDGER_HPP
#define GALENALINK_TEST_REQUEST_NAIVE_LEDGER_HPP

#include "galenalink/request/ledger.hpp"
#include <algorithm>
#include <list>

namespace galenalink::request::test {

/** A ledger as a plain list, searched from the front every time. */
class naive_ledger {
public:
  enum class stage : std::uint8_t {
    Queue,
    Accept,
    Prepare,
    Withdraw,
    Run,
    End
  };
  struct row {
    submission Work;
    stage Stage{stage::Queue};
    entry_state State{};
    std::uint64_t Attempt{};
    std::vector<waiter> Waiters;
    refusal Reason{};
    bool Handle{};
    bool Exposed{};
    bool Ran{};
    std::string Result;
    time_point Due;
  };

  explicit naive_ledger(const ledger_settings Settings) : Settings(Settings) {}

  row *find(const std::string &Key) {
    for (row &Row : Rows)
      if (Row.Work.Key.Key == Key)
        return &Row;
    return nullptr;
  }
  row *byAttempt(const std::uint64_t Attempt) {
    for (row &Row : Rows)
      if (Row.Attempt == Attempt)
        return &Row;
    return nullptr;
  }
  std::size_t bytes() const {
    std::size_t Sum = 0;
    for (const row &Row : Rows) {
      const request_key &Key = Row.Work.Key;
      Sum += Key.Customer.size() + Key.Service.size() + Key.Key.size();
      Sum += Row.Stage == stage::End ? Row.Result.size() : Row.Work.Body.size();
    }
    return Sum;
  }

  void submit(const submission &Work, const time_point Now) {
    bool Ran = false;
    if (row *const Row = find(Work.Key.Key)) {
      if (Row->Work.Body != Work.Body || Row->Work.Queue != Work.Queue)
        return say(Work.Waiter, outcome::NotRun, refusal::KeyReused);
      const bool TryAgain =
          Row->State == entry_state::Refused ||
          (Row->State == entry_state::Unknown && Row->Work.Idempotent);
      if (!TryAgain) {
        if (Row->Stage == stage::End || Row->Handle)
          sayState(*Row, Work.Waiter);
        else
          Row->Waiters.push_back(Work.Waiter);
        return;
      }
      Ran = Row->State == entry_state::Unknown;
      drop(*Row);
    }
    if (Rows.size() >= Settings.MaxEntries ||
        bytes() + Work.Body.size() > Settings.MaxBytes)
      return say(Work.Waiter, Ran ? outcome::Unknown : outcome::NotRun,
                 refusal::TableFull);
    row Row;
    Row.Work = Work;
    Row.Waiters = {Work.Waiter};
    Row.Ran = Ran;
    if (Work.LongWork) {
      Row.Stage = stage::Accept;
      Row.Exposed = true;
      Row.Due = Now + Settings.AckTimeout;
    }
    Rows.push_back(Row);
  }

  void cancel(const std::string &Key, const waiter Waiter,
              const time_point Now) {
    row *const Row = find(Key);
    if (Row == nullptr)
      return;
    if (Row->Stage == stage::End)
      return sayState(*Row, Waiter);
    if (Row->Stage == stage::Run)
      return say(Waiter, outcome::Accepted, refusal::None);
    Row->Waiters.push_back(Waiter);
    if (Row->Stage != stage::Withdraw)
      withdraw(*Row, refusal::Cancelled, Now);
  }

  void prepare(row &Row, const std::uint64_t Attempt, const time_point Now) {
    Row.Attempt = Attempt;
    Row.Stage = Row.Work.Idempotent ? stage::Run : stage::Prepare;
    Row.State = Row.Work.Idempotent ? entry_state::Dispatched : Row.State;
    Row.Due = Now + Settings.AckTimeout;
  }

  void acknowledgeAll(const time_point Now) {
    for (auto Row = Rows.begin(); Row != Rows.end();) {
      row &Current = *Row++;
      if (Current.Stage == stage::Accept) {
        Current.Handle = true;
        tell(Current, outcome::Accepted);
        Current.Stage = stage::Queue;
      } else if (Current.Stage == stage::Prepare) {
        Current.Stage = stage::Run;
        Current.State = entry_state::Dispatched;
      } else if (Current.Stage == stage::Withdraw) {
        withdrawn(Current, Now);
      }
    }
  }

  void answered(const std::uint64_t Attempt, const std::string &Result,
                const entry_state State, const bool MayRetry,
                const time_point Now) {
    row *const Row = byAttempt(Attempt);
    const bool Reconciles = Row != nullptr && Row->Stage == stage::End &&
                            Row->State == entry_state::Unknown &&
                            State != entry_state::Unknown;
    if (Row == nullptr || (Row->Stage != stage::Run && !Reconciles))
      return;
    if (State != entry_state::Completed && Row->Work.Idempotent && MayRetry &&
        !Reconciles) {
      Row->Ran = true;
      again(*Row);
      return;
    }
    end(*Row, State, Result, Now);
  }

  void refusedByServer(const std::uint64_t Attempt) {
    row *const Row = byAttempt(Attempt);
    if (Row != nullptr && Row->Stage == stage::Run)
      again(*Row);
  }

  void refuse(row &Row, const time_point Now) {
    withdraw(Row, refusal::QueueFull, Now);
  }

  void tick(const time_point Now) {
    for (auto Row = Rows.begin(); Row != Rows.end();) {
      row &Current = *Row++;
      if (Current.Stage == stage::Queue || Current.Stage == stage::Run ||
          Current.Due > Now)
        continue;
      if (Current.Stage == stage::End) {
        drop(Current);
      } else if (Current.Stage == stage::Withdraw) {
        tell(Current, outcome::Unknown);
        Current.Due = Now + Settings.AckTimeout;
      } else if (Current.Stage == stage::Prepare && Current.Work.LongWork) {
        again(Current);
      } else {
        withdraw(Current, refusal::NoReplicas, Now);
      }
    }
  }

  std::list<row> Rows;
  std::vector<answer> Answers;

private:
  void say(const waiter Waiter, const outcome Outcome, const refusal Reason,
           std::string Body = {}) {
    Answers.push_back({Waiter, Outcome, Reason, {}, std::move(Body)});
  }
  void sayState(const row &Row, const waiter Waiter) {
    switch (Row.State) {
    case entry_state::Completed:
      return say(Waiter, outcome::Complete, Row.Reason, Row.Result);
    case entry_state::Failed:
      return say(Waiter, outcome::Failed, Row.Reason, Row.Result);
    case entry_state::Unknown:
      return say(Waiter, outcome::Unknown, Row.Reason);
    case entry_state::Cancelled:
    case entry_state::Refused:
      return say(Waiter, outcome::NotRun, Row.Reason);
    default:
      return say(Waiter, outcome::Accepted, refusal::None);
    }
  }
  void tell(row &Row, const outcome Outcome) {
    for (const waiter Waiter : Row.Waiters)
      say(Waiter, Outcome, Row.Reason, Row.Result);
    Row.Waiters.clear();
  }
  void drop(const row &Row) {
    Rows.remove_if([&](const row &Other) { return &Other == &Row; });
  }
  void again(row &Row) {
    Row.Attempt = 0;
    Row.State = entry_state::Accepted;
    Row.Stage = stage::Queue;
  }
  void end(row &Row, const entry_state State, const std::string &Result,
           const time_point Now) {
    Row.State = State;
    Row.Stage = stage::End;
    Row.Result = Result;
    Row.Attempt = State == entry_state::Unknown ? Row.Attempt : 0;
    Row.Due = Now + rememberedFor(Settings.Retention, Settings.ClockSkew);
    tell(Row, State == entry_state::Completed ? outcome::Complete
              : State == entry_state::Failed  ? outcome::Failed
                                              : outcome::Unknown);
  }
  void withdraw(row &Row, const refusal Reason, const time_point Now) {
    Row.Reason = Reason;
    Row.Attempt = 0;
    if (Row.Ran)
      return end(Row, entry_state::Unknown, {}, Now);
    Row.State = entry_state::Accepted;
    Row.Stage = stage::Withdraw;
    Row.Due = Now + Settings.AckTimeout;
    if (!Row.Exposed)
      withdrawn(Row, Now);
  }
  void withdrawn(row &Row, const time_point Now) {
    const bool Cancelled = Row.Reason == refusal::Cancelled;
    Row.State = Cancelled ? entry_state::Cancelled : entry_state::Refused;
    Row.Stage = stage::End;
    Row.Due = Now + rememberedFor(Settings.Retention, Settings.ClockSkew);
    tell(Row, outcome::NotRun);
    if (!Cancelled && !Row.Handle)
      drop(Row);
  }

  ledger_settings Settings;
};

} // namespace galenalink::request::test

#endif
