#include "standin/run_check.hpp"
#include <algorithm>
#include <limits>
#include <unordered_map>

namespace galenalink::standin {

namespace {

struct key_runs {
  std::size_t Started{0};
  std::size_t Completed{0};
  wall_ms First{std::numeric_limits<wall_ms>::max()};
};

[[nodiscard]] bool isWrong(const sent_request &Request,
                           const key_runs &Runs) noexcept {
  if (Runs.Started > 0 && Runs.First < Request.NotRunAt)
    return true;
  return Request.Complete &&
         (Request.Answer != Request.Body || Runs.Completed == 0);
}

} // namespace

verdict checkRuns(const std::vector<sent_request> &Requests,
                  const std::vector<reported_run> &Runs) {
  std::unordered_map<std::string, key_runs> ByKey;
  for (const reported_run &Run : Runs) {
    key_runs &Entry = ByKey[Run.Key];
    ++Entry.Started;
    Entry.Completed += Run.Complete ? 1 : 0;
    Entry.First = std::min(Entry.First, Run.StartedMs);
  }
  verdict Verdict;
  Verdict.Requests = Requests.size();
  for (const sent_request &Request : Requests) {
    const auto Node = ByKey.extract(Request.Key);
    const key_runs Found = Node.empty() ? key_runs{} : Node.mapped();
    Verdict.Lost += Request.Complete ? 0 : 1;
    Verdict.Wrong += isWrong(Request, Found) ? 1 : 0;
    if (Found.Started > 1)
      ++(Request.Idempotent ? Verdict.Repeated : Verdict.Doubled);
  }
  Verdict.Wrong += ByKey.size();
  return Verdict;
}

} // namespace galenalink::standin
