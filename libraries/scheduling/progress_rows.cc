#include "scheduling/progress_rows.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

namespace shallotwick::scheduling {
namespace {

using nlohmann::json;

// The form of EncodeProgress with more tasks would be too large, so it is not
// tried.
constexpr size_t kMaxPlainTasks = 600;
constexpr size_t kMaxPlainBytes = size_t{16} * 1024;
// The record holds details of tasks itself up to this size.
constexpr size_t kMaxInlineBytes = size_t{16} * 1024;
// Far more than the tasks of a job or the attempts at one.
constexpr int64_t kMaxRangeLength = 1'000'000;
// A part has some bytes besides its entries.
constexpr size_t kMaxPartBytes = kMaxProgressRowBytes - 64;

// One bit a task, the first in the highest bit of the first digit.
class BitText {
 public:
  static std::string Encode(const std::vector<bool>& bits) {
    std::string digits((bits.size() + 3) / 4, '0');
    for (size_t i = 0; i < bits.size(); ++i) {
      if (bits[i]) {
        char& digit = digits[i / 4];
        digit = FormatDigit(ParseDigit(digit) | (8 >> (i % 4)));
      }
    }
    return digits;
  }

  static std::vector<bool> Decode(const std::string& digits, size_t count) {
    if (digits.size() != (count + 3) / 4) {
      throw std::runtime_error("job progress has another number of tasks");
    }
    std::vector<bool> bits(count);
    for (size_t i = 0; i < count; ++i) {
      bits[i] = (ParseDigit(digits[i / 4]) & (8 >> (i % 4))) != 0;
    }
    return bits;
  }

