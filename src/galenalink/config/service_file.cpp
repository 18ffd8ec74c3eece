#include "galenalink/config/service_file.hpp"
#include "galenalink/config/detail/reader.hpp"
#include <algorithm>
#include <set>

namespace galenalink::config {

namespace {

using detail::range;
using detail::reader;

constexpr range ShardRange{1, 256, ""};
constexpr range VmRange{0, 100000, "VMs"};
constexpr range SlotRange{0, 1000000, "slots"};
constexpr range RunRange{1, 86400000, "ms"};
constexpr range TimeoutRange{10, 86400000, "ms"};
constexpr range PeriodRange{1, 3650, "days"};
constexpr range HoldRange{0, 2592000000, "ms"};
constexpr range HourRange{0, 24, "hours"};

/** @brief Names become parts of URLs, so their characters are restricted. */
bool isName(const std::string &Name) {
  constexpr std::size_t MaxNameLength = 64;
  return !Name.empty() && Name.size() <= MaxNameLength &&
         std::all_of(Name.begin(), Name.end(), [](const char Character) {
           return (Character >= 'a' && Character <= 'z') ||
                  (Character >= '0' && Character <= '9') || Character == '-';
         });
}

void readName(reader &Reader, const std::string_view Key, std::string &Out) {
  Reader.text(Key, Out, true);
  if (!Out.empty() && !isName(Out))
    Reader.fail(Key, "must have 1 to 64 characters of a-z, 0-9 and -");
}

void readPool(reader &Reader, pool &Pool) {
  readName(Reader, "name", Pool.Name);
  Reader.number("shards", Pool.Shards, ShardRange)
      .number("min_up", Pool.MinUp, VmRange)
      .flag("spare", Pool.Spare);
}

void readQueue(reader &Reader, queue &Queue) {
  readName(Reader, "name", Queue.Name);
  Reader.choice("kind", Queue.Kind, WorkKindNames)
      .flag("idempotent", Queue.Idempotent)
      .number("expected_run_ms", Queue.ExpectedRunMs, RunRange)
      .number("timeout_ms", Queue.TimeoutMs, TimeoutRange)
      .choice("on_drain", Queue.OnDrain, DrainActionNames);
}

void readService(reader &Reader, service &Service) {
  readName(Reader, "name", Service.Name);
  readName(Reader, "pool", Service.Pool);
  Reader.number("min_up", Service.MinUp, VmRange)
      .array("queues",
             [&](reader &Nested) {
               readQueue(Nested, Service.Queues.emplace_back());
             })
      .array("teams", [&](reader &Nested) {
        auto &Team = Service.Teams.emplace_back();
        readName(Nested, "name", Team.Name);
        Nested.number("quota_slots", Team.QuotaSlots, SlotRange);
      });
}

void readMaintenance(reader &Reader, maintenance &Maintenance) {
  constexpr std::uint64_t Absent = UINT64_MAX;
  std::uint64_t HoldMs = Absent;
  Reader.number("period_days", Maintenance.PeriodDays, PeriodRange)
      .number("hold_ms", HoldMs, HoldRange)
      .array("windows", [&](reader &Nested) {
        auto &Window = Maintenance.Windows.emplace_back();
        Nested.number("from_hour", Window.FromHour, HourRange)
            .number("to_hour", Window.ToHour, HourRange);
      });
  if (HoldMs != Absent)
    Maintenance.HoldMs = HoldMs;
}

template <typename Container>
void checkUnique(detail::report &Report, const std::string &Path,
                 const Container &Items) {
  std::set<std::string> Seen;
  for (std::size_t Index = 0; Index < Items.size(); ++Index) {
    if (!Seen.insert(Items[Index].Name).second)
      Report.add(Path + '/' + std::to_string(Index) + "/name",
                 "\"" + Items[Index].Name + "\" is declared twice");
  }
}

void checkUniqueNames(detail::report &Report, const service_file &File) {
  checkUnique(Report, "/pools", File.Pools);
  checkUnique(Report, "/services", File.Services);
  for (std::size_t Index = 0; Index < File.Services.size(); ++Index) {
    const std::string Path = "/services/" + std::to_string(Index);
    const auto &Service = File.Services[Index];
    checkUnique(Report, Path + "/queues", Service.Queues);
    checkUnique(Report, Path + "/teams", Service.Teams);
    if (Service.Queues.empty())
      Report.add(Path, "needs at least one queue in \"queues\"");
  }
}

} // namespace

std::vector<diagnostic> parseServiceFile(const std::string_view Name,
                                         const std::string_view Text,
                                         service_file &Out) {
  detail::report Report{std::string{Name}, std::string{Text}, {}};
  const auto Json = detail::parseJson(Report);
  if (!Json)
    return std::move(Report.Diagnostics);
  reader Reader{*Json, "", Report};
  readName(Reader, "member", Out.Customer);
  Reader
      .array(
          "pools",
          [&](reader &Nested) { readPool(Nested, Out.Pools.emplace_back()); })
      .array("services",
             [&](reader &Nested) {
               readService(Nested, Out.Services.emplace_back());
             })
      .object("maintenance",
              [&](reader &Nested) {
                readMaintenance(Nested, Out.Maintenance.emplace());
              })
      .array("lending", [&](reader &Nested) {
        auto &Lending = Out.Lending.emplace_back();
        readName(Nested, "to", Lending.To);
        Nested.number("max_vms", Lending.MaxVms, VmRange);
      });
  Reader.finish();
  if (Report.Diagnostics.empty())
    checkUniqueNames(Report, Out);
  return std::move(Report.Diagnostics);
}

} // namespace galenalink::config
