#include "control/configuration_rows.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include <spdlog/fmt/fmt.h>

#include "coordination/check.h"

namespace peridotgate::control {
namespace {

using platform::Condition;
using platform::RowWrite;

constexpr std::size_t kIdDigits = 32;
constexpr std::size_t kSectionOverheadBytes = 16;

std::size_t SizeOf(const wire::ConfigSection& section) {
  return section.name.size() + section.content.size() + kSectionOverheadBytes;
}

std::size_t SizeOf(const wire::ConfigChange& change) {
  std::size_t size = 0;
  for (const wire::ConfigSection& it : change.sections) {
    size += SizeOf(it);
  }
  return size;
}

RowWrite MakeHeadWrite(const wire::ConfigChange& change) {
  const std::int64_t base = change.version - 1;
  HeadState state;
  state.version = change.version;
  state.change_id = wire::FromWire(change.change_id);
  state.section_rows_version = IsLarge(change) ? base : change.version;
  RowWrite head;
  head.row = MakeHeadRow(state);
  head.condition = base == 0 ? Condition::kAbsent : Condition::kVersionIs;
  head.expected_version = base;
  return head;
}

// Splits the sections of `change` into parts that each fit one row.
std::vector<wire::ConfigChange> SplitIntoParts(
    const wire::ConfigChange& change) {
  std::vector<wire::ConfigChange> parts;
  std::size_t size = kMaxRowBytes;
  for (const wire::ConfigSection& it : change.sections) {
    if (size + SizeOf(it) > kMaxRowBytes) {
      parts.emplace_back();
      parts.back().version = change.version;
      size = 0;
    }
    parts.back().sections.push_back(it);
    size += SizeOf(it);
  }
  return parts;
}

void AddPartWrites(const wire::ConfigChange& change,
                   std::vector<RowWrite>& writes) {
  const std::vector<wire::ConfigChange> parts = SplitIntoParts(change);
  wire::ConfigPush push;
  push.pieces = static_cast<std::int32_t>(parts.size());
  for (const wire::ConfigChange& it : parts) {
    push.changes = {it};
    RowWrite write;
    write.row = {PartKey(change.version, push.piece), change.version,
                 wire::EncodeStruct(push)};
    writes.push_back(std::move(write));
    ++push.piece;
  }
}

RowWrite MakeChangeRowWrite(const wire::ConfigChange& change) {
  RowWrite write;
  write.row = {ChangeKey(change.version), change.version,
               wire::EncodeStruct(change)};
  write.condition = Condition::kAbsent;
  return write;
}

RowWrite MakeRemoval(platform::RowKey key) {
  RowWrite write;
  write.row.key = std::move(key);
  write.remove = true;
  return write;
}

void AddTrimWrites(std::int64_t version,
                   std::int32_t parts,
                   std::vector<RowWrite>& writes) {
  if (version <= kRetainedChangeRows) {
    return;
  }
  const std::int64_t oldest = version - kRetainedChangeRows;
  writes.push_back(MakeRemoval(ChangeKey(oldest)));
  for (std::int32_t i = 0; i < parts; ++i) {
    writes.push_back(MakeRemoval(PartKey(oldest, i)));
  }
}

coordination::Section FromWire(const wire::ConfigSection& section,
                               std::int64_t version) {
  coordination::Section out{section.name, section.content, section.removed,
                            version};
  // A negative length converts to one larger than any content, which is
  // rejected later.
  out.same_prefix = static_cast<std::size_t>(section.same_prefix);
  out.same_suffix = static_cast<std::size_t>(section.same_suffix);
  out.checksum = static_cast<std::uint32_t>(section.checksum);
  return out;
}

}  // namespace

std::string ChangeSort(std::int64_t version) {
  return fmt::format("{:019}", version);
}

platform::RowKey HeadKey() {
  return {std::string(kConfigPartition), std::string(kHeadSort)};
}

platform::RowKey ChangeKey(std::int64_t version) {
  return {std::string(kChangePartition), ChangeSort(version)};
}

platform::RowKey PartKey(std::int64_t version, std::int32_t piece) {
  return {std::string(kPartPartition),
          fmt::format("{}/{:04}", ChangeSort(version), piece)};
}

platform::Row MakeHeadRow(const HeadState& head) {
  platform::Row row{HeadKey(), head.version,
                    coordination::ToHex(head.change_id)};
  if (!head.has_all_section_rows()) {
    row.body += std::to_string(head.section_rows_version);
  }
  return row;
}

HeadState ReadHeadRow(const platform::Row& row) {
  HeadState head{row.version, {}, row.version};
  const std::string_view body = row.body;
  head.change_id =
      coordination::ParseId(body.substr(0, kIdDigits)).value_or(head.change_id);
  if (body.size() > kIdDigits) {
    const std::string_view digits = body.substr(kIdDigits);
    std::from_chars(digits.data(), digits.data() + digits.size(),
                    head.section_rows_version);
  }
  return head;
}

bool IsSplitIntoParts(const wire::ConfigChange& row) {
  return row.sections.empty();
}

bool IsLarge(const wire::ConfigChange& change) {
  return change.sections.size() > kMaxSectionsPerTransaction ||
         SizeOf(change) > kMaxRowBytes;
}

bool IsAcceptable(const wire::ConfigChange& change) {
  return SizeOf(change) <= kMaxChangeBytes &&
         std::all_of(change.sections.begin(), change.sections.end(),
                     [](const auto& it) { return SizeOf(it) <= kMaxRowBytes; });
}

std::vector<RowWrite> MakeChangeWrites(const wire::ConfigChange& change,
                                       std::int32_t trimmed_parts) {
  PG_CHECK(!change.sections.empty() && IsAcceptable(change));
  std::vector<RowWrite> writes{MakeHeadWrite(change)};
  if (IsLarge(change)) {
    wire::ConfigChange header = change;
    header.sections.clear();
    writes.push_back(MakeChangeRowWrite(header));
    AddPartWrites(change, writes);
  } else {
    writes.push_back(MakeChangeRowWrite(change));
    for (const wire::ConfigSection& it : change.sections) {
      writes.push_back(MakeSectionWrite(change.version, it));
    }
  }
  AddTrimWrites(change.version, trimmed_parts, writes);
  PG_CHECK(writes.size() <= kMaxTransactionRows);
  return writes;
}

RowWrite MakeSectionWrite(std::int64_t version,
                          const wire::ConfigSection& section) {
  wire::ConfigChange single_section;
  single_section.version = version;
  single_section.sections.push_back(section);
  RowWrite write;
  write.row = {{std::string(kSectionPartition), section.name},
               version,
               wire::EncodeStruct(single_section)};
  return write;
}

coordination::Change FromWire(const wire::ConfigChange& change) {
  coordination::Change out;
  out.version = change.version;
  out.change_id = wire::FromWire(change.change_id);
  out.author = change.author;
  out.at_ms = change.at_ms;
  out.answers_digest = change.answers_digest;
  for (const wire::ConfigSection& it : change.sections) {
    out.sections.push_back(FromWire(it, change.version));
  }
  return out;
}

wire::ConfigChange ToWire(const coordination::Change& change) {
  wire::ConfigChange out;
  out.version = change.version;
  out.change_id = wire::ToWire(change.change_id);
  out.author = change.author;
  out.at_ms = change.at_ms;
  out.answers_digest = change.answers_digest;
  for (const coordination::Section& it : change.sections) {
    out.sections.push_back(ToWire(it));
  }
  return out;
}

wire::ConfigSection ToWire(const coordination::Section& section) {
  wire::ConfigSection out;
  out.name = section.name;
  out.content = section.content;
  out.removed = section.removed;
  out.same_prefix = static_cast<std::int32_t>(section.same_prefix);
  out.same_suffix = static_cast<std::int32_t>(section.same_suffix);
  out.checksum = static_cast<std::int32_t>(section.checksum);
  return out;
}

}  // namespace peridotgate::control
