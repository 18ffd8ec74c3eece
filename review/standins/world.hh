#ifndef REVIEW_WORLD_HPP
#define REVIEW_WORLD_HPP

#include "fleet.hh"
#include "galenalink/http/client.hpp"
#include "system/process.hpp"

namespace review {

/** @brief A node of the project, as a process of its own. */
struct node {
  std::string Name;
  std::uint16_t CallersPort{0};
  std::uint16_t ReadyPort{0};
  std::uint16_t PeersPort{0};
  std::unique_ptr<galenalink::system_test::process> Process;
};

/** @brief A client's job. */
struct client_job {
  std::string Id;
  std::string Queue;
  std::string Body;
  bool Accepted{false};
  double AcceptedAt{0};
  bool Cancelled{false};
  double CancelAckedAt{0};
  std::size_t Tries{0};
  std::string State;
};

/** @brief Nodes, stand-ins and clients of one case. */
class world {
public:
  world(const std::string &RecordPath, const std::string &Directory);
  ~world();

  /** @brief Writes `op/config` with these queues, each with its own pool. */
  void publish(const std::vector<std::string> &Queues, int MaxAttempts,
               int SloMs);
  /** @brief Starts a node with the command of the deploy file. */
  void startNodes(std::size_t Count);
  void startNode(std::size_t Index);
  /** @return Whether all nodes are ready in time. */
  bool awaitReady(double Seconds);
  /** @brief Lets the time pass. */
  void pass(double Seconds);
  bool await(const std::function<bool()> &Condition, double Seconds);
  client_job &submit(const std::string &Queue, const std::string &Body);
  void cancel(client_job &Job);
  /** @brief Asks for the state; it is put into the job. */
  void query(client_job &Job);
  /** @return What breaks TWICE. */
  std::vector<std::string> twice() const;
  int verdict(const std::vector<std::string> &Broken);

  bool Trouble;
  http::loop Loop;
  record Record;
  store Store;
  fleet Fleet;
  std::vector<node> Nodes;
  std::vector<std::unique_ptr<client_job>> Jobs;
  std::function<void(client_job &)> OnAccepted;
  std::size_t Refused{0};

private:
  using answer_function = std::function<void(int Status, const std::string &)>;
  void send(http::method Method, const client_job &Job,
            answer_function Answered);
  void post(client_job &Job);

  http::client Client;
  std::string Directory;
  std::vector<http::timer> Timers;
  std::size_t NextNode{0};
  std::size_t NextJob{0};
  std::uint64_t Version{0};
  std::size_t Ready{0};
};

} // namespace review

#endif
