#include "routing/even_choice.h"

#include <algorithm>
#include <cmath>

namespace peridotgate::routing {
namespace {

double WeightOf(double cost, double least, double uncertainty_ms) {
  return std::max(0.0, 1 - (cost - least) / uncertainty_ms);
}

}  // namespace

double CostUncertainty(const UnseenLoad& unseen) {
  const double sent = unseen.requests_per_s * unseen.age_ms / 1000;
  const double per_server =
      sent / static_cast<double>(std::max<std::size_t>(1, unseen.servers));
  return unseen.request_ms * (1 - std::exp(-sent)) *
         (1 + std::sqrt(per_server));
}

std::size_t ChooseEvenly(std::span<const double> costs,
                         double uncertainty_ms,
                         double random) {
  const auto first_least = std::min_element(costs.begin(), costs.end());
  if (uncertainty_ms <= 0) {
    return static_cast<std::size_t>(first_least - costs.begin());
  }
  const double least = *first_least;
  double total = 0;
  for (const double it : costs) {
    total += WeightOf(it, least, uncertainty_ms);
  }
  double left = random * total;
  std::size_t chosen = 0;
  for (std::size_t i = 0; i < costs.size(); ++i) {
    const double weight = WeightOf(costs[i], least, uncertainty_ms);
    if (weight <= 0) {
      continue;
    }
    chosen = i;
    left -= weight;
    if (left < 0) {
      break;
    }
  }
  return chosen;
}

}  // namespace peridotgate::routing
