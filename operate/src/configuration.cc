#include "operate/configuration.h"

#include <algorithm>
#include <chrono>

#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>

#include "control/configuration_reader.h"
#include "coordination/check.h"
#include "entry/rules_book.h"
#include "platform/table.h"
#include "run_sync.h"
#include "wire/codec.h"

namespace peridotgate::operate {
namespace {

using coordination::Change;
using coordination::Result;
using coordination::Section;

constexpr std::chrono::milliseconds kTimeout{5000};

// Appends a page of changes. Returns false if one is missing or unreadable.
bool AppendPage(const control::ChangePage& page, History& history) {
  for (const Change& it : page.changes) {
    if (!history.changes.empty() && it.version != history.version() + 1) {
      return false;
    }
    history.changes.push_back(it);
  }
  return !page.has_gap;
}

asio::awaitable<Result<History, ReadError>> ReadAll(platform::Table& table) {
  History history;
  bool is_last = false;
  while (!is_last) {
    auto page = co_await control::ReadChangePage(table, history.version());
    if (!page) {
      co_return ReadError::kPlatform;
    }
    if (!AppendPage(page.value(), history)) {
      co_return ReadError::kGap;
    }
    is_last = page.value().is_last;
  }
  if (history.changes.empty() || history.changes.front().version == 1) {
    co_return history;
  }
  coordination::ConfigurationFollower follower(1);
  auto read = co_await control::ReadConfiguration(table, follower);
  if (!read) {
    co_return ReadError::kPlatform;
  }
  co_return MakeHistory(std::move(history.changes), follower.Snapshot());
}

// Sets a new follower to the state before the retained changes.
void ResetToBase(const History& history,
                 coordination::ConfigurationFollower& follower) {
  follower.ApplySnapshot(history.base_version, history.base);
}

bool Replaces(const Change& change, const std::string& section) {
  return std::any_of(change.sections.begin(), change.sections.end(),
                     [&](const Section& it) { return it.name == section; });
}

// Whether a retained change up to `version` replaced `section`.
bool IsReplacedUpTo(const History& history,
                    std::int64_t version,
                    const std::string& section) {
  return std::any_of(history.changes.begin(), history.changes.end(),
                     [&](const Change& it) {
                       return it.version <= version && Replaces(it, section);
                     });
}

const Section* FindSection(const std::vector<Section>& sections,
                           const std::string& name) {
  for (const Section& it : sections) {
    if (it.name == name) {
      return &it;
    }
  }
  return nullptr;
}

}  // namespace

Result<History, ReadError> ReadHistory(const runtime::Endpoint& endpoint) {
  asio::io_context context(1);
  platform::HttpTable table(context, endpoint, kTimeout);
  return RunSync(context, ReadAll(table));
}

History MakeHistory(std::vector<Change> changes,
                    const std::vector<Section>& in_force) {
  PG_CHECK(!changes.empty());
  History history;
  history.base_version = changes.front().version - 1;
  history.changes = std::move(changes);
  for (const Section& it : in_force) {
    if (!IsReplacedUpTo(history, history.version(), it.name)) {
      history.base.push_back(it);
    }
  }
  return history;
}

bool CanReconstruct(const History& history, std::int64_t version) {
  if (version < history.base_version || version > history.version()) {
    return false;
  }
  for (const Change& change : history.changes) {
    for (const Section& it : change.sections) {
      if (history.base_version > 0 && change.version > version &&
          !IsReplacedUpTo(history, version, it.name)) {
        return false;
      }
    }
  }
  return true;
}

std::vector<Section> SectionsAt(const History& history, std::int64_t version) {
  coordination::ConfigurationFollower follower(1);
  ResetToBase(history, follower);
  for (const Change& it : history.changes) {
    if (it.version <= version) {
      follower.Apply(it);
    }
  }
  return follower.Snapshot();
}

RulesInForce ReadSections(const std::vector<Section>& sections) {
  RulesInForce rules;
  for (const Section& it : sections) {
    if (it.name == entry::kFleetSection) {
      auto fleet = wire::DecodeStruct<wire::FleetRules>(it.content);
      if (fleet) {
        rules.fleet = std::move(fleet.value());
      }
      continue;
    }
    auto organisation = wire::DecodeStruct<wire::OrganisationRules>(it.content);
    if (organisation) {
      rules.organisations.push_back(std::move(organisation.value()));
    }
  }
  return rules;
}

std::vector<Section> Difference(const std::vector<Section>& from,
                                const std::vector<Section>& to) {
  std::vector<Section> changed;
  for (const Section& it : to) {
    const Section* previous = FindSection(from, it.name);
    if (previous == nullptr || previous->content != it.content) {
      changed.push_back(it);
    }
  }
  for (const Section& it : from) {
    if (FindSection(to, it.name) == nullptr) {
      changed.push_back({it.name, "", true});
    }
  }
  return changed;
}

const Change* FindChange(const History& history,
                         const coordination::Id128& id) {
  for (const Change& it : history.changes) {
    if (it.change_id == id) {
      return &it;
    }
  }
  return nullptr;
}

std::vector<std::string> DescribeSince(const History& history,
                                       std::int64_t after) {
  std::vector<std::string> lines;
  coordination::ConfigurationFollower follower(1);
  ResetToBase(history, follower);
  RulesInForce before_change = ReadSections(follower.Snapshot());
  for (const Change& it : history.changes) {
    follower.Apply(it);
    if (it.version < after) {
      continue;
    }
    RulesInForce after_change = ReadSections(follower.Snapshot());
    if (it.version > after) {
      lines.push_back(fmt::format("version {} by {} at {}:", it.version,
                                  it.author, FormatTime(it.at_ms)));
      for (const std::string& what : Describe(before_change, after_change)) {
        lines.push_back("  " + what);
      }
    }
    before_change = std::move(after_change);
  }
  return lines;
}

std::string FormatTime(std::int64_t at_ms) {
  const std::chrono::sys_time<std::chrono::milliseconds> at{
      std::chrono::milliseconds(at_ms)};
  return fmt::format("{:%Y-%m-%d %H:%M:%S} UTC",
                     std::chrono::floor<std::chrono::seconds>(at));
}

}  // namespace peridotgate::operate
