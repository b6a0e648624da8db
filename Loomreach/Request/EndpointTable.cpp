// Chooses, ejects and readmits endpoints.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Request/EndpointTable.h>

namespace Loomreach
{

static constexpr uint32 cFailuresToEject = 3;
static constexpr Millis cFirstEjectionMs = 1000;
static constexpr Millis cMaxEjectionMs = 30'000;
static constexpr Millis cFullPauseMs = 20;
static constexpr Millis cLeavingRememberedMs = 10'000;
static constexpr uint32 cMaxEjectionShift = 5;

void EndpointTable::Update(const FleetState &inState, const std::set<std::string> &inLeaving)
{
	this->by_job.clear();
	for (auto &[name, endpoint] : this->endpoints)
	{
		endpoint.takes_work = false;
		endpoint.will_leave = false;
		endpoint.has_short = false;
		endpoint.services.clear();
	}
	for (const auto &[replica, placement] : inState.placements)
	{
		auto job = inState.jobs.find(replica.job);
		if (job == inState.jobs.end() || !job->second.is_service)
			continue;
		const Host &host = inState.hosts.find(placement.host)->second;
		Endpoint &endpoint = this->endpoints[placement.host];
		endpoint.host = placement.host;
		endpoint.address = host.spec.address;
		endpoint.availability_zone = host.spec.availability_zone;
		endpoint.rack = host.spec.rack;
		endpoint.slots = host.spec.slots;
		if (endpoint.limit == 0)
			endpoint.limit = host.spec.slots;
		endpoint.takes_work = host.IsAvailable() && inLeaving.count(placement.host) == 0;
		endpoint.has_short = endpoint.has_short || !job->second.long_requests;
		if (endpoint.services.insert(replica.job).second)
			this->by_job[replica.job].push_back(placement.host);
	}
	for (const auto &[name, wave] : inState.waves)
	{
		if (wave.state != EWaveState::Running && wave.state != EWaveState::Paused)
			continue;
		for (const auto &[host, host_state] : wave.hosts)
			if (auto endpoint = this->endpoints.find(host); endpoint != this->endpoints.end() && host_state == EWaveHost::Pending)
				endpoint->second.will_leave = true;
	}
	// An endpoint without services is kept until its last request has ended
	std::erase_if(this->endpoints, [](const auto &inEntry) { return inEntry.second.services.empty() && inEntry.second.in_flight == 0; });
}

bool EndpointTable::HasSlot(const Endpoint &inEndpoint, bool inLong, Millis inNow) const
{
	if (!inEndpoint.takes_work || inEndpoint.leaving_until > inNow || inEndpoint.full_until > inNow)
		return false;
	if (inEndpoint.in_flight >= inEndpoint.limit)
		return false;
	// Long requests leave a quarter of the slots to the short requests on the same worker
	const uint32 long_limit = inEndpoint.has_short ? std::max<uint32>(1, inEndpoint.limit * 3 / 4) : inEndpoint.limit;
	return !inLong || inEndpoint.long_in_flight < long_limit;
}

bool EndpointTable::HasAny(const std::string &inJob) const
{
	auto hosts = this->by_job.find(inJob);
	if (hosts == this->by_job.end())
		return false;
	return std::any_of(hosts->second.begin(), hosts->second.end(),
					   [this](const std::string &inHost) { return this->endpoints.find(inHost)->second.takes_work; });
}

uint32 EndpointTable::CountOf(const std::string &inJob) const
{
	auto hosts = this->by_job.find(inJob);
	return hosts == this->by_job.end() ? 0 : static_cast<uint32>(hosts->second.size());
}

Endpoint *EndpointTable::Choose(const std::string &inJob, bool inLong, const std::string &inZone, const std::set<std::string> &inTried,
								Millis inNow)
{
	auto hosts = this->by_job.find(inJob);
	if (hosts == this->by_job.end())
		return nullptr;
	std::set<std::string> tried_racks;
	for (const std::string &host : inTried)
		if (const Endpoint *endpoint = this->Find(host); endpoint != nullptr)
			tried_racks.insert(endpoint->rack);
	// When every endpoint is ejected, ejection is ignored: an attempt is better than a certain refusal
	bool all_ejected = true;
	for (const std::string &host : hosts->second)
	{
		const Endpoint &endpoint = this->endpoints.find(host)->second;
		all_ejected = all_ejected && (!endpoint.takes_work || endpoint.ejected_until > inNow);
	}
	Endpoint *best = nullptr;
	std::array<double, 6> best_score{};
	for (const std::string &host : hosts->second)
	{
		Endpoint &endpoint = this->endpoints.find(host)->second;
		if (!this->HasSlot(endpoint, inLong, inNow))
			continue;
		if (!all_ejected && endpoint.ejected_until > inNow)
			continue;
		if (!all_ejected && endpoint.IsSuspect() && endpoint.in_flight > 0)
			continue;
		// Compared in this order, lowest first: not tried before, in a rack not tried before, in the own availability zone, not about to
		// leave (long requests), always equal, least loaded
		const std::array<double, 6> score = {
			inTried.count(host) != 0 ? 1.0 : 0.0,
			tried_racks.count(endpoint.rack) != 0 ? 1.0 : 0.0,
			endpoint.availability_zone == inZone ? 0.0 : 1.0,
			inLong && endpoint.will_leave ? 1.0 : 0.0,
			0.0,
			static_cast<double>(endpoint.in_flight + 1) / static_cast<double>(endpoint.limit),
		};
		if (best != nullptr && !(score < best_score))
			continue;
		best = &endpoint;
		best_score = score;
	}
	return best;
}

void EndpointTable::Started(Endpoint &ioEndpoint, bool inLong)
{
	LOOM_INVARIANT(ioEndpoint.takes_work, "no new work on an endpoint that is leaving");
	LOOM_INVARIANT(ioEndpoint.in_flight < ioEndpoint.limit, "an entry host stays within its share of slots");
	++ioEndpoint.in_flight;
	if (inLong)
		++ioEndpoint.long_in_flight;
}

void EndpointTable::Eject(Endpoint &ioEndpoint, Millis inNow)
{
	const Millis ejection_ms = std::min(cMaxEjectionMs, cFirstEjectionMs << std::min(ioEndpoint.ejections, cMaxEjectionShift));
	ioEndpoint.ejected_until = inNow + ejection_ms;
	++ioEndpoint.ejections;
	ioEndpoint.failures = 0;
}

void EndpointTable::Ended(const std::string &inHost, bool inLong, EAttempt inResult, Millis inNow)
{
	Endpoint *endpoint = this->Find(inHost);
	LOOM_INVARIANT(endpoint != nullptr && endpoint->in_flight > 0, "an attempt that ends was in flight");
	if (endpoint == nullptr || endpoint->in_flight == 0)
		return;
	--endpoint->in_flight;
	if (inLong)
		--endpoint->long_in_flight;
	switch (inResult)
	{
	case EAttempt::Answered:
		endpoint->failures = 0;
		endpoint->ejections = 0;
		endpoint->ejected_until = 0;
		break;
	case EAttempt::NotBegun: endpoint->full_until = inNow + cFullPauseMs; break;
	case EAttempt::Refused: this->Eject(*endpoint, inNow); break;
	case EAttempt::Broke:
	case EAttempt::TimedOut:
		// During probation one failure is enough
		if (++endpoint->failures >= cFailuresToEject || endpoint->IsSuspect())
			this->Eject(*endpoint, inNow);
		break;
	case EAttempt::Abandoned: break;
	}
	if (endpoint->services.empty() && endpoint->in_flight == 0)
		this->endpoints.erase(inHost);
}

void EndpointTable::RecordLeaving(const std::string &inHost, Millis inNow)
{
	if (Endpoint *endpoint = this->Find(inHost); endpoint != nullptr)
		endpoint->leaving_until = inNow + cLeavingRememberedMs;
}

Endpoint *EndpointTable::Find(const std::string &inHost)
{
	auto found = this->endpoints.find(inHost);
	return found == this->endpoints.end() ? nullptr : &found->second;
}

} // namespace Loomreach
