#ifndef LACEWINGFERRY_CORE_STRONG_ID_H_
#define LACEWINGFERRY_CORE_STRONG_ID_H_

// Defines StrongId, a string that names one kind of thing and can't be mixed
// with the names of another kind.

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lacewingferry {

/** An identifier of the kind that Tag stands for. An empty value names
 * nothing. */
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string text) : value(std::move(text)) {}

  /** The identifier as text. */
  const std::string& Value() const { return this->value; }

  /** Whether the identifier names nothing. */
  bool Empty() const { return this->value.empty(); }

  friend bool operator==(const StrongId& a, const StrongId& b) {
    return a.value == b.value;
  }
  friend bool operator!=(const StrongId& a, const StrongId& b) {
    return a.value != b.value;
  }
  friend bool operator<(const StrongId& a, const StrongId& b) {
    return a.value < b.value;
  }
  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.value;
  }

 private:
  std::string value;
};

}  // namespace lacewingferry

namespace std {

template <typename Tag>
struct hash<lacewingferry::StrongId<Tag>> {
  size_t operator()(const lacewingferry::StrongId<Tag>& id) const noexcept {
    return hash<string>()(id.Value());
  }
};

}  // namespace std

#endif  // LACEWINGFERRY_CORE_STRONG_ID_H_
