#include "commands.h"

#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/settings.h"
#include "line_diff.h"
#include "text_table.h"

namespace shallotwick::ctl {
namespace {

using nlohmann::json;

constexpr char kRevisionComment[] = "# revision: ";

// Ends a command with a message and an exit code.
class CommandFailure : public std::runtime_error {
 public:
  CommandFailure(int exit_code, const std::string& message)
      : std::runtime_error(message), m_exit_code(exit_code) {}
  int GetExitCode() const { return m_exit_code; }

 private:
  int m_exit_code;
};

std::string AsText(const json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_array()) {
    std::string text;
    for (const json& item : value) {
      text += (text.empty() ? "" : ",") + AsText(item);
    }
    return text;
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  return value.dump();
}

int ExitCodeOf(int status) {
  switch (status) {
    case 200:
      return kExitSuccess;
    case 202:
      return kExitDisputed;
    case 403:
      return kExitNotOwner;
    case 412:
      return kExitStale;
    case 422:
      return kExitRejected;
    default:
      return kExitFailure;
  }
}

class CommandRun {
 public:
  CommandRun(const CommandLine& line, const CommandEnvironment& environment)
      : m_line(line), m_environment(environment) {}

  int Run() {
    const std::string command = JoinWords(2);
    const std::map<std::string, int (CommandRun::*)()> commands = {
        {"document show", &CommandRun::ShowDocument},
        {"section show", &CommandRun::ShowSection},
        {"section get", &CommandRun::GetSection},
        {"section check", &CommandRun::CheckSection},
        {"section submit", &CommandRun::SubmitSection},
        {"disputes list", &CommandRun::ListDisputes},
        {"disputes withdraw", &CommandRun::WithdrawDispute},
        {"history list", &CommandRun::ListHistory},
        {"history show", &CommandRun::ShowHistory},
        {"history diff", &CommandRun::DiffHistory},
        {"gateways list", &CommandRun::ListGateways},
        {"pools list", &CommandRun::ListPools},
        {"hosts list", &CommandRun::ListHosts},
        {"waves list", &CommandRun::ListWaves},
    };
    const auto found = commands.find(command);
    if (found == commands.end()) {
      throw CommandFailure(
          kExitBadUsage, "no such command: '" + JoinWords(9) + "'; see --help");
    }
    return (this->*found->second)();
  }

 private:
  std::string JoinWords(size_t most) const {
    std::string text;
    for (size_t at = 0; at < std::min(most, m_line.words.size()); ++at) {
      text += (at == 0 ? "" : " ") + m_line.words[at];
    }
    return text;
  }

  const std::string& GetWord(size_t at, const std::string& what) const {
    if (at >= m_line.words.size()) {
      throw CommandFailure(kExitBadUsage,
                           "'" + JoinWords(2) + "' needs " + what);
    }
    return m_line.words[at];
  }

  bool WantsJson() const {
    return m_line.FindOption("output").value_or("text") == "json";
  }

  http::Response Call(const std::string& method, const std::string& path,
                      const std::string& body = "",
                      http::Headers headers = {}) {
    const auto admin = m_line.FindOption("admin");
    if (!admin || !base::CheckAddress(*admin).empty()) {
      throw CommandFailure(kExitBadUsage,
                           "the address of shallotwick-admin is missing or no "
                           "IP:PORT; give --admin or set SHALLOTWICK_ADMIN");
    }
    if (const auto token = m_line.FindOption("token")) {
      headers.emplace_back("Authorization", "Bearer " + *token);
    }
    if (const auto author = m_line.FindOption("author")) {
      headers.emplace_back("Shallotwick-Author", *author);
    }
    const http::TransferResult result = m_environment.send(
        "http://" + *admin + path, http::Request{method, path, headers, body});
    if (result.outcome != http::TransferOutcome::kComplete) {
      throw CommandFailure(kExitFailure,
                           *admin + " does not answer (" + result.error +
                               "); is shallotwick-admin running there?");
    }
    return result.response;
  }

  static json ParseBody(const http::Response& response) {
    json body = json::parse(response.body, nullptr, false);
    if (body.is_discarded()) {
      throw CommandFailure(kExitFailure, "the answer is not JSON");
    }
    return body;
  }

  // Gets a path; an answer that is no success ends the command.
  json Get(const std::string& path) {
    const http::Response response = Call("GET", path);
    json body = ParseBody(response);
    if (response.status != 200) {
      throw CommandFailure(ExitCodeOf(response.status),
                           body.value("detail", response.body));
    }
    return body;
  }

