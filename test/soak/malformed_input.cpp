#include "soak/malformed_input.hpp"
#include <cstddef>
#include <utility>

namespace galenalink::soak {

namespace {

constexpr std::size_t DeepNesting = 50000;

std::string nested(const std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

/** @return A registration with the value of one field replaced. */
std::string registrationWith(const std::string &Field,
                             const std::string &Value) {
  const std::vector<std::pair<std::string, std::string>> Fields{
      {"service", R"("press")"},
      {"address", R"("127.0.0.1:9")"},
      {"zone", R"("north")"},
      {"version", R"("1")"},
      {"slots", "8"},
      {"state", R"("ready")"},
      {"seq", "1"},
      {"born", "1"},
      {"capacity", R"({"cpu":16000,"memMb":65536})"},
      {"labels", R"(["a"])"}};
  std::string Text;
  for (const auto &[Name, Usual] : Fields)
    Text += (Text.empty() ? "{\"" : ",\"") + Name +
            "\":" + (Name == Field ? Value : Usual);
  return Text + "}";
}

} // namespace

const std::vector<std::string> &malformedRegistrations() {
  static const std::vector<std::string> Rows{
      "{",
      "null",
      "[]",
      "\"text\"",
      std::string(3, '\0'),
      "\xff\xfe\x80",
      nested(DeepNesting),
      registrationWith("labels", nested(DeepNesting)),
      registrationWith("service", "7"),
      registrationWith("service", "\"unnamed\""),
      registrationWith("service", "\"\xc3\x28\""),
      registrationWith("address", "7"),
      registrationWith("address", R"("127.0.0.1:65536")"),
      registrationWith("address", R"("127.0.0.1:-1")"),
      registrationWith("address", R"("127.0.0.1:99999999999999999999")"),
      registrationWith("address", R"("not an address")"),
      registrationWith("address", R"("")"),
      registrationWith("state", "\"unnamed\""),
      registrationWith("state", "null"),
      registrationWith("seq", "1e400"),
      registrationWith("seq", "99999999999999999999999999"),
      registrationWith("seq", R"("one")"),
      registrationWith("born", "{}"),
      registrationWith("capacity", "null"),
      registrationWith("capacity", R"({"cpu":"much"})"),
      registrationWith("capacity", R"({"cpu":1e300,"memMb":-1e300})"),
      registrationWith("labels", "[1]"),
      registrationWith("labels", R"({"a":1})"),
  };
  return Rows;
}

const std::vector<std::string> &malformedJobBodies() {
  static const std::vector<std::string> Bodies{
      "",
      "{",
      "[]",
      nested(DeepNesting),
      R"({"spec":7,"steps":[]})",
      R"({"spec":"1","steps":7})",
      R"({"spec":"1","steps":[7]})",
      R"({"spec":"1","steps":[{"count":"many"}]})",
      R"({"spec":"1","steps":[{"count":1,"dependsOn":"0"}]})",
      R"({"spec":"1","steps":)" + nested(DeepNesting) + "}",
      "{\"spec\":\"\xff\",\"steps\":[{\"count\":1e400}]}",
  };
  return Bodies;
}

} // namespace galenalink::soak
