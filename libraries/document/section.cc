#include "document/section.h"

namespace shallotwick::document {

bool Contains(const Window& window, int minute_of_day) {
  if (window.from_minute == window.until_minute) {
    return true;
  }
  if (window.from_minute < window.until_minute) {
    return minute_of_day >= window.from_minute &&
           minute_of_day < window.until_minute;
  }
  return minute_of_day >= window.from_minute ||
         minute_of_day < window.until_minute;
}

bool Overlaps(const Window& left, const Window& right) {
  return Contains(left, right.from_minute) || Contains(right, left.from_minute);
}

}  // namespace shallotwick::document
