#include "galenalink/telemetry/metrics.hpp"
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace galenalink::telemetry {

struct metrics::impl {
  prometheus::Registry Registry{prometheus::Registry::InsertBehavior::Merge};
};

void counter::add(const double Amount) const {
  static_cast<prometheus::Counter *>(Target)->Increment(Amount);
}

void gauge::set(const double Value) const {
  static_cast<prometheus::Gauge *>(Target)->Set(Value);
}

void histogram::observe(const double Value) const {
  static_cast<prometheus::Histogram *>(Target)->Observe(Value);
}

std::vector<double> secondsBuckets() {
  return {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5,
          1,     2,     5,     10,   30,   60,   300, 3600};
}

metrics::metrics() : Impl{std::make_unique<impl>()} {}
metrics::~metrics() = default;

counter metrics::count(const std::string &Name, const std::string &Help,
                       const labels &Labels) {
  return counter{&prometheus::BuildCounter()
                      .Name(Name)
                      .Help(Help)
                      .Register(Impl->Registry)
                      .Add(Labels)};
}

gauge metrics::level(const std::string &Name, const std::string &Help,
                     const labels &Labels) {
  return gauge{&prometheus::BuildGauge()
                    .Name(Name)
                    .Help(Help)
                    .Register(Impl->Registry)
                    .Add(Labels)};
}

histogram metrics::times(const std::string &Name, const std::string &Help,
                         const labels &Labels) {
  return histogram{&prometheus::BuildHistogram()
                        .Name(Name)
                        .Help(Help)
                        .Register(Impl->Registry)
                        .Add(Labels, secondsBuckets())};
}

std::string metrics::render() const {
  return prometheus::TextSerializer{}.Serialize(Impl->Registry.Collect());
}

} // namespace galenalink::telemetry
