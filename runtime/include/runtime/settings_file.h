// Loads the settings file given on a program's command line.
#ifndef RUNTIME_SETTINGS_FILE_H_
#define RUNTIME_SETTINGS_FILE_H_

#include <cstdio>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>

#include "runtime/settings_reader.h"

namespace peridotgate::runtime {

/** Reads a file. On failure prints an error and returns `nullopt`. */
inline std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::fprintf(stderr, "%s: can't be read; give an existing file\n",
                 path.c_str());
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/**
 * Parses the file at `path` with `read`. If it has any faults, prints all of
 * them and returns `nullopt`.
 */
template <class Settings>
std::optional<Settings> LoadSettings(const std::string& path,
                                     Settings (*read)(SettingsReader&)) {
  auto text = ReadFile(path);
  if (!text) {
    return std::nullopt;
  }
  SettingsReader reader(path, *text);
  Settings settings = read(reader);
  const auto faults = reader.Finish();
  for (const SettingsFault& it : faults) {
    std::fprintf(stderr, "%s\n", ToString(it).c_str());
  }
  if (!faults.empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace peridotgate::runtime

#endif  // RUNTIME_SETTINGS_FILE_H_
