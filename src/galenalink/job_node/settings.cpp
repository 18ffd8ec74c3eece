#include "galenalink/job_node/settings.hpp"
#include "galenalink/config/detail/reader.hpp"
#include "galenalink/http/address.hpp"

namespace galenalink::job_node {

namespace {

using config::detail::range;
using config::detail::reader;

constexpr range PortRange{0, 65535, ""};
constexpr range TimeRange{1, 3600000, "ms"};
constexpr range SecondsRange{0, 3600, "s"};
constexpr range RateWindowRange{1, 60, "s"};
constexpr range ProcessorShareRange{0, 1, ""};
constexpr range DescriptorRange{256, 1000000, ""};
constexpr range MemoryRange{64, 1000000, "MB"};
constexpr range LinkRange{0, 1000000, "Mbit/s"};
constexpr range ProcessorSpeedRange{1, 1000, ""};

void checkAddress(reader &Reader, const std::string_view Key,
                  const std::string &Address) {
  const bool Valid = tryOr(
      [&]() -> result<bool> {
        BOOST_LEAF_AUTO(Parsed, http::parseAddress(Address));
        return Parsed.Port != 0;
      },
      [](const error &) { return false; });
  if (!Valid)
    Reader.fail(Key, "must be a numeric address with a port");
}

void readAddress(reader &Reader, const std::string_view Key, std::string &Out) {
  Reader.text(Key, Out, true);
  checkAddress(Reader, Key, Out);
}

} // namespace

std::vector<config::diagnostic> parseSettings(const std::string_view Name,
                                              const std::string_view Text,
                                              settings &Out) {
  config::detail::report Report{std::string{Name}, std::string{Text}, {}};
  const auto Json = config::detail::parseJson(Report);
  if (!Json)
    return std::move(Report.Diagnostics);
  reader Reader{*Json, "", Report};
  Reader.text("name", Out.Name, true).text("data_centre", Out.DataCentre, true);
  readAddress(Reader, "callers", Out.Callers);
  readAddress(Reader, "readiness", Out.Readiness);
  readAddress(Reader, "store", Out.Store);
  readAddress(Reader, "vm_list", Out.VmList);
  Reader.text("advice", Out.TicketService)
      .object("peers",
              [&](reader &Nested) {
                Nested.text("host", Out.Peers.Host, true)
                    .number("port", Out.Peers.Port, PortRange);
              })
      .number("max_lease_ms", Out.MaxLeaseMs, TimeRange)
      .number("stop_ms", Out.StopMs, TimeRange)
      .decimal("stop_deadline_s", Out.StopDeadlineS, SecondsRange)
      .decimal("processor_share", Out.ProcessorShare, ProcessorShareRange)
      .decimal("processor_speed", Out.ProcessorSpeed, ProcessorSpeedRange)
      .number("max_descriptors", Out.MaxDescriptors, DescriptorRange)
      .number("memory_mb", Out.MemoryMb, MemoryRange)
      .decimal("link_mbit", Out.LinkMbit, LinkRange)
      .decimal("move_s", Out.MoveS, SecondsRange)
      .decimal("maintenance_s", Out.MaintenanceS, SecondsRange)
      .number("holder_pause_ms", Out.MinVmOrderGapMs, TimeRange)
      .decimal("rate_window_s", Out.RateWindowS, RateWindowRange)
      .flag("fair_shares", Out.FairShares)
      .choice("load_shedding", Out.LoadShedding, job::LoadSheddingNames)
      .object("log", [&](reader &Nested) {
        Nested.choice("level", Out.Level, config::LogLevelNames)
            .choice("format", Out.Format, config::LogFormatNames);
      });
  Reader.finish();
  return std::move(Report.Diagnostics);
}

} // namespace galenalink::job_node
