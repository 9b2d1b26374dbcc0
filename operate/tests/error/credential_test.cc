#include "operate/credential.h"

#include <cstdlib>

#include <gtest/gtest.h>

#include "runtime/digest.h"

namespace peridotgate::operate {
namespace {

constexpr const char* kVariable = "PERIDOTGATE_OPERATOR_KEY";

TEST(Credential, AcceptsOnlyOperatorsKeys) {
  ::unsetenv(kVariable);
  {
    SCOPED_TRACE("without one, the operator is told where to put it");
    auto read = ReadCredential("");
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error(), CredentialError::kMissing);
    EXPECT_NE(Advice(read.error()).find(kVariable), std::string::npos);
  }
  {
    SCOPED_TRACE("a file that is not there is told");
    auto read = ReadCredential("/nonexistent/key");
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error(), CredentialError::kUnreadable);
  }
  ::setenv(kVariable, "operator-test-key", 1);
  const std::string digest = ReadCredential("").value();
  {
    SCOPED_TRACE("the right one is accepted by its digest");
    EXPECT_EQ(digest, runtime::Sha256Hex("operator-test-key"));
    EXPECT_TRUE(CheckCredential(digest, {"other", digest}));
  }
  {
    SCOPED_TRACE("a caller's key is none, and the advice does not repeat it");
    auto checked = CheckCredential(digest, {runtime::Sha256Hex("a caller's")});
    ASSERT_FALSE(checked);
    EXPECT_EQ(checked.error(), CredentialError::kUnknown);
    EXPECT_EQ(Advice(checked.error()).find("operator-test-key"),
              std::string::npos);
  }
  ::unsetenv(kVariable);
}

}  // namespace
}  // namespace peridotgate::operate
