#ifndef GALENALINK_TEST_STANDIN_RUN_CHECK_HPP
#define GALENALINK_TEST_STANDIN_RUN_CHECK_HPP

#include "galenalink/core/time.hpp"
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace galenalink::standin {

/** @brief What a caller knows about one of its requests. */
struct sent_request {
  std::string Key;
  std::string Body;
  bool Idempotent{false};
  /** Whether a complete answer arrived, and its body. */
  bool Complete{false};
  std::string Answer;
  /**
   * When the caller was last told that the request had not run. It is only set
   * while no earlier try had an unknown outcome.
   */
  wall_ms NotRunAt{0};
};

/** @brief One run that a backend server reports. */
struct reported_run {
  std::string Key;
  wall_ms StartedMs{0};
  bool Complete{false};
};

struct verdict {
  std::size_t Requests{0};
  /** Requests without a complete answer. */
  std::size_t Lost{0};
  /** Non-idempotent requests that were started more than once. */
  std::size_t Doubled{0};
  /**
   * Answers that differ from the request's own result or that no run backs,
   * runs that nobody asked for, and runs before an answer of "not run".
   */
  std::size_t Wrong{0};
  /** Idempotent requests that were started more than once; allowed. */
  std::size_t Repeated{0};

  [[nodiscard]] bool good() const noexcept {
    return Requests > 0 && Lost + Doubled + Wrong == 0;
  }
};

/** @brief Compares the callers' records with the runs of all VMs. */
[[nodiscard]] verdict checkRuns(const std::vector<sent_request> &Requests,
                                const std::vector<reported_run> &Runs);

} // namespace galenalink::standin

#endif