 private:
  static char FormatDigit(int value) { return "0123456789abcdef"[value]; }
  static int ParseDigit(char digit) {
    if (digit >= '0' && digit <= '9') {
      return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
      return digit - 'a' + 10;
    }
    throw std::runtime_error("job progress has a malformed set of tasks");
  }
};

// The tasks of all occurrences and steps, numbered in this order.
template <typename Progress>
auto ListTasks(Progress& progress) {
  std::vector<decltype(&progress.tasks[0][0][0])> tasks;
  for (auto& steps : progress.tasks) {
    for (auto& step : steps) {
      for (auto& task : step) {
        tasks.push_back(&task);
      }
    }
  }
  return tasks;
}

// Numbers of runs mostly follow each other.
json EncodeRuns(const std::vector<int64_t>& runs) {
  json ranges = json::array();
  for (size_t i = 0; i < runs.size();) {
    size_t end = i + 1;
    while (end < runs.size() && runs[end] == runs[end - 1] + 1) {
      ++end;
    }
    ranges.push_back({runs[i], runs[end - 1]});
    i = end;
  }
  return ranges;
}

std::vector<int64_t> DecodeRuns(const json& ranges) {
  std::vector<int64_t> runs;
  for (const json& range : ranges) {
    const auto first = range.at(0).get<int64_t>();
    const auto last = range.at(1).get<int64_t>();
    if (last < first || last - first > kMaxRangeLength) {
      throw std::runtime_error("job progress has a malformed range");
    }
    for (int64_t run = first; run <= last; ++run) {
      runs.push_back(run);
    }
  }
  return runs;
}

// Tasks that end in their order form few ranges.
json EncodeDone(const std::vector<bool>& done) {
  std::vector<int64_t> numbers;
  for (size_t i = 0; i < done.size(); ++i) {
    if (done[i]) {
      numbers.push_back(static_cast<int64_t>(i));
    }
  }
  json ranges = EncodeRuns(numbers);
  std::string bits = BitText::Encode(done);
  return ranges.dump().size() < bits.size() ? ranges : json(std::move(bits));
}

void DecodeDone(const json& done, const std::vector<TaskProgress*>& all) {
  if (done.is_string()) {
    const std::vector<bool> bits =
        BitText::Decode(done.get<std::string>(), all.size());
    for (size_t i = 0; i < all.size(); ++i) {
      all[i]->done = bits[i];
    }
    return;
  }
  for (const int64_t number : DecodeRuns(done)) {
    all.at(static_cast<size_t>(number))->done = true;
  }
}

// Returns the entry of a task: its number, its failed runs and its checkpoint.
// Empty if the set of done tasks says all.
std::string EncodeEntry(size_t number, const TaskProgress& task) {
  if (task.done || (task.failed_runs.empty() && task.checkpoint.empty())) {
    return "";
  }
  return json{number, EncodeRuns(task.failed_runs), task.checkpoint}.dump();
}

void DecodeEntries(const json& entries, const std::vector<TaskProgress*>& all) {
  for (const json& entry : entries) {
    TaskProgress& task = *all.at(entry.at(0).get<size_t>());
    task.failed_runs = DecodeRuns(entry.at(1));
    task.checkpoint = entry.at(2).get<std::string>();
  }
}

std::string JoinEntries(const std::vector<std::string>& entries, size_t from,
                        size_t until) {
  std::string text;
  for (size_t i = from; i < std::min(until, entries.size()); ++i) {
    if (!entries[i].empty()) {
      text += (text.empty() ? "" : ",") + entries[i];
    }
  }
  return text.empty() ? "" : "[" + text + "]";
}

// Returns the largest number of tasks, of powers of two, for which all parts
// stay within their bound. Boundaries that rarely move keep most parts as they
// are stored.
size_t ChoosePartSize(const std::vector<std::string>& entries) {
  size_t size = 1;
  while (size < entries.size()) {
    size *= 2;
  }
  for (; size > 1; size /= 2) {
    size_t largest = 0;
    for (size_t from = 0; from < entries.size(); from += size) {
      size_t bytes = 0;
      for (size_t i = from; i < std::min(from + size, entries.size()); ++i) {
        bytes += entries[i].empty() ? 0 : entries[i].size() + 1;
      }
      largest = std::max(largest, bytes);
    }
    if (largest <= kMaxPartBytes) {
      break;
    }
  }
  return size;
}

std::string NamePart(size_t size, size_t index) {
  return std::to_string(size) + "-" + std::to_string(index);
}

size_t CountChangedTasks(const JobProgress& progress) {
  size_t count = 0;
  for (const auto& steps : progress.tasks) {
    for (const auto& step : steps) {
      count += static_cast<size_t>(std::count_if(
          step.begin(), step.end(),
          [](const TaskProgress& task) { return task != TaskProgress{}; }));
    }
  }
  return count;
}

}  // namespace

ProgressRows EncodeProgressRows(const JobProgress& progress) {
  ProgressRows rows;
  if (IsTerminal(progress.state) ||
      CountChangedTasks(progress) <= kMaxPlainTasks) {
    rows.record = EncodeProgress(progress);
    if (rows.record.size() <= kMaxPlainBytes) {
      return rows;
    }
  }
  const auto tasks = ListTasks(progress);
  std::vector<bool> done;
  std::vector<std::string> entries;
  size_t bytes = 0;
  for (size_t i = 0; i < tasks.size(); ++i) {
    done.push_back(tasks[i]->done);
    entries.push_back(EncodeEntry(i, *tasks[i]));
    bytes += entries.back().size() + 1;
  }
  json compact = {{"done", EncodeDone(done)}};
  if (bytes <= kMaxInlineBytes + entries.size()) {
    const std::string text = JoinEntries(entries, 0, entries.size());
    compact["entries"] = text.empty() ? json::array() : json::parse(text);
  } else {
    const size_t size = ChoosePartSize(entries);
    std::vector<bool> present;
    for (size_t from = 0; from < entries.size(); from += size) {
      std::string part = JoinEntries(entries, from, from + size);
      present.push_back(!part.empty());
      if (!part.empty()) {
        rows.parts[NamePart(size, from / size)] = std::move(part);
      }
    }
    compact["part_size"] = size;
    compact["parts"] = BitText::Encode(present);
  }
  rows.record = json{{"state", NameOf(progress.state)},
                     {"route", progress.route},
                     {"tasks", std::move(compact)}}
                    .dump();
  return rows;
}

JobProgress DecodeProgressRows(const JobSpec& job, const ProgressRows& rows) {
  try {
    const json record = json::parse(rows.record);
    const json compact = record.value("tasks", json::array());
    if (!compact.is_object()) {
      return DecodeProgress(job, rows.record);
    }
    JobProgress progress = MakeInitialProgress(job);
    progress.state = DecodeSummary(rows.record).state;
    const auto tasks = ListTasks(progress);
    DecodeDone(compact.at("done"), tasks);
    DecodeEntries(compact.value("entries", json::array()), tasks);
    const auto size = compact.value("part_size", size_t{0});
    if (size > 0) {
      const std::vector<bool> present =
          BitText::Decode(compact.at("parts").get<std::string>(),
                          (tasks.size() + size - 1) / size);
      for (size_t i = 0; i < present.size(); ++i) {
        if (present[i]) {
          DecodeEntries(json::parse(rows.parts.at(NamePart(size, i))), tasks);
        }
      }
    }
    return progress;
  } catch (const json::exception& error) {
    throw std::runtime_error(error.what());
  } catch (const std::out_of_range&) {
    throw std::runtime_error("job progress lacks a part or names another task");
  }
}

}  // namespace shallotwick::scheduling
