#ifndef GALENALINK_TEST_STANDIN_PLATFORM_HPP
#define GALENALINK_TEST_STANDIN_PLATFORM_HPP

#include "galenalink/http/server.hpp"
#include "galenalink/platform/store.hpp"
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace galenalink::standin {

/** @brief Faults to inject; a count of -1 means all answers. */
struct platform_faults {
  /** Refuses everything with 503. */
  bool Down{false};
  /** Answers nothing and has no effect. */
  bool Hang{false};
  /** Delays the effect and the answer of everything. */
  std::int64_t SlowMs{0};
  /** Closes the connection after the append took effect. */
  std::int64_t LoseAppendAnswers{0};
  /** Lists VMs as they were this long ago. */
  std::int64_t VmsLagMs{0};
};

/**
 * @brief The platform's HTTP interface, with `POST /fault`, `GET /counters`,
 * and `PUT` and `DELETE /vms/ID` for a test, which no fault affects.
 */
class platform {
public:
  platform(http::loop &Loop, galenalink::platform::store::options Options,
           std::vector<galenalink::platform::vm> Vms);

  [[nodiscard]] result<std::uint16_t> listen(const std::string &Host,
                                             std::uint16_t Port);
  [[nodiscard]] std::uint16_t port() const noexcept;
  void setFaults(const platform_faults &Faults);
  [[nodiscard]] galenalink::platform::store &data() noexcept;

private:
  using list = std::vector<galenalink::platform::vm>;

  void handle(http::exchange Exchange);
  /** @return Whether it was a request for the stand-in itself. */
  bool control(http::exchange &Exchange);
  void serve(http::exchange &Exchange);
  void append(http::exchange &Exchange);
  void read(http::exchange &Exchange) const;
  void act(http::exchange &Exchange);
  void fault(http::exchange &Exchange);
  [[nodiscard]] list laggingVms();

  http::loop &Loop;
  galenalink::platform::store Data;
  platform_faults Faults;
  std::vector<http::exchange> Hanging;
  std::map<std::uint64_t, http::timer> Delayed;
  std::uint64_t NextDelayed{0};
  std::uint64_t Appends{0};
  std::uint64_t Reads{0};
  std::deque<std::pair<time_point, list>> History;
  http::timer Sampler;
  http::server Server;
};

} // namespace galenalink::standin

#endif
