#include "galenalink/node/log_follower.hpp"
#include "galenalink/core/random.hpp"
#include "galenalink/fleet/apply.hpp"
#include "galenalink/telemetry/log.hpp"
#include "galenalink/telemetry/rate_limit.hpp"
#include "records.pb.h"
#include <utility>

namespace galenalink::node {

namespace {

constexpr telemetry::logger Log{"log"};

/** A quarter of the shortest delay that the promises allow: a change is in
 * force within 4 s, a leaving VM gets no work after 3 s. */
constexpr duration PollPeriod = std::chrono::milliseconds{250};
constexpr std::size_t MaxRecordsPerRead = 512;

} // namespace

struct log_follower::pending {
  time_point Deadline;
  append_hook Done;
};

log_follower::log_follower(http::loop &Loop, const platform::adapter &Adapter,
                           fleet::state &State, follower_hooks Hooks)
    : Loop{Loop}, Adapter{Adapter}, State{State}, Hooks{std::move(Hooks)},
      Alive{std::make_shared<bool>(true)} {}

log_follower::~log_follower() = default;

void log_follower::start() {
  Poll = Loop.every(PollPeriod, [this] {
    expireAppends();
    read();
  });
  read();
}

void log_follower::hurry() {
  if (Reading)
    Again = true;
  else
    read();
}

void log_follower::read() {
  if (Reading)
    return;
  Reading = true;
  const auto SentAt = boot_clock::now();
  Adapter.Read(State.Offset + 1, MaxRecordsPerRead,
               [this, SentAt, Guard = std::weak_ptr<bool>{Alive}](
                   const platform::outcome_of<platform::log_page> &Answer) {
                 if (!Guard.expired())
                   received(SentAt, Answer);
               });
}

void log_follower::received(
    const time_point SentAt,
    const platform::outcome_of<platform::log_page> &Answer) {
  Reading = false;
  const auto *Page = std::get_if<platform::log_page>(&Answer);
  const bool Before = std::exchange(Available, Page != nullptr);
  if (Before != Available)
    Log.info(Available ? "The platform's log answers."
                       : "The platform's log does not answer.",
             {{"offset", State.Offset}});
  if (Page == nullptr)
    return;
  First = Page->First;
  End = Page->End;
  if (First > State.Offset + 1) {
    Hooks.Gap(State.Offset + 1, First);
    return;
  }
  for (const auto &Record : Page->Records)
    fold(Record);
  const bool CaughtUp = State.Offset + 1 >= End;
  if (CaughtUp)
    Hooks.Evidence(SentAt);
  if (!CaughtUp || std::exchange(Again, false))
    Loop.post([this, Guard = std::weak_ptr<bool>{Alive}] {
      if (!Guard.expired())
        read();
    });
}

void log_follower::fold(const platform::log_record &Record) {
  if (Record.Offset != State.Offset + 1)
    return;
  wire::record Message;
  if (!Message.ParseFromString(Record.Data)) {
    fleet::applyUndecodable(State, Record.Offset);
    Log.warning("Skipped a malformed record.", {{"offset", Record.Offset}});
    return;
  }
  const auto Applied = fleet::apply(State, Record.Offset, Message);
  if (!Applied.accepted())
    Log.info(
        "Rejected a record.",
        {{"offset", Record.Offset},
         {"reason", std::string{nameOf(fleet::RejectionNames, Applied.Reason)}},
         {"detail", Applied.Detail}});
  Hooks.Folded(Message, Applied);
  // A second copy of an append has the result of the first.
  if (Applied.Reason != fleet::rejection::Duplicate)
    finish(Message.id(), {append_end::Folded, Applied});
  else if (const auto First = fleet::findAppend(State, Message.id()))
    finish(Message.id(), {append_end::Folded, *First});
}

std::uint64_t log_follower::append(wire::record Record,
                                   const time_point Deadline,
                                   append_hook Done) {
  if (Record.id() == 0)
    Record.set_id(randomId());
  if (Record.at_ms() == 0)
    Record.set_at_ms(wallNow());
  const std::uint64_t Id = Record.id();
  const std::string Data = Record.SerializeAsString();
  BytesAppended += Data.size();
  Pending[Id] = {Deadline, std::move(Done)};
  Adapter.Append(Id, Data,
                 [this, Id, Guard = std::weak_ptr<bool>{Alive}](
                     const platform::append_result &Answer) {
                   if (Guard.expired())
                     return;
                   // An unknown answer is resolved by reading the log.
                   if (Answer.State == platform::append_state::DidNotHappen)
                     finish(Id, {append_end::NotAccepted, {}});
                   else
                     hurry();
                 });
  return Id;
}

void log_follower::finish(const std::uint64_t Id,
                          const append_outcome &Outcome) {
  auto Node = Pending.extract(Id);
  if (Node && Node.mapped().Done)
    Node.mapped().Done(Outcome);
}

void log_follower::expireAppends() {
  const auto Now = boot_clock::now();
  std::vector<std::uint64_t> Late;
  for (const auto &[Id, Append] : Pending) {
    if (Append.Deadline <= Now)
      Late.push_back(Id);
  }
  for (const auto Id : Late)
    finish(Id, {append_end::Unknown, {}});
}

} // namespace galenalink::node
