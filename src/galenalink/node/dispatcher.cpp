#include "galenalink/node/dispatcher.hpp"
#include "galenalink/telemetry/log.hpp"

namespace galenalink::node {

namespace {

constexpr telemetry::logger Log{"placement"};

/** After this, a late answer no longer changes what callers were told; the
 * backend server's status may. */
constexpr duration ShortRunGrace = std::chrono::seconds{30};
constexpr duration LongRunLimit = std::chrono::hours{24};
constexpr duration StatusLimit = std::chrono::seconds{2};

/** @brief The three names of `customer/service/queue`. */
struct queue_path {
  std::string Customer;
  std::string Service;
  std::string Queue;
};

[[nodiscard]] queue_path split(const std::string_view Name) {
  const auto First = Name.find('/');
  const auto Second = Name.find('/', First + 1);
  return {std::string{Name.substr(0, First)},
          std::string{Name.substr(First + 1, Second - First - 1)},
          std::string{Name.substr(Second + 1)}};
}

} // namespace

dispatcher::dispatcher(const fleet::node_view &View, const catalog &Catalog,
                       backend &Backend, dispatcher_hooks Hooks)
    : View{View}, Catalog{Catalog}, Backend{Backend}, Hooks{std::move(Hooks)} {}

std::optional<http::address>
dispatcher::addressOf(const std::string &Vm) const {
  const auto Index = View.State.Vms.findVm(Vm);
  if (!Index)
    return std::nullopt;
  return tryOr(
      [&]() -> result<std::optional<http::address>> {
        BOOST_LEAF_AUTO(Address,
                        http::parseAddress(View.State.Vms.at(*Index).Address));
        return std::optional{Address};
      },
      [](const error & /*Error*/) { return std::optional<http::address>{}; });
}

duration dispatcher::runLimit(const std::string_view QualifiedQueue) const {
  const auto Path = split(QualifiedQueue);
  const auto *Service = Catalog.find(Path.Customer, Path.Service);
  const auto *Queue =
      Service == nullptr ? nullptr : Service->findQueue(Path.Queue);
  if (Queue == nullptr || Queue->Kind == config::work_kind::Long)
    return LongRunLimit;
  return std::chrono::milliseconds{Queue->TimeoutMs} + ShortRunGrace;
}

void dispatcher::run(const std::shared_ptr<shard> &Shard,
                     const request::dispatch &Dispatch) {
  const auto Now = boot_clock::now();
  const auto Address = addressOf(Dispatch.Vm);
  if (!Address) {
    ended(Shard, Dispatch.Attempt, Dispatch.Vm,
          {run_end::NotRun, "the VM has no usable address", false, false});
    return;
  }
  Log.info("Dispatched an attempt.", {{"attempt", toString(Dispatch.Attempt)},
                                      {"shard", toString(Shard->id())},
                                      {"vm", Dispatch.Vm},
                                      {"queue", Dispatch.Queue}});
  std::string Key;
  if (const auto Work = Shard->ledger().find(Dispatch.Entry))
    Key = Work->Key->Key;
  const run_order Order{Dispatch.Attempt, Shard->id().Pool,
                        Dispatch.Epoch,   split(Dispatch.Queue).Queue,
                        std::move(Key),   Dispatch.Body};
  Backend.run(*Address, Order, View.Authority.deadline(),
              Now + runLimit(Dispatch.Queue),
              [this, Shard, Attempt = Dispatch.Attempt,
               Vm = Dispatch.Vm](const run_result &Result) {
                ended(Shard, Attempt, Vm, Result);
              });
}

void dispatcher::ended(const std::shared_ptr<shard> &Shard,
                       const attempt_id Attempt, const std::string &Vm,
                       const run_result &Result) {
  Log.info("An attempt ended.",
           {{"attempt", toString(Attempt)},
            {"vm", Vm},
            {"end", std::string{nameOf(RunEndNames, Result.End)}}});
  Hooks.Ended(Result.End);
  const auto Now = boot_clock::now();
  if (Result.StaleEpoch)
    Shard->drainVm(Vm, schedule::vm_state::StaleEpoch);
  if (Result.Leaving)
    Hooks.Leaving(Vm);
  switch (Result.End) {
  case run_end::Answered:
    Shard->answered(Attempt, Result.Body, Now);
    return;
  case run_end::NotRun:
    Shard->refusedByServer(Attempt, Now);
    return;
  case run_end::Failed:
    Shard->failed(Attempt, Result.Body, Now);
    return;
  case run_end::Lost:
    Shard->lost(Attempt, Now);
    return;
  }
}

void dispatcher::stop(const request::stop_attempt &Stop) {
  if (const auto Address = addressOf(Stop.Vm))
    Backend.stop(*Address, Stop.Attempt, boot_clock::now() + StatusLimit);
}

void dispatcher::poll(const std::shared_ptr<shard> &Shard) {
  const auto &Vms = View.State.Vms;
  const auto Pool = Vms.findPool(Shard->id().Pool);
  if (!Pool)
    return;
  for (std::size_t Slot = 0; Slot < Vms.slots(); ++Slot) {
    const auto Index = static_cast<fleet::vm_index>(Slot);
    if (!Vms.used(Index) || Vms.at(Index).Pool != *Pool ||
        Vms.at(Index).Shard != Shard->id().Index)
      continue;
    const std::string Vm = Vms.at(Index).Name;
    const auto Address = addressOf(Vm);
    if (!Address || !Asked.insert(Vm).second)
      continue;
    const auto Now = boot_clock::now();
    Backend.status(
        *Address, Now + StatusLimit,
        [this, Shard, Vm, Now](const std::optional<backend_status> &Status) {
          Asked.erase(Vm);
          if (Status)
            reported(Shard, Vm, Now, *Status);
        });
  }
}

std::optional<time_point> dispatcher::idleAt(const std::string &Vm) const {
  const auto Known = IdleAt.find(Vm);
  return Known == IdleAt.end() ? std::nullopt : std::optional{Known->second};
}

void dispatcher::reported(const std::shared_ptr<shard> &Shard,
                          const std::string &Vm, const time_point AskedAt,
                          const backend_status &Status) {
  if (Status.Running.empty())
    IdleAt[Vm] = AskedAt;
  else
    IdleAt.erase(Vm);
  if (Status.Leaving)
    Hooks.Leaving(Vm);
  const auto Now = boot_clock::now();
  Shard->reconcile(Vm, Status.Running, Now);
  for (const auto &Finished : Status.Recent) {
    if (Finished.Failed)
      Shard->failed(Finished.Attempt, Finished.Body, Now);
    else
      Shard->answered(Finished.Attempt, Finished.Body, Now);
  }
}

} // namespace galenalink::node
