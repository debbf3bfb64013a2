#include "lacewingferry/decisions/configuration/note_diff.h"

#include <chrono>
#include <cstddef>

#include "lacewingferry/core/strong_id.h"
#include "lacewingferry/decisions/configuration/item_kind.h"

namespace lacewingferry {
namespace {

/** The name of a field and its value as text. */
struct FieldText {
  std::string name;
  std::string value;
};

std::string TextOf(std::uint32_t value) { return std::to_string(value); }

std::string TextOf(const std::string& value) { return value; }

std::string TextOf(std::chrono::milliseconds value) {
  return std::to_string(value.count()) + "ms";
}

template <typename Tag>
std::string TextOf(const StrongId<Tag>& value) {
  return value.Value();
}

template <typename Tag>
std::string TextOf(const std::vector<StrongId<Tag>>& values) {
  std::string text;
  for (const StrongId<Tag>& value : values) {
    text += (text.empty() ? "" : ", ") + value.Value();
  }
  return "[" + text + "]";
}

template <typename Item>
std::vector<FieldText> FieldsOf(const Item& item) {
  std::vector<FieldText> fields;
  Item::VisitFields(item, [&](const char* name, const auto& value) {
    fields.push_back(FieldText{name, TextOf(value)});
  });
  return fields;
}

/** Compares an item before and after the note; either may be null. */
template <typename Item>
std::vector<FieldDiff> CompareFields(const Item* before, const Item* after) {
  const std::vector<FieldText> fields =
      FieldsOf(before != nullptr ? *before : *after);
  const std::vector<FieldText> later =
      after != nullptr ? FieldsOf(*after) : std::vector<FieldText>();
  std::vector<FieldDiff> differences;
  for (std::size_t i = 0; i < fields.size(); ++i) {
    FieldDiff difference{fields[i].name, "", ""};
    difference.before = before != nullptr ? fields[i].value : "";
    difference.after = after != nullptr ? later[i].value : "";
    if (difference.before != difference.after) {
      differences.push_back(difference);
    }
  }
  return differences;
}

/** Collects the differences for one kind of item. */
template <typename Kind>
class KindDiff {
 public:
  KindDiff(const Kind& item_kind, const ConfigurationInForce& state,
           std::vector<ItemDiff>* collected)
      : kind(item_kind), in_force(state), differences(collected) {}

  void Run(const ReleaseNote& note) {
    for (const auto& item : note.added.*this->kind.items) {
      this->Add(DiffAction::kAdded, item.*this->kind.id, nullptr, &item);
    }
    for (const auto& item : note.changed.*this->kind.items) {
      const auto& id = item.*this->kind.id;
      this->Add(DiffAction::kChanged, id, this->Find(id), &item);
    }
    for (const auto& id : note.withdrawn.*this->kind.withdrawn) {
      this->Add(DiffAction::kWithdrawn, id, this->Find(id), nullptr);
    }
  }

 private:
  using Item = typename Kind::Item;
  using Id = typename Kind::Id;

  const Item* Find(const Id& id) const {
    const auto& present = this->in_force.*this->kind.in_force;
    const auto found = present.find(id);
    return found == present.end() ? nullptr : &found->second;
  }

  void Add(DiffAction action, const Id& id, const Item* before,
           const Item* after) {
    ItemDiff difference{action, this->kind.name, id.Value(), {}};
    if (before != nullptr || after != nullptr) {
      difference.fields = CompareFields(before, after);
    }
    this->differences->push_back(difference);
  }

  const Kind& kind;
  const ConfigurationInForce& in_force;
  std::vector<ItemDiff>* differences;
};

}  // namespace

std::vector<ItemDiff> DiffNote(const ReleaseNote& note,
                               const ConfigurationInForce& in_force) {
  std::vector<ItemDiff> differences;
  detail::ForEachKind([&](const auto& kind) {
    KindDiff(kind, in_force, &differences).Run(note);
  });
  return differences;
}

}  // namespace lacewingferry
