#include "gateway/rules.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include <xxhash.h>

#include "coordination/ids.h"

namespace peridotgate::gateway {
namespace {

// The host in lower case, without its port.
std::string HostKey(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos &&
      host.find_first_not_of("0123456789", colon + 1) ==
          std::string_view::npos) {
    host = host.substr(0, colon);
  }
  std::string key(host);
  for (char& it : key) {
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  }
  return key;
}

// The scope of all organisations that are not in `dedicated`; no other set has
// the same one.
std::string SharedScope(std::vector<std::string_view> dedicated) {
  if (dedicated.empty()) {
    return {};
  }
  std::sort(dedicated.begin(), dedicated.end());
  std::string names;
  for (const std::string_view it : dedicated) {
    names += std::to_string(it.size()) + ':';
    names += it;
  }
  const XXH128_hash_t hash = XXH3_128bits(names.data(), names.size());
  return "shared:" + coordination::ToHex({hash.high64, hash.low64});
}

}  // namespace

Rules::Rules(RulesText text) : text_(std::move(text)) {
  for (const Route& it : text_.routes) {
    by_host_[HostKey(it.host)].push_back(&it);
  }
  for (auto& [host, routes] : by_host_) {
    std::sort(routes.begin(), routes.end(), [](const Route* a, const Route* b) {
      return a->prefix.size() > b->prefix.size();
    });
  }
  std::vector<std::string_view> dedicated;
  for (const Organisation& it : text_.organisations) {
    by_name_[it.name] = &it;
    for (const std::string& key : it.keys) {
      by_key_[key] = &it;
    }
    if (it.dedicated) {
      dedicated.push_back(it.name);
    }
  }
  shared_scope_ = SharedScope(std::move(dedicated));
}

const Route* Rules::FindRoute(std::string_view host,
                              std::string_view target) const {
  auto found = by_host_.find(HostKey(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  const std::string_view path = target.substr(0, target.find_first_of("?#"));
  for (const Route* it : found->second) {
    if (path.starts_with(it->prefix)) {
      return it;
    }
  }
  return nullptr;
}

const Organisation* Rules::FindKey(const std::string& key) const {
  auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

const Organisation* Rules::FindOrganisation(std::string_view name) const {
  auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

std::string Rules::CacheScope(std::string_view organisation) const {
  if (organisation.empty()) {
    return shared_scope_;
  }
  const Organisation* found = FindOrganisation(organisation);
  return found == nullptr || found->dedicated
             ? "own:" + std::string(organisation)
             : shared_scope_;
}

const Service* Rules::FindService(std::string_view name) const {
  for (const Service& it : text_.services) {
    if (it.name == name) {
      return &it;
    }
  }
  return nullptr;
}

std::vector<runtime::Endpoint> CacheStores(const Rules* rules) {
  std::vector<runtime::Endpoint> stores;
  if (rules == nullptr) {
    return stores;
  }
  for (const Service& service : rules->services()) {
    if (service.cache_store) {
      stores.push_back(*service.cache_store);
    }
  }
  return stores;
}

const std::string* ChooseService(const Route& route, std::string_view request) {
  double total = 0;
  for (const ServiceShare& it : route.shares) {
    total += it.weight;
  }
  if (total <= 0) {
    return nullptr;
  }
  // A double has 53 bits of precision.
  const double unit =
      static_cast<double>(XXH3_64bits(request.data(), request.size()) >> 11) /
      static_cast<double>(std::uint64_t{1} << 53);
  double left = unit * total;
  for (const ServiceShare& it : route.shares) {
    left -= it.weight;
    if (left < 0) {
      return &it.service;
    }
  }
  return &route.shares.back().service;
}

}  // namespace peridotgate::gateway
