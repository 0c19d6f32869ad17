#include "src/ctl/printer.h"

#include <gtest/gtest.h>

#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

class PrinterTest : public testing::Test {
 protected:
  static cxxtools::SerializationInfo Json(const std::string& text) {
    return ParseJson(text, text.size());
  }
};

TEST_F(PrinterTest, TableColumnsAreAligned) {
  EXPECT_EQ(FormatTable({{"NAME", "RANK"}, {"gold-long", "0"}}),
            "NAME       RANK\ngold-long  0\n");
}

TEST_F(PrinterTest, MembersNestedHaveDottedKeys) {
  EXPECT_EQ(FormatMembers(Json(R"({"a":1,"b":{"c":true},"d":[1,2]})")),
            "a=1 b.c=true d=[1,2]");
}

TEST_F(PrinterTest, TreeIndentsNestedValues) {
  EXPECT_EQ(FormatTree(Json(R"({"a":"x","b":{"c":2}})")), "a: x\nb:\n  c: 2\n");
}

TEST_F(PrinterTest, ResourceWithoutStatusShowsDash) {
  const cxxtools::SerializationInfo value =
      Json(R"({"kind":"Tier","metadata":{"name":"gold","resourceVersion":7},)"
           R"("spec":{"rank":0}})");
  EXPECT_EQ(FormatResources({&value}),
            "KIND  NAME  VERSION  SPEC    STATUS\n"
            "Tier  gold  7        rank=0  -\n");
}

}  // namespace
}  // namespace hornbeamcleat
