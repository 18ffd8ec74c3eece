#include "galenalink/node/snapshot_duty.hpp"
#include "galenalink/core/random.hpp"
#include "galenalink/node/duty.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>

namespace galenalink::node {

namespace {

constexpr telemetry::logger Logger{"snapshot"};

constexpr duration AppendLimit = std::chrono::seconds{5};
/** Pause after a snapshot that was not completed. */
constexpr duration Retry = std::chrono::seconds{10};

} // namespace

snapshot_duty::snapshot_duty(const fleet::node_view &View, log_follower &Log,
                             std::function<std::string()> Account)
    : View{View}, Log{Log}, Account{std::move(Account)} {}

void snapshot_duty::tick(const time_point Now) {
  const bool Due = Chunks.empty() && NextTry <= Now &&
                   Schedule.due(View.State) && onDuty(View, "snapshot", Now);
  if (!Due)
    return;
  NextTry = Now + Retry;
  const auto Bytes = fleet::serialize(View.State, Account());
  Chunks = fleet::makeChunks(Bytes, randomId(), View.State.Offset);
  std::reverse(Chunks.begin(), Chunks.end());
  Logger.info("Writing a snapshot.", {{"through", View.State.Offset},
                                      {"bytes", Bytes.size()},
                                      {"chunks", Chunks.size()}});
  appendNext();
}

// One chunk at a time, so that a snapshot never crowds out other appends.
void snapshot_duty::appendNext() {
  if (Chunks.empty())
    return;
  wire::record Record;
  Record.set_writer(static_cast<std::uint64_t>(View.Self));
  *Record.mutable_snapshot() = std::move(Chunks.back());
  Chunks.pop_back();
  Log.append(std::move(Record), boot_clock::now() + AppendLimit,
             [this](const append_outcome &Outcome) {
               if (Outcome.End == append_end::Folded)
                 appendNext();
               else
                 Chunks.clear();
             });
}

} // namespace galenalink::node
