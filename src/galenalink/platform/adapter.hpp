#ifndef GALENALINK_PLATFORM_ADAPTER_HPP
#define GALENALINK_PLATFORM_ADAPTER_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/core/error.hpp"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace galenalink::platform {

enum class append_state : std::uint8_t {
  Accepted,
  /** The record is not in the log and will not get there. */
  DidNotHappen,
  /** The record may be in the log; its id is to be looked up in the fold. */
  Unknown,
};

struct append_result {
  append_state State{append_state::Unknown};
  /** Offset of the record if it was accepted. */
  log_offset Offset{0};
  /** Why it was not accepted, for a person. */
  std::string Reason;
};

struct log_record {
  log_offset Offset{0};
  std::string Data;

  [[nodiscard]] bool operator==(const log_record &) const = default;
};

/** @brief A part of the log; the offsets of its records have no gaps. */
struct log_page {
  /** Oldest offset that is kept. */
  log_offset First{1};
  /** One past the newest offset. */
  log_offset End{1};
  std::vector<log_record> Records;

  [[nodiscard]] bool operator==(const log_page &) const = default;
};

enum class vm_state : std::uint8_t { Live, Leaving, Down };

inline constexpr enum_names<vm_state, 3> VmStateNames{{
    {vm_state::Live, "live"},
    {vm_state::Leaving, "leaving"},
    {vm_state::Down, "down"},
}};

/** @brief A VM as the platform lists it. */
struct vm {
  std::string Vm;
  std::string Customer;
  std::string DataCentre;
  std::string Rack;
  /** Address of its backend server, `host:port`. */
  std::string Address;
  std::string Pool;
  vm_state State{vm_state::Live};

  [[nodiscard]] bool operator==(const vm &) const = default;
};

enum class action_state : std::uint8_t {
  /** The platform has not seen the action's id. */
  Unknown,
  Running,
  Done,
};

inline constexpr enum_names<action_state, 3> ActionStateNames{{
    {action_state::Unknown, "unknown"},
    {action_state::Running, "running"},
    {action_state::Done, "done"},
}};

/** @brief What became of the request to start an action. */
enum class action_request : std::uint8_t {
  Accepted,
  DidNotHappen,
  /** It may have started; its id is to be queried before it is sent again. */
  Unknown,
};

/** @brief Either the value or why it is not available. */
template <typename Type> using outcome_of = std::variant<Type, error>;

/**
 * @brief The platform as a node sees it. Every callback is called exactly once
 * from the event loop, never from within the hook, unless the adapter's
 * implementation is destroyed first.
 */
struct adapter {
  template <typename Type> using callback = std::function<void(Type)>;

  /** Appends a record; the id is for the platform's own diagnostics. */
  std::function<void(std::uint64_t RecordId, std::string Data,
                     callback<append_result>)>
      Append;
  /**
   * Reads up to `Max` records from an offset. If records before `First` have
   * expired, the page starts at `First`.
   */
  std::function<void(log_offset From, std::size_t Max,
                     callback<outcome_of<log_page>>)>
      Read;
  std::function<void(callback<outcome_of<std::vector<vm>>>)> ListVms;
  /** Reboots a VM; does nothing if the action's id was seen before. */
  std::function<void(const std::string &Vm, std::uint64_t Action,
                     callback<action_request>)>
      Reboot;
  /** Asks a VM to leave; does nothing if the action's id was seen before. */
  std::function<void(const std::string &Vm, std::uint64_t Action,
                     callback<action_request>)>
      Drain;
  std::function<void(std::uint64_t Action, callback<outcome_of<action_state>>)>
      Action;
};

} // namespace galenalink::platform

#endif
