#include "hornbeamcleat/serving/route_table.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <utility>

namespace hornbeamcleat {
namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return lower;
}

// Routes match hosts without their port.
std::string_view WithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  return colon == std::string_view::npos ? host : host.substr(0, colon);
}

}  // namespace

RouteTable::RouteTable(ServingConfig config) : config_(std::move(config)) {
  for (const ServingRoute& route : config_.routes) {
    routes_[LowerCase(route.host) + route.path_prefix] = &route;
  }
  for (const ServingWorkspace& workspace : config_.workspaces) {
    for (const std::string& key : workspace.keys) {
      // The key of a request without one is empty.
      if (!key.empty()) {
        workspaces_[key] = &workspace;
      }
    }
  }
  for (const ServiceSpec& service : config_.services) {
    services_[service.name] = &service;
  }
}

const ServingRoute* RouteTable::Find(std::string_view host,
                                     std::string_view path) const {
  const std::string name = LowerCase(WithoutPort(host));
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto it = routes_.find(name + std::string(path.substr(0, end + 1)));
    if (it != routes_.end()) {
      return it->second;
    }
    if (end == 0) {
      break;
    }
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

const ServingWorkspace* RouteTable::FindWorkspace(std::string_view key) const {
  const auto it = workspaces_.find(std::string(key));
  return it == workspaces_.end() ? nullptr : it->second;
}

const ServiceSpec* RouteTable::FindService(std::string_view name) const {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : it->second;
}

AllowedRegions BothAllow(const AllowedRegions& a, const AllowedRegions& b) {
  if (!a.has_value() || !b.has_value()) {
    return a.has_value() ? a : b;
  }
  std::vector<std::string> both;
  std::copy_if(a->begin(), a->end(), std::back_inserter(both),
               [&b](const std::string& region) {
                 return std::find(b->begin(), b->end(), region) != b->end();
               });
  return both;
}

std::string PickService(const ServingRoute& route, std::uint64_t seed) {
  double total = 0;
  for (const ServiceShare& share : route.shares) {
    total += share.weight > 0 ? share.weight : 0;
  }
  // 53 bits fill the mantissa of a double, and the divisor is 2^53.
  const double unit = static_cast<double>(seed >> 11) / 9007199254740992.0;
  double remaining = unit * total;
  std::string last;
  for (const ServiceShare& share : route.shares) {
    if (share.weight <= 0) {
      continue;
    }
    last = share.service;
    remaining -= share.weight;
    if (remaining < 0) {
      break;
    }
  }
  return last;
}

}  // namespace hornbeamcleat
