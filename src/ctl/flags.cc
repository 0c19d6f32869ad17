#include "src/ctl/flags.h"

#include <fmt/format.h>
#include <getopt.h>

#include <charconv>
#include <cstdio>
#include <map>
#include <utility>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

constexpr char kStep[] = "parse command line";
constexpr char kVersion[] = "0.1.0";
constexpr int kVersionCode = 256;  // above every letter
constexpr int kFirstOption = 257;

template <typename T>
T ParseNumber(const std::string& text) {
  T out{};
  const char* end = text.data() + text.size();
  const std::from_chars_result result = std::from_chars(text.data(), end, out);
  if (text.empty() || result.ec != std::errc() || result.ptr != end) {
    throw Error(kStep, "", fmt::format("'{}' is not a number", text));
  }
  return out;
}

struct Assigner {
  const std::string& text;

  void operator()(std::string* value) const { *value = text; }
  void operator()(std::int64_t* value) const {
    *value = ParseNumber<std::int64_t>(text);
  }
  void operator()(double* value) const { *value = ParseNumber<double>(text); }
  void operator()(Duration* value) const { *value = ParseDuration(text); }
  void operator()(bool* value) const { *value = true; }
  void operator()(std::vector<std::string>* value) const {
    value->push_back(text);
  }
};

struct Describe {
  std::string operator()(const std::string* value) const {
    return value->empty() ? "TEXT" : "TEXT, default " + *value;
  }
  std::string operator()(const std::int64_t* value) const {
    return fmt::format("NUMBER, default {}", *value);
  }
  std::string operator()(const double* value) const {
    return fmt::format("NUMBER, default {}", *value);
  }
  std::string operator()(const Duration* value) const {
    return fmt::format("DURATION, default {}us", value->count());
  }
  std::string operator()(const bool*) const { return ""; }
  std::string operator()(const std::vector<std::string>*) const {
    return "TEXT, may be repeated";
  }
};

}  // namespace

Duration ParseDuration(const std::string& text) {
  static const std::map<std::string, double> microseconds = {
      {"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}};
  const std::size_t unit = text.find_first_not_of("0123456789.");
  if (unit != std::string::npos && unit > 0) {
    const std::map<std::string, double>::const_iterator it =
        microseconds.find(text.substr(unit));
    if (it != microseconds.end()) {
      return Duration(static_cast<std::int64_t>(
          ParseNumber<double>(text.substr(0, unit)) * it->second));
    }
  }
  throw Error(
      "parse duration", "",
      fmt::format("'{}' is not a number with unit us, ms, s or m", text));
}

Flags::Flags(std::string program, std::string summary, std::string usage)
    : program_(std::move(program)),
      summary_(std::move(summary)),
      usage_(std::move(usage)) {}

void Flags::Add(std::string name, Value value, std::string help, char letter) {
  options_.push_back({std::move(name), value, std::move(help), letter});
}

Flags::Next Flags::Parse(int argc, char** argv) {
  std::vector<option> table;
  std::string letters = "h";
  int code = kFirstOption;
  for (const Option& each : options_) {
    const bool plain = std::holds_alternative<bool*>(each.value);
    table.push_back({each.name.c_str(), plain ? no_argument : required_argument,
                     nullptr, code++});
    if (each.letter != 0) {
      letters += each.letter;
      letters += plain ? "" : ":";
    }
  }
  table.push_back({"help", no_argument, nullptr, 'h'});
  table.push_back({"version", no_argument, nullptr, kVersionCode});
  table.push_back({nullptr, 0, nullptr, 0});
  optind = 0;
  opterr = 0;
  int found = 0;
  while ((found = getopt_long(argc, argv, letters.c_str(), table.data(),
                              nullptr)) != -1) {
    if (found == 'h') {
      fmt::print("{}", Help());
      return Next::kExit;
    }
    if (found == kVersionCode) {
      fmt::print("{} {}\n", program_, kVersion);
      return Next::kExit;
    }
    if (found == '?') {
      throw Error(kStep, "",
                  fmt::format("bad option '{}'; see --help", argv[optind - 1]));
    }
    Assign(found, optarg == nullptr ? "" : optarg);
  }
  operands_.assign(argv + optind, argv + argc);
  return Next::kRun;
}

void Flags::Assign(int code, const std::string& text) {
  int n = kFirstOption;
  for (const Option& each : options_) {
    if (n++ == code || each.letter == code) {
      std::visit(Assigner{text}, each.value);
    }
  }
}

std::string Flags::Help() const {
  std::string out =
      fmt::format("Usage: {} [OPTIONS] {}\n{}\n\n", program_, usage_, summary_);
  for (const Option& each : options_) {
    const std::string kind = std::visit(Describe{}, each.value);
    out += fmt::format("  --{:<22} {}{}\n", each.name, each.help,
                       kind.empty() ? "" : " (" + kind + ")");
  }
  out += fmt::format("  --{:<22} {}\n", "help", "Print this text.");
  out += fmt::format("  --{:<22} {}\n", "version", "Print the version.");
  return out;
}

}  // namespace hornbeamcleat
