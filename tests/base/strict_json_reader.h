#ifndef HORNBEAMCLEAT_TESTS_BASE_STRICT_JSON_READER_H_
#define HORNBEAMCLEAT_TESTS_BASE_STRICT_JSON_READER_H_

#include <string_view>

namespace hornbeamcleat {

/// Second reading of RFC 8259, to compare the parser with: whether `text` is
/// exactly one JSON value in UTF-8 with at most `max_depth` levels, whose
/// numbers are finite and whose escaped surrogates come in pairs.
bool IsStrictJson(std::string_view text, int max_depth);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_BASE_STRICT_JSON_READER_H_
