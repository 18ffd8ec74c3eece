#include "rules_reader.hpp"
#include "codec.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace galenalink;
using namespace galenalink::users_platform;
using nlohmann::json;
using rules_check::finding;
using rules_check::severity;

namespace {

std::vector<finding> check(const std::string &Text) {
  return checkRules({"f", Text}, nullptr);
}

/** @brief A finding as the command line prints it. */
std::string lineOf(const finding &Finding) {
  return toString(Finding.Diagnostic,
                  nameOf(rules_check::SeverityNames, Finding.Severity));
}

/** @brief Whether a finding's line begins with the text. */
bool has(const std::vector<finding> &Findings, const std::string &Start) {
  return std::ranges::any_of(Findings, [&](const finding &Each) {
    return lineOf(Each).starts_with(Start);
  });
}

bool mentions(const std::vector<finding> &Findings, const std::string &Text) {
  return std::ranges::any_of(Findings, [&](const finding &Each) {
    return lineOf(Each).find(Text) != std::string::npos;
  });
}

std::size_t countErrors(const std::vector<finding> &Findings) {
  return static_cast<std::size_t>(
      std::ranges::count(Findings, severity::Error, &finding::Severity));
}

/** @brief A configuration with every known field and without findings. */
json soundConfiguration() {
  return json::parse(R"({
    "version": 3,
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "routes": [{"name": "r", "host": "h", "pathPrefix": "/r/", "service": "s",
                "kind": "job", "timeoutMs": 2500, "sloMs": 600, "priority": 1,
                "maxAttempts": 4, "stretchFactor": 1.6, "public": false,
                "weight": 1, "advice": {"decisionMs": 30, "periodMs": 4,
                                        "validityMs": 900}}],
    "services": [{"name": "s", "healthPath": "/ok", "maxConns": 10,
                  "protocol": "h1", "tls": false, "admissionCheck": true,
                  "standby": false}],
    "tenants": [{"name": "t", "apiKeys": ["key-of-t"], "priority": 1,
                 "weight": 2.5, "cap": {"cpu": 4000, "memMb": 10, "gpu": 1}}]
  })");
}

const std::string BadRow = R"({"version": 1,
 "services": [{"name": "s"}],
 "routes": [
  {"name": "a", "host": "h", "pathPrefix": "/a/", "service": "s", "sloMs": -1},
  {"name": "b", "host": "h", "pathPrefix": "/b/", "service": "s", "sloMs": 5,
   "maxAttempts": 0}
 ]})";

} // namespace

BOOST_AUTO_TEST_SUITE(check_of_configurations)

// Guards against findings on a sound configuration, and against rules that
// differ from those which the nodes decode.
BOOST_AUTO_TEST_CASE(sound_configuration) {
  const std::string Text = soundConfiguration().dump();
  BOOST_TEST(check(Text).empty());
  const auto Read = readRules({"f", Text});
  BOOST_CHECK(Read.Form == rules_form::Complete);
  const auto Decoded =
      std::get<job::fleet_rules>(parseOperatorRecord({"config", Text}));
  BOOST_TEST(Read.Document.Rules.Version == Decoded.Version);
  BOOST_CHECK(Read.Document.Rules.Queues == Decoded.Queues);
  BOOST_CHECK(Read.Document.Rules.Pools == Decoded.Pools);
  BOOST_CHECK(Read.Document.Rules.Customers == Decoded.Customers);
}

// Guards against positions of the wrong entry when an earlier one can't be
// read: findings of the rules then have other indexes than the rows.
BOOST_AUTO_TEST_CASE(positions_after_an_unreadable_row) {
  const auto Found = check(BadRow);
  BOOST_TEST(has(Found, "f:4:67: error: /routes/0/sloMs: route \"a\": "
                        "\"sloMs\" must be a whole number from 0 to "
                        "4294967295, not -1"));
  BOOST_TEST(has(Found, "f:6:4: warning: /routes/1/maxAttempts: route \"b\""));
  BOOST_TEST(Found.size() == 2U);
}

// Guards against accepting what the nodes do not: comments, numbers beyond a
// double, and no JSON object at all.
BOOST_AUTO_TEST_CASE(texts_that_nodes_do_not_accept) {
  for (const char *Text : {"", "{", "[1]", "7", "{\"version\":1 // one\n}",
                           "{\"version\":1e999}", "\xff"})
    BOOST_TEST(countErrors(check(Text)) == 1U, Text);
  BOOST_TEST(has(check("{\n \"version\": 1e999}"), "f:2:13: error: "));
}

