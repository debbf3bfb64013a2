#include "lacewingferry/decisions/configuration/note_check.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "lacewingferry/decisions/configuration/item_changes.h"
#include "lacewingferry/decisions/configuration/item_kind.h"

namespace lacewingferry {
namespace {

constexpr std::chrono::milliseconds kMaxStalenessAge = std::chrono::hours(24);

const char* const kAdded = "added";
const char* const kChanged = "changed";
const char* const kWithdrawn = "withdrawn";

using Findings = std::vector<NoteFinding>;

std::string Quoted(const std::string& text) { return "'" + text + "'"; }

/** Checks the items of one kind against the items in force and the withdrawn
 * names. */
template <typename Kind>
class KindCheck {
 public:
  KindCheck(const Kind& item_kind, const Configuration& state,
            Findings* collected)
      : kind(item_kind), configuration(state), findings(collected) {}

  void Run(const ReleaseNote& note) {
    for (const auto& item : note.added.*this->kind.items) {
      this->CheckAdded(item);
    }
    for (const auto& item : note.changed.*this->kind.items) {
      this->CheckChanged(item);
    }
    for (const auto& id : note.withdrawn.*this->kind.withdrawn) {
      this->CheckWithdrawn(id);
    }
  }

 private:
  using Item = typename Kind::Item;
  using Id = typename Kind::Id;

  const Item* InForce(const Id& id) const {
    const auto& present = this->configuration.in_force.*this->kind.in_force;
    const auto found = present.find(id);
    return found == present.end() ? nullptr : &found->second;
  }

  void AddFinding(const char* section, const Id& id,
                  const std::string& message) {
    this->findings->push_back(NoteFinding{
        detail::ItemName(section, this->kind.name, id.Value()), message});
  }

  /** Checks that the item has a name and that the note lists it only once. */
  void CheckOnce(const char* section, const Id& id) {
    if (id.Empty()) {
      this->AddFinding(section, id, "has no name");
    } else if (!this->named.insert(id).second) {
      this->AddFinding(section, id, "is named twice in the note");
    }
  }

  void CheckAdded(const Item& item) {
    const Id& id = item.*this->kind.id;
    this->CheckOnce(kAdded, id);
    if (this->InForce(id) != nullptr) {
      this->AddFinding(kAdded, id,
                       "is in force already; list it under changed instead");
      return;
    }
    this->CheckNewGeneration(item);
  }

  /** An empty system accepts any generation, so that a printed configuration
   * can be applied to it. */
  void CheckNewGeneration(const Item& item) {
    const Id& id = item.*this->kind.id;
    if (this->configuration.in_force.revision == 0) {
      if (item.generation < 1 || item.generation > kMostGenerations) {
        this->AddFinding(kAdded, id,
                         "must have a generation from 1 to 1000000000");
      }
      return;
    }
    const auto& withdrawn = this->configuration.*this->kind.withdrawn_names;
    const auto earlier = withdrawn.names.find(id);
    const bool known = earlier != withdrawn.names.end();
    const std::uint32_t last =
        known ? earlier->second.generation : withdrawn.forgotten_generation;
    if (item.generation == last + 1) {
      return;
    }
    const std::string reason =
        known ? "was withdrawn at revision " +
                    std::to_string(earlier->second.revision)
              : std::string("is new");
    this->AddFinding(
        kAdded, id,
        reason + "; to add it state generation: " + std::to_string(last + 1));
  }

  void CheckChanged(const Item& item) {
    const Id& id = item.*this->kind.id;
    this->CheckOnce(kChanged, id);
    const Item* present = this->InForce(id);
    if (present == nullptr) {
      this->AddFinding(kChanged, id,
                       "is not in force; list it under added instead");
    } else if (present->generation != item.generation) {
      this->AddFinding(kChanged, id,
                       "has generation " + std::to_string(present->generation) +
                           " in force, not " + std::to_string(item.generation));
    } else if (*present == item) {
      this->AddFinding(kChanged, id, "is the same as in force");
    }
  }

  void CheckWithdrawn(const Id& id) {
    this->CheckOnce(kWithdrawn, id);
    if (this->InForce(id) == nullptr) {
      this->AddFinding(kWithdrawn, id, "is not in force");
    }
  }

  const Kind& kind;
  const Configuration& configuration;
  Findings* findings;
  std::set<Id> named;
};

/** Checks values and the relations between items in the configuration that the
 * note would create. */
class ResultCheck {
 public:
  ResultCheck(const ReleaseNote& checked, const Configuration& before,
              Findings* collected)
      : note(checked), after(before.in_force), findings(collected) {
    ApplyItems(checked, &this->after);
    this->IndexResult();
  }

  void Run() {
    this->RunSection(kAdded, this->note.added);
    this->RunSection(kChanged, this->note.changed);
    this->CheckWithdrawnGroups();
  }

