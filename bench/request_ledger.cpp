// Measures the cost of the request ledger with and without replicas, and prints
// the share of keys that are unknown after losses of nodes. Needs no arguments.
#include "galenalink/request/unknown_share.hpp"
#include <benchmark/benchmark.h>
#include <cstdio>
#include <malloc.h>

using namespace galenalink;
using namespace galenalink::request;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t EntryCount = 100'000;
constexpr node_id Self{1};

/** @brief Drives a ledger whose replicas acknowledge every message at once. */
class ledger_driver {
public:
  explicit ledger_driver(const std::size_t Replicas) {
    std::vector<node_id> Nodes;
    for (std::size_t Index = 0; Index < Replicas; ++Index)
      Nodes.push_back(node_id{Index + 2});
    Ledger.rosterChanged(1, Nodes, Now, Out);
    while (!Out.empty())
      acknowledge();
  }

  submission makeSubmission(const bool Idempotent) {
    return {{"halloran", "newsletters", "issue-" + std::to_string(++Keys)},
            "proof",
            "north",
            std::string(200, 'b'),
            Idempotent,
            false,
            Now + milliseconds{1000},
            Keys};
  }

  void submit(submission Work) {
    Ledger.submit(std::move(Work), currentInstant(), Out);
    Queued = std::get<enqueue>(Out.back()).Entry;
    Out.clear();
  }

  /** @brief Submits, dispatches and completes one request. */
  void completeRequest(submission Work) {
    submit(std::move(Work));
    const attempt_id Attempt{Self, ++Attempts};
    Ledger.prepare(Queued, Attempt, "vm-17", 4, currentInstant(), Out);
    acknowledge();
    Ledger.answered(Attempt, "result", Now, Out);
    acknowledge();
    Out.clear();
  }

  /** @brief Advances time so that one key expires per request at steady state.
   */
  void advanceTime() {
    Now += std::chrono::duration_cast<duration>(std::chrono::hours{1}) /
           EntryCount;
    Ledger.tick(currentInstant(), Out);
  }

  [[nodiscard]] instant currentInstant() const {
    return {Now, Now.time_since_epoch() / milliseconds{1}, time_point::max()};
  }

  ledger Ledger{makeSettings(), 1};

private:
  static ledger_settings makeSettings() {
    ledger_settings Settings;
    Settings.RequiredReplicas = 0;
    Settings.MaxEntries = 2 * EntryCount;
    return Settings;
  }

  void acknowledge() {
    Sent.clear();
    std::swap(Sent, Out);
    for (const effect &Effect : Sent) {
      if (const auto *const Message = std::get_if<replicate>(&Effect))
        Ledger.acknowledged({Message->To, Message->Call, 1, true},
                            currentInstant(), Out);
    }
  }

  effects Out;
  effects Sent;
  time_point Now{std::chrono::seconds{1000}};
  entry_handle Queued;
  std::uint64_t Attempts{};
  std::uint64_t Keys{};
};

/** One request while the table is full of finished keys; one key expires per
 * request. */
void runRequest(benchmark::State &State) {
  const bool Idempotent = State.range(1) != 0;
  ledger_driver Driver{static_cast<std::size_t>(State.range(0))};
  for (std::size_t Count = 0; Count < EntryCount; ++Count) {
    Driver.advanceTime();
    Driver.completeRequest(Driver.makeSubmission(Idempotent));
  }
  for (auto Step : State) {
    Driver.advanceTime();
    Driver.completeRequest(Driver.makeSubmission(Idempotent));
  }
  State.counters["entries"] = static_cast<double>(Driver.Ledger.size());
}

/** Baseline: creates the same submissions without a ledger. */
void makeRequestOnly(benchmark::State &State) {
  ledger_driver Driver{0};
  for (auto Step : State)
    benchmark::DoNotOptimize(Driver.makeSubmission(true));
}

/** Expiry per entry with few and with many entries. */
void expireEntry(benchmark::State &State) {
  const auto Entries = static_cast<std::size_t>(State.range(0));
  for (auto Step : State) {
    State.PauseTiming();
    ledger_driver Driver{0};
    for (std::size_t Count = 0; Count < Entries; ++Count)
      Driver.completeRequest(Driver.makeSubmission(true));
    effects Out;
    instant Later = Driver.currentInstant();
    Later.Now += std::chrono::hours{2};
    State.ResumeTiming();
    Driver.Ledger.tick(Later, Out);
  }
  State.SetItemsProcessed(State.iterations() * State.range(0));
}

void printBytes() {
  for (const bool Finished : {false, true}) {
    ledger_driver Driver{0};
    const auto Before = mallinfo2().uordblks;
    for (std::size_t Count = 0; Count < EntryCount; ++Count) {
      if (Finished)
        Driver.completeRequest(Driver.makeSubmission(false));
      else
        Driver.submit(Driver.makeSubmission(false));
    }
    const auto Used = mallinfo2().uordblks - Before;
    std::printf("bytes an entry, %s: %zu (payload %zu)\n",
                Finished ? "finished with a result of 6 bytes"
                         : "queued with a body of 200 bytes",
                Used / EntryCount, Driver.Ledger.bytes() / EntryCount);
  }
}

} // namespace

BENCHMARK(makeRequestOnly);
BENCHMARK(runRequest)
    ->ArgNames({"replicas", "idempotent"})
    ->Args({0, 1})
    ->Args({0, 0})
    ->Args({1, 0})
    ->Args({2, 0})
    ->Args({2, 1});
BENCHMARK(expireEntry)->Arg(1'000)->Arg(100'000)->Iterations(5);

int main(int Count, char **Arguments) {
  benchmark::Initialize(&Count, Arguments);
  printBytes();
  std::printf("%s", request::test::unknownTable().c_str());
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
