// The accepted state as JSON for operators. Pure: reads the state, writes text.

#pragma once

#include <Loomreach/Request/Dispatcher.h>
#include <Loomreach/State/FleetState.h>

#include <nlohmann/json_fwd.hpp>

namespace Loomreach
{

/// Figures of the whole: offsets, versions, counts.
nlohmann::json ReportStatus(const FleetState &inState);
/// Each pool with its budget, buffer and what that buffer costs. `inHeldBy` tells what holds waves, by pool.
nlohmann::json ReportPools(const FleetState &inState, const std::map<std::string, std::string> &inHeldBy);
/// Each job with its replicas.
nlohmann::json ReportJobs(const FleetState &inState);
/// Why a job's replicas run or do not run, in sentences.
nlohmann::json ReportWhy(const FleetState &inState, const std::string &inJob);
/// All hosts, briefly.
nlohmann::json ReportHosts(const FleetState &inState);
/// One host, with a sentence on why it cannot leave.
nlohmann::json ReportHost(const FleetState &inState, const Host &inHost);
/// All waves with their progress and hosts that are stuck.
nlohmann::json ReportWaves(const FleetState &inState, const std::map<std::string, std::string> &inHeldBy);
/// Retry counters as Prometheus text.
std::string RetryCounters(const Dispatcher &inDispatcher);

} // namespace Loomreach