  int Print(const json& body, const std::string& text) {
    m_environment.out << (WantsJson() ? body.dump(2) + "\n" : text);
    return kExitSuccess;
  }

  int PrintList(const json& body, const char* list,
                const std::vector<std::string>& columns) {
    TextTable table(columns);
    for (const json& item : body.at(list)) {
      std::vector<std::string> row;
      for (const std::string& column : columns) {
        row.push_back(item.contains(column) ? AsText(item.at(column)) : "");
      }
      table.AddRow(std::move(row));
    }
    return Print(body, table.Format());
  }

  int ShowDocument() {
    const json body = Get("/v1/document");
    TextTable table({"team", "revision", "author"});
    for (const json& section : body.at("sections")) {
      table.AddRow({AsText(section.at("team")), AsText(section.at("revision")),
                    AsText(section.at("author"))});
    }
    return Print(body, "version " + AsText(body.at("version")) + ", " +
                           AsText(body.at("disputes")) + " disputes\n" +
                           table.Format());
  }

  std::string SectionPath() {
    return "/v1/sections/" + http::PercentEncode(GetWord(2, "a team"));
  }

  int ShowSection() {
    const json body = Get(SectionPath());
    std::string text = "section " + AsText(body.at("team")) + ", revision " +
                       AsText(body.at("revision")) + ", by " +
                       AsText(body.at("author")) + "\n";
    if (body.contains("dispute")) {
      text += "an edit waits for a ruling: dispute " +
              AsText(body.at("dispute").at("id")) + "\n";
    }
    return Print(body, text + AsText(body.at("text")));
  }

  // The revision stands in the text as a comment, for the submission to find.
  int GetSection() {
    const json body = Get(SectionPath());
    return Print(body, kRevisionComment + AsText(body.at("revision")) + "\n" +
                           AsText(body.at("text")));
  }

  std::string ReadSectionFile() {
    try {
      return m_environment.read_file(GetWord(3, "a file"));
    } catch (const std::runtime_error& error) {
      throw CommandFailure(kExitBadUsage, error.what());
    }
  }

  int CheckSection() {
    const std::string path = SectionPath();
    const auto [text, revision] = SplitRevision(ReadSectionFile());
    return PrintVerdict(Call("POST", path + "/check", text));
  }

  int SubmitSection() {
    const std::string path = SectionPath();
    auto [text, revision] = SplitRevision(ReadSectionFile());
    if (const auto given = m_line.FindOption("revision")) {
      revision = *given;
    }
    if (revision.empty()) {
      throw CommandFailure(
          kExitBadUsage,
          "the file does not name the revision that the edit started from; "
          "begin with 'section get', or give --revision (0 for a new section)");
    }
    return PrintVerdict(Call("PUT", path, text, {{"If-Match", revision}}));
  }

  // Takes the revision's comment off the first line.
  static std::pair<std::string, std::string> SplitRevision(
      const std::string& text) {
    const std::string comment = kRevisionComment;
    if (text.compare(0, comment.size(), comment) != 0) {
      return {text, ""};
    }
    const size_t end = std::min(text.find('\n'), text.size());
    return {text.substr(std::min(end + 1, text.size())),
            text.substr(comment.size(), end - comment.size())};
  }

  int PrintVerdict(const http::Response& response) {
    const json body = ParseBody(response);
    const int exit_code = ExitCodeOf(response.status);
    if (WantsJson()) {
      m_environment.out << body.dump(2) << "\n";
      return exit_code;
    }
    if (!body.contains("verdict")) {
      m_environment.error << body.value("detail", response.body) << "\n";
      return exit_code;
    }
    m_environment.out << body.at("verdict").get<std::string>() << ", version "
                      << body.at("version").dump() << "\n";
    for (const json& finding : body.at("findings")) {
      m_environment.out << AsText(finding.at("place")) << ": "
                        << AsText(finding.at("message")) << "; "
                        << AsText(finding.at("remedy")) << "\n";
    }
    if (exit_code == kExitStale) {
      m_environment.out << "the section was changed meanwhile; get it again "
                           "and make the edit on the new text\n";
    }
    if (exit_code == kExitDisputed) {
      m_environment.out << "the edit waits for a ruling as dispute "
                        << AsText(body.at("dispute").at("id"))
                        << "; everything else goes on\n";
    }
    return exit_code;
  }

