#pragma once

#include <functional>
#include <string>

#include "base/event_loop.h"
#include "storage/row_store.h"

namespace shallotwick::storage {

// Reads an entire partition page by page and repeats failed pages until all
// have been read. Pages grow as far as the link bears.
class PartitionReader {
 public:
  PartitionReader(base::EventLoop& loop, RowStore& store);

  // Called for each page that was read, and for each that was not, with the
  // error.
  std::function<void(const RowReadResult&)> m_on_page =
      [](const RowReadResult&) {};

  // The result has the version of the first page, so that no change is missed
  // when the change feed is read from there. Ends an earlier read without
  // calling back.
  void Read(const std::string& table, const std::string& part,
            std::function<void(RowReadResult)> on_end);
  // Ends the current read without calling back.
  void Stop();

 private:
  void ReadPage();
  void OnPage(base::TimePoint sent, RowReadResult page);
  void AdaptPageSize(const RowReadResult& page, base::Duration page_time);

  base::EventLoop& m_loop;
  RowStore& m_store;
  RowRange m_next;
  RowReadResult m_result;
  // Of the last page.
  double m_rows_per_second = 0;
  std::function<void(RowReadResult)> m_on_end;
  // Incremented by each read and stop; answers to earlier calls are dropped.
  int m_generation = 0;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::storage
