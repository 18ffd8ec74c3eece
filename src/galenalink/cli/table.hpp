#ifndef GALENALINK_CLI_TABLE_HPP
#define GALENALINK_CLI_TABLE_HPP

#include <string>
#include <vector>

namespace galenalink::cli {

/** @brief Text table with a heading and columns of equal width. */
class table {
public:
  explicit table(std::vector<std::string> Headings);

  void add(std::vector<std::string> Cells);
  [[nodiscard]] std::string render() const;

private:
  std::vector<std::vector<std::string>> Rows;
};

} // namespace galenalink::cli

#endif
