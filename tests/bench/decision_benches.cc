#include "decision_benches.h"

#include <malloc.h>

#include <chrono>
#include <functional>

#include "control/document_records.h"
#include "control/message_codec.h"
#include "control/messages.h"
#include "control/view_records.h"
#include "document/section_parser.h"
#include "document/submission.h"
#include "fleet/buffer_sizing.h"
#include "fleet_simulation.h"
#include "harness/sections.h"
#include "routing/routing_table.h"

namespace shallotwick::bench {
namespace {

// Hosts of the target by pool: 1,200 workers in 164 pools.
constexpr double kHostsPerPool = 1200.0 / 164.0;
constexpr int kRepeats = 20;

double MeasureSeconds(const std::function<void()>& run) {
  const auto started = std::chrono::steady_clock::now();
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    run();
  }
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       started)
             .count() /
         kRepeats;
}

double GetHeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

FleetShape MakeTargetShape(int hosts) {
  FleetShape shape;
  shape.hosts = hosts;
  shape.pools = std::max(1, static_cast<int>(hosts / kHostsPerPool));
  shape.data_centres = 9;
  return shape;
}

routing::RoutingView MakeView(const FleetSimulation& simulation, int gateways) {
  routing::RoutingView view;
  view.version = 1'000'000;
  view.document_version = 100'000;
  for (const auto& [name, host] : simulation.GetInput().hosts) {
    view.hosts[name] = routing::MakeHostRoute(host);
  }
  for (const document::PoolPlan& pool : simulation.GetInput().plan.pools) {
    view.services[pool.name] = routing::ServiceRoute{
        pool.name, pool.name, 8, 64, 2000, {"GET", "HEAD", "PUT"}};
  }
  for (int gateway = 0; gateway < gateways; ++gateway) {
    const std::string name = "gateway-" + std::to_string(gateway);
    view.members[name] = routing::MemberRoute{name, "10.0.0.1:7000"};
  }
  return view;
}

}  // namespace

void RunPlannerBench(BenchReport* report) {
  for (int hosts : {100, 300, 600, 1200, 2400}) {
    const double before = GetHeapBytes();
    FleetSimulation simulation(MakeTargetShape(hosts));
    simulation.Settle();
    report->Add("planner", "hosts", hosts, "state of one planning pass",
                GetHeapBytes() - before, "bytes");
    const double idle =
        MeasureSeconds([&] { simulation.Step(base::Duration::zero()); });
    report->Add("planner", "hosts", hosts, "plan with nothing to do",
                idle * 1e3, "ms");
    simulation.ShiftPromise("pool-1", "pool-2", 1, "dc-0");
    for (auto& [name, host] : simulation.GetInput().hosts) {
      host.maintained_by.clear();
    }
    const int plans = simulation.GetPlans();
    const double seconds = simulation.GetPlanSeconds();
    simulation.RunWave("w1", 17);
    report->Add("planner", "hosts", hosts, "plan within a wave",
                (simulation.GetPlanSeconds() - seconds) * 1e3 /
                    (simulation.GetPlans() - plans),
                "ms");
  }
}

void RunViewBench(BenchReport* report) {
  for (int hosts : {100, 300, 600, 1200, 2400}) {
    FleetSimulation simulation(MakeTargetShape(hosts));
    simulation.Settle();
    routing::RoutingView view = MakeView(simulation, 27);
    report->Add("view", "hosts", hosts, "whole view",
                static_cast<double>(control::Encode(view).size()), "bytes");
    routing::RoutingView later = view;
    ++later.version;
    later.hosts.begin()->second.state = records::HostState::kDraining;
    control::ViewPush push;
    push.delta = routing::MakeDelta(view, later);
    report->Add("view", "hosts", hosts, "change of one host",
                static_cast<double>(control::Encode(push).size()), "bytes");
    later.services.begin()->second.slots = 9;
    push.delta = routing::MakeDelta(view, later);
    report->Add("view", "hosts", hosts, "change of the document",
                static_cast<double>(control::Encode(push).size()), "bytes");
    const double before = GetHeapBytes();
    auto table = routing::BuildRoutingTable(view, nullptr, "gateway-1");
    report->Add("view", "hosts", hosts, "state of a gateway's table",
                GetHeapBytes() - before, "bytes");
    const double seconds = MeasureSeconds([&] {
      const auto next =
          routing::BuildRoutingTable(later, table.get(), "gateway-1");
    });
    report->Add("view", "hosts", hosts, "building a table", seconds * 1e3,
                "ms");
    double rows = 0;
    for (const auto& [name, host] : simulation.GetInput().hosts) {
      rows += static_cast<double>(nlohmann::json(host).dump().size());
    }
    report->Add("view", "hosts", hosts, "host rows in the table service", rows,
                "bytes");
  }
}

