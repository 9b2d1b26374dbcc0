#include "cache_events.h"

#include <limits>

#include <boost/json.hpp>

namespace peridotgate::agent {
namespace {

namespace json = boost::json;

constexpr CacheEventReading kGap{true, std::nullopt};
constexpr std::int64_t kMaxSequence = std::numeric_limits<std::int64_t>::max();

// The integer member `key`; `nullopt` if absent, not an integer or out of T's
// range.
template <class T>
std::optional<T> IntegerMember(const json::object& object,
                               std::string_view key) {
  const json::value* it = object.if_contains(key);
  if (it == nullptr || !(it->is_int64() || it->is_uint64())) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  const T n = it->to_number<T>(ec);
  return ec ? std::nullopt : std::optional<T>(n);
}

// The 64-bit block id; engines write it as a signed or an unsigned number.
std::optional<std::uint64_t> BlockId(const json::object& event) {
  const json::value* it = event.if_contains("block");
  if (it != nullptr && it->is_int64()) {
    return static_cast<std::uint64_t>(it->get_int64());
  }
  if (it != nullptr && it->is_uint64()) {
    return it->get_uint64();
  }
  return std::nullopt;
}

std::string_view StringMember(const json::object& object,
                              std::string_view key) {
  const json::value* it = object.if_contains(key);
  return it != nullptr && it->is_string() ? std::string_view(it->get_string())
                                          : std::string_view();
}

// The core looks up the prefix key by request id and piece, so both are needed.
std::optional<CacheEvent> ParseStored(const json::object& event) {
  const auto block = BlockId(event);
  const auto piece = IntegerMember<std::int32_t>(event, "piece");
  const auto id = coordination::ParseId(StringMember(event, "request_id"));
  if (!block || !piece || !id) {
    return std::nullopt;
  }
  return BlockStored{*block, *id, *piece};
}

CacheEventReading Parse(const json::object& event) {
  const std::string_view kind = StringMember(event, "event");
  if (kind == "started") {
    return {
        false,
        EngineStarted{
            IntegerMember<std::int64_t>(event, "incarnation").value_or(0),
            IntegerMember<std::int64_t>(event, "weights_version").value_or(0)}};
  }
  if (kind == "stored") {
    return {false, ParseStored(event)};
  }
  if (kind != "removed") {
    return {};
  }
  // Skipping a removal without a block id would leave the block in the index,
  // so it counts as a gap.
  const auto block = BlockId(event);
  return block ? CacheEventReading{false, BlockRemoved{*block}} : kGap;
}

}  // namespace

CacheEventReading CacheEventReader::Read(std::string_view data) {
  boost::system::error_code ec;
  const json::value value = json::parse(data, ec);
  if (ec || !value.is_object()) {
    return kGap;
  }
  const auto n = IntegerMember<std::int64_t>(value.get_object(), "seq");
  if (!n || *n == kMaxSequence || (next_sequence_ && *n != *next_sequence_)) {
    return kGap;
  }
  next_sequence_ = *n + 1;
  return Parse(value.get_object());
}

}  // namespace peridotgate::agent
