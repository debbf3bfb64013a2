#include "lacewingferry/decisions/execution/answer_gate.h"

#include <algorithm>

namespace lacewingferry {

void AnswerGate::ReleaseTerm(std::uint64_t term) {
  this->released_term = std::max(this->released_term, term);
}

}  // namespace lacewingferry
