#ifndef GALENALINK_CORE_RESULT_HPP
#define GALENALINK_CORE_RESULT_HPP

#include "galenalink/core/error.hpp"
#include <boost/leaf.hpp>
#include <utility>

namespace galenalink {

/** @brief A value or an error that was loaded with `fail`. */
template <typename Type> using result = boost::leaf::result<Type>;

/** @brief Makes a failed result that carries an `error`. */
[[nodiscard]] inline boost::leaf::error_id fail(const errc Code,
                                                std::string Message) {
  return boost::leaf::new_error(error{Code, std::move(Message)});
}

/**
 * @brief Runs a function that returns a `result` and turns a failure into a
 * call of the given handler.
 * @param Try Function without parameters that returns `result<T>`.
 * @param Catch Function that takes `const error &` and returns `T`.
 */
template <typename Try, typename Catch>
[[nodiscard]] auto tryOr(Try &&TryBlock, Catch &&Handler) {
  return boost::leaf::try_handle_all(
      std::forward<Try>(TryBlock),
      [&](const error &Error) { return Handler(Error); },
      [&] {
        return Handler(error{errc::Corrupt, "unclassified error"});
      });
}

} // namespace galenalink

#endif
