#include "src/control/loss_facts.h"

#include <algorithm>
#include <utility>

#include "src/base/codec.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxChunkBytes = 400;
constexpr std::size_t kMaxChunks = 8;

// Collects items into chunks.
class ChunkWriter {
 public:
  explicit ChunkWriter(std::uint64_t sequence) { chunk_.sequence = sequence; }

  template <typename Item>
  void Add(std::vector<Item> LossReport::*list, const Item& item) {
    std::vector<Item>& items = chunk_.report.*list;
    items.push_back(item);
    const bool is_alone = chunk_.report.losses.size() +
                              chunk_.report.answers.size() +
                              chunk_.report.alive.size() ==
                          1;
    if (EncodeBytes(chunk_).size() > kMaxChunkBytes && !is_alone) {
      items.pop_back();
      Flush();
      (chunk_.report.*list).push_back(item);
    }
  }

  std::vector<std::string> Take() {
    if (chunk_.report != LossReport()) {
      Flush();
    }
    chunks_.resize(std::min(chunks_.size(), kMaxChunks));
    return std::move(chunks_);
  }

 private:
  void Flush() {
    chunks_.push_back(EncodeBytes(chunk_));
    chunk_.report = LossReport();
  }

  SequencedLosses chunk_;
  std::vector<std::string> chunks_;
};

template <typename Item>
void Append(const std::vector<Item>& from, std::vector<Item>* to) {
  to->insert(to->end(), from.begin(), from.end());
}

}  // namespace

std::vector<std::string> LossChunks(const SequencedLosses& losses) {
  ChunkWriter writer(losses.sequence);
  for (const PropertyAnswer& answer : losses.report.answers) {
    writer.Add(&LossReport::answers, answer);
  }
  for (const TargetSighting& sighting : losses.report.alive) {
    writer.Add(&LossReport::alive, sighting);
  }
  std::vector<PropertyLoss> by_runs = losses.report.losses;
  std::stable_sort(by_runs.begin(), by_runs.end(),
                   [](const PropertyLoss& a, const PropertyLoss& b) {
                     return a.runs.size() > b.runs.size();
                   });
  for (const PropertyLoss& loss : by_runs) {
    writer.Add(&LossReport::losses, loss);
  }
  return writer.Take();
}

void LossAssembler::Add(const std::string& vm, std::string_view chunk) {
  const SequencedLosses part = DecodeBytes<SequencedLosses>(chunk);
  SequencedLosses& known = losses_[vm];
  if (part.sequence < known.sequence) {
    return;
  }
  if (part.sequence > known.sequence) {
    known = {part.sequence, {}};
  }
  Append(part.report.losses, &known.report.losses);
  Append(part.report.answers, &known.report.answers);
  Append(part.report.alive, &known.report.alive);
}

}  // namespace hornbeamcleat
