#include "src/ctl/commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <iterator>
#include <utility>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/config/resource_json.h"
#include "src/base/json.h"
#include "src/ctl/printer.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr std::size_t kMaxAnswer = 64 * 1024 * 1024;  // bytes
constexpr char kUsageStep[] = "parse command line";
constexpr const char* kKinds[] = {"Workspace", "Tier", "Target", "Version",
                                  "Move"};
constexpr int kFirstFailure = 300;
constexpr int kGone = 410;

ExitCode ToExitCode(int status) {
  switch (status) {
    case 400:
    case 422:
      return ExitCode::kUsage;
    case 401:
    case 403:
      return ExitCode::kDenied;
    case 404:
      return ExitCode::kNotFound;
    case 409:
      return ExitCode::kConflict;
    default:
      return status < kFirstFailure ? ExitCode::kOk : ExitCode::kFailed;
  }
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    throw Error("read file", path, "it can't be opened");
  }
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

class Command {
 public:
  Command(const ControlClient& client, const CommandOptions& options,
          std::ostream& out)
      : client_(client), options_(options), out_(out) {}

  ExitCode Validate() {
    const std::vector<Resource> resources = Load();
    out_ << fmt::format("{} resources are valid\n", resources.size());
    return ExitCode::kOk;
  }

  ExitCode Apply() {
    for (const Resource& resource : Load()) {
      const ExitCode code = ApplyOne(resource);
      if (code != ExitCode::kOk) {
        return code;
      }
    }
    return ExitCode::kOk;
  }

  ExitCode Get(const std::string& kind, const std::string& name) {
    return Print(client_.Call("GET", Path(kind, name)));
  }

  ExitCode Delete(const std::string& kind, const std::string& name) {
    std::int64_t version = options_.resource_version;
    if (version < 0) {
      const ControlAnswer current = client_.Call("GET", Path(kind, name));
      if (current.status >= kFirstFailure) {
        return Fail(current);
      }
      version = static_cast<std::int64_t>(ParseResource(current.body).version);
    }
    const ControlAnswer answer = client_.Call(
        "DELETE", Path(kind, name), fmt::format("resourceVersion={}", version));
    if (answer.status >= kFirstFailure) {
      return Fail(answer);
    }
    out_ << fmt::format("{}/{} deleted\n", kind, name);
    return ExitCode::kOk;
  }

  ExitCode Explain(const std::string& id) {
    const ControlAnswer answer = client_.Call("GET", "/api/explain/" + id);
    if (answer.status >= kFirstFailure) {
      return Fail(answer);
    }
    if (options_.json) {
      SerializationInfo value;
      value.addValue("requestId", id);
      value.addValue("explanation", answer.body);
      out_ << FormatJson(value, true) << "\n";
    } else {
      out_ << answer.body << "\n";
    }
    return ExitCode::kOk;
  }

  ExitCode Tree(const std::string& path) {
    const ControlAnswer answer = client_.Call("GET", path);
    if (answer.status >= kFirstFailure) {
      return Fail(answer);
    }
    const SerializationInfo value = ParseJson(answer.body, kMaxAnswer);
    out_ << (options_.json ? FormatJson(value, true) + "\n"
                           : FormatTree(value));
    return ExitCode::kOk;
  }

  ExitCode Watch() {
    std::int64_t from = options_.from < 0 ? NextRevision() : options_.from;
    std::int64_t seen = 0;
    bool compacted = false;
    while (options_.count == 0 || seen < options_.count) {
      const ControlAnswer answer = client_.Call(
          "GET", "/api/watch", WatchQuery(from), "", options_.wait);
      if (answer.status == kGone && !std::exchange(compacted, true)) {
        out_ << "revision was compacted; watching from now\n";
        from = NextRevision();
        continue;
      }
      if (answer.status >= kFirstFailure) {
        return Fail(answer);
      }
      compacted = false;
      const SerializationInfo value = ParseJson(answer.body, kMaxAnswer);
      seen += PrintEvents(value);
      from = RequiredJsonMember<std::int64_t>(value, "next");
    }
    return ExitCode::kOk;
  }

 private:
  std::vector<Resource> Load() {
    std::vector<Resource> out;
    for (const std::string& file : options_.files) {
      for (const Resource& each : ParseResources(ReadFile(file))) {
        ValidateResource(each);
        out.push_back(each);
      }
    }
    if (options_.files.empty()) {
      throw Error(kUsageStep, "", "option --file is missing");
    }
    return out;
  }