void RunDocumentBench(BenchReport* report) {
  for (int sections : {25, 50, 100, 200, 400}) {
    document::PlanningDocument planning;
    const document::FleetCapacity facts{{{"dc-0", 100'000}}, 0};
    double bytes = 0;
    for (int number = 0; number < sections; ++number) {
      const std::string team = "team-" + std::to_string(number);
      const std::string text = harness::MakeTeamSection(team, 4, 1);
      planning.sections[team] = {1, text, "author",
                                 document::ParseSection(team, text).section};
      bytes += static_cast<double>(
          nlohmann::json(control::SectionRecord{1, text, "author"})
              .dump()
              .size());
    }
    report->Add("document", "sections", sections, "section rows", bytes,
                "bytes");
    const std::string edit = harness::MakeTeamSection("team-3", 5, 1);
    const double submit = MeasureSeconds([&] {
      document::Submit(planning, {"team-3", "a", edit, 1, "d-1"}, facts,
                       "arbiter");
    });
    report->Add("document", "sections", sections, "deciding on an edit",
                submit * 1e3, "ms");
    const double parse = MeasureSeconds([&] {
      for (const auto& [team, section] : planning.sections) {
        document::ParseSection(team, section.text);
      }
    });
    report->Add("document", "sections", sections, "reading all sections",
                parse * 1e3, "ms");
  }
}

void RunDigestBench(BenchReport* report) {
  for (int gateways : {3, 9, 27, 54}) {
    control::Digest digest;
    digest.gateway = "gateway-00";
    digest.view_version = 1'000'000;
    digest.confirmed_age_milliseconds = 900;
    for (int number = 0; number < gateways; ++number) {
      digest.reports["gateway-" + std::to_string(10 + number)] = {900, true};
    }
    report->Add("digest", "gateways", gateways, "answer to a peer",
                static_cast<double>(control::Encode(digest).size()), "bytes");
  }
}

namespace {

// Moves that a fresh assignment in order of names makes for the same change.
int CountNaiveMoves(const FleetSimulation& before,
                    const FleetSimulation& after) {
  const auto assign = [](const FleetSimulation& simulation) {
    std::map<std::string, std::string> pools;
    std::map<std::string, std::vector<std::string>> hosts;
    for (const auto& [name, host] : simulation.GetInput().hosts) {
      hosts[host.data_centre].push_back(name);
    }
    for (auto& [data_centre, names] : hosts) {
      size_t next = 0;
      for (const document::PoolPlan& pool : simulation.GetInput().plan.pools) {
        const auto promise = pool.promise.find(data_centre);
        const int promised =
            promise == pool.promise.end() ? 0 : promise->second;
        for (int count = 0; count < promised && next < names.size(); ++count) {
          pools[names[next++]] = pool.name;
        }
      }
      while (next < names.size()) {
        pools[names[next++]] = "office";
      }
    }
    return pools;
  };
  const auto old_pools = assign(before);
  const auto new_pools = assign(after);
  int moves = 0;
  for (const auto& [host, pool] : new_pools) {
    moves += old_pools.at(host) != pool ? 1 : 0;
  }
  return moves;
}

void MeasureBuffer(BenchReport* report, const std::string& size_name,
                   const FleetShape& shape) {
  const FleetSimulation simulation(shape);
  const auto& pools = simulation.GetInput().plan.pools;
  const fleet::FleetShape racks{shape.hosts_per_rack, 1};
  int shared = 0;
  for (const auto& [place, hosts] : fleet::ComputeSharedBuffer(pools, racks)) {
    shared += hosts;
  }
  int per_pool = 0;
  for (const auto& [place, hosts] : fleet::ComputeBufferPerPool(pools, racks)) {
    per_pool += hosts;
  }
  report->Add("measures", size_name, shape.hosts, "buffer, shared", shared,
              "hosts");
  report->Add("measures", size_name, shape.hosts, "buffer, one for each pool",
              per_pool, "hosts");
}

void MeasureWave(BenchReport* report, const std::string& size_name,
                 const FleetShape& shape, int failures_a_day) {
  const auto hours = [](base::Duration duration) {
    return std::chrono::duration<double, std::ratio<3600>>(duration).count();
  };
  FleetSimulation simulation(shape);
  simulation.Settle();
  const base::Duration bound = simulation.GetWaveBound();
  report->Add("measures", size_name, shape.hosts, "wave, bound of the budgets",
              hours(bound), "h");
  report->Add("measures", size_name, shape.hosts, "wave, by free budget",
              hours(simulation.RunWave("w1", failures_a_day)), "h");
  FleetSimulation baseline(shape);
  for (document::PoolPlan& pool : baseline.GetInput().plan.pools) {
    pool.budget = 1;
  }
  baseline.Settle();
  report->Add("measures", size_name, shape.hosts,
              "wave, one host of a pool at a time",
              hours(baseline.RunWave("w1", failures_a_day)), "h");
}

void MeasureMoves(BenchReport* report, const std::string& size_name,
                  const FleetShape& shape) {
  FleetSimulation simulation(shape);
  simulation.Settle();
  const FleetSimulation before = simulation;
  const int moves = simulation.GetMoves();
  const std::string last = "pool-" + std::to_string(shape.pools - 1);
  simulation.ShiftPromise("pool-1", last, 1, "dc-0");
  simulation.ShiftPromise("pool-2", last, 1, "dc-1");
  simulation.Settle();
  report->Add("measures", size_name, shape.hosts, "moves, fewest possible", 2,
              "hosts");
  report->Add("measures", size_name, shape.hosts, "moves, ours",
              simulation.GetMoves() - moves, "hosts");
  report->Add("measures", size_name, shape.hosts, "moves, fresh assignment",
              CountNaiveMoves(before, simulation), "hosts");
}

}  // namespace

void RunMeasuresBench(BenchReport* report) {
  FleetShape firm;
  firm.budget_part = 0.25;
  for (const char* name : {"shamshyrak", "ave"}) {
    MeasureBuffer(report, name, firm);
    MeasureWave(report, name, firm, 1);
    MeasureMoves(report, name, firm);
  }
  const FleetShape target = MakeTargetShape(1200);
  MeasureBuffer(report, "target", target);
  MeasureWave(report, "target", target, 17);
  MeasureMoves(report, "target", target);
}

}  // namespace shallotwick::bench
