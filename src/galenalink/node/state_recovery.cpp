#include "galenalink/node/state_recovery.hpp"
#include "galenalink/core/hash.hpp"
#include "galenalink/telemetry/log.hpp"
#include "peer.pb.h"
#include "records.pb.h"

namespace galenalink::node {

namespace {

constexpr telemetry::logger Log{"recovery"};

constexpr std::size_t RecordsPerRead = 512;
constexpr duration AskAgainPeriod = std::chrono::seconds{1};
/** Far above the state of 6,700 VMs; a peer that sends more is cut off. */
constexpr std::size_t MaxStateBytes = 64U << 20U;

} // namespace

state_recovery::state_recovery(const platform::adapter &Adapter,
                               fleet::parse_hook Parse, recovery_hooks Hooks)
    : Adapter{Adapter}, Parse{std::move(Parse)}, Hooks{std::move(Hooks)},
      Alive{std::make_shared<bool>(true)} {}

void state_recovery::start(const log_offset FirstIn) {
  if (Running)
    return;
  Running = true;
  First = FirstIn;
  Assembly = {};
  Log.warning("Looking for a snapshot in the log.", {{"first", First}});
  read(First);
}

void state_recovery::read(const log_offset From) {
  Next = From;
  Adapter.Read(From, RecordsPerRead,
               [this, Guard = std::weak_ptr<bool>{Alive}](
                   const platform::outcome_of<platform::log_page> &Answer) {
                 if (!Guard.expired())
                   received(Answer);
               });
}

void state_recovery::received(
    const platform::outcome_of<platform::log_page> &Answer) {
  const auto *Page = std::get_if<platform::log_page>(&Answer);
  if (Page == nullptr) {
    finish();
    return;
  }
  First = Page->First;
  for (const auto &Each : Page->Records) {
    wire::record Record;
    if (Record.ParseFromString(Each.Data) && Record.has_snapshot())
      Assembly.add(Record.snapshot());
    Next = Each.Offset + 1;
  }
  if (Page->Records.empty() || Next >= Page->End)
    finish();
  else
    read(Next);
}

void state_recovery::finish() {
  Running = false;
  if (auto Found = Assembly.take(First, Parse)) {
    offer(std::move(*Found));
    return;
  }
  Log.warning("The log holds no usable snapshot.", {{"first", First}});
  askPeers(boot_clock::now());
}

void state_recovery::askPeers(const time_point Now) {
  if (Now < AskAgainAt)
    return;
  AskAgainAt = Now + AskAgainPeriod;
  Parts.clear();
  Hooks.AskPeers();
}

void state_recovery::receive(const node_id From,
                             const wire::state_reply &Part) {
  auto &Bytes = Parts[From];
  if (Part.index() == 0)
    Bytes.clear();
  Bytes += Part.data();
  if (Bytes.size() > MaxStateBytes) {
    Parts.erase(From);
    return;
  }
  if (Part.index() + 1 != Part.total())
    return;
  const std::string Whole = std::move(Bytes);
  Parts.erase(From);
  if (hash64(Whole) != Part.checksum()) {
    Log.warning("A peer's state is damaged.");
    return;
  }
  auto Restored = tryOr(
      [&]() -> result<std::optional<fleet::restored>> {
        BOOST_LEAF_AUTO(State, fleet::restore(Whole, Parse));
        return std::optional{std::move(State)};
      },
      [](const error &Error) {
        Log.warning("A peer's state can't be read.",
                    {{"cause", Error.Message}});
        return std::optional<fleet::restored>{};
      });
  if (Restored)
    offer(std::move(*Restored));
}

void state_recovery::offer(fleet::restored Restored) {
  // A state that is behind this node's own must never replace it.
  if (Restored.State.Offset <= Hooks.Folded())
    return;
  Log.info("Restored the state.", {{"through", Restored.State.Offset}});
  Hooks.Restored(std::move(Restored));
}

} // namespace galenalink::node
