#ifndef GALENALINK_TEST_SOAK_JOB_CLIENTS_HPP
#define GALENALINK_TEST_SOAK_JOB_CLIENTS_HPP

#include "galenalink/http/client.hpp"
#include "soak/disruption_log.hpp"
#include "soak/task_history.hpp"
#include <map>
#include <random>
#include <set>

namespace galenalink::soak {

/** @brief A job as its client knows it. */
struct client_job {
  enum class outcome : std::uint8_t { Open, Accepted, Refused, Unknown };

  std::string Queue;
  std::string Id;
  std::string Body;
  std::size_t TaskCount{0};
  int Tries{0};
  /** A try may have submitted the job: it was sent and got no response, or a
   * status other than 200, 429 and 503, such as 504. */
  bool Unconfirmed{false};
  outcome Outcome{outcome::Open};
  time_point AcceptedAt{NoDeadline};
  /** Whether the client cancels the job some time after it is accepted. */
  bool ToBeCancelled{false};
  time_point CancelSentAt{time_point::max()};
  time_point CancelledAt{time_point::max()};
  /** `completed`, `failed` or `cancelled` once shown, and when first. */
  std::string FinalState;
  time_point FinalAt{time_point::max()};
};

/** @brief Submits, cancels and queries jobs, and checks what it is answered. */
class job_clients {
public:
  struct options {
    std::vector<std::string> Queues;
    /** Addresses of the nodes; each request goes to a random one. */
    std::vector<http::address> Nodes;
    std::size_t MaxAttempts{0};
    std::uint64_t Seed{0};
  };

  job_clients(http::loop &Loop, const task_history &History,
              const disruption_log &Disruptions, options Options);

  void submitNew();
  [[nodiscard]] bool allSettled() const;
  /** @brief Adds violations that show only when all jobs have settled. */
  void checkAtEnd();

  /** @return Path of a random job, or of none before the first. */
  [[nodiscard]] std::string randomPath();
  [[nodiscard]] std::size_t size() const noexcept { return Jobs.size(); }
  [[nodiscard]] std::size_t count(client_job::outcome Outcome) const;
  [[nodiscard]] std::size_t countFinal(const std::string &State) const;
  std::vector<std::string> Violations;

private:
  void submit(const std::string &Id);
  void onSubmitted(client_job &Job, const http::answer &Answer);
  void cancel(const std::string &Id);
  void query(const std::string &Id);
  void onQueried(client_job &Job, const http::answer &Answer,
                 time_point SentAt);
  void checkState(client_job &Job, const std::string &State);
  void checkCancel(const client_job &Job);
  void send(const client_job &Job, http::method Method,
            http::client::callback Callback);
  void schedule(duration Delay, std::function<void()> Call);
  void report(const client_job &Job, const std::string &What);
  std::uint64_t randomBelow(std::uint64_t Below);

  http::loop &Loop;
  const task_history &History;
  const disruption_log &Disruptions;
  options Options;
  http::client Client;
  std::mt19937_64 Random;
  std::map<std::string, client_job> Jobs;
  /** Jobs with a reported violation, which are not reported again. */
  std::set<std::string> Reported;
  std::vector<http::timer> Timers;
};

} // namespace galenalink::soak

#endif
