#include "galenalink/config/diagnostic.hpp"

namespace galenalink::config {

std::string toString(const diagnostic &Diagnostic,
                     const std::string_view Label) {
  std::string Text = Diagnostic.File;
  if (Diagnostic.Line != 0)
    Text += ':' + std::to_string(Diagnostic.Line) + ':' +
            std::to_string(Diagnostic.Column);
  Text += ": ";
  if (!Label.empty())
    Text.append(Label) += ": ";
  if (!Diagnostic.Path.empty())
    Text += Diagnostic.Path + ": ";
  return Text + Diagnostic.Message;
}

} // namespace galenalink::config
