#include "galenalink/node/work_report.hpp"
#include "galenalink/core/random.hpp"

namespace galenalink::node {

namespace {

constexpr duration Period = std::chrono::seconds{60};
constexpr duration AppendLimit = std::chrono::seconds{5};
/** Keeps a summary near 32 KiB; the rest follows in the next one. */
constexpr int MaxCounts = 512;

} // namespace

void work_report::add(const std::string &Customer, const std::string &Pool,
                      const account::work_counts &Work) {
  auto &Count = Counts[{Customer, Pool}];
  Count.Placed += Work.Placed;
  Count.Refused += Work.Refused;
  Count.Late += Work.Late;
}

void work_report::tick(const time_point Now) {
  if (NextAt <= Now)
    append(Now);
}

void work_report::flush(const time_point Now) { append(Now); }

void work_report::append(const time_point Now) {
  if (Appending)
    return;
  // An append with a lost answer is repeated under its id, so that its counts
  // are neither lost nor folded twice.
  if (Unconfirmed && fleet::findAppend(State, Unconfirmed->id()))
    Unconfirmed.reset();
  if (!Unconfirmed) {
    if (Counts.empty())
      return;
    wire::record &Record = Unconfirmed.emplace();
    Record.set_id(randomId());
    Record.set_writer(static_cast<std::uint64_t>(Self));
    auto &Summary = *Record.mutable_work();
    Summary.set_sequence(++Sequence);
    while (!Counts.empty() && Summary.counts_size() < MaxCounts) {
      const auto Node = Counts.extract(Counts.begin());
      auto &Count = *Summary.add_counts();
      Count.set_member(Node.key().first);
      Count.set_pool(Node.key().second);
      Count.set_placed(Node.mapped().Placed);
      Count.set_refused(Node.mapped().Refused);
      Count.set_late(Node.mapped().Late);
    }
  }
  NextAt = Now + Period;
  Appending = true;
  Log.append(*Unconfirmed, Now + AppendLimit,
             [this](const append_outcome &Outcome) {
               Appending = false;
               if (Outcome.End == append_end::Folded)
                 Unconfirmed.reset();
             });
}

} // namespace galenalink::node
