#ifndef HORNBEAMCLEAT_SRC_CONTROL_LOSS_FACTS_H_
#define HORNBEAMCLEAT_SRC_CONTROL_LOSS_FACTS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/schedule/cluster_view.h"

namespace hornbeamcleat {

/// Key prefix of facts that carry lost targets: "losses/N".
inline constexpr char kLossesPrefix[] = "losses/";

/// Splits an entry's losses into gossip values of bounded size and number.
/// Properties with most lost targets go first.
std::vector<std::string> LossChunks(const SequencedLosses& losses);

/// Joins the chunks of each VM. Chunks of earlier reports are left out.
class LossAssembler {
 public:
  /// @throws Error with step "decode"
  void Add(const std::string& vm, std::string_view chunk);

  const std::map<std::string, SequencedLosses>& Losses() const {
    return losses_;
  }

 private:
  std::map<std::string, SequencedLosses> losses_;  ///< by VM
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_LOSS_FACTS_H_
