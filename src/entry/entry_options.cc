#include "src/entry/entry_options.h"

#include <random>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

constexpr std::int64_t kMs = 1'000;  // microseconds
constexpr std::int64_t kSecond = 1'000 * kMs;
constexpr std::int64_t kHour = 3'600 * kSecond;
constexpr std::int64_t kMiB = 1'024 * 1'024;
constexpr std::size_t kMinHandleKeyLength = 16;

SettingRule Required(const char* section, const char* key, SettingType type,
                     const char* help) {
  SettingRule rule;
  rule.section = section;
  rule.key = key;
  rule.type = type;
  rule.required = true;
  rule.help = help;
  return rule;
}

SettingRule Bounded(const char* section, const char* key, SettingType type,
                    const char* fallback, std::int64_t min, std::int64_t max,
                    const char* help) {
  SettingRule rule;
  rule.section = section;
  rule.key = key;
  rule.type = type;
  rule.default_value = fallback;
  rule.min = min;
  rule.max = max;
  rule.help = help;
  return rule;
}

std::size_t Size(const Settings& settings, const char* key) {
  return static_cast<std::size_t>(settings.Integer("limits", key));
}

SchedulerOptions MakeSchedulerOptions(const Settings& settings) {
  SchedulerOptions options;
  std::random_device random;
  options.seed = (std::uint64_t{random()} << 32) | random();
  options.max_queued =
      static_cast<int>(settings.Integer("scheduler", "max_queued"));
  options.max_attempts =
      static_cast<int>(settings.Integer("scheduler", "max_attempts"));
  options.poison_limit =
      static_cast<int>(settings.Integer("scheduler", "poison_limit"));
  options.poison_expiry = settings.GetDuration("scheduler", "poison_expiry");
  options.stall_time = settings.GetDuration("scheduler", "stall_time");
  return options;
}

}  // namespace

const std::vector<SettingRule>& EntrySettingRules() {
  using enum SettingType;
  static const std::vector<SettingRule> rules = {
      Required("entry", "name", kText, "Name, unique among entries."),
      Required("entry", "failure_domain", kText, "Failure domain of this VM."),
      Required("entry", "listen", kAddress, "Address for callers."),
      Required("entry", "listen_admin", kAddress,
               "Address for health, metrics and explanations."),
      Required("entry", "control", kAddress,
               "Address of the control daemon of this VM."),
      Bounded("entry", "log_level", kText, "info", 0, 0,
              "Minimum level logged: debug, info, warning or error."),
      Required(
          "keys", "handle_key", kText,
          "Signing key of resume handles, the same at all entries, at least "
          "16 characters."),
      Bounded("keys", "handle_life", kDuration, "1h", kSecond, 24 * kHour,
              "Maximum age of a resume handle."),
      Bounded("limits", "max_body_bytes", kInteger, "1048576", 1'024, 64 * kMiB,
              "Maximum size of a request body."),
      Bounded("limits", "max_answer_bytes", kInteger, "4194304", 1'024,
              64 * kMiB, "Maximum size of a non-streaming answer."),
      Bounded("limits", "max_part_bytes", kInteger, "262144", 1'024, 16 * kMiB,
              "Maximum size of a part of a streamed answer."),
      Bounded("limits", "max_open", kInteger, "4096", 1, 65'536,
              "Maximum number of open requests."),
      Bounded("limits", "max_buffered_bytes", kInteger, "262144", 4'096,
              16 * kMiB,
              "Bytes buffered for a slow caller before it is disconnected."),
      Bounded("limits", "caller_grace", kDuration, "1s", 0, 60 * kSecond,
              "Time for a disconnected caller to resume its answer "
              "before the work is cancelled."),
      Bounded("limits", "addresses_life", kDuration, "5s", 100 * kMs, kHour,
              "Time for which callers may cache the list of addresses."),
      Bounded("targets", "connect_timeout", kDuration, "1s", 10 * kMs,
              60 * kSecond, "Time to connect to a target."),
      Bounded("targets", "load_period", kDuration, "500ms", 10 * kMs,
              60 * kSecond, "Time between reads of a target's load."),
      Bounded("targets", "cache_period", kDuration, "1s", 10 * kMs,
              60 * kSecond, "Time between reads of a target's cache events."),
      Bounded("scheduler", "max_queued", kInteger, "10000", 1, 1'000'000,
              "Maximum number of queued requests."),
      Bounded("scheduler", "max_attempts", kInteger, "4", 1, 100,
              "Maximum dispatches of one request that end in \"not run\"."),
      Bounded("scheduler", "poison_limit", kInteger, "2", 1, 100,
              "Targets lost with one content or part of prompts before it is "
              "refused; other properties need one more."),
      Bounded("scheduler", "poison_expiry", kDuration, "10m", kSecond,
              24 * kHour,
              "Time for which lost targets are remembered. What is refused is "
              "tried again after 1/120, 1/20 and 1/10 of it, then after all "
              "of it or longer."),
      Bounded("scheduler", "stall_time", kDuration, "2s", 10 * kMs,
              600 * kSecond,
              "Time without progress after which a second connection is "
              "opened."),
      Bounded("scheduler", "propose_timeout", kDuration, "3s", 100 * kMs,
              60 * kSecond, "Time for the decision on an intent.")};
  return rules;
}

EntryOptions MakeEntryOptions(const Settings& settings) {
  EntryOptions options;
  options.name = settings.Text("entry", "name");
  options.failure_domain = settings.Text("entry", "failure_domain");
  options.listen = settings.GetAddress("entry", "listen");
  options.listen_admin = settings.GetAddress("entry", "listen_admin");
  options.control = settings.GetAddress("entry", "control");
  options.handle_key = settings.Text("keys", "handle_key");
  if (options.handle_key.size() < kMinHandleKeyLength) {
    throw Error("read settings", "",
                "keys.handle_key: expected at least 16 characters");
  }
  options.handle_life = settings.GetDuration("keys", "handle_life");
  options.max_body = Size(settings, "max_body_bytes");
  options.max_answer = Size(settings, "max_answer_bytes");
  options.max_part = Size(settings, "max_part_bytes");
  options.max_open = Size(settings, "max_open");
  options.max_buffered = Size(settings, "max_buffered_bytes");
  options.caller_grace = settings.GetDuration("limits", "caller_grace");
  options.addresses_life = settings.GetDuration("limits", "addresses_life");
  options.connect_timeout = settings.GetDuration("targets", "connect_timeout");
  options.load_period = settings.GetDuration("targets", "load_period");
  options.cache_period = settings.GetDuration("targets", "cache_period");
  options.propose_timeout =
      settings.GetDuration("scheduler", "propose_timeout");
  options.scheduler = MakeSchedulerOptions(settings);
  return options;
}

}  // namespace hornbeamcleat
