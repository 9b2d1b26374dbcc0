#include "engine_request.h"

#include <boost/json.hpp>

namespace peridotgate::agent {
namespace {

namespace json = boost::json;

constexpr std::string_view kPriority = "priority";
constexpr std::string_view kWhitespace = " \t\r\n";

// Sets the priority by parsing the body, which may already have one.
std::string SetByParsing(std::string_view body, std::int32_t priority) {
  boost::system::error_code ec;
  json::value value = json::parse(body, ec);
  if (ec || !value.is_object()) {
    return std::string(body);
  }
  value.get_object()[kPriority] = priority;
  return json::serialize(value);
}

// Appends the priority before the closing brace at `end`. If the body already
// has one in an escaped spelling, parsers use the last of the two.
std::string AppendMember(std::string_view body,
                         std::size_t end,
                         std::int32_t priority) {
  const std::size_t before = body.find_last_not_of(kWhitespace, end - 1);
  std::string out(body.substr(0, end));
  out += body[before] == '{' ? "\"" : ",\"";
  out += kPriority;
  out += "\":" + std::to_string(priority) + "}";
  return out;
}

}  // namespace

std::string WithPriority(std::string_view body, std::int32_t priority) {
  const std::size_t begin = body.find_first_not_of(kWhitespace);
  const std::size_t end = body.find_last_not_of(kWhitespace);
  const bool object = begin != std::string_view::npos && begin < end &&
                      body[begin] == '{' && body[end] == '}';
  if (!object) {
    return std::string(body);
  }
  // Avoids parsing long prompts unless they may contain the member.
  return body.find(kPriority) == std::string_view::npos
             ? AppendMember(body, end, priority)
             : SetByParsing(body, priority);
}

}  // namespace peridotgate::agent
