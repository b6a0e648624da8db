// Reports of the accepted state as JSON, for operators. Pure: depends on the state alone.

#pragma once

#include <Loomreach/Request/Dispatcher.h>
#include <Loomreach/State/FleetState.h>

#include <nlohmann/json_fwd.hpp>

namespace Loomreach
{

/// Overall figures: log offset, settings version, number of hosts, pools, jobs and placements.
nlohmann::json ReportStatus(const FleetState &inState);
/// Each pool with its availability budget, its capacity and the buffer that must stay spare. `inWaveBlockers` says what blocks waves, by
/// pool.
nlohmann::json ReportPools(const FleetState &inState, const std::map<std::string, std::string> &inWaveBlockers);
/// Each job with its replicas.
nlohmann::json ReportJobs(const FleetState &inState);
/// How many replicas of a job are placed and, in a sentence each, why others are not.
nlohmann::json ExplainPlacements(const FleetState &inState, const std::string &inJob);
/// A summary of each host.
nlohmann::json ReportHosts(const FleetState &inState);
/// One host, with a sentence on whether it can leave, or why it cannot.
nlohmann::json ReportHost(const FleetState &inState, const Host &inHost);
/// All maintenance waves with their progress, and the hosts that they wait for.
nlohmann::json ReportWaves(const FleetState &inState, const std::map<std::string, std::string> &inWaveBlockers);
/// Counters of attempts and retries in the text format of Prometheus.
std::string RetryCounters(const Dispatcher &inDispatcher);

} // namespace Loomreach
