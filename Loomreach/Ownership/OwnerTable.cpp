// Evaluates the heartbeats of hosts: who owns a cell, who is live, who claims next.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Ownership/OwnerTable.h>

namespace Loomreach::Jobs
{

/// A host counts as unresponsive after this many of its heartbeat intervals without a heartbeat.
static constexpr Millis cHeartbeatsUntilUnresponsive = 3;
/// The candidate successors are computed again after this long, and when a heartbeat changes them.
static constexpr Millis cSuccessorsValidMs = 250;
/// Number of hosts that keep a replica: one may be lost together with the owner, or a datagram be lost.
static constexpr size_t cReplicas = 2;

HostHeartbeat MakeReleaseHeartbeat(HostHeartbeat inHeartbeat, const std::optional<OwnedCell> &inFleet, Millis inOrderMs)
{
	inHeartbeat.claims = false;
	inHeartbeat.cells.clear();
	if (!inFleet.has_value())
		return inHeartbeat;
	inHeartbeat.cells.push_back(*inFleet);
	inHeartbeat.lease_ms = inOrderMs;
	return inHeartbeat;
}

void OwnerTable::OnHeartbeat(const HostHeartbeat &inHeartbeat, Millis inNow)
{
	HeardHost &heard = this->hosts[inHeartbeat.host];
	const bool same = heard.heartbeat.incarnation == inHeartbeat.incarnation && heard.heartbeat.number >= inHeartbeat.number;
	const bool older = heard.heartbeat.incarnation != inHeartbeat.incarnation && heard.heartbeat.start > inHeartbeat.start;
	if (!heard.heartbeat.host.empty() && (same || older))
		return;
	const bool unchanged = heard.heartbeat.host == inHeartbeat.host && heard.heartbeat.cells.size() == inHeartbeat.cells.size() &&
						   heard.heartbeat.claims == inHeartbeat.claims && heard.heartbeat.weight == inHeartbeat.weight;
	if (!unchanged)
		this->successors_at = cNeverComputed;
	heard.heartbeat = inHeartbeat;
	heard.at = inNow;
	for (const OwnedCell &cell : inHeartbeat.cells)
	{
		if (!cell.held)
			continue;
		this->ever_owned.insert(cell.cell);
		ClosedPoolsHeard &closed = this->closed_pools[cell.cell];
		if (cell.epoch >= closed.epoch)
			closed = {cell.epoch, cell.closed_pools, inNow};
	}
}

std::optional<ClosedPoolsReport> OwnerTable::ClosedPoolsOf(uint32 inCell, Millis inNow) const
{
	auto heard = this->closed_pools.find(inCell);
	if (heard == this->closed_pools.end())
		return std::nullopt;
	return ClosedPoolsReport{heard->second.pools, inNow - heard->second.at};
}

void OwnerTable::OnClaimSeen(uint32 inCell, const ClaimRecord &inClaim, Millis inNow)
{
	ClaimSeen &seen = this->claims[inCell];
	if (seen.claim.epoch >= inClaim.epoch && seen.claim.epoch != 0)
		return;
	seen = {inClaim, inNow};
}

bool OwnerTable::IsSuperseded(uint32 inCell, uint64 inEpoch) const
{
	for (const auto &[name, heard] : this->hosts)
		for (const OwnedCell &cell : heard.heartbeat.cells)
			if (name != this->self && cell.cell == inCell && cell.held && cell.epoch > inEpoch)
				return true;
	return false;
}

std::optional<CellOwner> OwnerTable::LastOwnerOf(uint32 inCell) const
{
	std::optional<CellOwner> best;
	for (const auto &[name, heard] : this->hosts)
		for (const OwnedCell &cell : heard.heartbeat.cells)
			if (cell.cell == inCell && cell.held && (!best.has_value() || cell.epoch > best->epoch))
				best = CellOwner{name, heard.heartbeat.address, cell.epoch, heard.heartbeat.incarnation};
	return best;
}

std::optional<CellOwner> OwnerTable::OwnerOf(uint32 inCell, Millis inNow) const
{
	std::optional<CellOwner> owner = this->LastOwnerOf(inCell);
	if (owner.has_value() &&
		inNow - this->hosts.at(owner->host).at > this->LeaseOf(this->hosts.at(owner->host)) + this->tuning.heartbeat_interval_ms)
		return std::nullopt;
	return owner;
}

std::optional<Millis> OwnerTable::NextLeaseExpiry(Millis inNow) const
{
	std::optional<Millis> next;
	for (const auto &[name, heard] : this->hosts)
	{
		// An expired lease is noticed at every read, until its cells are claimed
		const Millis left = heard.at + this->LeaseOf(heard) + 1 - inNow;
		if (name != this->self && !heard.heartbeat.cells.empty() && left > 0)
			next = std::min(left, next.value_or(left));
	}
	return next;
}

std::vector<Address> OwnerTable::Helpers(uint32 inCell) const
{
	const std::optional<CellOwner> owner = this->LastOwnerOf(inCell);
	std::vector<std::tuple<bool, Millis, Address>> order;
	for (const auto &[name, heard] : this->hosts)
		if (name != this->self && heard.heartbeat.claims)
			order.emplace_back(!owner.has_value() || owner->host != name, -heard.at, heard.heartbeat.address);
	std::sort(order.begin(), order.end());
	std::vector<Address> helpers;
	helpers.reserve(order.size());
	for (const auto &[is_other, at, address] : order)
		helpers.push_back(address);
	return helpers;
}

std::vector<Address> OwnerTable::Others() const
{
	std::vector<Address> others;
	for (const auto &[name, heard] : this->hosts)
		if (name != this->self && heard.heartbeat.address.port != 0)
			others.push_back(heard.heartbeat.address);
	return others;
}

std::vector<CollectorHost> OwnerTable::Collectors(uint32 inCell, Millis inNow) const
{
	const std::optional<CellOwner> owner = this->LastOwnerOf(inCell);
	std::vector<CollectorHost> collectors;
	collectors.reserve(this->hosts.size());
	for (const auto &[name, heard] : this->hosts)
	{
		if (name == this->self || !heard.heartbeat.claims || heard.heartbeat.address.port == 0)
			continue;
		CollectorHost &host = collectors.emplace_back();
		host.name = name;
		host.address = heard.heartbeat.address;
		host.incarnation = heard.heartbeat.incarnation;
		host.is_owner = owner.has_value() && owner->host == name;
		host.is_live = this->IsLive(heard, inNow);
	}
	return collectors;
}

std::vector<IdleHost> OwnerTable::IdleHosts(Millis inNow) const
{
	std::vector<IdleHost> idle;
	for (const auto &[name, heard] : this->hosts)
	{
		const HostHeartbeat &heartbeat = heard.heartbeat;
		if (name != this->self && heartbeat.claims && heartbeat.cells.empty() && !heartbeat.short_of_processor_time &&
			this->IsLive(heard, inNow))
			idle.push_back({heartbeat.availability_zone, heartbeat.address, heartbeat.incarnation});
	}
	return idle;
}

uint64 OwnerTable::StartCountOf(const std::string &inHost) const
{
	auto heard = this->hosts.find(inHost);
	return heard == this->hosts.end() ? 0 : heard->second.heartbeat.start;
}

uint32 OwnerTable::HeartbeatPartition(uint32 inPartitions, bool inOwner, Millis inNow) const
{
	if (inPartitions < 2)
		return inPartitions - 1;
	uint32 owners = 0;
	uint32 before = 0;
	for (const auto &[name, heard] : this->hosts)
	{
		const bool owns = !heard.heartbeat.cells.empty() && this->IsLive(heard, inNow);
		owners += owns ? 1 : 0;
		before += owns && name < this->self ? 1 : 0;
	}
	if (inOwner)
		return before % (inPartitions - 1);
	// Hosts that all start at the same time would queue behind each other in one partition; there is no owner yet that the others would
	// delay
	const bool all_start = owners == 0 && !this->hosts.empty();
	return all_start ? static_cast<uint32>(HashBytes(this->self) % inPartitions) : inPartitions - 1;
}

bool OwnerTable::IsLive(const HeardHost &inHeard, Millis inNow) const
{
	return inNow - inHeard.at <= std::max(this->LeaseOf(inHeard), cHeartbeatsUntilUnresponsive * inHeard.heartbeat.interval_ms);
}

std::vector<std::string> OwnerTable::UnresponsiveFor(Millis inMillis, Millis inNow) const
{
	std::vector<std::string> silent;
	for (const auto &[name, heard] : this->hosts)
		if (name != this->self && inNow - heard.at > std::max(inMillis, cHeartbeatsUntilUnresponsive * heard.heartbeat.interval_ms))
			silent.push_back(name);
	return silent;
}

size_t OwnerTable::LiveHostCount(Millis inNow) const
{
	size_t count = 0;
	for (const auto &[name, heard] : this->hosts)
		count += this->IsLive(heard, inNow) ? 1 : 0;
	return std::max<size_t>(count, 1);
}

const std::set<std::string> &OwnerTable::CandidateSuccessors(Millis inNow) const
{
	if (inNow - this->successors_at < cSuccessorsValidMs)
		return this->candidate_successors;
	using Rank = std::tuple<double, std::string_view, std::string_view>;
	std::vector<Rank> order;
	std::map<std::string_view, uint32> in_zone;
	for (const auto &[name, heard] : this->hosts)
	{
		if (!heard.heartbeat.claims || !this->IsLive(heard, inNow))
			continue;
		const double load = static_cast<double>(heard.heartbeat.cells.size() + 1) / std::max<uint32>(heard.heartbeat.weight, 1);
		order.emplace_back(load, name, heard.heartbeat.availability_zone);
		in_zone[heard.heartbeat.availability_zone] = 0;
	}
	std::sort(order.begin(), order.end());
	this->candidate_successors.clear();
	this->successors_at = inNow;
	const size_t zones = std::max<size_t>(in_zone.size(), 1);
	// The loss of a zone must leave candidates in other zones
	const size_t each = (this->tuning.candidate_successors + zones - 1) / zones;
	for (const auto &[load, name, zone] : order)
		if (in_zone[zone]++ < each)
			this->candidate_successors.emplace(name);
	return this->candidate_successors;
}

bool OwnerTable::IsCandidateSuccessor(Millis inNow) const
{
	return !this->hosts.contains(this->self) || this->CandidateSuccessors(inNow).contains(this->self);
}

std::vector<HostHeartbeat> OwnerTable::OwnerHeartbeats(Millis inNow) const
{
	std::vector<HostHeartbeat> heartbeats;
	for (const auto &[name, heard] : this->hosts)
		if (!heard.heartbeat.cells.empty() && this->IsLive(heard, inNow))
			heartbeats.push_back(heard.heartbeat);
	return heartbeats;
}

std::vector<Address> OwnerTable::FrequentReaders(Millis inNow) const
{
	const std::set<std::string> &first = this->CandidateSuccessors(inNow);
	std::vector<Address> informed;
	for (const auto &[name, heard] : this->hosts)
	{
		const bool reads_often = first.contains(name) || (!heard.heartbeat.cells.empty() && this->IsLive(heard, inNow));
		if (reads_often && name != this->self)
			informed.push_back(heard.heartbeat.address);
	}
	return informed;
}

std::vector<Address> OwnerTable::ReplicaHosts(Millis inNow) const
{
	const std::set<std::string> &first = this->CandidateSuccessors(inNow);
	// Each owner ranks the hosts in an order of its own, which spreads the replicas over them
	std::map<uint64, const HostHeartbeat *, std::greater<>> order;
	for (const auto &[name, heard] : this->hosts)
	{
		const bool informed = first.contains(name) || !heard.heartbeat.cells.empty();
		if (name != this->self && informed && heard.heartbeat.address.port != 0 && this->IsLive(heard, inNow))
			order.emplace(RendezvousWeight(this->self, name), &heard.heartbeat);
	}
	std::set<std::string_view> zones;
	auto own = this->hosts.find(this->self);
	if (own != this->hosts.end())
		zones.insert(own->second.heartbeat.availability_zone);
	std::vector<Address> addresses;
	// The second pass takes further hosts of the same zones where no other zones are left
	for (const bool new_zones : {true, false})
		for (auto &[weight, heartbeat] : order)
		{
			if (heartbeat == nullptr || addresses.size() >= cReplicas || (new_zones && !zones.insert(heartbeat->availability_zone).second))
				continue;
			addresses.push_back(heartbeat->address);
			heartbeat = nullptr;
		}
	return addresses;
}

Millis OwnerTable::IdleInterval(Millis inNow) const
{
	if (this->IsCandidateSuccessor(inNow))
		return this->tuning.heartbeat_interval_ms;
	// There is no upper bound: with twice the hosts, each of which reads all the others, the total would be four times as large
	return std::max(this->tuning.heartbeat_interval_ms,
					static_cast<Millis>(this->LiveHostCount(inNow)) * this->tuning.idle_interval_per_host_ms);
}

Millis OwnerTable::ReadInterval(bool inOwner, Millis inNow) const
{
	if (inOwner || this->IsCandidateSuccessor(inNow))
		return this->tuning.min_read_interval_ms;
	return std::max(this->tuning.min_read_interval_ms,
					static_cast<Millis>(this->LiveHostCount(inNow)) * this->tuning.read_interval_per_host_ms);
}

uint64 OwnerTable::HighestHeardEpoch(uint32 inCell) const
{
	uint64 heard_epoch = 0;
	for (const auto &[name, heard] : this->hosts)
		for (const OwnedCell &cell : heard.heartbeat.cells)
			if (cell.cell == inCell && cell.held)
				heard_epoch = std::max(heard_epoch, cell.epoch);
	return heard_epoch;
}

bool OwnerTable::IsFree(uint32 inCell, Millis inNow) const
{
	const uint64 heard_epoch = this->HighestHeardEpoch(inCell);
	auto seen = this->claims.find(inCell);
	const uint64 newest = std::max(heard_epoch, seen == this->claims.end() ? 0 : seen->second.claim.epoch);
	for (const auto &[name, heard] : this->hosts)
		for (const OwnedCell &cell : heard.heartbeat.cells)
		{
			// A host that claimed after it had waited for its lease. An entry without an epoch yet is only about to claim
			const bool superseded = cell.epoch != 0 && cell.epoch < newest;
			// An earlier process of this host has ended
			if (cell.cell == inCell && !superseded && name != this->self && inNow - heard.at <= this->LeaseOf(heard))
				return false;
		}
	return seen == this->claims.end() || !this->MayStillHold(seen->second, heard_epoch, inNow);
}

bool OwnerTable::MayStillHold(const ClaimSeen &inSeen, uint64 inHeardEpoch, Millis inNow) const
{
	const ClaimRecord &claim = inSeen.claim;
	// Once a heartbeat has listed the cell, the heartbeats alone decide
	if (claim.by.host == this->self || inHeardEpoch >= claim.epoch)
		return false;
	auto found = this->hosts.find(claim.by.host);
	if (found != this->hosts.end())
	{
		const HostHeartbeat &newest = found->second.heartbeat;
		// A later process of the host is running: the claimer has ended
		if (newest.start > claim.by.start)
			return false;
		// Sent after the claim and without the cell: the cell was released
		if (newest.incarnation == claim.by.incarnation && newest.number > claim.heartbeat_number)
			return false;
	}
	// A claim that no heartbeat has listed yet may have been made just now
	return inNow - inSeen.at <= this->tuning.lease_ms;
}

bool OwnerTable::IsFirstStart() const
{
	return std::all_of(this->hosts.begin(), this->hosts.end(), [](const auto &inHost) { return inHost.second.heartbeat.start <= 1; });
}

std::map<std::string, OwnerTable::Claimer> OwnerTable::Claimers(Millis inNow, size_t inOwn) const
{
	std::map<std::string, Claimer> claimers;
	for (const auto &[name, heard] : this->hosts)
	{
		if (!heard.heartbeat.claims || !this->IsLive(heard, inNow))
			continue;
		const uint64 cells = name == this->self ? inOwn : heard.heartbeat.cells.size();
		// A host that ran out of processor time would do so again with the cell that it has just lost
		const uint64 more = heard.heartbeat.short_of_processor_time ? 1 : 0;
		claimers[name] = {cells + more, std::max<uint32>(heard.heartbeat.weight, 1), heard.heartbeat.availability_zone};
	}
	return claimers;
}

/// A cell is handed over where it would be carried with less than this ratio of its present owner's load: with equal hosts, from one with
/// at least three cells to one with none, and never back.
static constexpr double cHandOverLoadRatio = 0.5;

bool OwnerTable::ShouldHandOver(size_t inOwn, Millis inNow)
{
	const std::map<std::string, Claimer> claimers = this->Claimers(inNow, inOwn);
	auto own = claimers.find(this->self);
	bool overloaded = false;
	if (own != claimers.end() && inOwn > 0)
		for (const auto &[name, claimer] : claimers)
		{
			const double own_load = static_cast<double>(inOwn) / own->second.weight;
			const double other_load = static_cast<double>(claimer.cells + 1) / claimer.weight;
			overloaded = overloaded || (name != this->self && other_load < own_load * cHandOverLoadRatio);
		}
	if (!overloaded)
		this->overloaded_since = -1;
	else if (this->overloaded_since < 0)
		this->overloaded_since = inNow;
	return overloaded && inNow - this->overloaded_since >= this->tuning.hand_over_after_ms;
}

std::vector<uint32> OwnerTable::CellsToClaim(const std::set<uint32> &inCells, Millis inNow, size_t inOwn)
{
	// Cells of each live host, and those that it would gain from the free cells
	std::map<std::string, Claimer> claimers = this->Claimers(inNow, inOwn);
	std::map<std::string, uint64> in_zone;
	for (const auto &[name, claimer] : claimers)
		in_zone[claimer.availability_zone] += claimer.cells;
	const bool first_start = this->IsFirstStart();
	std::vector<uint32> wanted;
	this->claim_reasons.clear();
	for (uint32 cell : inCells)
	{
		if (!this->IsFree(cell, inNow))
		{
			this->free_since.erase(cell);
			continue;
		}
		// Candidate successors notice a free cell sooner than other hosts with the same load
		const std::set<std::string> &first = this->CandidateSuccessors(inNow);
		using Rank = std::tuple<double, bool, uint64, uint64, std::string>;
		std::vector<Rank> order;
		order.reserve(claimers.size());
		for (const auto &[name, claimer] : claimers)
			order.emplace_back(static_cast<double>(claimer.cells + 1) / claimer.weight, !first.contains(name),
							   in_zone[claimer.availability_zone], RendezvousWeight(std::to_string(cell), name), name);
		std::sort(order.begin(), order.end());
		size_t rank = 0;
		while (rank < order.size() && std::get<std::string>(order[rank]) != this->self)
			++rank;
		const Millis since = this->free_since.try_emplace(cell, inNow).first->second;
		// After a restart, the heartbeats of the hosts' earlier processes can still be read
		const Millis first_wait = first_start && !this->WasOwned(cell) ? this->tuning.first_claim_delay_ms : 0;
		const Millis wait = static_cast<Millis>(rank) * this->tuning.rank_delay_ms + first_wait;
		const bool claims_now = rank < order.size() && inNow - since >= wait;
		if (!order.empty())
		{
			// The host that takes it counts with one cell more for the next cell
			Claimer &next_owner = claimers[claims_now ? this->self : std::get<std::string>(order[0])];
			++next_owner.cells;
			++in_zone[next_owner.availability_zone];
		}
		if (!claims_now)
			continue;
		wanted.push_back(cell);
		this->claim_reasons += (this->claim_reasons.empty() ? "" : " ") + std::to_string(cell) + ":rank" + std::to_string(rank) + "of" +
							   std::to_string(order.size()) + "/" + std::get<std::string>(order[0]) + "/" + std::to_string(inNow - since) +
							   "ms";
	}
	return wanted;
}

} // namespace Loomreach::Jobs
