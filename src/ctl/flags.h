#ifndef HORNBEAMCLEAT_SRC_CTL_FLAGS_H_
#define HORNBEAMCLEAT_SRC_CTL_FLAGS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Long options of a program, parsed by getopt_long. `--help` and `--version`
/// are always among them.
class Flags {
 public:
  /// Where a value goes. Durations are written with a unit as in settings
  /// files (us, ms, s, m); a bool option takes no value; a list option may be
  /// given several times.
  using Value = std::variant<std::string*, std::int64_t*, double*, Duration*,
                             bool*, std::vector<std::string>*>;

  /// What the program should do after Parse.
  enum class Next { kRun, kExit };

  /// @param usage operands for the help text, e.g. "KIND [NAME]"
  Flags(std::string program, std::string summary, std::string usage);

  /// Adds option `--name`; `value` holds the default and takes the value.
  /// @param letter short form, or 0 for none
  void Add(std::string name, Value value, std::string help, char letter = 0);

  /// Parses the command line, printing help or version if asked for.
  /// @throws Error with step "parse command line"
  Next Parse(int argc, char** argv);

  /// Operands left after the options.
  const std::vector<std::string>& Operands() const { return operands_; }

  /// Help text.
  std::string Help() const;

 private:
  struct Option {
    std::string name;
    Value value;
    std::string help;
    char letter = 0;
  };

  void Assign(int code, const std::string& text);

  std::string program_;
  std::string summary_;
  std::string usage_;
  std::vector<Option> options_;
  std::vector<std::string> operands_;
};

/// Parses a duration with unit us, ms, s or m.
/// @throws Error with step "parse duration"
Duration ParseDuration(const std::string& text);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CTL_FLAGS_H_
