#include "tests/support/line_member.h"

#include <utility>

namespace lacewingferry::testing {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

}  // namespace

std::string TakeField(std::string* rest) {
  const std::size_t end = rest->find(' ');
  std::string field = rest->substr(0, end);
  rest->erase(0, end == std::string::npos ? end : end + 1);
  return field;
}

std::vector<std::string> LineMember::Take(std::string_view bytes) {
  this->input.append(bytes);
  std::vector<std::string> lines;
  for (std::size_t end = this->input.find(kLineEnd); end != std::string::npos;
       end = this->input.find(kLineEnd)) {
    std::string rest = this->input.substr(0, end);
    this->input.erase(0, end + kLineEnd.size());
    const std::string word = TakeField(&rest);
    const std::string id = TakeField(&rest);
    const bool query = word == "QUERY" && !id.empty();
    std::string answer =
        query ? this->AnswerTroubled(id, rest) : "ERROR MALFORMED " + word;
    if (this->lost) return lines;
    lines.push_back(std::move(answer));
    const char* const open = this->failed ? "READY E 1.1" : "READY T 1.1";
    lines.push_back(this->in_transaction ? open : "READY I 1.1");
  }
  return lines;
}

std::string LineMember::AnswerTroubled(const std::string& id,
                                       const std::string& text) {
  if (!this->troubles) return this->Answer(id, text);
  const LineTrouble trouble = this->troubles(text);
  std::string answer;
  if (trouble.runs) answer = this->Answer(id, text);
  this->lost = trouble.lost;
  return trouble.answer.empty() ? answer : trouble.answer;
}

std::string LineMember::Answer(const std::string& id, std::string text) {
  std::string refused = this->refusal(text);
  if (!refused.empty()) {
    this->failed =
        this->in_transaction && refused.find("READONLY") != std::string::npos;
    return refused;
  }
  std::string rest = text;
  std::string verb = TakeField(&rest);
  if (verb == "AFTER") {
    TakeField(&rest);
    verb = TakeField(&rest);
  }
  if (this->failed && verb != "ROLLBACK" && verb != "COMMIT") {
    return "ERROR MALFORMED failed";
  }
  if (verb == "EXECUTE") return this->Execute(id, rest);
  if (verb == "LOOKUP" || verb == "STORE") {
    return this->Run(
        {id, verb, false, "", rest, this->values, this->in_transaction});
  }
  if (verb == "SET") {
    const std::string name = TakeField(&rest);
    this->values[name] = rest;
    return "DONE -";
  }
  if (verb == "RESET") {
    this->values.clear();
    this->prepared.clear();
    if (this->reset_ends_transaction) {
      this->in_transaction = false;
      this->pending.clear();
    }
    return "DONE -";
  }
  if (verb == "PREPARE") {
    const std::string name = TakeField(&rest);
    const std::string prepares = TakeField(&rest);
    if (prepares != "LOOKUP" && prepares != "STORE") return "ERROR MALFORMED -";
    this->prepared[name] = {prepares, rest};
    return "DONE -";
  }
  if (verb == "BEGIN" || verb == "COMMIT" || verb == "ROLLBACK") {
    if (verb == "COMMIT" && !this->failed) {
      this->kept.insert(this->kept.end(), this->pending.begin(),
                        this->pending.end());
    }
    this->pending.clear();
    this->in_transaction = verb == "BEGIN";
    this->failed = false;
    return "DONE d." + id;
  }
  return "ERROR MALFORMED " + verb;
}

std::string LineMember::Execute(const std::string& id, std::string text) {
  const std::string name = TakeField(&text);
  const auto found = this->prepared.find(name);
  if (found == this->prepared.end()) return "ERROR NOSTMT " + name;
  return this->Run({id, found->second.verb, true, found->second.shape, text,
                    this->values, this->in_transaction});
}

std::string LineMember::Run(LineRun run) {
  std::string answer = "DONE d." + run.id;
  if (run.verb == "STORE") {
    (run.in_transaction ? this->pending : this->kept).push_back(run.id);
  }
  this->runs.push_back(std::move(run));
  return answer;
}

}  // namespace lacewingferry::testing
