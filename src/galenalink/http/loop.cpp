#include "galenalink/http/loop.hpp"
#include "galenalink/core/assert.hpp"
#include <algorithm>
#include <csignal>
#include <deque>
#include <event2/event.h>
#include <utility>
#include <vector>

namespace galenalink::http {

namespace {

/** Events have the lower priority unless stated. */
constexpr int PriorityLevels = 2;
/** Handling of other events is interrupted after this time to look for urgent
 * ones, us. */
constexpr suseconds_t UrgentPollMicros = 5000;

timeval toTimeval(const duration Delay) noexcept {
  const auto Micros = std::max<std::int64_t>(Delay.count(), 0);
  return {static_cast<time_t>(Micros / 1000000),
          static_cast<suseconds_t>(Micros % 1000000)};
}

} // namespace

struct timer::state : std::enable_shared_from_this<timer::state> {
  event *Event{nullptr};
  time_point When;
  duration Period{0};
  loop::function Function;

  state() = default;
  state(const state &) = delete;
  state &operator=(const state &) = delete;
  ~state() { cancel(); }

  void cancel() noexcept {
    if (Event != nullptr)
      event_free(std::exchange(Event, nullptr));
  }

  void arm() noexcept {
    const timeval Delay = toTimeval(When - boot_clock::now());
    event_add(Event, &Delay);
  }

  void fire() {
    const auto Self = shared_from_this();
    const time_point Now = boot_clock::now();
    if (Now < When) { // libevent's clock has a coarser step than ours
      arm();
      return;
    }
    if (Period.count() == 0) {
      cancel();
      const auto Call = std::move(Function);
      Call();
      return;
    }
    When = std::max(When + Period, Now);
    arm();
    const auto Call = Function; // the handle may be assigned in the call
    Call();
  }
};

timer::timer() noexcept = default;
timer::timer(std::shared_ptr<state> State) noexcept : State{std::move(State)} {}
timer::~timer() { cancel(); }
timer::timer(timer &&Other) noexcept = default;

timer &timer::operator=(timer &&Other) noexcept {
  if (this != &Other) {
    cancel();
    State = std::move(Other.State);
  }
  return *this;
}

void timer::cancel() noexcept {
  if (State)
    State->cancel();
  State.reset();
}

bool timer::pending() const noexcept {
  return State && State->Event != nullptr;
}

struct loop::impl {
  struct signal_hook {
    event *Event{nullptr};
    function Function;
  };

  event_base *Base{nullptr};
  event *PostEvent{nullptr};
  event *UrgentPostEvent{nullptr};
  std::deque<function> Posted;
  std::vector<function> UrgentlyPosted;
  std::vector<std::unique_ptr<signal_hook>> Signals;

  /** @brief Runs the functions that were posted so far, as many as fit into the
   * interval at which urgent events are looked for. */
  void runPosted() {
    const time_point End =
        boot_clock::now() + std::chrono::microseconds{UrgentPollMicros};
    for (std::size_t Left = Posted.size(); Left > 0; --Left) {
      const function Function = std::move(Posted.front());
      Posted.pop_front();
      Function();
      if (boot_clock::now() >= End)
        break;
    }
    if (!Posted.empty())
      event_active(PostEvent, EV_TIMEOUT, 0);
  }

