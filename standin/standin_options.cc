#include "standin/standin_options.h"

#include <charconv>
#include <cstdint>
#include <cxxopts.hpp>
#include <filesystem>
#include <limits>
#include <utility>
#include <vector>

#include "lacewingferry/core/finding.h"
#include "standin/option_values.h"

namespace lacewingferry::standin {
namespace {

/** The most sessions that --slots allows. */
constexpr std::uint32_t kMaxSlots = 1000;

constexpr std::uint32_t kMaxPort = std::numeric_limits<std::uint16_t>::max();

cxxopts::Options Describe() {
  const auto text = [](const char* value) {
    return cxxopts::value<std::string>()->default_value(value);
  };
  cxxopts::Options options(
      "standin_db", "A small replicated database server for tests and demos.");
  auto add = options.add_options();
  add("member", "Name of this member", text(""));
  add("database", "Name of the database", text(""));
  add("group", "Name of the database group", text(""));
  add("zone", "Availability zone", text(""));
  add("host", "IP number to listen on", text("127.0.0.1"));
  add("port", "Port for PostgreSQL clients; 0 takes a free one", text("0"));
  add("replication-port", "Port for replicas; 0 takes a free one", text("0"));
  add("slots", "The most sessions at a time", text("5"));
  add("data", "Folder that keeps the log; memory only without it", text(""));
  add("initial-primary", "Start a new member as primary of term 1");
  add("follow", "HOST:PORT of the primary's replication endpoint", text(""));
  add("lag", "Delay before a replica applies an entry", text("0ms"));
  add("lock-timeout", "The longest wait for the write lock", text("5s"));
  add("announce", "HOST:PORT of a proxy; may be repeated",
      cxxopts::value<std::vector<std::string>>());
  add("announce-interval", "Time between announcements", text("500ms"));
  add("drain", "The longest wait for open sessions at the end", text("3s"));
  add("connect-delay", "Delay of each new connection", text("0ms"));
  add("latency", "One-way latency added to answers", text("0ms"));
  add("statement-time", "Service time of each batch", text("0ms"));
  add("help", "Print this help");
  add("version", "Print the version");
  return options;
}

/** Reads options and collects what is wrong with them. */
class OptionReader {
 public:
  OptionReader(const cxxopts::ParseResult& result,
               std::vector<Finding>& collected)
      : parsed(result), findings(collected) {}

  std::string Text(const std::string& name) const {
    return this->parsed[name].as<std::string>();
  }

  std::string Required(const std::string& name) {
    if (this->Text(name).empty()) this->Add(name, "is required");
    return this->Text(name);
  }

  std::chrono::milliseconds Duration(const std::string& name) {
    try {
      return ParseDuration(this->Text(name));
    } catch (const UserError& error) {
      this->Add(name, error.what());
      return {};
    }
  }

  Endpoint Address(const std::string& name, const std::string& text) {
    try {
      return ParseEndpoint(text);
    } catch (const UserError& error) {
      this->Add(name, error.what());
      return {};
    }
  }

  std::uint32_t Number(const std::string& name, std::uint32_t min,
                       std::uint32_t max) {
    const std::string text = this->Text(name);
    std::uint32_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end || value < min || value > max) {
      this->Add(name, "\"" + text + "\" isn't a number from " +
                          std::to_string(min) + " to " + std::to_string(max));
    }
    return value;
  }

  void Add(const std::string& name, const std::string& message) {
    this->findings.push_back(Finding{{}, "--" + name + ": " + message});
  }

 private:
  const cxxopts::ParseResult& parsed;
  std::vector<Finding>& findings;
};

MemberSettings ReadMember(OptionReader& reader, bool initial_primary) {
  MemberSettings member;
  member.name = reader.Required("member");
  member.data_folder = reader.Text("data");
  member.initial_primary = initial_primary;
  member.replication =
      Endpoint{reader.Text("host"), static_cast<std::uint16_t>(reader.Number(
                                        "replication-port", 0, kMaxPort))};
  const std::string follow = reader.Text("follow");
  if (!follow.empty()) member.follow = reader.Address("follow", follow);
  if (!follow.empty() && initial_primary) {
    reader.Add("follow", "can't stand beside --initial-primary");
  }
  member.lag = reader.Duration("lag");
  member.lock_timeout = reader.Duration("lock-timeout");
  return member;
}

PostgresServerSettings ReadPostgres(OptionReader& reader) {
  PostgresServerSettings postgres;
  postgres.endpoint.host = reader.Text("host");
  reader.Address("host", postgres.endpoint.host + ":0");
  postgres.endpoint.port =
      static_cast<std::uint16_t>(reader.Number("port", 0, kMaxPort));
  postgres.slots = reader.Number("slots", 1, kMaxSlots);
  postgres.delays.connect = reader.Duration("connect-delay");
  postgres.delays.latency = reader.Duration("latency");
  postgres.delays.statement = reader.Duration("statement-time");
  return postgres;
}

StandinSettings ReadSettings(const cxxopts::ParseResult& parsed,
                             std::vector<Finding>& findings) {
  OptionReader reader(parsed, findings);
  StandinSettings settings;
  settings.member = ReadMember(reader, parsed.count("initial-primary") > 0);
  settings.database = DatabaseId(reader.Required("database"));
  settings.group = GroupId(reader.Required("group"));
  settings.zone = AvailabilityZone(reader.Required("zone"));
  settings.postgres = ReadPostgres(reader);
  settings.drain = reader.Duration("drain");
  settings.announcer.interval = reader.Duration("announce-interval");
  if (settings.announcer.interval.count() == 0) {
    reader.Add("announce-interval", "has to be longer than 0");
  }
  if (parsed.count("announce") > 0) {
    for (const auto& proxy :
         parsed["announce"].as<std::vector<std::string>>()) {
      settings.announcer.proxies.push_back(reader.Address("announce", proxy));
    }
  }
  const std::string& folder = settings.member.data_folder;
  if (!folder.empty() && !std::filesystem::is_directory(folder)) {
    reader.Add("data", "\"" + folder + "\" isn't a folder");
  }
  return settings;
}

}  // namespace

StandinOptions ParseStandinOptions(int argc, const char* const* argv) {
  cxxopts::Options described = Describe();
  described.allow_unrecognised_options();
  std::vector<Finding> findings;
  StandinOptions options;
  try {
    const cxxopts::ParseResult parsed = described.parse(argc, argv);
    if (parsed.count("help") > 0) {
      options.text = described.help();
      return options;
    }
    if (parsed.count("version") > 0) {
      options.text = "";
      return options;
    }
    for (const std::string& unknown : parsed.unmatched()) {
      findings.push_back(Finding{{}, "unknown option or value: " + unknown});
    }
    options.settings = ReadSettings(parsed, findings);
  } catch (const cxxopts::exceptions::exception& error) {
    findings.push_back(Finding{{}, error.what()});
  }
  if (!findings.empty()) throw FindingsError(findings);
  return options;
}

}  // namespace lacewingferry::standin
