#include "problem_sender.h"

namespace peridotgate::entry {

asio::awaitable<void> ProblemSender::Send(runtime::HttpExchange& exchange,
                                          const Problem& problem,
                                          const Id128& request) const {
  auto response = ToResponse(problem);
  response.set(std::string(kRequestIdHeader), coordination::ToHex(request));
  metrics_
      .GetCounter(
          "peridotgate_entry_refused_total",
          {{"outcome", OutcomeName(problem.outcome)}, {"title", problem.title}})
      .Add();
  co_await exchange.Send(std::move(response));
}

}  // namespace peridotgate::entry