  int ListDisputes() {
    return PrintList(Get("/v1/disputes"), "disputes",
                     {"id", "team", "author", "digest", "opened_at"});
  }

  int WithdrawDispute() {
    const http::Response response =
        Call("DELETE",
             "/v1/disputes/" + http::PercentEncode(GetWord(2, "a dispute")));
    const json body = ParseBody(response);
    if (response.status != 200) {
      throw CommandFailure(ExitCodeOf(response.status),
                           body.value("detail", response.body));
    }
    return Print(body, "withdrawn\n");
  }

  int ListHistory() {
    const std::string from = m_line.FindOption("from").value_or("1");
    return PrintList(Get("/v1/history?from=" + http::PercentEncode(from)),
                     "history", {"version", "team", "author", "cause"});
  }

  json GetVersion(uint64_t version) {
    const json body = Get("/v1/history?from=" + std::to_string(version));
    for (const json& entry : body.at("history")) {
      if (entry.at("version") == version) {
        return entry;
      }
    }
    throw CommandFailure(kExitFailure,
                         "there is no version " + std::to_string(version));
  }

  uint64_t ReadVersionWord() {
    const std::string& word = GetWord(2, "a version");
    uint64_t version = 0;
    const auto [rest, error] =
        std::from_chars(word.data(), word.data() + word.size(), version);
    if (error != std::errc() || rest != word.data() + word.size()) {
      throw CommandFailure(kExitBadUsage, "'" + word + "' is no version");
    }
    return version;
  }

  int ShowHistory() {
    const json entry = GetVersion(ReadVersionWord());
    return Print(entry, AsText(entry.at("text")));
  }

  int DiffHistory() {
    const uint64_t version = ReadVersionWord();
    const json entry = GetVersion(version);
    std::string former;
    const json body = Get("/v1/history?from=" +
                          std::to_string(version > 100 ? version - 100 : 1));
    for (const json& earlier : body.at("history")) {
      if (earlier.at("team") == entry.at("team") &&
          earlier.at("version") < entry.at("version")) {
        former = AsText(earlier.at("text"));
      }
    }
    const std::string diff = DiffLines(former, AsText(entry.at("text")));
    return Print(json({{"version", version}, {"diff", diff}}), diff);
  }

  int ListGateways() {
    const json body = Get("/v1/gateways");
    if (!WantsJson()) {
      m_environment.out << "accepted version "
                        << AsText(body.at("document_version")) << "\n";
    }
    return PrintList(body, "gateways",
                     {"gateway", "data_centre", "address", "ready",
                      "document_version", "view_version", "in_force"});
  }

  int ListPools() {
    const json body = Get("/v1/pools");
    TextTable table({"pool", "budget", "unavailable", "data_centre", "promised",
                     "serving", "short"});
    for (const json& pool : body.at("pools")) {
      for (const json& place : pool.at("data_centres")) {
        table.AddRow({AsText(pool.at("pool")), AsText(pool.at("budget")),
                      AsText(pool.at("unavailable")),
                      AsText(place.at("data_centre")),
                      AsText(place.at("promised")), AsText(place.at("serving")),
                      AsText(place.at("short"))});
      }
    }
    return Print(body, table.Format());
  }

  int ListHosts() {
    std::string path = "/v1/hosts";
    if (const auto pool = m_line.FindOption("pool")) {
      path += "?pool=" + http::PercentEncode(*pool);
    }
    return PrintList(Get(path), "hosts",
                     {"name", "pool", "state", "data_centre", "rack", "purpose",
                      "wave", "maintained_by"});
  }

  int ListWaves() {
    return PrintList(Get("/v1/waves"), "waves",
                     {"wave", "pools", "done", "in_maintenance", "left"});
  }

  const CommandLine& m_line;
  const CommandEnvironment& m_environment;
};

}  // namespace

int RunCommand(const CommandLine& line, const CommandEnvironment& environment) {
  try {
    return CommandRun(line, environment).Run();
  } catch (const CommandFailure& failure) {
    environment.error << "shallotwickctl: " << failure.what() << "\n";
    return failure.GetExitCode();
  } catch (const json::exception&) {
    environment.error << "shallotwickctl: the answer lacks something; do the "
                         "versions of shallotwickctl and admin match?\n";
    return kExitFailure;
  }
}

}  // namespace shallotwick::ctl
