#include "operate/conflict.h"

#include <algorithm>
#include <iterator>
#include <set>

#include <spdlog/fmt/fmt.h>

namespace peridotgate::operate {
namespace {

using coordination::Change;
using coordination::Section;
using Lines = std::vector<std::string>;
using Names = std::set<std::string>;
using Sections = std::vector<Section>;

constexpr std::size_t kMaxNames = 20;

Names NamesOf(const Sections& sections) {
  Names names;
  for (const Section& it : sections) {
    names.insert(it.name);
  }
  return names;
}

Names ChangedSince(const History& history, std::int64_t base) {
  Names names;
  for (const Change& it : history.changes) {
    if (it.version > base) {
      names.merge(NamesOf(it.sections));
    }
  }
  return names;
}

// Returns `from` with the sections in `names` as they are in `to`.
Sections Advance(Sections from, const Sections& to, const Names& names) {
  for (const Section& it : Difference(from, to)) {
    if (!names.contains(it.name)) {
      continue;
    }
    std::erase_if(from, [&](const auto& old) { return old.name == it.name; });
    if (!it.removed) {
      from.push_back(it);
    }
  }
  return from;
}

Lines Common(const Names& a, const Names& b) {
  Lines overlapping;
  std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                        std::back_inserter(overlapping));
  return overlapping;
}

Lines Without(const Names& a, const Names& b) {
  Lines rest;
  std::set_difference(a.begin(), a.end(), b.begin(), b.end(),
                      std::back_inserter(rest));
  return rest;
}

std::string Join(const Lines& names) {
  std::string text;
  for (std::size_t i = 0; i < std::min(names.size(), kMaxNames); ++i) {
    text += (i == 0 ? "" : ", ") + names[i];
  }
  if (names.size() > kMaxNames) {
    text += fmt::format(" and {} more", names.size() - kMaxNames);
  }
  return text;
}

void AppendIndented(const Lines& from, Lines& to) {
  for (const std::string& it : from) {
    to.push_back("  " + it);
  }
}

void AppendOwnChange(const Conflict& conflict, Lines& lines) {
  if (!conflict.base_is_retained) {
    lines.emplace_back(
        "the base is no longer kept: see what is left with \"diff\"");
    return;
  }
  if (conflict.proposes_base) {
    lines.push_back(
        fmt::format("you ask for what version {} says", conflict.base));
    return;
  }
  if (conflict.remaining.empty()) {
    lines.push_back(
        fmt::format("nothing is left of your change: version {} says the same",
                    conflict.version));
    return;
  }
  lines.emplace_back("left of your change:");
  AppendIndented(conflict.remaining, lines);
  if (!conflict.overlapping.empty()) {
    lines.push_back("changed by others as well as by you: " +
                    Join(conflict.overlapping));
  }
}

std::string NextStep(const Conflict& conflict) {
  if (conflict.proposes_base && !conflict.undone.empty()) {
    return fmt::format(
        "to take that back, run the same command with --base {}; else nothing "
        "is to be done",
        conflict.version);
  }
  if (conflict.base_is_retained && conflict.remaining.empty()) {
    return "nothing is to be done";
  }
  if (!conflict.undone.empty() || !conflict.overlapping.empty()) {
    return fmt::format(
        "put what others changed into your answers, then \"survey\", \"diff\", "
        "and apply with --base {}",
        conflict.version);
  }
  return fmt::format("look at it with \"diff\" and apply with --base {}",
                     conflict.version);
}

}  // namespace

Conflict MakeConflict(const History& history,
                      std::int64_t base,
                      const std::vector<Section>& proposed) {
  Conflict conflict;
  conflict.base = base;
  conflict.version = history.version();
  conflict.other_changes = DescribeSince(history, base);
  conflict.base_is_retained = CanReconstruct(history, base);
  if (!conflict.base_is_retained) {
    return conflict;
  }
  const Sections now = SectionsAt(history, history.version());
  const Names own_names =
      NamesOf(Difference(SectionsAt(history, base), proposed));
  conflict.proposes_base = own_names.empty();
  const Names their_names = ChangedSince(history, base);
  const Names pending_names = NamesOf(Difference(now, proposed));
  conflict.remaining = Describe(
      ReadSections(now), ReadSections(Advance(now, proposed, own_names)));
  const Lines own_pending = Common(own_names, pending_names);
  conflict.overlapping =
      Common(Names(own_pending.begin(), own_pending.end()), their_names);
  conflict.undone = Without(pending_names, own_names);
  return conflict;
}

std::vector<std::string> DescribeConflict(const Conflict& conflict) {
  Lines lines = {fmt::format(
      "refused as a whole: the base is version {}, but version {} is in force",
      conflict.base, conflict.version)};
  lines.insert(lines.end(), conflict.other_changes.begin(),
               conflict.other_changes.end());
  AppendOwnChange(conflict, lines);
  if (!conflict.undone.empty()) {
    lines.push_back("it would take back what others changed: " +
                    Join(conflict.undone));
  }
  lines.push_back(NextStep(conflict));
  return lines;
}

}  // namespace peridotgate::operate
