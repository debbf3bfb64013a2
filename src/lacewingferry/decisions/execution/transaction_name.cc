#include "lacewingferry/decisions/execution/transaction_name.h"

#include <charconv>
#include <string>

namespace lacewingferry {

TransactionId FormatTransactionName(const TransactionName& name) {
  return TransactionId(name.owner.Value() + "/" + name.member.Value() + "/" +
                       std::to_string(name.number));
}

std::optional<TransactionName> ParseTransactionName(const TransactionId& id) {
  const std::string& text = id.Value();
  const std::size_t first = text.find('/');
  const std::size_t second =
      first == std::string::npos ? first : text.find('/', first + 1);
  if (second == std::string::npos) return std::nullopt;
  TransactionName name;
  name.owner = NodeId(text.substr(0, first));
  name.member = MemberId(text.substr(first + 1, second - first - 1));
  const char* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data() + second + 1, end, name.number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return name;
}

}  // namespace lacewingferry
