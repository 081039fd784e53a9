#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/request_ticket.h"

namespace shallotwick::routing {

// How to proceed with an item that a queue offers.
enum class QueueVisit { kPop, kSkipTeam, kStop };

// The requests of one service that wait for a slot. The most urgent are served
// first; among equally urgent ones the teams are served by weighted fair
// queueing, and the requests of one team by their deadline. Not safe to use
// from several threads.
template <typename Item>
class WaitingQueue {
 public:
  void Push(const RequestTicket& ticket, double weight, Item item) {
    Lane& lane = m_lanes[ticket.urgency];
    Team& team = lane.teams[ticket.team];
    if (team.items.empty()) {
      // A team does not accumulate credit while it has no waiting requests.
      team.virtual_time = std::max(team.virtual_time, lane.virtual_time);
    }
    team.weight = weight;
    team.items.emplace(ticket.deadline, Entry{ticket, std::move(item)});
    ++m_size;
    ++m_team_sizes[ticket.team];
  }

  // Offers the first waiting item of each team to `visit`, in the order in
  // which they should be served, and removes and returns the item for which it
  // returns kPop.
  template <typename Visitor>
  std::optional<Item> Pop(const Visitor& visit) {
    for (auto& [urgency, lane] : m_lanes) {
      for (Team* team : OrderTeams(&lane)) {
        switch (visit(team->items.begin()->second.item)) {
          case QueueVisit::kStop:
            return std::nullopt;
          case QueueVisit::kSkipTeam:
            break;
          case QueueVisit::kPop:
            lane.virtual_time = team->virtual_time;
            team->virtual_time += 1.0 / team->weight;
            return Remove(team, team->items.begin());
        }
      }
    }
    return std::nullopt;
  }

  // Removes and returns all items whose deadline is not after `now`.
  std::vector<Item> PopExpired(base::TimePoint now) {
    std::vector<Item> expired;
    for (auto& [urgency, lane] : m_lanes) {
      for (auto& [name, team] : lane.teams) {
        while (!team.items.empty() && team.items.begin()->first <= now) {
          expired.push_back(Remove(&team, team.items.begin()));
        }
      }
    }
    return expired;
  }

  std::vector<Item> PopAll() { return PopExpired(base::TimePoint::max()); }

  size_t GetSize() const { return m_size; }

  size_t GetTeamSize(const std::string& team) const {
    const auto found = m_team_sizes.find(team);
    return found == m_team_sizes.end() ? 0 : found->second;
  }

  // Returns the maximum number of items that are served before a new one of
  // this urgency.
  size_t CountAhead(Urgency urgency) const {
    size_t ahead = 0;
    for (const auto& [lane_urgency, lane] : m_lanes) {
      if (lane_urgency > urgency) {
        break;
      }
      for (const auto& [name, team] : lane.teams) {
        ahead += team.items.size();
      }
    }
    return ahead;
  }

 private:
  struct Entry {
    RequestTicket ticket;
    Item item;
  };
  using Items = std::multimap<base::TimePoint, Entry>;
  struct Team {
    Items items;
    double virtual_time = 0;
    double weight = 1;
  };
  struct Lane {
    std::map<std::string, Team> teams;
    double virtual_time = 0;
  };

  static std::vector<Team*> OrderTeams(Lane* lane) {
    std::vector<Team*> order;
    for (auto& [name, team] : lane->teams) {
      if (!team.items.empty()) {
        order.push_back(&team);
      }
    }
    std::sort(order.begin(), order.end(),
              [](const Team* one, const Team* other) {
                return one->virtual_time < other->virtual_time;
              });
    return order;
  }

  Item Remove(Team* team, typename Items::iterator position) {
    Entry entry = std::move(position->second);
    team->items.erase(position);
    --m_size;
    const auto size = m_team_sizes.find(entry.ticket.team);
    if (--size->second == 0) {
      m_team_sizes.erase(size);
    }
    return std::move(entry.item);
  }

  std::map<Urgency, Lane> m_lanes;
  std::map<std::string, size_t> m_team_sizes;
  size_t m_size = 0;
};

}  // namespace shallotwick::routing
