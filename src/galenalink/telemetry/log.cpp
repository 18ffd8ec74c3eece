#include "galenalink/telemetry/log.hpp"
#include "galenalink/core/time.hpp"
#include <algorithm>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <climits>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace galenalink::telemetry {

namespace {

namespace expressions = boost::log::expressions;

using backend = boost::log::sinks::text_ostream_backend;
using sink = boost::log::sinks::synchronous_sink<backend>;

BOOST_LOG_ATTRIBUTE_KEYWORD(level, "Severity", severity)

/**
 * @brief Writes each line with one call that cannot block. A pipe that reports
 * room takes `PIPE_BUF` bytes at once, so longer lines are cut.
 */
class line_writer {
public:
  explicit line_writer(const int Descriptor) : Descriptor{Descriptor} {}

  /** @return Whether the line was written; a lost line is counted. */
  bool write(const std::string &Line) {
    if (Unreported > 0 &&
        tryWrite("{\"severity\":\"warning\",\"module\":\"log\",\"message\":"
                 "\"lines lost\",\"count\":\"" +
                 std::to_string(Unreported) + "\"}"))
      Unreported = 0;
    if (Unreported == 0 && tryWrite(Line))
      return true;
    ++Unreported;
    return false;
  }

private:
  [[nodiscard]] bool tryWrite(std::string Line) const {
    pollfd Poll{Descriptor, POLLOUT, 0};
    if (poll(&Poll, 1, 0) != 1 || (Poll.revents & POLLOUT) == 0)
      return false;
    Line.resize(std::min<std::size_t>(Line.size(), PIPE_BUF - 1));
    Line.push_back('\n');
    return ::write(Descriptor, Line.data(), Line.size()) ==
           static_cast<ssize_t>(Line.size());
  }

  int Descriptor;
  std::uint64_t Unreported{0};
};

struct sink_state {
  severity Least{severity::Info};
  bool Json{false};
  std::uint64_t Lost{0};
  /** Takes complete lines; null if lines go through the sink of the library. */
  std::shared_ptr<line_writer> Writer;
};

sink_state &state() noexcept {
  static sink_state State;
  return State;
}

void writeLine(const std::string &Line) {
  if (!state().Writer->write(Line))
    ++state().Lost;
}

boost::log::sources::severity_logger<severity> &source() {
  static boost::log::sources::severity_logger<severity> Source;
  return Source;
}

/** @brief Quotes a value that would break the `name=value` form. */
std::string quoted(const std::string &Value) {
  const bool Plain = !Value.empty() &&
                     Value.find_first_of(" \"=\n\r\t\\") == std::string::npos;
  return Plain ? Value
               : nlohmann::json(Value).dump(
                     -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string textLine(const std::string_view Prefix,
                     const std::string_view Message,
                     const std::span<const attribute> Attributes) {
  std::string Line{Prefix};
  Line += ": ";
  Line += Message;
  for (const auto &Attribute : Attributes) {
    Line += ' ';
    Line += Attribute.Name;
    Line += '=';
    Line += quoted(Attribute.Value);
  }
  return Line;
}

/** @brief Passes the lines of the library's core to a writer. */
class writer_backend : public boost::log::sinks::basic_formatted_sink_backend<
                           char, boost::log::sinks::synchronized_feeding> {
public:
  void consume(const boost::log::record_view & /*Record*/,
               const std::string &Line) {
    writeLine(Line);
  }
};

/** @brief Appends the text as a JSON string. */
void appendJsonString(std::string &Out, const std::string_view Text) {
  const bool Plain = std::ranges::all_of(Text, [](const char Each) {
    return Each >= ' ' && Each < 0x7f && Each != '"' && Each != '\\';
  });
  if (!Plain) {
    Out += nlohmann::json(Text).dump(-1, ' ', false,
                                     nlohmann::json::error_handler_t::replace);
    return;
  }
  Out += '"';
  Out += Text;
  Out += '"';
}

std::string jsonLine(const severity Level, const std::string_view Prefix,
                     const std::string_view Message,
                     const std::span<const attribute> Attributes) {
  std::string Line = "{\"time_ms\":" + std::to_string(wallNow());
  const auto Add = [&Line](const std::string_view Name,
                           const std::string_view Value) {
    Line += ',';
    appendJsonString(Line, Name);
    Line += ':';
    appendJsonString(Line, Value);
  };
  Add("severity", nameOf(SeverityNames, Level));
  Add("module", Prefix);
  Add("message", Message);
  for (const auto &Attribute : Attributes)
    Add(Attribute.Name, Attribute.Value);
  Line += '}';
  return Line;
}

template <typename Sink> void install(const Sink &Added) {
  const auto Core = boost::log::core::get();
  Core->remove_all_sinks();
  if (state().Json) {
    Added->set_formatter(expressions::stream << expressions::smessage);
  } else {
    Added->set_formatter(
        expressions::stream
        << expressions::format_date_time<boost::posix_time::ptime>(
               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
        << ' ' << expressions::smessage);
  }
  Core->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock{});
  Core->set_filter(level >= state().Least);
  Core->add_sink(Added);
}

} // namespace

void openLog(const severity Least, const bool Json) {
  state() = {Least, Json, 0, nullptr};
  auto Backend = boost::make_shared<backend>();
  Backend->add_stream(boost::shared_ptr<std::ostream>{
      &std::clog, [](const std::ostream * /*unused*/) {}});
  Backend->auto_flush(true);
  install(boost::make_shared<sink>(Backend));
}

void openLogOn(const int Descriptor, const severity Least, const bool Json) {
  state() = {Least, Json, 0, std::make_shared<line_writer>(Descriptor)};
  install(
      boost::make_shared<boost::log::sinks::synchronous_sink<writer_backend>>(
          boost::make_shared<writer_backend>()));
}

std::uint64_t lostLogLines() noexcept { return state().Lost; }

void logger::write(const severity Level, const std::string_view Message,
                   const std::span<const attribute> Attributes) const {
  if (Level < state().Least)
    return;
  const std::string Line = state().Json
                               ? jsonLine(Level, Prefix, Message, Attributes)
                               : textLine(Prefix, Message, Attributes);
  // JSON lines are complete; the library only adds the time to text lines.
  if (state().Json && state().Writer) {
    writeLine(Line);
    return;
  }
  BOOST_LOG_SEV(source(), Level) << Line;
}

} // namespace galenalink::telemetry
