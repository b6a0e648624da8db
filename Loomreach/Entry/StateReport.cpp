// Builds the reports for operators.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/StateReport.h>
#include <Loomreach/Fleet/PlacementPlanner.h>
#include <Loomreach/Fleet/WavePlanner.h>

#include <nlohmann/json.hpp>

namespace Loomreach
{

using Json = nlohmann::json;

Json ReportStatus(const FleetState &inState)
{
	size_t available = 0;
	for (const auto &[name, host] : inState.hosts)
		available += host.IsAvailable() ? 1 : 0;
	return {{"next_offset", inState.next_offset},
			{"settings_version", inState.settings_version},
			{"hosts", inState.hosts.size()},
			{"available_hosts", available},
			{"pools", inState.pools.size()},
			{"jobs", inState.jobs.size()},
			{"placements", inState.placements.size()},
			{"view", inState.view.number},
			{"state_hash", inState.Hash()}};
}

Json ReportPools(const FleetState &inState, const std::map<std::string, std::string> &inWaveBlockers)
{
	Json rows = Json::array();
	for (const auto &[path, pool] : inState.pools)
	{
		auto counts = inState.pool_counts.find(path);
		const PoolCounts hosts = counts == inState.pool_counts.end() ? PoolCounts() : counts->second;
		const Buffer buffer = ComputeBuffer(inState, pool, {});
		const std::string buffer_purpose =
			pool.buffer_percent >= 0 ? "the share that the settings state" : "the loss of its largest rack during a wave";
		auto blocker = inWaveBlockers.find(path);
		rows.push_back({{"path", path},
						{"hosts", hosts.hosts},
						{"available", hosts.available},
						{"required", inState.RequiredAvailable(path)},
						{"capacity_cpu_milli", buffer.capacity},
						{"services_cpu_milli", buffer.service_cpu},
						{"batch_cpu_milli", buffer.batch_cpu},
						{"spare_cpu_milli", buffer.Spare()},
						{"buffer_cpu_milli", buffer.required},
						{"buffer_is_for", buffer_purpose},
						{"held_by", blocker == inWaveBlockers.end() ? "" : blocker->second}});
	}
	return rows;
}

Json ReportJobs(const FleetState &inState)
{
	Json rows = Json::array();
	for (const auto &[path, job] : inState.jobs)
	{
		Json replicas = Json::array();
		for (auto placement = inState.placements.lower_bound({path, 0});
			 placement != inState.placements.end() && placement->first.job == path; ++placement)
			replicas.push_back(
				{{"index", placement->first.index}, {"host", placement->second.host}, {"generation", placement->second.generation}});
		auto history = inState.history.find(path);
		rows.push_back({{"path", path},
						{"kind", job.is_service ? "service" : "batch"},
						{"pool", job.pool},
						{"priority", job.priority},
						{"wanted", job.replicas},
						{"placed", replicas.size()},
						{"finished", history == inState.history.end() ? 0 : history->second.finished.size()},
						{"replicas", std::move(replicas)}});
	}
	return rows;
}

Json ExplainPlacements(const FleetState &inState, const std::string &inJob)
{
	auto job = inState.jobs.find(inJob);
	if (job == inState.jobs.end())
		return {{"path", inJob}, {"why", "The settings declare no such job."}};
	// Plans the pool as its assigned planner would do now; the plan says why replicas are not placed
	const PlacementPlan plan = PlacementPlanner(inState, job->second.pool).Plan();
	Json sentences = Json::array();
	for (const Unplaced &entry : plan.unplaced)
		if (entry.replica.job == inJob)
			sentences.push_back({{"replica", entry.replica.index}, {"why", ExplainUnplaced(inState, entry)}});
	size_t placed = 0;
	for (auto placement = inState.placements.lower_bound({inJob, 0});
		 placement != inState.placements.end() && placement->first.job == inJob; ++placement)
		++placed;
	const std::string summary = std::to_string(placed) + " of " + std::to_string(job->second.replicas) + " replicas are placed.";
	return {{"path", inJob}, {"why", summary}, {"replicas", std::move(sentences)}};
}

static Json HostSummary(const Host &inHost)
{
	return {{"name", inHost.spec.name},
			{"pool", inHost.pool},
			{"availability_zone", inHost.spec.availability_zone},
			{"rack", inHost.spec.rack},
			{"phase", NameOfPhase(inHost.phase)},
			{"health", NameOfHealth(inHost.health)},
			{"quarantined", inHost.quarantined},
			{"replicas", inHost.replicas.size()},
			{"wave", inHost.wave},
			{"maintained_in", inHost.maintained_in}};
}

Json ReportHosts(const FleetState &inState)
{
	Json rows = Json::array();
	for (const auto &[name, host] : inState.hosts)
		rows.push_back(HostSummary(host));
	return rows;
}

/// Whether a host can leave now, why it cannot, or what it still waits for.
static std::string ExplainLeaving(const FleetState &inState, const Host &inHost)
{
	switch (inHost.phase)
	{
	case EHostPhase::Draining:
		if (!inHost.replicas.empty())
			return "It is draining; " + std::to_string(inHost.replicas.size()) + " replicas have yet to find another host.";
		return "It is draining; requests in flight have yet to end, or an entry host has yet to acknowledge.";
	case EHostPhase::Drained: return "It is drained and may leave, move to another pool, or be taken back.";
	case EHostPhase::Out: return "It is out for its reboot.";
	case EHostPhase::Active: break;
	}
	if (inHost.health == EHostHealth::Failed)
		return "It does not answer. It may be cut off behind a network partition and still at work, so it is not taken out.";
	if (inHost.IsAvailable() && !inState.HasRoomInBudget(inHost.pool))
		return "It cannot leave: " + inHost.pool + " must keep " + std::to_string(inState.RequiredAvailable(inHost.pool)) +
			   " hosts available.";
	return "It may leave.";
}

Json ReportHost(const FleetState &inState, const Host &inHost)
{
	Json row = HostSummary(inHost);
	row["address"] = inHost.spec.address.Text();
	row["generation"] = inHost.generation;
	row["leaving"] = ExplainLeaving(inState, inHost);
	row["failed_jobs"] = inHost.failed_jobs;
	Json replicas = Json::array();
	for (const ReplicaKey &replica : inHost.replicas)
		replicas.push_back(replica.Text());
	row["placed"] = std::move(replicas);
	return row;
}

Json ReportWaves(const FleetState &inState, const std::map<std::string, std::string> &inWaveBlockers)
{
	Json rows = Json::array();
	for (const auto &[name, wave] : inState.waves)
	{
		std::array<uint32, 3> counts{};
		Json stuck = Json::array();
		std::set<std::string> pools;
		for (const auto &[host_name, host_state] : wave.hosts)
		{
			++counts[static_cast<size_t>(host_state)];
			auto host = inState.hosts.find(host_name);
			if (host == inState.hosts.end() || host_state == EWaveHost::Done)
				continue;
			pools.insert(host->second.pool);
			if (host->second.health == EHostHealth::Failed || host_state == EWaveHost::Leaving)
				stuck.push_back({{"host", host_name}, {"why", ExplainLeaving(inState, host->second)}});
		}
		Json blockers = Json::object();
		for (const std::string &pool : pools)
			if (auto entry = inWaveBlockers.find(pool); entry != inWaveBlockers.end())
				blockers[pool] = entry->second;
		rows.push_back({{"name", name},
						{"state", NameOfWaveState(wave.state)},
						{"hosts", wave.hosts.size()},
						{"pending", counts[static_cast<size_t>(EWaveHost::Pending)]},
						{"leaving", counts[static_cast<size_t>(EWaveHost::Leaving)]},
						{"done", counts[static_cast<size_t>(EWaveHost::Done)]},
						{"waiting_on", std::move(stuck)},
						{"held_by", std::move(blockers)}});
	}
	return rows;
}

std::string RetryCounters(const Dispatcher &inDispatcher)
{
	std::string text = "# TYPE loomreach_retries_total counter\n";
	for (size_t i = 0; i < static_cast<size_t>(ERetry::Count); ++i)
		text += "loomreach_retries_total{reason=\"" + std::string(NameOfRetry(static_cast<ERetry>(i))) + "\"} " +
				std::to_string(inDispatcher.Retries()[i]) + "\n";
	text += "# TYPE loomreach_attempts_total counter\nloomreach_attempts_total " + std::to_string(inDispatcher.Attempts()) + "\n";
	return text;
}

} // namespace Loomreach
