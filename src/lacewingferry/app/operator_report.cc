#include "lacewingferry/app/operator_report.h"

#include <sstream>

#include "lacewingferry/core/printable_text.h"

namespace lacewingferry {
namespace {

using Json = nlohmann::ordered_json;

/** Notes and their authors are texts of operators. */
std::string TextAt(const Json& json, const char* key) {
  return PrintableText(json.at(key).get<std::string>());
}

std::uint64_t NumberAt(const Json& json, const char* key) {
  return json.at(key).get<std::uint64_t>();
}

void ReportFindings(const Json& findings, const std::string& file,
                    std::ostream& out) {
  for (const Json& finding : findings) {
    out << file << ":" << NumberAt(finding, "line") << ":"
        << NumberAt(finding, "column") << ": " << TextAt(finding, "message")
        << "\n";
  }
}

void ReportWinner(const Json& winner, std::ostream& out) {
  out << "revision " << NumberAt(winner, "revision") << " is note '"
      << TextAt(winner, "note") << "' of " << TextAt(winner, "author") << "\n";
}

const char* SignOf(const std::string& action) {
  if (action == "added") {
    return "+";
  }
  return action == "withdrawn" ? "-" : "~";
}

void ReportField(const Json& field, std::ostream& out) {
  const std::string before = TextAt(field, "before");
  const std::string after = TextAt(field, "after");
  out << "    " << TextAt(field, "field") << ": ";
  if (before.empty() || after.empty()) {
    out << before << after << "\n";
  } else {
    out << before << " -> " << after << "\n";
  }
}

}  // namespace

std::string ReportNote(const Json& answer, const std::string& file) {
  std::ostringstream out;
  const std::string verdict = TextAt(answer, "verdict");
  ReportFindings(answer.at("findings"), file, out);
  if (verdict == "accepted") {
    out << "accepted as revision " << NumberAt(answer, "revision");
  } else if (verdict == "conflict") {
    out << "conflict: the note is not written against the revision in force, "
        << NumberAt(answer, "revision") << "; nothing changed";
  } else if (verdict == "id_reused") {
    out << "conflict: another note has this identifier; nothing changed";
  } else {
    out << "refused; nothing changed";
  }
  out << (answer.at("repeated").get<bool>() ? " (the first answer again)\n"
                                            : "\n");
  if (answer.contains("winner")) {
    ReportWinner(answer.at("winner"), out);
  }
  return out.str();
}

std::string ReportDiff(const Json& diff) {
  std::ostringstream out;
  for (const Json& item : diff) {
    out << SignOf(TextAt(item, "action")) << " " << TextAt(item, "kind") << " "
        << TextAt(item, "id") << "\n";
    for (const Json& field : item.at("fields")) {
      ReportField(field, out);
    }
  }
  return out.str();
}

std::string ReportHistory(const Json& history) {
  std::ostringstream out;
  for (const Json& entry : history) {
    out << NumberAt(entry, "revision") << "  " << TextAt(entry, "received_at")
        << "  " << TextAt(entry, "note") << "  by " << TextAt(entry, "author")
        << ", sent by " << TextAt(entry, "sender") << "  +"
        << NumberAt(entry, "added") << " ~" << NumberAt(entry, "changed")
        << " -" << NumberAt(entry, "withdrawn") << "\n";
  }
  return out.str();
}

std::string ReportStatus(const Json& status) {
  std::ostringstream out;
  out << "revision " << NumberAt(status, "revision") << " is in force on "
      << NumberAt(status, "in_force") << " of " << NumberAt(status, "total")
      << "\n";
  for (const Json& node : status.at("lagging")) {
    out << "  not on " << TextAt(node, "node") << ", which runs revision "
        << NumberAt(node, "revision") << "\n";
  }
  return out.str();
}

}  // namespace lacewingferry
