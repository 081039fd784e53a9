#include "line_diff.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace shallotwick::ctl {
namespace {

using Lines = std::vector<std::string>;
using LengthTable = std::vector<std::vector<size_t>>;

Lines SplitLines(const std::string& text) {
  Lines lines;
  std::istringstream stream(text);
  std::string line;
  while (std::getline(stream, line)) {
    lines.push_back(line);
  }
  return lines;
}

// Lengths of the longest common subsequence of all pairs of tails.
LengthTable MeasureTails(const Lines& before, const Lines& after) {
  LengthTable lengths(before.size() + 1,
                      std::vector<size_t>(after.size() + 1, 0));
  for (size_t left = before.size(); left-- > 0;) {
    for (size_t right = after.size(); right-- > 0;) {
      lengths[left][right] =
          before[left] == after[right]
              ? lengths[left + 1][right + 1] + 1
              : std::max(lengths[left + 1][right], lengths[left][right + 1]);
    }
  }
  return lengths;
}

}  // namespace

std::string DiffLines(const std::string& before, const std::string& after) {
  const Lines old_lines = SplitLines(before);
  const Lines new_lines = SplitLines(after);
  const LengthTable lengths = MeasureTails(old_lines, new_lines);
  std::string text;
  size_t left = 0;
  size_t right = 0;
  while (left < old_lines.size() || right < new_lines.size()) {
    const bool both = left < old_lines.size() && right < new_lines.size();
    if (both && old_lines[left] == new_lines[right]) {
      text += "  " + old_lines[left++] + "\n";
      ++right;
    } else if (right == new_lines.size() ||
               (both && lengths[left + 1][right] >= lengths[left][right + 1])) {
      text += "- " + old_lines[left++] + "\n";
    } else {
      text += "+ " + new_lines[right++] + "\n";
    }
  }
  return text;
}

}  // namespace shallotwick::ctl
