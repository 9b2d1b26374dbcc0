// Guards against instance names that no entry reads, or that several read.
#include "list_slice.h"

#include <algorithm>
#include <memory>

#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

namespace peridotgate::control {
namespace {

using coordination::MemberRecord;
using coordination::MemberRole;
using coordination::Membership;

MemberRecord MakeRecord(MemberRole role, std::size_t index) {
  MemberRecord record;
  record.role = role;
  record.instance = fmt::format(
      "{}-{}", role == MemberRole::kEntry ? "entry" : "agent", index);
  record.address = {"10.0.0.1", static_cast<std::uint16_t>(index)};
  return record;
}

class ListSlice : public ::testing::Test {
 protected:
  // Creates the membership views of `entries` entries, each of which knows all
  // other entries and `agents` agents.
  void CreateViews(std::size_t entries, std::size_t agents) {
    for (std::size_t i = 0; i < entries; ++i) {
      all_.push_back(MakeRecord(MemberRole::kEntry, i));
    }
    for (std::size_t i = 0; i < agents; ++i) {
      all_.push_back(MakeRecord(MemberRole::kAgent, i));
    }
    for (std::size_t i = 0; i < entries; ++i) {
      views_.push_back(std::make_unique<Membership>(
          coordination::MembershipOptions{}, all_[i], clock_, i));
      for (const MemberRecord& it : all_) {
        views_.back()->AddListed(it);
      }
    }
  }

  // The slice of each entry.
  std::vector<platform::NameRange> Slices() const {
    std::vector<platform::NameRange> slices;
    for (const auto& it : views_) {
      slices.push_back(SliceOf(*it));
    }
    return slices;
  }

  // The number of slices that contain `name`.
  static std::size_t CountReaders(
      const std::vector<platform::NameRange>& slices,
      const std::string& name) {
    return std::count_if(slices.begin(), slices.end(), [&](const auto& it) {
      return name >= it.from && (it.until.empty() || name < it.until);
    });
  }

  void ExpectOneReaderPerName() const {
    const auto slices = Slices();
    for (const MemberRecord& it : all_) {
      EXPECT_EQ(CountReaders(slices, it.instance), 1U) << it.instance;
    }
    // Names that are not known to any entry.
    for (const char* it : {"", "agent-5000", "zz"}) {
      EXPECT_EQ(CountReaders(slices, it), 1U) << it;
    }
  }

  // The number of known names in the largest slice.
  std::size_t LargestSliceSize() const {
    std::size_t largest = 0;
    for (const platform::NameRange& slice : Slices()) {
      const std::size_t n =
          std::count_if(all_.begin(), all_.end(), [&](const MemberRecord& it) {
            return CountReaders({slice}, it.instance) == 1;
          });
      largest = std::max(largest, n);
    }
    return largest;
  }

  coordination::ManualClock clock_;
  std::vector<MemberRecord> all_;
  std::vector<std::unique_ptr<Membership>> views_;
};

TEST_F(ListSlice, SingleEntryReadsAllNames) {
  CreateViews(1, 5);
  ExpectOneReaderPerName();
}

TEST_F(ListSlice, EachNameHasExactlyOneReader) {
  CreateViews(43, 1200);
  ExpectOneReaderPerName();
  // Each entry reads 1/43 of 1243 names.
  EXPECT_LE(LargestSliceSize(), 29U);
}

TEST_F(ListSlice, RemainingEntriesCoverSliceOfLeavingEntry) {
  CreateViews(3, 30);
  MemberRecord leaving = all_[2];
  leaving.state = coordination::MemberState::kLeaving;
  views_.pop_back();
  for (const auto& it : views_) {
    it->AddListed(leaving);
  }
  ExpectOneReaderPerName();
}

TEST_F(ListSlice, EntriesWithoutAgentsCoverAllNames) {
  CreateViews(7, 0);
  ExpectOneReaderPerName();
}

}  // namespace
}  // namespace peridotgate::control
