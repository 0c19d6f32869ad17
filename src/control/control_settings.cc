#include "src/control/control_settings.h"

namespace hornbeamcleat {
namespace {

constexpr std::int64_t kMs = 1'000;  // microseconds
constexpr std::int64_t kSecond = 1'000 * kMs;
constexpr std::int64_t kHour = 3'600 * kSecond;

}  // namespace

const std::vector<SettingRule>& ControlSettingRules() {
  using enum SettingType;
  static const std::vector<SettingRule> rules = {
      {"vm", "name", kText, "", true, 0, 0, "Name of this VM, unique."},
      {"vm", "failure_domain", kText, "", true, 0, 0,
       "Failure domain of this VM."},
      {"vm", "region", kText, "local", false, 0, 0, "Region of this VM."},
      {"log", "level", kText, "info", false, 0, 0,
       "Least level of log lines: debug, info, warning or error."},
      {"platform", "address", kAddress, "", true, 0, 0,
       "Address of the platform's log and VM list."},
      {"platform", "timeout", kDuration, "2s", false, 10 * kMs, 60 * kSecond,
       "Longest wait for an answer of the platform."},
      {"platform", "vm_list_period", kDuration, "1s", false, 100 * kMs,
       600 * kSecond, "Time between reads of the VM list."},
      {"platform", "weight_bytes_per_second", kInteger, "0", false, 0, 0,
       "Rate of the weight store, all loads together; 0 means no limit."},
      {"gossip", "listen", kAddress, "", true, 0, 0,
       "UDP address for gossip with other VMs."},
      {"gossip", "peers", kAddressList, "", false, 0, 0,
       "Gossip addresses that are tried at the start."},
      {"gossip", "key", kText, "", true, 0, 0,
       "Secret that authenticates datagrams; the same on all VMs."},
      {"gossip", "probe_period", kDuration, "500ms", false, 20 * kMs,
       10 * kSecond, "Time between probes of peers."},
      {"gossip", "suspect_time", kDuration, "2s", false, 50 * kMs, 60 * kSecond,
       "Silence after which a suspected peer counts as dead."},
      {"gossip", "bytes_per_second", kInteger, "8192", false, 1024, 10'000'000,
       "Greatest rate of bytes sent to all peers together."},
      {"link", "listen", kAddress, "", true, 0, 0,
       "Loopback address where the entry daemon of this VM connects."},
      {"entry", "caller_url", kText, "", true, 0, 0,
       "URL where callers reach the entry of this VM."},
      {"entry", "admin", kAddress, "", true, 0, 0,
       "Admin address of the entry of this VM."},
      {"api", "listen", kAddress, "", true, 0, 0,
       "Address of the operators' API."},
      {"api", "advertise", kAddress, "", false, 0, 0,
       "Address that peers use instead of the one listened on."},
      {"api", "token", kText, "", false, 0, 0,
       "Bearer token asked of operators; empty asks for none."},
      {"api", "certificate", kText, "", false, 0, 0,
       "PEM file; with it the API speaks TLS."},
      {"api", "private_key", kText, "", false, 0, 0,
       "PEM file of the certificate's key."},
      {"api", "max_threads", kInteger, "32", false, 2, 1'000,
       "Greatest number of calls served at once."},
      {"lease", "ttl", kDuration, "6s", false, 200 * kMs, 600 * kSecond,
       "Term of a lease."},
      {"lease", "renew_period", kDuration, "2s", false, 50 * kMs, 60 * kSecond,
       "Time between renewals."},
      {"lease", "margin", kDuration, "1s", false, 10 * kMs, 60 * kSecond,
       "Taken off the holder's own term."},
      {"lease", "longest_order", kDuration, "5s", false, 50 * kMs,
       600 * kSecond, "Longest time an order to a target is under way."},
      {"intents", "batch_period", kDuration, "30ms", false, kMs, 10 * kSecond,
       "Least time between appends of intents."},
      {"intents", "decide_timeout", kDuration, "2s", false, 50 * kMs,
       60 * kSecond, "Longest wait for the log's decision on an intent."},
      {"intents", "key_life", kDuration, "1h", false, kSecond, 24 * kHour,
       "Age at which a key is forgotten; less than the log's retention."},
      {"intents", "require_dated_keys", kBoolean, "false", false, 0, 0,
       "Refuses idempotency keys that carry no date; without it such a key is "
       "recognised only for key_life."},
  };
  return rules;
}

ControlDaemonOptions ReadControlOptions(const Settings& settings,
                                        std::uint64_t incarnation) {
  ControlDaemonOptions out;
  out.gossip_listen = settings.GetAddress("gossip", "listen");
  out.link_listen = settings.GetAddress("link", "listen");
  out.entry_admin = settings.GetAddress("entry", "admin");
  out.platform = settings.GetAddress("platform", "address");
  out.platform_timeout = settings.GetDuration("platform", "timeout");
  out.vm_list_period = settings.GetDuration("platform", "vm_list_period");

  out.weight_bytes_per_second =
      settings.Integer("platform", "weight_bytes_per_second");
  out.api.listen = settings.GetAddress("api", "listen");
  out.api.token = settings.Text("api", "token");
  out.api.certificate = settings.Text("api", "certificate");
  out.api.private_key = settings.Text("api", "private_key");
  out.api.max_threads =
      static_cast<int>(settings.Integer("api", "max_threads"));

  Member& self = out.core.self;
  self.name = settings.Text("vm", "name");
  self.failure_domain = settings.Text("vm", "failure_domain");
  self.region = settings.Text("vm", "region");
  self.caller_url = settings.Text("entry", "caller_url");
  self.address = out.gossip_listen;
  self.incarnation = incarnation;

  MembershipOptions& membership = out.core.membership;
  membership.seed = incarnation;
  membership.probe_period = settings.GetDuration("gossip", "probe_period");
  membership.suspect_time = settings.GetDuration("gossip", "suspect_time");
  membership.bytes_per_second =
      static_cast<std::size_t>(settings.Integer("gossip", "bytes_per_second"));
  membership.key = settings.Text("gossip", "key");
  membership.seeds = settings.GetAddressList("gossip", "peers");

  LeaseOptions& lease = out.core.lease;
  lease.ttl = settings.GetDuration("lease", "ttl");
  lease.renew_period = settings.GetDuration("lease", "renew_period");
  lease.margin = settings.GetDuration("lease", "margin");
  lease.longest_order = settings.GetDuration("lease", "longest_order");

  IntentOptions& intents = out.core.intents;
  intents.batch_period = settings.GetDuration("intents", "batch_period");
  intents.decide_timeout = settings.GetDuration("intents", "decide_timeout");
  intents.key_life = settings.GetDuration("intents", "key_life");
  intents.require_dated_keys =
      settings.Boolean("intents", "require_dated_keys");

  const std::string& advertise = settings.Text("api", "advertise");
  out.core.api = advertise.empty() ? out.api.listen.ToString() : advertise;
  out.core.seed = incarnation;
  return out;
}

}  // namespace hornbeamcleat
