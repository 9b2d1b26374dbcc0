// Lookup of the route, organisation and service of a request.
#include "gateway/rules.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace peridotgate::gateway {
namespace {

Route MakeRoute(std::string host, std::string prefix) {
  Route route;
  route.name = host + prefix;
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  route.shares = {{"engines", 1}};
  return route;
}

TEST(Rules, FindRoutesAndOrganisations) {
  RulesText text;
  text.version = 7;
  text.routes = {MakeRoute("a.example", "/chat/"),
                 MakeRoute("a.example", "/chat/long/"),
                 MakeRoute("b.example", "/")};
  text.organisations = {{"tailors", {"key-1", "key-2"}, 1, false}};
  const Rules rules(std::move(text));
  {
    SCOPED_TRACE("the longest matching prefix wins");
    EXPECT_EQ(rules.FindRoute("a.example", "/chat/long/1")->prefix,
              "/chat/long/");
    EXPECT_EQ(rules.FindRoute("a.example", "/chat/1?x=/chat/long/")->prefix,
              "/chat/");
  }
  {
    SCOPED_TRACE("hosts are compared without port and case");
    EXPECT_NE(rules.FindRoute("A.Example:8080", "/chat/1"), nullptr);
  }
  {
    SCOPED_TRACE("only whole path segments and equal hosts match");
    EXPECT_EQ(rules.FindRoute("a.example", "/chat"), nullptr);
    EXPECT_EQ(rules.FindRoute("a.example", "/chatter/1"), nullptr);
    EXPECT_EQ(rules.FindRoute("c.example", "/chat/1"), nullptr);
  }
  {
    SCOPED_TRACE("only a known key yields an organisation");
    EXPECT_EQ(rules.FindKey("key-2")->name, "tailors");
    EXPECT_EQ(rules.FindKey("key-3"), nullptr);
    EXPECT_EQ(rules.FindKey(""), nullptr);
  }
}

TEST(Rules, SplitARouteByWeightAndRequestId) {
  Route route = MakeRoute("a.example", "/");
  route.shares = {{"old", 90}, {"new", 10}};
  std::map<std::string, int> counts;
  for (int i = 0; i < 10000; ++i) {
    const std::string id = "request-" + std::to_string(i);
    const std::string* first = ChooseService(route, id);
    ASSERT_NE(first, nullptr);
    EXPECT_EQ(first, ChooseService(route, id));
    ++counts[*first];
  }
  EXPECT_NEAR(counts["new"], 1000, 150);
  route.shares = {{"old", 0}};
  EXPECT_EQ(ChooseService(route, "1"), nullptr);
}

// Changes dedicate and release organisations at random; each gateway learns of
// them late. No prompt reuses a part of another organisation if one of the two
// is dedicated by the rules of the gateway that sends it.
TEST(Rules, CacheScopesKeepDedicatedOrganisationsApartInAnyHistory) {
  const std::vector<std::string> names{"a", "b", "c", "d"};
  std::mt19937 random(1);
  const auto pick = [&](std::size_t n) { return random() % n; };
  std::vector<std::shared_ptr<const Rules>> history;
  std::vector<std::size_t> known(3, 0);  // By gateway: index in `history`.
  std::map<std::string, std::set<std::string>> makers;  // By scope.
  int shared = 0;
  for (int step = 0; step < 20000; ++step) {
    if (step % 20 == 0) {
      RulesText text;
      text.version = step;
      for (const std::string& it : names) {
        text.organisations.push_back({it, {}, {}, pick(3) == 0});
      }
      history.push_back(std::make_shared<const Rules>(std::move(text)));
    }
    std::size_t& at = known[pick(known.size())];
    at += pick(10) == 0 ? pick(history.size() - at) : 0;
    const Rules& rules = *history[at];
    const std::string& user = names[pick(names.size())];
    auto& parts_of = makers[rules.CacheScope(user)];
    for (const std::string& maker : parts_of) {
      const bool apart = rules.FindOrganisation(user)->dedicated ||
                         rules.FindOrganisation(maker)->dedicated;
      ASSERT_FALSE(apart && maker != user) << user << " reuses " << maker;
      shared += maker != user ? 1 : 0;
    }
    parts_of.insert(user);
  }
  EXPECT_GT(shared, 1000);
}

}  // namespace
}  // namespace peridotgate::gateway
