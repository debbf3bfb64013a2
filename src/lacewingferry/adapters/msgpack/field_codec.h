#ifndef LACEWINGFERRY_ADAPTERS_MSGPACK_FIELD_CODEC_H_
#define LACEWINGFERRY_ADAPTERS_MSGPACK_FIELD_CODEC_H_

// Defines the MessagePack form of any type that has VisitFields.
//
// A record is an array of its fields in the order in which VisitFields names
// them, a variant an array of its index and its value, a duration its count
// in nanoseconds. A decoder takes arrays that are longer than it expects, so
// that fields can be added at the end. A record to which fields were added
// names in kFirstFields how many it had at first; those that an array lacks
// beyond them keep their defaults.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "lacewingferry/core/errors.h"
#include "lacewingferry/core/strong_id.h"

namespace lacewingferry::detail {

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename T>
void PackValue(Packer& out, const T& value);
template <typename T>
void UnpackValue(const msgpack::object& in, T& value);

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};
template <typename T>
struct IsMap : std::false_type {};
template <typename K, typename V>
struct IsMap<std::map<K, V>> : std::true_type {};
template <typename T>
struct IsPair : std::false_type {};
template <typename A, typename B>
struct IsPair<std::pair<A, B>> : std::true_type {};
template <typename T>
struct IsOptional : std::false_type {};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {};
template <typename T>
struct IsDuration : std::false_type {};
template <typename R, typename P>
struct IsDuration<std::chrono::duration<R, P>> : std::true_type {};
template <typename T>
struct IsStrongId : std::false_type {};
template <typename Tag>
struct IsStrongId<StrongId<Tag>> : std::true_type {};
template <typename T>
struct IsVariant : std::false_type {};
template <typename... Ts>
struct IsVariant<std::variant<Ts...>> : std::true_type {};

template <typename T, typename = void>
struct HasFirstFields : std::false_type {};
template <typename T>
struct HasFirstFields<T, std::void_t<decltype(T::kFirstFields)>>
    : std::true_type {};

/** Counts the fields of a record. */
struct FieldCounter {
  std::uint32_t count = 0;
  template <typename T>
  void operator()(const char* /*name*/, const T& /*value*/) {
    ++this->count;
  }
};

struct FieldPacker {
  Packer& out;
  template <typename T>
  void operator()(const char* /*name*/, const T& value) {
    PackValue(this->out, value);
  }
};

inline const msgpack::object_array& ArrayOf(const msgpack::object& in,
                                            std::uint32_t least) {
  if (in.type != msgpack::type::ARRAY || in.via.array.size < least) {
    throw DecodeError("expected an array of at least " + std::to_string(least) +
                      " values");
  }
  return in.via.array;
}

struct FieldUnpacker {
  const msgpack::object_array& in;
  std::uint32_t next = 0;
  template <typename T>
  void operator()(const char* name, T& value) {
    if (this->next >= this->in.size) return;
    try {
      UnpackValue(this->in.ptr[this->next], value);
    } catch (const msgpack::type_error&) {
      throw DecodeError(std::string("field ") + name + " has a wrong type");
    }
    ++this->next;
  }
};

template <typename T>
void PackRecord(Packer& out, const T& value) {
  FieldCounter counter;
  T::VisitFields(value, counter);
  out.pack_array(counter.count);
  FieldPacker packer{out};
  T::VisitFields(value, packer);
}

template <typename T>
void PackValue(Packer& out, const T& value) {
  if constexpr (std::is_enum_v<T>) {
    PackValue(out, static_cast<std::underlying_type_t<T>>(value));
  } else if constexpr (std::is_arithmetic_v<T> ||
                       std::is_same_v<T, std::string>) {
    out.pack(value);
  } else if constexpr (IsStrongId<T>::value) {
    out.pack(value.Value());
  } else if constexpr (IsDuration<T>::value) {
    out.pack(static_cast<std::int64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(value).count()));
  } else if constexpr (IsOptional<T>::value) {
    if (value) {
      PackValue(out, *value);
    } else {
      out.pack_nil();
    }
  } else if constexpr (IsVector<T>::value) {
    out.pack_array(static_cast<std::uint32_t>(value.size()));
    for (const auto& item : value) PackValue(out, item);
  } else if constexpr (IsMap<T>::value) {
    out.pack_array(static_cast<std::uint32_t>(value.size()));
    for (const auto& item : value) PackValue(out, item);
  } else if constexpr (IsPair<T>::value) {
    out.pack_array(2);
    PackValue(out, value.first);
    PackValue(out, value.second);
  } else if constexpr (IsVariant<T>::value) {
    out.pack_array(2);
    out.pack(static_cast<std::uint32_t>(value.index()));
    std::visit([&out](const auto& held) { PackValue(out, held); }, value);
  } else {
    PackRecord(out, value);
  }
}

