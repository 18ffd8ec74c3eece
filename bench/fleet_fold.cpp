// Compares the cost of applying a record to the fleet state with 6,700 VMs and
// with 50 VMs in the same run, and prints the sizes of records and snapshots in
// the log.
#include "galenalink/fleet/apply.hpp"
#include "galenalink/fleet/snapshot.hpp"
#include "records.pb.h"
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

using namespace galenalink;
using namespace galenalink::fleet;

namespace {

constexpr double TargetRatio = 2.0;
constexpr std::size_t Rounds = 31;
constexpr std::size_t RecordsPerRound = 20000;
/** Records applied before the measurement. They fill the window of appends and
 * bring VMs into all states, as in a fleet in service. */
constexpr std::size_t WarmUpRecords = 3 * append_window::Capacity;

struct sizes {
  std::uint32_t Vms;
  std::uint32_t Pools;
};
constexpr sizes Small{50, 5};
constexpr sizes Large{6700, 32};

std::string poolName(const std::uint32_t Number) {
  return "pool-" + std::to_string(Number);
}

/** @brief Parses a document whose text is the number of pools to define. */
std::vector<config::diagnostic> parsePools(std::string_view /*Name*/,
                                           const std::string_view Text,
                                           config::service_file &Out) {
  Out.Customer = "halloran";
  const auto Count = std::stoul(std::string{Text});
  for (std::uint32_t Number = 0; Number < Count; ++Number)
    Out.Pools.push_back({poolName(Number), 4, 1, false});
  return {};
}

/** @brief Creates records and applies them to a state. */
class record_writer {
public:
  explicit record_writer(state &StateIn) : State(StateIn) {}

  wire::record begin() {
    wire::record Record;
    Record.set_id(++Id * 0x9e3779b97f4a7c15U);
    Record.set_writer(0x0123456789abcdefU);
    Record.set_at_ms(1'790'000'000'000 + static_cast<wall_ms>(Id));
    return Record;
  }

  bool write(const wire::record &Record) {
    return apply(State, State.Offset + 1, Record).accepted();
  }

private:
  state &State;
  std::uint64_t Id{0};
};

void populateFleet(record_writer &Writer, const sizes Size) {
  auto Record = Writer.begin();
  auto &Document = *Record.mutable_config()->add_documents();
  Document.set_name("pools");
  Document.set_text(std::to_string(Size.Pools));
  Writer.write(Record);
  for (std::uint32_t Number = 0; Number < Size.Vms; ++Number) {
    Record = Writer.begin();
    auto &Add = *Record.mutable_add_vm();
    Add.set_vm("vm-" + std::to_string(Number));
    Add.set_member("halloran");
    Add.set_place("place-" + std::to_string(Number % 4));
    Add.set_rack("rack-" + std::to_string(Number / 16));
    Add.set_address("10.0.0.1:8080");
    Add.set_pool(poolName(Number % Size.Pools));
    Add.set_condition(wire::VM_UP);
    Writer.write(Record);
  }
}

/** @brief Draws a change of a random VM that is likely to be accepted. */
wire::record drawRecord(record_writer &Writer, const state &State,
                        const sizes Size, std::mt19937 &Random) {
  auto Record = Writer.begin();
  const vm &Vm = State.Vms.at(Random() % Size.Vms);
  const auto Set = [&Vm](auto &Body) -> auto & {
    Body.set_vm(Vm.Name);
    Body.set_epoch(Vm.Epoch);
    return Body;
  };
  if (Vm.Maintenance == vm_maintenance::Permitted)
    Set(*Record.mutable_reboot()).set_action(Vm.Action);
  else if (Vm.Maintenance == vm_maintenance::Rebooting)
    Set(*Record.mutable_done()).set_action(Vm.Action);
  else if (Vm.Motion == vm_motion::Releasing)
    Set(*Record.mutable_drained());
  else if (Vm.Motion == vm_motion::Drained)
    Set(*Record.mutable_take());
  else if (Vm.Condition == vm_condition::Down)
    Set(*Record.mutable_change_vm()).set_condition(wire::VM_UP);
  else if (Random() % 3 == 0)
    Set(*Record.mutable_change_vm()).set_condition(wire::VM_DOWN);
  else if (Random() % 2 == 0)
    Set(*Record.mutable_permit()).set_action(Record.id());
  else
    Set(*Record.mutable_release()).set_to_pool(poolName(Random() % Size.Pools));
  return Record;
}

/** @brief A fleet state and the records to apply to it. */
struct workload {
  explicit workload(const sizes Size) : Start(parsePools) {
    record_writer Writer{Start};
    populateFleet(Writer, Size);
    std::mt19937 Random{1};
    for (std::size_t Index = 0; Index < WarmUpRecords; ++Index)
      Writer.write(drawRecord(Writer, Start, Size, Random));
    state State = Start;
    record_writer StateWriter{State};
    for (std::size_t Index = 0; Index < RecordsPerRound; ++Index) {
      // Record ids continue after those of the setup.
      auto Record = drawRecord(Writer, State, Size, Random);
      Accepted += StateWriter.write(Record) ? 1 : 0;
      Records.push_back(std::move(Record));
    }
  }

