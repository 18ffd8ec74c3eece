// A small deployment of the second review: node processes, the platform's
// store, backend servers, the list of VMs, an operator and clients.
#ifndef REVIEW_2_WORLD_HH
#define REVIEW_2_WORLD_HH

#include "fleet.hh"
#include "galenalink/http/client.hpp"
#include "slow_link.hh"
#include "system/process.hpp"
#include <filesystem>

namespace review {

struct node {
  std::string Name;
  std::string Host;
  std::filesystem::path Settings;
  std::unique_ptr<soak::tcp_proxy> Callers;
  std::unique_ptr<slow_link> Store;
  std::unique_ptr<galenalink::system_test::process> Process;
  time_point StartAt{NoDeadline};
  bool MayEnd{false};
};

struct job {
  std::string Id;
  std::string Queue;
  json Body;
  std::size_t Tries{0};
  bool Accepted{false};
  bool Refused{false};
  std::string State;
};

class world {
public:
  world(const std::string &RecordFile, std::size_t Nodes);
  ~world();

  void publishConfig(const json &Queues, const json &Services);
  void publishWave(std::uint64_t Number, const json &Machines,
                   std::uint32_t WithinS, std::uint32_t Cap);
  // Hands a job in, with up to four repeats where there is no answer.
  void submit(const std::string &Queue, const json &Body);
  void cancel(const std::string &Id);
  // Asks for the states of all accepted jobs.
  void query();
  [[nodiscard]] std::size_t accepted() const;
  [[nodiscard]] std::size_t completed() const;
  // Index of the node that the store's log names as leader; none: size().
  [[nodiscard]] std::size_t leader() const;
  void pause(duration Time);
  bool waitUntil(const std::function<bool()> &Condition, duration Limit);
  // At a time from now on.
  void after(duration Time, std::function<void()> Function);
  void restart(std::size_t Node, duration Down, int Signal);
  // Whether a node process ended that nobody ended.
  void checkProcesses();

  http::loop Loop;
  record Record;
  soak::store_standin Store;
  fleet Fleet;
  std::vector<node> Nodes;
  std::map<std::string, job> Jobs;
  std::string LastId;

private:
  void start(node &Node);
  void send(const std::string &Id);
  void call(std::size_t Node, http::method Method, const std::string &Path,
            std::string Body, std::function<void(int, std::string)> Done);

  http::client Client;
  std::filesystem::path Directory;
  std::vector<http::timer> Timers;
  http::timer Watch;
  std::uint64_t NextJob{1};
  std::size_t NextNode{0};
  std::uint64_t Version{1};
};

} // namespace review

#endif
