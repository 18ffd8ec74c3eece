#ifndef GALENALINK_NODE_DECISION_LOG_HPP
#define GALENALINK_NODE_DECISION_LOG_HPP

#include "galenalink/core/fwd.hpp"
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace galenalink::node {

/** @brief Why something happened to a request or a VM. */
struct decision {
  wall_ms At{0};
  /** Request key or VM name. */
  std::string Subject;
  std::string Text;
};

/** @brief Keeps the newest decisions of this node for `explain`. */
class decision_log {
public:
  static constexpr std::size_t MaxDecisions = 8192;

  void add(const wall_ms At, const std::string_view Subject, std::string Text) {
    if (Decisions.size() == MaxDecisions)
      Decisions.pop_front();
    Decisions.push_back({At, std::string{Subject}, std::move(Text)});
  }

  /** @brief Decisions about a subject, oldest first. */
  [[nodiscard]] std::vector<decision>
  about(const std::string_view Subject) const {
    std::vector<decision> Found;
    for (const auto &Decision : Decisions) {
      if (Decision.Subject == Subject)
        Found.push_back(Decision);
    }
    return Found;
  }

private:
  std::deque<decision> Decisions;
};

} // namespace galenalink::node

#endif