// Guards against fields that are missing or of the wrong type and that cost the
// whole configuration or an entry.
BOOST_AUTO_TEST_CASE(missing_and_mistyped_fields) {
  const auto Found = check(R"({"services": {}, "tenants": 3, "limits": [],
 "routes": [{"name": ""}, 5]})");
  for (const char *Start :
       {"f:1:1: error: \"version\" is missing",
        "f:1:2: error: /services: \"services\" must be a list, not object",
        "f:1:18: error: /tenants: \"tenants\" must be a list, not number",
        "f:1:32: error: /limits: \"limits\" must be an object, not array",
        "f:2:14: error: /routes/0/name: route \"\": \"name\" must not be empty",
        "f:2:13: error: /routes/0: route \"\": \"host\" is missing",
        "f:2:27: error: /routes/1: route: must be an object, not number"})
    BOOST_TEST(has(Found, Start), Start);
}

// Guards against a misspelled optional field, which the nodes ignore without a
// message.
BOOST_AUTO_TEST_CASE(unknown_fields) {
  json Json = soundConfiguration();
  Json["tenant"] = json::array();
  Json["routes"][0]["sloMS"] = 1;
  Json["routes"][0]["advice"]["validity"] = 1;
  Json["tenants"][0]["cap"]["cpus"] = 1;
  const auto Found = check(Json.dump());
  BOOST_TEST(Found.size() == 4U);
  BOOST_TEST(countErrors(Found) == 0U);
  for (const char *Hint :
       {R"("tenant", which is not known here; did you mean "tenants"?)",
        R"("sloMS", which is not known here; did you mean "sloMs"?)",
        R"("validity", which is not known here; did you mean "validityMs"?)",
        R"("cpus", which is not known here; did you mean "cpu"?)"})
    BOOST_TEST(mentions(Found, Hint), Hint);
}

// Guards against one of two equal fields being dropped without a message.
BOOST_AUTO_TEST_CASE(repeated_fields) {
  const auto Found = check(R"({"version": 1, "routes": [], "services": [],
 "routes": [{"name": "x", "name": "y"}]})");
  BOOST_TEST(has(Found, "f:2:2: error: \"routes\" is given twice"));
  BOOST_TEST(has(Found, "f:2:27: error: \"name\" is given twice"));
}

// Guards against a fraction that the nodes cut off without a message.
BOOST_AUTO_TEST_CASE(fractions_are_warnings) {
  json Json = soundConfiguration();
  Json["routes"][0]["sloMs"] = 600.5;
  const auto Found = check(Json.dump());
  BOOST_TEST(Found.size() == 1U);
  BOOST_TEST(mentions(Found, "600.5 has a fraction: the nodes use 600"));
}

// Guards against a configuration that the store refuses.
BOOST_AUTO_TEST_CASE(size_of_the_record) {
  std::string Text = soundConfiguration().dump();
  Text.resize(262'144, ' ');
  BOOST_TEST(check(Text).empty());
  BOOST_TEST(countErrors(check(Text + ' ')) == 1U);
}

// Guards against keys in the output, whatever is wrong around them.
BOOST_AUTO_TEST_CASE(keys_are_not_disclosed) {
  const std::string Secret = "sk-9f8e7d6c";
  const std::string Shown = "sk-9f";
  const std::string Rest = R"(, "version": 1, "routes": [], "services": []})";
  for (const std::string Tenants :
       {R"("tenants": [{"name": "t", "apiKeys": ["sk-9f8e7d6c" "x"]}])",
        R"("tenants": [{"name": "t", "apiKeys": ["sk-9f8e7d6c]}])",
        R"("tenants": [{"name": "t", "apiKeys": ["sk-9f8e7d6c\x"]}])",
        R"("tenants": [{"name": "t", "apiKeys": "sk-9f8e7d6c"}])",
        R"("tenants": [{"name": "t", "apiKey": ["sk-9f8e7d6c"]}])",
        R"("tenants": [{"name": "t", "apiKeys": ["sk-9f8e7d6c "]}])",
        R"("tenants": [{"name": "t", "apiKeys": [{"k": "sk-9f8e7d6c"}]}])",
        R"("tenants": [{"name": "t", "apiKeys": ["sk-9f8e7d6c"]},
                       {"name": "u", "apiKeys": ["sk-9f8e7d6c"]}])"}) {
    std::string Text = "{";
    const auto Found = check(Text.append(Tenants).append(Rest));
    BOOST_TEST(!Found.empty(), Tenants);
    BOOST_TEST(!mentions(Found, Shown), Tenants);
  }
  json Old = soundConfiguration();
  Old["tenants"][0]["apiKeys"] = {Secret};
  json New = soundConfiguration();
  New["version"] = 4;
  const rules_source InForce{"old", Old.dump()};
  const auto Removed = checkRules({"new", New.dump()}, &InForce);
  BOOST_TEST(mentions(Removed, R"("sk-9..." is taken away)"));
  BOOST_TEST(!mentions(Removed, Shown));
}

