#include "galenalink/telemetry/log.hpp"
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace galenalink::telemetry {

namespace {

namespace expressions = boost::log::expressions;

using backend = boost::log::sinks::text_ostream_backend;
using sink = boost::log::sinks::synchronous_sink<backend>;

BOOST_LOG_ATTRIBUTE_KEYWORD(level, "Severity", severity)

struct sink_state {
  severity Least{severity::Info};
  bool Json{false};
};

sink_state &state() noexcept {
  static sink_state State;
  return State;
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
                     const std::initializer_list<attribute> Attributes) {
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

std::string jsonLine(const severity Level, const std::string_view Prefix,
                     const std::string_view Message,
                     const std::initializer_list<attribute> Attributes) {
  nlohmann::ordered_json Line{{"severity", nameOf(SeverityNames, Level)},
                              {"module", Prefix},
                              {"message", Message}};
  for (const auto &Attribute : Attributes)
    Line[std::string{Attribute.Name}] = Attribute.Value;
  return Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void openLog(const severity Least, const bool Json) {
  state() = {Least, Json};
  const auto Core = boost::log::core::get();
  Core->remove_all_sinks();
  auto Backend = boost::make_shared<backend>();
  Backend->add_stream(boost::shared_ptr<std::ostream>{
      &std::clog, [](const std::ostream * /*unused*/) {}});
  Backend->auto_flush(true);
  auto Sink = boost::make_shared<sink>(Backend);
  if (Json) {
    Sink->set_formatter(expressions::stream << expressions::smessage);
  } else {
    Sink->set_formatter(
        expressions::stream
        << expressions::format_date_time<boost::posix_time::ptime>(
               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
        << ' ' << expressions::smessage);
  }
  Core->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock{});
  Core->set_filter(level >= Least);
  Core->add_sink(Sink);
}

void logger::write(const severity Level, const std::string_view Message,
                   const std::initializer_list<attribute> Attributes) const {
  if (Level < state().Least)
    return;
  const std::string Line = state().Json
                               ? jsonLine(Level, Prefix, Message, Attributes)
                               : textLine(Prefix, Message, Attributes);
  BOOST_LOG_SEV(source(), Level) << Line;
}

} // namespace galenalink::telemetry
