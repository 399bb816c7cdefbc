#include "kernel/log.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>

#include "kernel/dropping_buffer.h"

namespace hickorystand {
namespace {

namespace sinks = boost::log::sinks;

struct LevelName {
  LogLevel level;
  std::string_view name;
};

constexpr std::array kLevelNames = {
    LevelName{LogLevel::kDebug, "debug"},
    LevelName{LogLevel::kInfo, "info"},
    LevelName{LogLevel::kWarning, "warning"},
    LevelName{LogLevel::kError, "error"},
};

std::atomic<LogLevel> log_threshold = LogLevel::kInfo;
std::atomic<bool> log_json = false;

std::string_view NameOf(LogLevel level) {
  return std::ranges::find(kLevelNames, level, &LevelName::level)->name;
}

// UTC with milliseconds, as in 2026-01-31T12:00:00.000Z.
std::string Timestamp() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const time_t seconds = milliseconds / 1000;
  tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const size_t used =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                static_cast<int>(milliseconds % 1000));
  return std::string(text.data(), used) + fraction.data();
}

// Escapes quotes, backslashes and control characters, so that a value can't
// forge another line or field.
void AppendEscaped(std::string& out, std::string_view value) {
  constexpr std::string_view kHex = "0123456789abcdef";
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < 0x20 || byte == 0x7f) {
      out += "\\u00";
      out += kHex[byte >> 4];
      out += kHex[byte & 0xf];
    } else {
      out += c;
    }
  }
}

void AppendQuoted(std::string& out, std::string_view value) {
  out += '"';
  AppendEscaped(out, value);
  out += '"';
}

std::string TextLine(LogLevel level,
                     std::string_view part,
                     std::string_view sentence,
                     std::span<const LogField> fields) {
  std::string line = Timestamp();
  line.append(" ").append(NameOf(level)).append(" ");
  line.append(part).append(": ").append(sentence);
  for (const LogField& field : fields) {
    line.append(" ").append(field.name).append("=");
    if (field.value.find_first_of(" \"=\\") == std::string::npos &&
        !field.value.empty()) {
      AppendEscaped(line, field.value);
    } else {
      AppendQuoted(line, field.value);
    }
  }
  return line;
}

std::string JsonLine(LogLevel level,
                     std::string_view part,
                     std::string_view sentence,
                     std::span<const LogField> fields) {
  std::string line = "{\"time\":\"" + Timestamp() + "\",\"level\":\"";
  line.append(NameOf(level)).append("\",\"part\":\"").append(part);
  line.append("\",\"message\":");
  AppendQuoted(line, sentence);
  for (const LogField& field : fields) {
    line.append(",\"").append(field.name).append("\":");
    AppendQuoted(line, field.value);
  }
  return line + "}";
}

// Static, so that it outlives the sink that writes to it.
DroppingBuffer& StandardOutput() {
  static DroppingBuffer buffer(STDOUT_FILENO);
  return buffer;
}

}  // namespace

int64_t LogLinesDropped() {
  return StandardOutput().Dropped();
}

void StartLog(const LogOptions& options) {
  log_threshold = options.level;
  log_json = options.json;
  auto backend = boost::make_shared<sinks::text_ostream_backend>();
  if (options.standard_output) {
    backend->add_stream(boost::make_shared<std::ostream>(&StandardOutput()));
  } else if (options.file.empty()) {
    backend->add_stream(boost::shared_ptr<std::ostream>(
        &std::clog, [](std::ostream*) { /* std::clog is not owned */ }));
  } else {
    backend->add_stream(
        boost::make_shared<std::ofstream>(options.file, std::ios::app));
  }
  backend->auto_flush(true);
  using Sink = sinks::synchronous_sink<sinks::text_ostream_backend>;
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(boost::log::expressions::stream
                      << boost::log::expressions::smessage);
  boost::log::core::get()->remove_all_sinks();
  boost::log::core::get()->add_sink(sink);
}

void SetLogLevel(LogLevel level) {
  log_threshold = level;
}

void LogLine(LogLevel level,
             std::string_view part,
             std::string_view sentence,
             LogFields fields) {
  LogLineWith(level, part, sentence, {fields.begin(), fields.size()});
}

void LogLineWith(LogLevel level,
                 std::string_view part,
                 std::string_view sentence,
                 std::span<const LogField> fields) {
  if (level < log_threshold) {
    return;
  }
  thread_local boost::log::sources::logger logger;
  BOOST_LOG(logger) << (log_json ? JsonLine(level, part, sentence, fields)
                                 : TextLine(level, part, sentence, fields));
}

bool ParseLogLevel(std::string_view name, LogLevel& level) {
  const auto* row = std::ranges::find(kLevelNames, name, &LevelName::name);
  if (row == kLevelNames.end()) {
    return false;
  }
  level = row->level;
  return true;
}

LogLimiter::LogLimiter(int burst, Duration interval)
    : burst(burst), interval(interval), tokens(burst) {}

bool LogLimiter::Allow(Instant now) {
  const double earned = ToSeconds(now - this->last) / ToSeconds(this->interval);
  this->tokens = std::min<double>(this->burst, this->tokens + earned);
  this->last = now;
  if (this->tokens < 1) {
    ++this->suppressed;
    return false;
  }
  this->tokens -= 1;
  this->suppressed = 0;
  return true;
}

}  // namespace hickorystand
