#include "runtime/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <boost/json.hpp>

namespace peridotgate::runtime {

void StartLog(std::string_view instance, std::string_view level) {
  auto logger = spdlog::stderr_logger_mt(std::string(instance));
  logger->set_pattern(
      R"({"at":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","instance":"%n",%v})",
      spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(std::string(level)));
  spdlog::set_default_logger(logger);
}

void LogStateChange(std::string_view what,
                    std::string_view state,
                    std::string_view reason) {
  boost::json::object line;
  line["what"] = what;
  line["state"] = state;
  line["reason"] = reason;
  std::string text = boost::json::serialize(line);
  spdlog::info("{}", std::string_view(text).substr(1, text.size() - 2));
}

}  // namespace peridotgate::runtime