  /** @return Mean time for one record over all records, in nanoseconds. */
  [[nodiscard]] double run() const {
    state State = Start;
    const auto Begin = std::chrono::steady_clock::now();
    for (const auto &Record : Records)
      apply(State, State.Offset + 1, Record);
    const std::chrono::duration<double, std::nano> Time =
        std::chrono::steady_clock::now() - Begin;
    return Time.count() / static_cast<double>(Records.size());
  }

  state Start;
  std::vector<wire::record> Records;
  std::size_t Accepted{0};
};

/** @brief Minimum of the rounds, because other load only adds time. */
double minimum(const std::vector<double> &Values) {
  return *std::min_element(Values.begin(), Values.end());
}

void printBytes(const workload &Workload) {
  std::vector<std::pair<std::string, std::size_t>> MaxBytes;
  const auto RecordMaxBytes = [&](const wire::record &Record) {
    const auto *Field = Record.GetDescriptor()->FindFieldByNumber(
        static_cast<int>(Record.body_case()));
    const auto Found =
        std::find_if(MaxBytes.begin(), MaxBytes.end(), [&](const auto &Entry) {
          return Entry.first == Field->name();
        });
    if (Found == MaxBytes.end())
      MaxBytes.emplace_back(Field->name(), Record.ByteSizeLong());
    else
      Found->second = std::max(Found->second, Record.ByteSizeLong());
  };
  state State{parsePools};
  record_writer Writer{State};
  auto Record = Writer.begin();
  Record.mutable_renew()->set_node(Record.writer());
  Record.mutable_renew()->set_settled_version(1'000'000);
  RecordMaxBytes(Record);
  auto &Join = *Record.mutable_join();
  Join.set_node(Record.writer());
  Join.set_place("jm-south-1");
  Join.set_member("authority");
  Join.set_peer_address("10.0.0.1:7000");
  Join.set_caller_address("10.0.0.1:8000");
  Join.set_name("entry-1");
  RecordMaxBytes(Record);
  Record.mutable_evict()->set_node(Record.writer());
  RecordMaxBytes(Record);
  for (const auto &Each : Workload.Records)
    RecordMaxBytes(Each);
  for (const auto &[Name, Bytes] : MaxBytes)
    std::printf("fleet_fold bytes of %-10s at most %zu\n", Name.c_str(), Bytes);
}

} // namespace

int main() {
  const workload SmallFleet{Small};
  const workload LargeFleet{Large};
  std::vector<double> SmallTimes;
  std::vector<double> LargeTimes;
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    SmallTimes.push_back(SmallFleet.run());
    LargeTimes.push_back(LargeFleet.run());
  }
  printBytes(LargeFleet);
  std::printf("fleet_fold snapshot of %u VMs: %zu bytes\n", Large.Vms,
              serialize(LargeFleet.Start).size());
  std::printf("fleet_fold accepted of %zu records: %zu with %u VMs, %zu with "
              "%u VMs\n",
              RecordsPerRound, SmallFleet.Accepted, Small.Vms,
              LargeFleet.Accepted, Large.Vms);
  const double SmallCost = minimum(SmallTimes);
  const double LargeCost = minimum(LargeTimes);
  const double Ratio = LargeCost / SmallCost;
  const bool Pass = Ratio <= TargetRatio;
  std::printf("fleet_fold one record: %.0f ns with %u VMs, %.0f ns with %u "
              "VMs, ratio %.2f, target %.2f %s\n",
              SmallCost, Small.Vms, LargeCost, Large.Vms, Ratio, TargetRatio,
              Pass ? "PASS" : "FAIL");
  return Pass ? 0 : 1;
}
