// Parses an entry's /burn response.
#include "entry/problem.h"
#include "operate/burn_report.h"

namespace peridotgate::operate {
namespace {

namespace json = boost::json;
using entry::BurnCells;
using entry::BurnCounts;

std::string Text(const json::object& from, std::string_view key) {
  return json::value_to<std::string>(from.at(key));
}

std::int64_t Integer(const json::object& from, std::string_view key) {
  return from.at(key).to_number<std::int64_t>();
}

BurnCells ReadCells(const json::object& from, std::string_view key) {
  BurnCells cells{};
  const json::value* value = from.if_contains(key);
  if (value == nullptr) {
    return cells;
  }
  const json::array& all = value->as_array();
  for (std::size_t i = 0; i < cells.size(); ++i) {
    cells[i] = all.at(i).to_number<std::int32_t>();
  }
  return cells;
}

BurnCounts ReadCounts(const json::object& from) {
  BurnCounts counts;
  for (const entry::BurnField& it : entry::kBurnFields) {
    const json::value* value = from.if_contains(it.name);
    counts.*it.member = value == nullptr ? 0 : value->to_number<std::int64_t>();
  }
  counts.first_ms = ReadCells(from, "first_ms");
  counts.gap_ms = ReadCells(from, "gap_ms");
  const json::value* reasons = from.if_contains("reasons");
  if (reasons == nullptr) {
    return counts;
  }
  for (std::size_t i = 0; i < counts.reasons.size(); ++i) {
    const auto name = entry::ReasonName(static_cast<wire::Reason::type>(i));
    const json::value* value = reasons->as_object().if_contains(name);
    counts.reasons[i] = value == nullptr ? 0 : value->to_number<std::int32_t>();
  }
  return counts;
}

BurnRatio ReadRatio(const json::array& from, std::size_t at) {
  return {from.at(at).to_number<std::int64_t>(),
          from.at(at + 1).to_number<std::int64_t>()};
}

BurnKind ReadKind(const json::object& from) {
  BurnKind kind;
  kind.organisation = Text(from, "organisation");
  kind.kind = Text(from, "kind");
  kind.share = from.at("share").to_number<double>();
  kind.objective_ratio = from.at("objective_ratio").to_number<double>();
  kind.first_token_ms = Integer(from, "first_token_ms");
  kind.token_gap_ms = Integer(from, "token_gap_ms");
  const json::array& windows = from.at("windows").as_array();
  for (std::size_t i = 0; i < kind.windows.size(); ++i) {
    kind.windows[i] = ReadRatio(windows.at(i).as_array(), 0);
  }
  for (const json::value& it : from.at("bars").as_array()) {
    const json::array& bar = it.as_array();
    kind.bars.push_back(
        {bar.at(0).to_number<std::int64_t>(), ReadRatio(bar, 1)});
  }
  kind.counts = ReadCounts(from.at("counts").as_object());
  return kind;
}

EntryBurn ReadEntry(const json::object& from) {
  EntryBurn burn;
  burn.instance = Text(from, "instance");
  burn.uptime_s = Integer(from, "uptime_s");
  burn.rules_version = Integer(from, "rules_version");
  for (const json::value& it : from.at("kinds").as_array()) {
    burn.kinds.push_back(ReadKind(it.as_object()));
  }
  for (const json::value& it : from.at("servers").as_array()) {
    const json::object& server = it.as_object();
    burn.servers.push_back(
        {Text(server, "agent"), ReadCounts(server.at("counts").as_object())});
  }
  return burn;
}

// Whether the response is for `window` and has the expected windows.
bool HasSameWindows(const json::object& from, const BurnWindow& window) {
  const json::array& lengths = from.at("windows_s").as_array();
  bool same = Text(from, "window") == window.name &&
              lengths.size() == kBurnWindows.size();
  for (std::size_t i = 0; same && i < lengths.size(); ++i) {
    same =
        lengths[i].to_number<std::int64_t>() == kBurnWindows[i].length.count();
  }
  return same;
}

}  // namespace

std::optional<EntryBurn> ParseBurn(const std::string& body,
                                   const BurnWindow& window) {
  try {
    const json::value value = json::parse(body);
    if (!HasSameWindows(value.as_object(), window)) {
      return std::nullopt;
    }
    return ReadEntry(value.as_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace peridotgate::operate
