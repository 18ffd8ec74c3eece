#ifndef GALENALINK_JOB_NODE_KEYED_LOG_READER_HPP
#define GALENALINK_JOB_NODE_KEYED_LOG_READER_HPP

#include "galenalink/http/loop.hpp"
#include "galenalink/job/ports.hpp"

namespace galenalink::job_node {

struct log_reader_settings {
  job::topic Topic{job::topic::Operator};
  /** How long a read waits for a new record, ms. */
  std::uint32_t WaitMs{700};
  /** Pause after each read, to batch records of many writers into one read. */
  duration Pause{0};
};

/**
 * @brief Reads a keyed log: the latest record of each key first, then each new
 * record. If the next records have expired, it starts over with the latest
 * record of each key.
 */
class keyed_log_reader {
public:
  struct hooks {
    /** The latest record of each key; all other keys have been removed. */
    std::function<void(const std::vector<job::keyed_record> &)> OnSnapshot;
    std::function<void(const std::vector<job::keyed_record> &)> OnRecords;
  };

  keyed_log_reader(http::loop &Loop, const job::ports &Ports,
                   log_reader_settings Settings, hooks Hooks);

  void start();
  /** @return When a read last succeeded; `NoDeadline` if none has. */
  [[nodiscard]] time_point lastResponseAt() const noexcept {
    return LastResponseAt;
  }

private:
  void readSnapshot();
  void readNext();
  void handleFailure(std::string_view Operation, job::call_outcome Outcome);
  /** @param Wait How long the store was allowed to wait for a record. */
  void handleSuccess(std::string_view Operation, duration Wait,
                     std::size_t Records);
  void schedule(duration Delay, void (keyed_log_reader::*Step)());

  http::loop &Loop;
  const job::ports &Ports;
  log_reader_settings Settings;
  hooks Hooks;
  std::uint64_t NextOffset{0};
  std::uint32_t ConsecutiveFailures{0};
  /** When the read in flight was sent, or the first of its failed attempts. */
  time_point ReadSince{NoDeadline};
  time_point LastResponseAt{NoDeadline};
  http::timer Timer;
  std::shared_ptr<bool> LifetimeToken{std::make_shared<bool>(true)};
};

} // namespace galenalink::job_node

#endif