// Guards against an entry that the nodes skip although the check passes it: any
// value in any field of an entry must be an error if the decoder rejects it.
BOOST_AUTO_TEST_CASE(entries_that_nodes_skip_are_errors) {
  const std::vector<json> Values{nullptr,
                                 true,
                                 -1,
                                 0,
                                 1.5,
                                 -0.5,
                                 4294967295.0,
                                 4294967295.5,
                                 4294967296,
                                 1e300,
                                 INT64_MIN,
                                 UINT64_MAX,
                                 "",
                                 "text",
                                 std::string(4097, 'x'),
                                 json::array(),
                                 json::array({1}),
                                 json::object(),
                                 json{{"cpu", -1}},
                                 json{{"decisionMs", "x"}}};
  const json Sound = soundConfiguration();
  for (const char *List : {"routes", "services", "tenants"}) {
    for (const auto &[Field, Unused] : Sound[List][0].items()) {
      for (const json &Value : Values) {
        json Json = Sound;
        Json[List][0][Field] = Value;
        const std::string Text = Json.dump();
        const auto Rules =
            std::get<job::fleet_rules>(parseOperatorRecord({"config", Text}));
        const bool IsSkipped = Rules.Queues.empty() || Rules.Pools.empty() ||
                               Rules.Customers->empty();
        const auto Found = check(Text);
        if (IsSkipped)
          BOOST_TEST(countErrors(Found) > 0U, Text);
        // Only reported if the table of fields lacks a rule of the decoder.
        BOOST_TEST(!mentions(Found, "the nodes skip it"), Text);
      }
    }
  }
}

// Guards against an exception or an endless loop on any text.
BOOST_AUTO_TEST_CASE(any_text_is_checked) {
  const std::string Sound = soundConfiguration().dump(1);
  BOOST_TEST(rc::check("any text is checked", [&] {
    std::string Text = Sound;
    const auto Changes = *rc::gen::inRange(1, 4);
    for (int I = 0; I < Changes; ++I) {
      const auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
      Text.replace(At, *rc::gen::inRange<std::size_t>(0, 9),
                   *rc::gen::element<std::string>(
                       "", "{", "}", "[", "]", "\"", "1e999", "-1", "null",
                       "\\", ",", ":", "[[[[[", "\xff", "\"version\":", "/"));
    }
    const rules_source InForce{"old", Sound};
    static_cast<void>(checkRules({"new", Text}, &InForce));
    const rules_source Mutated{"old", Text};
    static_cast<void>(checkRules({"new", Sound}, &Mutated));
  }));
}

// Guards against a comparison with entries that could not be read, which would
// be reported as removed; entries that the nodes skipped in the configuration
// in force do not prevent it.
BOOST_AUTO_TEST_CASE(comparison_needs_a_complete_configuration) {
  const std::string Sound = soundConfiguration().dump();
  const rules_source InForce{"old", Sound};
  const auto Partial = checkRules({"new", BadRow}, &InForce);
  BOOST_TEST(mentions(Partial, "old: warning: not compared"));
  BOOST_TEST(!mentions(Partial, "is removed"));
  const rules_source Bad{"old", BadRow};
  const auto Repaired = checkRules({"new", Sound}, &Bad);
  BOOST_TEST(countErrors(Repaired) == 0U);
  BOOST_TEST(mentions(Repaired, "old:4:67: warning: /routes/0/sloMs"));
  BOOST_TEST(mentions(Repaired, "route \"b\" is removed"));
  const rules_source Broken{"old", "{"};
  BOOST_TEST(countErrors(checkRules({"new", Sound}, &Broken)) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
