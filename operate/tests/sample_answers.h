// Sample answers, which the tests modify.
#ifndef OPERATE_TESTS_SAMPLE_ANSWERS_H_
#define OPERATE_TESTS_SAMPLE_ANSWERS_H_

#include <string>
#include <string_view>

namespace peridotgate::operate {

inline constexpr std::string_view kSampleAnswers = R"(backend_servers:
  - name: "model:horn-1"
    checks_fencing_token: no
    fastest_answer: 100 ms
  - name: "service:desk"
    checks_fencing_token: yes
organisations:
  - name: brazos
    share: 100 %
    default_kind: quote
    keys: [2130f4c11db1c06f62d09532ea0d88235b1d4f868807b1be744d745000f336b1]
    kinds:
      - name: quote
        served_by: "model:horn-1"
        may_be_repeated: yes
        longest_wait: 5 s
        share: 60 %
        first_token_within: 1500 ms
      - name: order-placement
        served_by: "service:desk"
        may_be_repeated: no
        longest_wait: 5 s
        share: 40 %
operator_keys: [52b95b1e84d87c4db5e9d65d330d11aae414bdd4e064995bec8001b20f6dd696]
)";

/** The sample with the first `from` replaced by `to`. */
inline std::string SampleWith(std::string_view from, std::string_view to) {
  std::string text(kSampleAnswers);
  text.replace(text.find(from), from.size(), to);
  return text;
}

}  // namespace peridotgate::operate

#endif  // OPERATE_TESTS_SAMPLE_ANSWERS_H_