 private:
  void IndexResult() {
    for (const auto& [id, group] : this->after.groups) {
      for (const DatabaseId& database : group.databases) {
        this->owners[database].push_back(id);
      }
    }
    for (const auto& [id, proxy] : this->after.proxies) {
      this->listeners[proxy.peer_url].push_back(id);
    }
  }

  void RunSection(const char* section, const NoteItems& items) {
    for (const DatabaseGroup& group : items.groups) {
      this->CheckGroup(section, group);
    }
    for (const StalenessRule& rule : items.staleness_rules) {
      this->CheckRule(section, rule);
    }
    for (const FrontProxy& proxy : items.proxies) {
      this->CheckProxy(section, proxy);
    }
  }

  void CheckGroup(const char* section, const DatabaseGroup& group) {
    const std::string item =
        detail::ItemName(section, "group", group.id.Value());
    if (group.databases.empty()) {
      this->AddFinding(item, "has no databases");
    }
    this->CheckRange(item, "members", group.members, kMostMembers);
    this->CheckRange(item, "slots", group.slots, kMostSlots);
    std::set<DatabaseId> seen;
    for (const DatabaseId& database : group.databases) {
      if (!seen.insert(database).second) {
        this->AddFinding(
            item, "names database " + Quoted(database.Value()) + " twice");
      }
      this->CheckOwner(item, group.id, database);
    }
  }

  void CheckOwner(const std::string& item, const GroupId& group,
                  const DatabaseId& database) {
    for (const GroupId& owner : this->owners[database]) {
      if (owner != group) {
        this->AddFinding(item, "names database " + Quoted(database.Value()) +
                                   ", which group " + Quoted(owner.Value()) +
                                   " has too");
      }
    }
  }

  void CheckRange(const std::string& item, const std::string& name,
                  std::uint32_t value, std::uint32_t most) {
    if (value < 1 || value > most) {
      this->AddFinding(item, "must have " + name + " from 1 to " +
                                 std::to_string(most) + ", not " +
                                 std::to_string(value));
    }
  }

  void CheckRule(const char* section, const StalenessRule& rule) {
    const std::string item =
        detail::ItemName(section, "staleness rule", rule.group.Value());
    if (this->after.groups.count(rule.group) == 0) {
      this->AddFinding(item, "is for a group that would not be in force");
    }
    if (rule.max_age.count() < 0 || rule.max_age > kMaxStalenessAge) {
      this->AddFinding(item, "must have a max_age from 0ms to 1440min");
    }
  }

  void CheckProxy(const char* section, const FrontProxy& proxy) {
    const std::string item =
        detail::ItemName(section, "proxy", proxy.id.Value());
    if (proxy.zone.Empty() || proxy.region.empty() || proxy.peer_url.empty()) {
      this->AddFinding(item, "must have a zone, a region and a peer_url");
    }
    for (const NodeId& other : this->listeners[proxy.peer_url]) {
      if (other != proxy.id) {
        this->AddFinding(item,
                         "has the peer_url of proxy " + Quoted(other.Value()));
      }
    }
  }

  void CheckWithdrawnGroups() {
    for (const GroupId& group : this->note.withdrawn.groups) {
      if (this->after.staleness_rules.count(group) != 0) {
        this->AddFinding(detail::ItemName(kWithdrawn, "group", group.Value()),
                         "still has its staleness rule; withdraw that too");
      }
    }
  }

  void AddFinding(const std::string& item, const std::string& message) {
    this->findings->push_back(NoteFinding{item, message});
  }

  const ReleaseNote& note;
  ConfigurationInForce after;
  Findings* findings;
  std::map<DatabaseId, std::vector<GroupId>> owners;
  std::map<std::string, std::vector<NodeId>> listeners;
};

std::size_t CountItems(const ReleaseNote& note) {
  std::size_t count = 0;
  detail::ForEachKind([&](const auto& kind) {
    count += (note.added.*kind.items).size();
    count += (note.changed.*kind.items).size();
    count += (note.withdrawn.*kind.withdrawn).size();
  });
  return count;
}

}  // namespace

std::vector<NoteFinding> CheckNote(const ReleaseNote& note,
                                   const Configuration& configuration) {
  Findings findings;
  if (note.id.Empty()) {
    findings.push_back(NoteFinding{"", "the note has no id"});
  }
  if (note.author.empty()) {
    findings.push_back(NoteFinding{"", "the note has no author"});
  }
  if (CountItems(note) == 0) {
    findings.push_back(NoteFinding{"", "the note changes nothing"});
  }
  detail::ForEachKind([&](const auto& kind) {
    KindCheck(kind, configuration, &findings).Run(note);
  });
  ResultCheck(note, configuration, &findings).Run();
  return findings;
}

}  // namespace lacewingferry
