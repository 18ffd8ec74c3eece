#ifndef GALENALINK_NODE_BACKEND_HPP
#define GALENALINK_NODE_BACKEND_HPP

#include "galenalink/core/attempt.hpp"
#include "galenalink/core/result.hpp"
#include "galenalink/core/shared_text.hpp"
#include "galenalink/core/time.hpp"
#include "galenalink/http/client.hpp"
#include <functional>
#include <string>
#include <vector>

namespace galenalink::node {

/** @brief What a backend server is asked to run. */
struct run_order {
  attempt_id Attempt{};
  std::string Pool;
  std::uint64_t Epoch{0};
  std::string Queue;
  std::string Key;
  shared_text Body;
};

/** @brief How one attempt ended, as far as the node can tell. */
enum class run_end : std::uint8_t {
  /** Complete answer of this attempt. */
  Answered,
  /** Refused before the start, or no byte was sent. */
  NotRun,
  /** Ran and failed. */
  Failed,
  /** May have run. */
  Lost,
};

inline constexpr enum_names<run_end, 4> RunEndNames{{
    {run_end::Answered, "answered"},
    {run_end::NotRun, "not-run"},
    {run_end::Failed, "failed"},
    {run_end::Lost, "lost"},
}};

struct run_result {
  run_end End{run_end::Lost};
  std::string Body;
  /** The backend server said that it is leaving. */
  bool Leaving{false};
  /** The backend server refused the VM's epoch. */
  bool StaleEpoch{false};
};

/** @brief An attempt that a backend server has finished. */
struct finished_attempt {
  attempt_id Attempt{};
  bool Failed{false};
  std::string Body;
};

/** @brief What a backend server reports about itself. */
struct backend_status {
  bool Leaving{false};
  std::vector<attempt_id> Running;
  std::vector<finished_attempt> Recent;
};

/** @brief Speaks the HTTP protocol of backend servers. */
class backend {
public:
  explicit backend(http::client &Client) noexcept : Client{Client} {}

  /**
   * @brief Sends work once.
   * @param WriteBy Nothing is written at or after this time.
   * @param Deadline The answer is awaited until then.
   */
  void run(const http::address &Address, const run_order &Order,
           time_point WriteBy, time_point Deadline,
           std::function<void(run_result)> Done);
  /** @brief Asks to stop an attempt; the answer is not awaited. */
  void stop(const http::address &Address, attempt_id Attempt,
            time_point Deadline);
  /** @brief Asks for the status; nothing if it could not be had. */
  void status(const http::address &Address, time_point Deadline,
              std::function<void(std::optional<backend_status>)> Done);

private:
  http::client &Client;
};

/** @brief Classifies the answer to `run`; an answer of another attempt, or of
 * none, is no result. */
[[nodiscard]] run_result classify(attempt_id Attempt,
                                  const http::answer &Answer);

/** @brief Parses the body of `/status`; nothing if it is malformed. */
[[nodiscard]] std::optional<backend_status>
parseStatus(const std::string &Body);

} // namespace galenalink::node

#endif