  // Without a version in the file, the change is made to what is there now.
  ExitCode ApplyOne(Resource resource) {
    const std::string kind = KindName(resource.spec);
    const std::string path = Path(kind, resource.name);
    if (resource.version == 0) {
      const ControlAnswer current = client_.Call("GET", path);
      if (current.status < kFirstFailure) {
        const Resource found = ParseResource(current.body);
        if (found.spec == resource.spec) {
          out_ << fmt::format("{}/{} unchanged\n", kind, resource.name);
          return ExitCode::kOk;
        }
        resource.version = found.version;
      } else if (ToExitCode(current.status) != ExitCode::kNotFound) {
        return Fail(current);
      }
    }
    const ControlAnswer answer =
        client_.Call("PUT", path, "", FormatResource(resource));
    if (answer.status >= kFirstFailure) {
      return Fail(answer);
    }
    out_ << fmt::format("{}/{} applied\n", kind, resource.name);
    return ExitCode::kOk;
  }

  std::int64_t NextRevision() const {
    const ControlAnswer answer = client_.Call("GET", "/api/status");
    const SerializationInfo value = ParseJson(answer.body, kMaxAnswer);
    return RequiredJsonMember<std::int64_t>(value, "revision") + 1;
  }

  std::string WatchQuery(std::int64_t from) const {
    const std::int64_t wait_ms = options_.wait.count() / 1000;
    return fmt::format("from={}&waitMs={}", from, wait_ms);
  }

  std::int64_t PrintEvents(const SerializationInfo& value) {
    const SerializationInfo* events = value.findMember("events");
    std::int64_t n = 0;
    if (events == nullptr) {
      return n;
    }
    for (const SerializationInfo& each : *events) {
      out_ << EventLine(each) << std::endl;
      ++n;
    }
    return n;
  }

  std::string EventLine(const SerializationInfo& event) const {
    if (options_.json) {
      return FormatJson(event);
    }
    std::string line =
        fmt::format("{} {}", JsonMember<std::uint64_t>(event, "revision", 0),
                    JsonMember(event, "type", std::string("-")));
    const SerializationInfo* object = event.findMember("object");
    if (object != nullptr) {
      line += " " + FormatMembers(*object);
    }
    return line;
  }

  static std::string Path(const std::string& kind, const std::string& name) {
    return "/api/" + kind + (name.empty() ? "" : "/" + name);
  }

  ExitCode Print(const ControlAnswer& answer) {
    if (answer.status >= kFirstFailure) {
      return Fail(answer);
    }
    const SerializationInfo value = ParseJson(answer.body, kMaxAnswer);
    if (options_.json) {
      out_ << FormatJson(value, true) << "\n";
      return ExitCode::kOk;
    }
    std::vector<const SerializationInfo*> resources;
    if (value.findMember("metadata") != nullptr) {
      resources.push_back(&value);
    }
    const SerializationInfo* items = value.findMember("items");
    if (items != nullptr) {
      for (const SerializationInfo& each : *items) {
        resources.push_back(&each);
      }
    }
    out_ << FormatResources(resources);
    return ExitCode::kOk;
  }

  ExitCode Fail(const ControlAnswer& answer) {
    out_ << fmt::format("control answered {}: {}\n", answer.status,
                        answer.body);
    return ToExitCode(answer.status);
  }

  const ControlClient& client_;
  const CommandOptions& options_;
  std::ostream& out_;
};

std::string Operand(const std::vector<std::string>& operands, std::size_t n,
                    const char* what) {
  if (n >= operands.size()) {
    throw Error(kUsageStep, "", fmt::format("{} is missing", what));
  }
  return operands[n];
}

}  // namespace

std::string CanonicalKind(const std::string& text) {
  std::string lower = text;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  for (const char* kind : kKinds) {
    std::string name = kind;
    name[0] =
        static_cast<char>(std::tolower(static_cast<unsigned char>(name[0])));
    if (lower == name || lower == name + "s") {
      return kind;
    }
  }
  throw Error(kUsageStep, "",
              fmt::format("'{}' is none of workspace, tier, target, version, "
                          "move",
                          text));
}

ExitCode RunCommand(const ControlClient& client, const CommandOptions& options,
                    const std::vector<std::string>& operands,
                    std::ostream& out) {
  const std::string name = Operand(operands, 0, "COMMAND");
  Command command(client, options, out);
  if (name == "validate") {
    return command.Validate();
  }
  if (name == "apply") {
    return command.Apply();
  }
  if (name == "get") {
    return command.Get(CanonicalKind(Operand(operands, 1, "KIND")),
                       operands.size() > 2 ? operands[2] : "");
  }
  if (name == "delete") {
    return command.Delete(CanonicalKind(Operand(operands, 1, "KIND")),
                          Operand(operands, 2, "NAME"));
  }
  if (name == "watch") {
    return command.Watch();
  }
  if (name == "status") {
    return command.Tree("/api/status");
  }
  if (name == "explain") {
    return command.Explain(Operand(operands, 1, "REQUEST-ID"));
  }
  throw Error(kUsageStep, "", fmt::format("unknown command '{}'", name));
}

}  // namespace hornbeamcleat
