#include "galenalink/cli/table.hpp"
#include <algorithm>

namespace galenalink::cli {

table::table(std::vector<std::string> Headings) {
  Rows.push_back(std::move(Headings));
}

void table::add(std::vector<std::string> Cells) {
  Cells.resize(Rows.front().size());
  Rows.push_back(std::move(Cells));
}

std::string table::render() const {
  std::vector<std::size_t> Widths(Rows.front().size());
  for (const auto &Row : Rows) {
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  }
  std::string Text;
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      Line.append(Widths[Column] - Row[Column].size() + 2, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + '\n';
  }
  return Text;
}

} // namespace galenalink::cli
