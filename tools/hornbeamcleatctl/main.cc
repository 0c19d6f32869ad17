#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <string>

#include "hornbeamcleat/base/error.h"
#include "src/ctl/commands.h"
#include "src/ctl/flags.h"

namespace hornbeamcleat {
namespace {

constexpr char kSummary[] =
    "Commands: validate -f FILE, apply -f FILE, get KIND [NAME],\n"
    "delete KIND NAME, watch, status, explain REQUEST-ID.\n"
    "Exit codes: 0 success, 1 failure, 2 invalid usage or file, 3 not found,\n"
    "4 conflict, 5 permission denied.";

std::string ReadToken(const std::string& path) {
  std::ifstream in(path);
  std::string token;
  if (!(in >> token)) {
    throw Error("read token", path, "file contains no token");
  }
  return token;
}

int Run(int argc, char** argv) {
  std::string server = "127.0.0.1:7300";
  std::string output = "table";
  std::string token_file;
  ControlServer control;
  CommandOptions options;
  Flags flags("hornbeamcleatctl", kSummary, "COMMAND [OPERANDS]");
  flags.Add("server", &server, "IP:PORT of a control daemon.", 's');
  flags.Add("token", &control.token, "Bearer token.");
  flags.Add("token-file", &token_file, "File that contains the bearer token.");
  flags.Add("tls", &control.tls, "Connect with TLS.");
  flags.Add("ca-file", &control.ca_file, "Trusted CA certificates for --tls.");
  flags.Add("timeout", &control.timeout, "Response timeout.");
  flags.Add("output", &output, "Output format: table or json.", 'o');
  flags.Add("file", &options.files, "Resource file.", 'f');
  flags.Add("resource-version", &options.resource_version,
            "Resource version to delete; -1: the current one.");
  flags.Add("from", &options.from, "First revision to watch; -1: from now.");
  flags.Add("count", &options.count,
            "Number of events to watch; 0: unlimited.");
  flags.Add("wait", &options.wait, "Maximum wait of each watch request.");
  if (flags.Parse(argc, argv) == Flags::Next::kExit) {
    return 0;
  }
  if (output != "table" && output != "json") {
    throw Error("parse command line", "", "--output must be table or json");
  }
  options.json = output == "json";
  control.address = Address::Parse(server);
  if (!token_file.empty()) {
    control.token = ReadToken(token_file);
  }
  return static_cast<int>(
      RunCommand(ControlClient(control), options, flags.Operands(), std::cout));
}

bool IsUsageError(const Error& error) {
  return error.Step() != "call control" && error.Step() != "parse JSON";
}

}  // namespace
}  // namespace hornbeamcleat

int main(int argc, char** argv) {
  try {
    return hornbeamcleat::Run(argc, argv);
  } catch (const hornbeamcleat::Error& e) {
    fmt::print(stderr, "hornbeamcleatctl: {}\n", e.what());
    return hornbeamcleat::IsUsageError(e) ? 2 : 1;
  } catch (const std::exception& e) {
    fmt::print(stderr, "hornbeamcleatctl: {}\n", e.what());
    return 1;
  }
}
