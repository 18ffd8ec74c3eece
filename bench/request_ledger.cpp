// Cost of the request ledger, with and without replicas, and the share of keys
// that are unknown after losses. Run without arguments.
#include "galenalink/request/unknown_share.hpp"
#include <benchmark/benchmark.h>
#include <cstdio>
#include <malloc.h>

using namespace galenalink;
using namespace galenalink::request;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t Held = 100'000;
constexpr node_id Self{1};

/** A ledger that is driven by itself, with replicas that always agree. */
class driver {
public:
  explicit driver(const std::size_t Replicas) {
    std::vector<node_id> Nodes;
    for (std::size_t Index = 0; Index < Replicas; ++Index)
      Nodes.push_back(node_id{Index + 2});
    Ledger.rosterChanged(1, Nodes, Now, Out);
    while (!Out.empty())
      acknowledge();
  }

  submission make(const bool Idempotent) {
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
    Ledger.submit(std::move(Work), at(), Out);
    Queued = std::get<enqueue>(Out.back()).Entry;
    Out.clear();
  }

  /** Submit, dispatch and answer of one request. */
  void run(submission Work) {
    submit(std::move(Work));
    const attempt_id Attempt{Self, ++Attempts};
    Ledger.prepare(Queued, Attempt, "vm-17", 4, at(), Out);
    acknowledge();
    Ledger.answered(Attempt, "result", Now, Out);
    acknowledge();
    Out.clear();
  }

  /** Advances time by one part of the retention, so that keys expire. */
  void advance() {
    Now += std::chrono::duration_cast<duration>(std::chrono::hours{1}) / Held;
    Ledger.tick(at(), Out);
  }

  [[nodiscard]] instant at() const {
    return {Now, Now.time_since_epoch() / milliseconds{1}, time_point::max()};
  }

  ledger Ledger{settings(), 1};

private:
  static ledger_settings settings() {
    ledger_settings Settings;
    Settings.RequiredReplicas = 0;
    Settings.MaxEntries = 2 * Held;
    return Settings;
  }

  void acknowledge() {
    Sent.clear();
    std::swap(Sent, Out);
    for (const effect &Effect : Sent) {
      if (const auto *const Message = std::get_if<replicate>(&Effect))
        Ledger.acknowledged({Message->To, Message->Call, 1, true}, at(), Out);
    }
  }

  effects Out;
  effects Sent;
  time_point Now{std::chrono::seconds{1000}};
  entry_handle Queued;
  std::uint64_t Attempts{};
  std::uint64_t Keys{};
};

/** The table is full of finished keys, of which one expires per request. */
void runRequest(benchmark::State &State) {
  const bool Idempotent = State.range(1) != 0;
  driver Driver{static_cast<std::size_t>(State.range(0))};
  for (std::size_t Count = 0; Count < Held; ++Count) {
    Driver.advance();
    Driver.run(Driver.make(Idempotent));
  }
  for (auto Step : State) {
    Driver.advance();
    Driver.run(Driver.make(Idempotent));
  }
  State.counters["entries"] = static_cast<double>(Driver.Ledger.size());
}

/** Baseline: the same messages are made, but no table is kept. */
void makeRequestOnly(benchmark::State &State) {
  driver Driver{0};
  for (auto Step : State)
    benchmark::DoNotOptimize(Driver.make(true));
}

/** Expiry of one entry among few and among many. */
void expireEntry(benchmark::State &State) {
  const auto Entries = static_cast<std::size_t>(State.range(0));
  for (auto Step : State) {
    State.PauseTiming();
    driver Driver{0};
    for (std::size_t Count = 0; Count < Entries; ++Count)
      Driver.run(Driver.make(true));
    effects Out;
    instant Later = Driver.at();
    Later.Now += std::chrono::hours{2};
    State.ResumeTiming();
    Driver.Ledger.tick(Later, Out);
  }
  State.SetItemsProcessed(State.iterations() * State.range(0));
}

void printBytes() {
  for (const bool Finished : {false, true}) {
    driver Driver{0};
    const auto Before = mallinfo2().uordblks;
    for (std::size_t Count = 0; Count < Held; ++Count) {
      if (Finished)
        Driver.run(Driver.make(false));
      else
        Driver.submit(Driver.make(false));
    }
    const auto Used = mallinfo2().uordblks - Before;
    std::printf("bytes an entry, %s: %zu (payload %zu)\n",
                Finished ? "finished with a result of 6 bytes"
                         : "queued with a body of 200 bytes",
                Used / Held, Driver.Ledger.bytes() / Held);
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
