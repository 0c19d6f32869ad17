#include "src/load/request_record.h"

namespace hornbeamcleat {

const char* RequestEndName(RequestEnd end) {
  switch (end) {
    case RequestEnd::kWholeInTime:
      return "whole_in_time";
    case RequestEnd::kWholeLate:
      return "whole_late";
    case RequestEnd::kRefused:
      return "refused";
    case RequestEnd::kWrong:
      return "wrong";
    case RequestEnd::kLost:
      return "lost";
  }
  return "lost";
}

}  // namespace hornbeamcleat
