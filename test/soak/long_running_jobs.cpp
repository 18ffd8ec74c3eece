#include "soak/long_running_jobs.hpp"
#include "soak/blocking_request.hpp"
#include <algorithm>

namespace galenalink::soak {

namespace {

using nlohmann::json;

constexpr duration RequestTimeout = std::chrono::seconds{3};
constexpr duration RetryInterval = std::chrono::milliseconds{100};
constexpr std::ptrdiff_t TasksPerJob = 6;

/** @return Job id, which is 16 hexadecimal digits. */
std::string jobId(const std::size_t Queue) {
  return "feed00000000000" + std::to_string(Queue);
}

json jobBody() {
  // No disruption budget, so that maintenance waves may end.
  const json Step{{"count", TasksPerJob},
                  {"cpu", 500},
                  {"memMb", 100},
                  {"mayMiss", TasksPerJob},
                  {"longRunning", true}};
  return {{"spec", "7200000"}, {"steps", json::array({Step})}};
}

} // namespace

long_running_jobs::long_running_jobs(http::loop &Loop, node_group &Nodes,
                                     const fleet_standin &Fleet,
                                     std::vector<std::string> Queues)
    : Loop{Loop}, Nodes{Nodes}, Fleet{Fleet}, Queues{std::move(Queues)} {}

bool long_running_jobs::submit(const duration Limit) {
  const time_point End = boot_clock::now() + Limit;
  for (std::size_t I = 0; I < Queues.size(); ++I) {
    while (!submitOnce(I)) {
      if (boot_clock::now() >= End)
        return false;
      static_cast<void>(Loop.runUntil([] { return false; },
                                      boot_clock::now() + RetryInterval));
    }
  }
  return true;
}

bool long_running_jobs::submitOnce(const std::size_t Queue) {
  http::client Client{Loop, {}};
  http::request Request;
  Request.Method = http::method::Post;
  Request.Path = "/" + Queues[Queue] + "/" + jobId(Queue);
  Request.Body = jobBody().dump();
  Request.Headers = {{"X-Deadline-Ms", "2800"}};
  const auto Response = sendAndWait(Loop, Client, Nodes.callersAddress(0),
                                    std::move(Request), RequestTimeout);
  return Response && Response->Status == 200;
}

bool long_running_jobs::allRun() const {
  for (std::size_t I = 0; I < Queues.size(); ++I) {
    const auto Runs = Fleet.History.runsOf(jobId(I));
    if (std::ranges::count(Runs, time_point::max(), &run_record::EndedAt) !=
        TasksPerJob)
      return false;
  }
  return true;
}

std::string long_running_jobs::describe() const {
  std::string Text;
  for (std::size_t I = 0; I < Queues.size(); ++I)
    Text += Fleet.History.describe(jobId(I));
  return Text;
}

} // namespace galenalink::soak
