#include "src/relay/relay_options.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace hornbeamcleat {
namespace {

constexpr std::int64_t kMillisecondUs = 1'000;
constexpr std::int64_t kMinuteUs = 60'000 * kMillisecondUs;
constexpr std::int64_t kDayUs = 24 * 60 * kMinuteUs;
/// A VM that has been gone for the stable window and this time must not be
/// listed for callers.
constexpr Duration kMaxListedAfterWindow = std::chrono::seconds(3);
/// A VM that is heard is listed even with a short stable window. Several
/// heartbeats of VMs in other failure domains.
constexpr Duration kMinListedSilence = std::chrono::milliseconds(2'500);
/// Shorter limits would read the store without pause.
constexpr Duration kMinOperatorLimit = std::chrono::seconds(1);
constexpr std::int64_t kKiB = 1'024;
constexpr std::int64_t kMiB = 1'024 * kKiB;
/// Percentage of target_drain_time for which a target whose entry disappeared
/// is still used; the rest covers the delay of reads from the store.
constexpr int kVanishedUsePercent = 60;
/// Fraction of the quota slack that is used; the rest covers what VMs admit
/// before they receive each other's counts.
constexpr double kQuotaSlackShare = 0.5;

SettingRule Rule(const char* section, const char* key, SettingType type,
                 const char* default_value, std::int64_t max,
                 const char* help) {
  SettingRule rule;
  rule.section = section;
  rule.key = key;
  rule.type = type;
  rule.default_value = default_value;
  rule.required = rule.default_value.empty();
  rule.max = max;
  rule.help = help;
  return rule;
}

SettingRule OptionalText(const char* section, const char* key,
                         const char* help) {
  SettingRule rule = Rule(section, key, SettingType::kText, "", 0, help);
  rule.required = false;
  return rule;
}

// Reads "DOMAIN=REGION,...". A failure domain that is stated twice has no
// region, since requests restricted to either must not be sent there.
std::map<std::string, std::string> ParseRegions(const std::string& text) {
  std::map<std::string, std::string> regions;
  std::set<std::string> ambiguous;
  std::istringstream in(text);
  std::string item;
  while (std::getline(in, item, ',')) {
    const std::size_t mark = item.find('=');
    const std::size_t begin = item.find_first_not_of(' ');
    if (mark == std::string::npos || begin == mark || mark + 1 == item.size()) {
      continue;
    }
    const std::string failure_domain = item.substr(begin, mark - begin);
    const std::string region = item.substr(mark + 1);
    const auto [it, is_new] = regions.try_emplace(failure_domain, region);
    if (!is_new && it->second != region) {
      ambiguous.insert(failure_domain);
    }
  }
  for (const std::string& failure_domain : ambiguous) {
    regions.erase(failure_domain);
  }
  return regions;
}

}  // namespace

std::vector<SettingRule> RelaySettingRules() {
  const SettingType address = SettingType::kAddress;
  const SettingType duration = SettingType::kDuration;
  const SettingType integer = SettingType::kInteger;
  const SettingType number = SettingType::kNumber;
  return {
      Rule("vm", "name", SettingType::kText, "", 0, "Name of this VM in logs."),
      Rule("vm", "failure_domain", SettingType::kText, "", 0,
           "Failure domain of this VM."),
      OptionalText("vm", "region",
                   "Region of this VM's failure domain, unless `regions` says "
                   "otherwise."),
      OptionalText("vm", "regions",
                   "Regions of failure domains: DOMAIN=REGION, separated by "
                   "commas."),
      Rule("vm", "listen_front", address, "", 0, "Address for callers."),
      Rule("vm", "listen_ready", address, "", 0,
           "Address that answers whether this VM is ready."),
      Rule("vm", "listen_directory", address, "", 0,
           "Address that answers which VMs callers may use."),
      Rule("vm", "link", address, "", 0, "UDP address for the other VMs."),
      Rule("vm", "listen_metrics", address, "", 0,
           "Address of the metrics page."),
      Rule("vm", "memory_mb", integer, "256", 0,
           "Memory that the process may use, in MiB."),
      Rule("vm", "max_descriptors", integer, "1024", 0,
           "File descriptors that the process may use."),
      Rule("store", "address", address, "", 0, "The platform's store."),
      Rule("callers", "directory_keep", duration, "1s", kMinuteUs,
           "How long callers keep a directory answer; whole seconds."),
      Rule("callers", "stable_window", duration, "4s", kDayUs,
           "A VM that has been gone for 3 s longer is not listed for callers."),
      Rule("callers", "grace", duration, "8s", kMinuteUs,
           "Time from SIGTERM until the process is killed."),
      Rule("callers", "retry_wait_share", number, "0", 1,
           "Fraction of the time that callers have left for which they follow "
           "Retry-After. Refused callers are sent away for longer under "
           "overload, and are recognized when they retry. 0: off."),
      Rule("callers", "memory_share", number, "0.2", 1,
           "Part of memory_mb that callers may make the process hold, on all "
           "listeners."),
      Rule("callers", "admin_connections", integer, "64", 10'000,
           "Connections of the readiness and of the metrics listener, each."),
      Rule("callers", "directory_connections", integer, "96", 10'000,
           "Connections of the directory listener."),
      Rule("callers", "socket_buffer_kb", integer, "64", 65'536,
           "Kernel buffer of a caller's connection, each way, in KiB; 0: the "
           "kernel's default."),
      Rule("targets", "drain_use", duration, "2s", kMinuteUs,
           "How long a target that leaves may still be given work."),
      Rule("targets", "evacuate_limit", duration, "10s", kDayUs,
           "Time within which an evacuation must be in force. From 8.5s on, "
           "reads of the store don't depend on it."),
      Rule("targets", "retry_ratio", number, "0.2", 1,
           "Retries for each request of a service, over all VMs."),
      Rule("targets", "retry_slack", number, "50", 0,
           "Further retries of a service, over all VMs."),
      Rule("targets", "cold_overage", number, "1", 0,
           "Requests that a cold target may be sent in a second, relative to "
           "the rate that its service states."),
      Rule("targets", "cold_slack", number, "0", 0,
           "Further requests that it may be sent in a second."),
      Rule("quotas", "token_slack", number, "0", 0,
           "Tokens that a workspace may be given beyond its quota at the "
           "most, over all VMs."),
      Rule("keys", "fail_closed", SettingType::kBoolean, "true", 0,
           "Whether keys without proof of freshness are refused."),
      Rule("keys", "limit", duration, "5s", kMinuteUs,
           "Longest time that a key works after it was taken away."),
      Rule("moves", "exposure_share", number, "0.1", 1,
           "Part of a move's traffic that a bad version may get."),
      Rule("moves", "exposure_slack", number, "50", 0,
           "Further requests that it may get."),
      Rule("moves", "rollback_limit", duration, "5s", kMinuteUs,
           "Time after its 50th bad answer from which a bad version gets no "
           "requests."),
      Rule("poison", "limit", integer, "2", 100,
           "Targets lost to one content or part of prompts before it is "
           "refused; other properties need one more."),
      Rule("poison", "expiry", duration, "30s", 10 * kMinuteUs,
           "Time from the first trial of what is refused to the second. The "
           "first "
           "comes after a sixth of it, the third after twice, and later ones "
           "after "
           "twenty times and more."),
  };
}

RelayOptions MakeRelayOptions(const Settings& settings) {
  // Descriptors reserved for files, and descriptors per caller: its connection
  // and one to a target.
  constexpr int kReservedDescriptors = 300;
  constexpr int kDescriptorsPerCaller = 2;
  RelayOptions options;
  options.name = settings.Text("vm", "name");
  options.failure_domain = settings.Text("vm", "failure_domain");
  options.regions = ParseRegions(settings.Text("vm", "regions"));
  const std::string& region = settings.Text("vm", "region");
  if (!region.empty()) {
    options.regions.try_emplace(options.failure_domain, region);
  }
  options.caller_address = settings.GetAddress("vm", "listen_front");
  options.ready_address = settings.GetAddress("vm", "listen_ready");
  options.directory_address = settings.GetAddress("vm", "listen_directory");
  options.peer_address = settings.GetAddress("vm", "link");
  options.metrics_address = settings.GetAddress("vm", "listen_metrics");
  options.store = settings.GetAddress("store", "address");
  options.memory_bytes =
      static_cast<std::size_t>(settings.Integer("vm", "memory_mb") * kMiB);
  options.max_connections =
      std::max(8, (static_cast<int>(settings.Integer("vm", "max_descriptors")) -
                   kReservedDescriptors) /
                      kDescriptorsPerCaller);
  options.caller_memory_share = settings.Number("callers", "memory_share");
  options.admin_connections = std::max(
      1, static_cast<int>(settings.Integer("callers", "admin_connections")));
  options.directory_connections = std::max(
      1,
      static_cast<int>(settings.Integer("callers", "directory_connections")));
  options.socket_buffer_bytes =
      static_cast<int>(settings.Integer("callers", "socket_buffer_kb") * kKiB);
  options.directory_ttl = settings.GetDuration("callers", "directory_keep");
  // Callers keep an answer for some time.
  options.max_listed_silence = std::max(
      kMinListedSilence, settings.GetDuration("callers", "stable_window") +
                             kMaxListedAfterWindow - options.directory_ttl);
  options.shutdown_grace = settings.GetDuration("callers", "grace");
  options.retry_wait_share = settings.Number("callers", "retry_wait_share");
  // A request sent at the end of this time must still arrive within it.
  options.target_drain_time = settings.GetDuration("targets", "drain_use");
  options.vanished_use = options.target_drain_time * kVanishedUsePercent / 100;
  options.retry_ratio = settings.Number("targets", "retry_ratio");
  options.retry_slack = settings.Number("targets", "retry_slack");
  options.cold_bounds.overage = settings.Number("targets", "cold_overage");
  options.cold_bounds.slack = settings.Number("targets", "cold_slack");
  options.quota_slack =
      settings.Number("quotas", "token_slack") * kQuotaSlackShare;
  options.moves.exposure_share = settings.Number("moves", "exposure_share");
  options.moves.exposure_slack = settings.Number("moves", "exposure_slack");
  options.moves.rollback_limit =
      settings.GetDuration("moves", "rollback_limit");
  options.admission.fails_closed = settings.Boolean("keys", "fail_closed");
  options.admission.key_limit = settings.GetDuration("keys", "limit");
  options.operator_limit =
      std::min(options.admission.key_limit,
               std::max(kMinOperatorLimit,
                        settings.GetDuration("targets", "evacuate_limit")));
  options.admission.losses.limit =
      static_cast<int>(settings.Integer("poison", "limit"));
  options.admission.losses.refusal_time =
      settings.GetDuration("poison", "expiry");
  return options;
}

}  // namespace hornbeamcleat
