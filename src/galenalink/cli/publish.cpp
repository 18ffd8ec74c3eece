#include "galenalink/cli/publish.hpp"
#include "galenalink/cli/actions.hpp"
#include "galenalink/config/service_file.hpp"
#include "galenalink/core/random.hpp"
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace galenalink::cli {

namespace {

using nlohmann::json;

struct in_force {
  std::uint64_t Version{0};
  documents Documents;
};

[[nodiscard]] result<in_force> fetch(connection &Node) {
  BOOST_LEAF_AUTO(Reply, Node.get("/v1/config"));
  const auto Json = json::parse(Reply.Body, nullptr, false);
  if (Reply.Status != 200 || !Json.is_object() || !Json.contains("documents"))
    return fail(errc::Unavailable,
                "the node gave no configuration: " + Reply.Body);
  in_force InForce;
  InForce.Version = Json.value("version", std::uint64_t{0});
  for (const auto &Document : Json["documents"])
    InForce.Documents[Document.value("name", "")] = Document.value("text", "");
  return InForce;
}

[[nodiscard]] std::string readFile(const std::filesystem::path &Path) {
  std::ifstream Input{Path};
  std::stringstream Text;
  Text << Input.rdbuf();
  return Text.str();
}

/** @brief Services whose pool no document declares. */
[[nodiscard]] bool
checkPools(const std::map<std::string, config::service_file> &Files) {
  std::set<std::string> Pools;
  for (const auto &[Unused, File] : Files) {
    for (const auto &Pool : File.Pools)
      Pools.insert(Pool.Name);
  }
  bool Valid = true;
  for (const auto &[Name, File] : Files) {
    for (const auto &Service : File.Services) {
      if (Pools.contains(Service.Pool))
        continue;
      Valid = false;
      std::cerr << Name << ": service \"" << Service.Name
                << "\" runs on pool \"" << Service.Pool
                << "\", which no document declares\n";
    }
  }
  return Valid;
}

} // namespace

result<documents> collect(const std::filesystem::path &Directory) {
  documents Documents;
  std::error_code Error;
  std::filesystem::recursive_directory_iterator Entries{Directory, Error};
  if (Error)
    return fail(errc::BadInput, Directory.string() + ": " + Error.message());
  for (const auto &Entry : Entries) {
    if (Entry.is_regular_file() && Entry.path().extension() == ".json")
      Documents[Entry.path().lexically_relative(Directory).generic_string()] =
          readFile(Entry.path());
  }
  if (Documents.empty())
    return fail(errc::BadInput,
                Directory.string() + ": has no service file (*.json)");
  return Documents;
}

bool checkDocuments(const documents &Documents) {
  bool Valid = true;
  std::map<std::string, config::service_file> Files;
  for (const auto &[Name, Text] : Documents) {
    for (const auto &Diagnostic :
         config::parseServiceFile(Name, Text, Files[Name])) {
      Valid = false;
      std::cerr << toString(Diagnostic) << '\n';
    }
  }
  return Valid && checkPools(Files);
}

documents changed(const documents &Wanted, const documents &InForce,
                  const bool Prune) {
  documents Changed;
  for (const auto &[Name, Text] : Wanted) {
    const auto Known = InForce.find(Name);
    if (Known == InForce.end() || Known->second != Text)
      Changed[Name] = Text;
  }
  for (const auto &[Name, Unused] : InForce) {
    if (Prune && !Wanted.contains(Name))
      Changed[Name] = "";
  }
  return Changed;
}

result<exit_code> publish(connection &Node,
                          const std::filesystem::path &Directory,
                          const std::string &Author, const bool Prune,
                          const output Output) {
  BOOST_LEAF_AUTO(Wanted, collect(Directory));
  if (!checkDocuments(Wanted))
    return exit_code::BadInput;
  BOOST_LEAF_AUTO(InForce, fetch(Node));
  const auto Changed = changed(Wanted, InForce.Documents, Prune);
  if (Changed.empty()) {
    std::cout << "Nothing has changed; version " << InForce.Version
              << " stays in force.\n";
    return exit_code::Done;
  }
  json Documents = json::array();
  for (const auto &[Name, Text] : Changed)
    Documents.push_back({{"name", Name}, {"text", Text}});
  const json Body{{"id", randomId()},
                  {"base_version", InForce.Version},
                  {"author", Author},
                  {"documents", Documents}};
  return change(Node, "/v1/config", Body.dump(), Output);
}

} // namespace galenalink::cli