template <typename V, std::size_t I = 0>
void UnpackVariant(std::uint32_t index, const msgpack::object& in, V& value) {
  if constexpr (I < std::variant_size_v<V>) {
    if (index == I) {
      std::variant_alternative_t<I, V> held{};
      UnpackValue(in, held);
      value = std::move(held);
      return;
    }
    UnpackVariant<V, I + 1>(index, in, value);
  } else {
    throw DecodeError("unknown alternative " + std::to_string(index));
  }
}

template <typename T>
void UnpackValue(const msgpack::object& in, T& value) {
  if constexpr (std::is_enum_v<T>) {
    std::underlying_type_t<T> raw{};
    UnpackValue(in, raw);
    value = static_cast<T>(raw);
  } else if constexpr (std::is_arithmetic_v<T> ||
                       std::is_same_v<T, std::string>) {
    in.convert(value);
  } else if constexpr (IsStrongId<T>::value) {
    value = T(in.as<std::string>());
  } else if constexpr (IsDuration<T>::value) {
    value = std::chrono::duration_cast<T>(
        std::chrono::nanoseconds(in.as<std::int64_t>()));
  } else if constexpr (IsOptional<T>::value) {
    if (in.is_nil()) {
      value.reset();
    } else {
      UnpackValue(in, value.emplace());
    }
  } else if constexpr (IsVector<T>::value) {
    const msgpack::object_array& items = ArrayOf(in, 0);
    value.clear();
    for (std::uint32_t i = 0; i < items.size; ++i) {
      UnpackValue(items.ptr[i], value.emplace_back());
    }
  } else if constexpr (IsMap<T>::value) {
    const msgpack::object_array& items = ArrayOf(in, 0);
    value.clear();
    for (std::uint32_t i = 0; i < items.size; ++i) {
      std::pair<typename T::key_type, typename T::mapped_type> item;
      UnpackValue(items.ptr[i], item);
      value.insert(std::move(item));
    }
  } else if constexpr (IsPair<T>::value) {
    const msgpack::object_array& items = ArrayOf(in, 2);
    UnpackValue(items.ptr[0], value.first);
    UnpackValue(items.ptr[1], value.second);
  } else if constexpr (IsVariant<T>::value) {
    const msgpack::object_array& items = ArrayOf(in, 2);
    UnpackVariant(items.ptr[0].as<std::uint32_t>(), items.ptr[1], value);
  } else {
    FieldCounter counter;
    T::VisitFields(value, counter);
    std::uint32_t least = counter.count;
    if constexpr (HasFirstFields<T>::value) least = T::kFirstFields;
    FieldUnpacker unpacker{ArrayOf(in, least)};
    T::VisitFields(value, unpacker);
  }
}

/** Encodes a record as MessagePack. */
template <typename T>
std::string EncodeFields(const T& value) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  PackValue(packer, value);
  return std::string(buffer.data(), buffer.size());
}

/** Throws DecodeError unless the bytes hold one whole value and no more.
 *
 * Unpacking sets memory aside for as many values as an array says that it has.
 * This pass sets none aside, and an array that passes has its values. */
inline void RequireWholeValue(const char* bytes, std::size_t size) {
  std::size_t offset = 0;
  msgpack::null_visitor visitor;
  if (!msgpack::parse(bytes, size, offset, visitor)) {
    throw DecodeError("truncated or malformed");
  }
  if (offset != size) throw DecodeError("bytes after the end of a message");
}

/** Decodes a record that fills the bytes exactly. Throws DecodeError. */
template <typename T>
T DecodeFields(const char* bytes, std::size_t size) {
  RequireWholeValue(bytes, size);
  try {
    const msgpack::object_handle handle = msgpack::unpack(bytes, size);
    T value{};
    UnpackValue(handle.get(), value);
    return value;
  } catch (const msgpack::unpack_error& error) {
    throw DecodeError(std::string("truncated or malformed: ") + error.what());
  } catch (const msgpack::type_error& error) {
    throw DecodeError(std::string("wrong type: ") + error.what());
  }
}

}  // namespace lacewingferry::detail

#endif  // LACEWINGFERRY_ADAPTERS_MSGPACK_FIELD_CODEC_H_