  void runUrgentlyPosted() {
    for (const function &Function : std::exchange(UrgentlyPosted, {}))
      Function();
  }
};

loop::loop() : Impl{std::make_unique<impl>()} {
  std::signal(SIGPIPE, SIG_IGN);
  // libevent reports every refused connection as a warning on stderr.
  event_set_log_callback([](const int Severity, const char *Message) {
    if (Severity >= EVENT_LOG_ERR)
      std::fprintf(stderr, "loop: %s\n", Message);
  });
  const std::unique_ptr<event_config, decltype(&event_config_free)> Config{
      event_config_new(), &event_config_free};
  GALENALINK_ASSERT(Config != nullptr, "no event configuration");
  const timeval UrgentPollInterval{0, UrgentPollMicros};
  // One system call fewer for most changes of what is watched for.
  event_config_set_flag(Config.get(), EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  event_config_set_max_dispatch_interval(Config.get(), &UrgentPollInterval, -1,
                                         UrgentPriority + 1);
  Impl->Base = event_base_new_with_config(Config.get());
  GALENALINK_ASSERT(Impl->Base != nullptr, "no event base");
  event_base_priority_init(Impl->Base, PriorityLevels);
  Impl->PostEvent = event_new(
      Impl->Base, -1, 0,
      [](evutil_socket_t, short, void *Self) {
        static_cast<impl *>(Self)->runPosted();
      },
      Impl.get());
  Impl->UrgentPostEvent = event_new(
      Impl->Base, -1, 0,
      [](evutil_socket_t, short, void *Self) {
        static_cast<impl *>(Self)->runUrgentlyPosted();
      },
      Impl.get());
  GALENALINK_ASSERT(Impl->PostEvent != nullptr &&
                        Impl->UrgentPostEvent != nullptr,
                    "no event");
  event_priority_set(Impl->UrgentPostEvent, UrgentPriority);
}

loop::~loop() {
  for (const auto &Hook : Impl->Signals)
    event_free(Hook->Event);
  event_free(Impl->PostEvent);
  event_free(Impl->UrgentPostEvent);
  // Posted functions may own timers, which need the base.
  Impl->Posted.clear();
  Impl->UrgentlyPosted.clear();
  event_base_free(Impl->Base);
}

void loop::run() { event_base_loop(Impl->Base, EVLOOP_NO_EXIT_ON_EMPTY); }

bool loop::runUntil(const std::function<bool()> &Condition,
                    const time_point Deadline) {
  const timer Wake = at(Deadline, [] {});
  while (!Condition()) {
    if (boot_clock::now() >= Deadline)
      return false;
    event_base_loop(Impl->Base, EVLOOP_ONCE);
  }
  return true;
}

void loop::stop() noexcept { event_base_loopbreak(Impl->Base); }

void loop::post(function Function) {
  Impl->Posted.push_back(std::move(Function));
  event_active(Impl->PostEvent, EV_TIMEOUT, 0);
}

void loop::postUrgent(function Function) {
  Impl->UrgentlyPosted.push_back(std::move(Function));
  event_active(Impl->UrgentPostEvent, EV_TIMEOUT, 0);
}

timer loop::makeTimer(const time_point When, const duration Period,
                      const bool Urgent, function Function) {
  auto State = std::make_shared<timer::state>();
  State->When = When;
  State->Period = Period;
  State->Function = std::move(Function);
  State->Event = event_new(
      Impl->Base, -1, 0,
      [](evutil_socket_t, short, void *Self) {
        static_cast<timer::state *>(Self)->fire();
      },
      State.get());
  GALENALINK_ASSERT(State->Event != nullptr, "no event");
  if (Urgent)
    event_priority_set(State->Event, UrgentPriority);
  State->arm();
  return timer{std::move(State)};
}

timer loop::at(const time_point When, function Function) {
  return makeTimer(When, duration::zero(), false, std::move(Function));
}

timer loop::beforeEvents(const time_point When, function Function) {
  return makeTimer(When, duration::zero(), true, std::move(Function));
}

timer loop::every(const duration Period, function Function) {
  GALENALINK_ASSERT(Period.count() > 0, "period must be positive");
  return makeTimer(boot_clock::now() + Period, Period, false,
                   std::move(Function));
}

void loop::onSignal(const int Signal, function Function) {
  auto Hook = std::make_unique<impl::signal_hook>();
  Hook->Function = std::move(Function);
  Hook->Event = event_new(
      Impl->Base, Signal, EV_SIGNAL | EV_PERSIST,
      [](evutil_socket_t, short, void *Self) {
        static_cast<impl::signal_hook *>(Self)->Function();
      },
      Hook.get());
  GALENALINK_ASSERT(Hook->Event != nullptr, "no event");
  event_add(Hook->Event, nullptr);
  Impl->Signals.push_back(std::move(Hook));
}

std::size_t loop::posted() const noexcept { return Impl->Posted.size(); }

event_base *loop::native() noexcept { return Impl->Base; }

} // namespace galenalink::http
