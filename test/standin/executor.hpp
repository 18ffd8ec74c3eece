#ifndef GALENALINK_TEST_STANDIN_EXECUTOR_HPP
#define GALENALINK_TEST_STANDIN_EXECUTOR_HPP

#include "galenalink/http/server.hpp"
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace galenalink::standin {

/** @brief Faults to inject; a count of -1 means all answers. */
struct executor_faults {
  /** Closes the connection after the run. */
  std::int64_t LoseAnswers{0};
  /** Sends fewer bytes than announced. */
  std::int64_t TruncateAnswers{0};
  /** Answers this long after the end of the run. */
  std::int64_t LateMs{0};
  /** Starts every request and fails it. */
  bool Fail{false};
  /** Refuses every request before it starts. */
  bool Refuse{false};
  /** Reports that the VM is leaving; work is still accepted and recorded. */
  bool Leaving{false};
};

/**
 * @brief The backend server of one VM: `POST /run`, `GET /status`,
 * `POST /cancel`; `GET /runs` for a checker and `POST /fault` for a test.
 *
 * A run takes the time in the header `Standin-Run-Ms` or the member `run_ms`
 * of a JSON body, and is counted under the header `Idempotency-Key` or the
 * member `key`. Its answer is the request's body. It goes on if the caller
 * closes the connection.
 */
class executor {
public:
  executor(http::loop &Loop, std::string Vm, std::size_t Slots);

  [[nodiscard]] result<std::uint16_t> listen(const std::string &Host,
                                             std::uint16_t Port);
  void setFaults(const executor_faults &Faults);
  [[nodiscard]] std::uint64_t runs(const std::string &Key) const;

private:
  struct run {
    std::string Attempt;
    std::string Key;
    std::string Queue;
    std::uint64_t Epoch{0};
    std::int64_t StartedMs{0};
    std::int64_t EndedMs{0};
    std::string Outcome;
    std::string Body;
  };
  struct running {
    run Run;
    http::exchange Exchange;
    http::timer Timer;
  };

  void handle(http::exchange Exchange);
  void start(http::exchange Exchange);
  void end(std::uint64_t Id, const std::string &Outcome);
  void answer(http::exchange &Exchange, const run &Run);
  void cancel(http::exchange &Exchange);
  void fault(http::exchange &Exchange);
  [[nodiscard]] std::string status() const;
  [[nodiscard]] std::string report() const;

  http::loop &Loop;
  std::string Vm;
  std::size_t Slots;
  executor_faults Faults;
  std::uint64_t Epoch{0};
  std::int64_t LeavingSinceMs{0};
  std::size_t MaxRunning{0};
  std::uint64_t Refused{0};
  std::uint64_t NextId{0};
  std::map<std::uint64_t, running> Running;
  std::deque<run> Finished;
  std::map<std::string, std::uint64_t> Counts;
  std::map<std::uint64_t, http::timer> LateAnswers;
  http::server Server;
};

} // namespace galenalink::standin

#endif
