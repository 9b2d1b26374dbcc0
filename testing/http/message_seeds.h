// Well-formed messages from which fuzz targets start.
#ifndef TESTING_HTTP_MESSAGE_SEEDS_H_
#define TESTING_HTTP_MESSAGE_SEEDS_H_

#include <string>
#include <string_view>
#include <vector>

#include "http/body_samples.h"

namespace peridotgate::runtime {

/** Messages that begin with the header lines `head`, with bodies of all kinds
 * and some malformed ones. */
inline std::vector<std::string> MessageSeeds(std::string_view head) {
  std::vector<std::string> seeds;
  for (const auto& samples : {WellFormedBodies(), MalformedBodies()}) {
    for (const BodySample& it : samples) {
      seeds.push_back(std::string(head) + it.framing + "\r\n" + it.bytes);
    }
  }
  return seeds;
}

}  // namespace peridotgate::runtime

#endif  // TESTING_HTTP_MESSAGE_SEEDS_H_
