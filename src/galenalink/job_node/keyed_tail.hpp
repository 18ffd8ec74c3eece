#ifndef GALENALINK_JOB_NODE_KEYED_TAIL_HPP
#define GALENALINK_JOB_NODE_KEYED_TAIL_HPP

#include "galenalink/http/loop.hpp"
#include "galenalink/job/ports.hpp"

namespace galenalink::job_node {

struct tail_settings {
  job::topic Topic{job::topic::Operator};
  /** How long a read waits for a record, ms. */
  std::uint32_t WaitMs{700};
  /** Pause after each read, which gathers records of many writers. */
  duration Pause{0};
};

/**
 * @brief Follows a log with keys: the newest records first, then each change.
 * After expired history it starts with the newest records again.
 */
class keyed_tail {
public:
  struct hooks {
    /** The newest record of each key; what is not among them is gone. */
    std::function<void(const std::vector<job::keyed_record> &)> OnNewest;
    std::function<void(const std::vector<job::keyed_record> &)> OnRecords;
  };

  keyed_tail(http::loop &Loop, const job::ports &Ports, tail_settings Settings,
             hooks Hooks);

  void start();
  /** @return When the store last answered. */
  [[nodiscard]] time_point answeredAt() const noexcept { return AnsweredAt; }

private:
  void readNewest();
  void readOn();
  void failed(std::string_view What, job::call_outcome Outcome);
  void later(duration Pause, void (keyed_tail::*Step)());

  http::loop &Loop;
  const job::ports &Ports;
  tail_settings Settings;
  hooks Hooks;
  std::uint64_t Next{0};
  std::uint32_t Failures{0};
  time_point AnsweredAt{NoDeadline};
  http::timer Timer;
  std::shared_ptr<bool> Alive{std::make_shared<bool>(true)};
};

} // namespace galenalink::job_node

#endif
