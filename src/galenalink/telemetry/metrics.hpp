#ifndef GALENALINK_TELEMETRY_METRICS_HPP
#define GALENALINK_TELEMETRY_METRICS_HPP

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace galenalink::telemetry {

/** @brief Names and values that tell the series of one metric apart. */
using labels = std::map<std::string, std::string>;

/** @brief A count that only grows. */
class counter {
public:
  explicit counter(void *Handle) noexcept : Target{Handle} {}
  void add(double Amount = 1) const;

private:
  void *Target;
};

/** @brief A value that goes up and down. */
class gauge {
public:
  explicit gauge(void *Handle) noexcept : Target{Handle} {}
  void set(double Value) const;

private:
  void *Target;
};

/** @brief Counts observations in buckets. */
class histogram {
public:
  explicit histogram(void *Handle) noexcept : Target{Handle} {}
  void observe(double Value) const;

private:
  void *Target;
};

/** @brief Upper bounds of the buckets for times, seconds. */
[[nodiscard]] std::vector<double> secondsBuckets();

/** @brief The metrics of one process, in Prometheus' text format. */
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics &) = delete;
  metrics &operator=(const metrics &) = delete;

  /** @brief Finds or makes a counter; the name ends in `_total`. */
  [[nodiscard]] counter count(const std::string &Name, const std::string &Help,
                              const labels &Labels = {});
  [[nodiscard]] gauge level(const std::string &Name, const std::string &Help,
                            const labels &Labels = {});
  /** @brief Finds or makes a histogram of seconds. */
  [[nodiscard]] histogram times(const std::string &Name,
                                const std::string &Help,
                                const labels &Labels = {});

  /** @brief All metrics in the text exposition format. */
  [[nodiscard]] std::string render() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace galenalink::telemetry

#endif
