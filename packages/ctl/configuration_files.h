// Reads the configuration from INI files: one base file for the fleet, and one
// overlay for each site, which contains only the values that differ there.
//
//   base.ini                      dc1.ini
//     [account acme]                [site dc1]
//     weight = 2                    cut_off_key_limit = 12h
//     [service chat]                [endpoint e1]
//     kind = language               service = chat
//     [site]                        address = 10.1.0.7:9000
//     cut_off_key_limit = 24h       zone = z1
//
// [site] and [endpoint] without an id set the defaults of all sites and
// endpoints. The section [site ID] of an overlay names its site, to which the
// endpoints of the overlay belong.
//
// Index
//   ConfigurationFile        a file's name and text
//   ConfigurationInput       the result of reading the files
//   ReadConfigurationFiles   parses, checks and merges them
//   ConfigurationPage        the reference page of all sections and keys

#pragma once

#include <string>
#include <vector>

#include "decisions/configuration.h"
#include "kernel/error.h"

namespace hickorystand {

// A file that was read into memory.
struct ConfigurationFile {
  std::string name;  // as shown in messages
  std::string text;
};

// The configuration in the files. It has no API keys: these are never in files.
struct ConfigurationInput {
  Configuration configuration;
  std::vector<std::string> warnings;  // FILE:LINE: [section] key: text
};

// Parses, checks and merges the files. The error (kBadSetting) lists all
// faults, one per line, as FILE:LINE: [section] key: fault; allowed values.
Result<ConfigurationInput> ReadConfigurationFiles(
    const ConfigurationFile& base,
    const std::vector<ConfigurationFile>& overlays);

// Reads a file from disk. kBadSetting if it can't be opened.
Result<ConfigurationFile> LoadConfigurationFile(const std::string& path);

// The text of docs/CONFIGURATION.md: all kinds of sections with their keys.
std::string ConfigurationPage();

}  // namespace hickorystand
