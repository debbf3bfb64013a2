#ifndef LACEWINGFERRY_TESTS_SUPPORT_FILLED_RECORD_H_
#define LACEWINGFERRY_TESTS_SUPPORT_FILLED_RECORD_H_

// Defines FilledRecord, a sample of any type that has VisitFields in which no
// field is empty.

#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include "lacewingferry/adapters/msgpack/field_codec.h"

namespace lacewingferry::testing {

/** A record whose numbers, names and lists are all set. */
template <typename T>
T FilledRecord();

namespace detail_filled {

/** Fills the fields of a record. */
struct FieldFiller {
  template <typename T>
  void operator()(const char* /*name*/, T& value) const {
    value = FilledRecord<T>();
  }
};

}  // namespace detail_filled

template <typename T>
T FilledRecord() {
  constexpr int kNumber = 7;
  T value{};
  if constexpr (std::is_enum_v<T>) {
    return value;
  } else if constexpr (std::is_arithmetic_v<T>) {
    value = static_cast<T>(kNumber);
  } else if constexpr (std::is_same_v<T, std::string>) {
    value = "text";
  } else if constexpr (detail::IsStrongId<T>::value) {
    value = T("name");
  } else if constexpr (detail::IsDuration<T>::value) {
    value = T(kNumber);
  } else if constexpr (detail::IsOptional<T>::value) {
    value = FilledRecord<typename T::value_type>();
  } else if constexpr (detail::IsVector<T>::value) {
    value.push_back(FilledRecord<typename T::value_type>());
  } else if constexpr (detail::IsMap<T>::value) {
    value.emplace(FilledRecord<typename T::key_type>(),
                  FilledRecord<typename T::mapped_type>());
  } else if constexpr (detail::IsPair<T>::value) {
    value = {FilledRecord<typename T::first_type>(),
             FilledRecord<typename T::second_type>()};
  } else if constexpr (detail::IsVariant<T>::value) {
    value = FilledRecord<std::variant_alternative_t<0, T>>();
  } else {
    T::VisitFields(value, detail_filled::FieldFiller());
  }
  return value;
}

/** A filled sample of each alternative of a variant. */
template <typename V, std::size_t I = 0, typename Use>
void ForEachAlternative(const Use& use) {
  if constexpr (I < std::variant_size_v<V>) {
    use(V(FilledRecord<std::variant_alternative_t<I, V>>()));
    ForEachAlternative<V, I + 1>(use);
  }
}

}  // namespace lacewingferry::testing

#endif  // LACEWINGFERRY_TESTS_SUPPORT_FILLED_RECORD_H_
