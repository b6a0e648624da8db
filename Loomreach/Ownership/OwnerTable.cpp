// Judges owners by their heartbeats.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Ownership/OwnerTable.h>

namespace Loomreach::Jobs
{

/// So many heartbeats of a host may be lost before it counts as gone.
static constexpr Millis cBeatsUntilSilent = 3;
/// Who is first in line is worked out anew this often, ms, and when a heartbeat changes it.
static constexpr Millis cHeirsKeptMs = 250;
/// Hosts that keep a replica: one may go together with the owner, or a datagram be lost.
static constexpr size_t cReplicas = 2;

HostBeat LetGoBeat(HostBeat inBeat, const std::optional<OwnedCell> &inFleet, Millis inOrderMs)
{
	inBeat.claims = false;
	inBeat.cells.clear();
	if (!inFleet.has_value())
		return inBeat;
	inBeat.cells.push_back(*inFleet);
	inBeat.lease_ms = inOrderMs;
	return inBeat;
}

void OwnerTable::OnBeat(const HostBeat &inBeat, Millis inNow)
{
	Heard &heard = this->hosts[inBeat.host];
	const bool same = heard.beat.life == inBeat.life && heard.beat.number >= inBeat.number;
	const bool older = heard.beat.life != inBeat.life && heard.beat.start > inBeat.start;
	if (!heard.beat.host.empty() && (same || older))
		return;
	const bool like_before = heard.beat.host == inBeat.host && heard.beat.cells.size() == inBeat.cells.size() &&
							 heard.beat.claims == inBeat.claims && heard.beat.weight == inBeat.weight;
	if (!like_before)
		this->heirs_at = cNeverWorkedOut;
	heard.beat = inBeat;
	heard.at = inNow;
	for (const OwnedCell &cell : inBeat.cells)
		if (cell.held)
			this->owned_once.insert(cell.cell);
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
		for (const OwnedCell &cell : heard.beat.cells)
			if (name != this->self && cell.cell == inCell && cell.held && cell.epoch > inEpoch)
				return true;
	return false;
}

std::optional<CellOwner> OwnerTable::LastOwnerOf(uint32 inCell) const
{
	std::optional<CellOwner> best;
	for (const auto &[name, heard] : this->hosts)
		for (const OwnedCell &cell : heard.beat.cells)
			if (cell.cell == inCell && cell.held && (!best.has_value() || cell.epoch > best->epoch))
				best = CellOwner{name, heard.beat.address, cell.epoch};
	return best;
}

std::optional<CellOwner> OwnerTable::OwnerOf(uint32 inCell, Millis inNow) const
{
	std::optional<CellOwner> owner = this->LastOwnerOf(inCell);
	if (owner.has_value() && inNow - this->hosts.at(owner->host).at > this->LeaseOf(this->hosts.at(owner->host)) + this->tuning.beat_ms)
		return std::nullopt;
	return owner;
}

std::vector<Address> OwnerTable::Helpers(uint32 inCell) const
{
	const std::optional<CellOwner> owner = this->LastOwnerOf(inCell);
	std::vector<std::tuple<bool, Millis, Address>> order;
	for (const auto &[name, heard] : this->hosts)
		if (name != this->self && heard.beat.claims)
			order.emplace_back(!owner.has_value() || owner->host != name, -heard.at, heard.beat.address);
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
		if (name != this->self && heard.beat.address.port != 0)
			others.push_back(heard.beat.address);
	return others;
}

std::vector<IdleHost> OwnerTable::IdleHosts(Millis inNow) const
{
	std::vector<IdleHost> idle;
	for (const auto &[name, heard] : this->hosts)
	{
		const HostBeat &beat = heard.beat;
		if (name != this->self && beat.claims && beat.cells.empty() && !beat.short_of_time && this->IsAtWork(heard, inNow))
			idle.push_back({beat.availability_zone, beat.address, beat.life});
	}
	return idle;
}

uint64 OwnerTable::StartsOf(const std::string &inHost) const
{
	auto heard = this->hosts.find(inHost);
	return heard == this->hosts.end() ? 0 : heard->second.beat.start;
}

uint32 OwnerTable::BeatPart(uint32 inParts, bool inOwner, Millis inNow) const
{
	if (inParts < 2)
		return inParts - 1;
	uint32 owners = 0;
	uint32 before = 0;
	for (const auto &[name, heard] : this->hosts)
	{
		const bool owns = !heard.beat.cells.empty() && this->IsAtWork(heard, inNow);
		owners += owns ? 1 : 0;
		before += owns && name < this->self ? 1 : 0;
	}
	if (inOwner)
		return before % (inParts - 1);
	// Hosts that all start at once wait for each other in one partition; no owner waits yet in the others
	const bool all_start = owners == 0 && !this->hosts.empty();
	return all_start ? static_cast<uint32>(HashBytes(this->self) % inParts) : inParts - 1;
}

bool OwnerTable::IsAtWork(const Heard &inHeard, Millis inNow) const
{
	return inNow - inHeard.at <= std::max(this->LeaseOf(inHeard), cBeatsUntilSilent * inHeard.beat.every_ms);
}

std::vector<std::string> OwnerTable::SilentFor(Millis inMillis, Millis inNow) const
{
	std::vector<std::string> silent;
	for (const auto &[name, heard] : this->hosts)
		if (name != this->self && inNow - heard.at > std::max(inMillis, cBeatsUntilSilent * heard.beat.every_ms))
			silent.push_back(name);
	return silent;
}

size_t OwnerTable::HostsAtWork(Millis inNow) const
{
	size_t count = 0;
	for (const auto &[name, heard] : this->hosts)
		count += this->IsAtWork(heard, inNow) ? 1 : 0;
	return std::max<size_t>(count, 1);
}

const std::set<std::string> &OwnerTable::Heirs(Millis inNow) const
{
	if (inNow - this->heirs_at < cHeirsKeptMs)
		return this->heirs;
	using Place = std::tuple<double, std::string_view, std::string_view>;
	std::vector<Place> order;
	std::map<std::string_view, uint32> in_zone;
	for (const auto &[name, heard] : this->hosts)
	{
		if (!heard.beat.claims || !this->IsAtWork(heard, inNow))
			continue;
		const double load = static_cast<double>(heard.beat.cells.size() + 1) / std::max<uint32>(heard.beat.weight, 1);
		order.emplace_back(load, name, heard.beat.availability_zone);
		in_zone[heard.beat.availability_zone] = 0;
	}
	std::sort(order.begin(), order.end());
	this->heirs.clear();
	this->heirs_at = inNow;
	const size_t zones = std::max<size_t>(in_zone.size(), 1);
	// What takes a zone away must leave others that are ready
	const size_t each = (this->tuning.heirs + zones - 1) / zones;
	for (const auto &[load, name, zone] : order)
		if (in_zone[zone]++ < each)
			this->heirs.emplace(name);
	return this->heirs;
}

bool OwnerTable::IsHeir(Millis inNow) const { return !this->hosts.contains(this->self) || this->Heirs(inNow).contains(this->self); }

std::vector<HostBeat> OwnerTable::OwnersBeats(Millis inNow) const
{
	std::vector<HostBeat> beats;
	for (const auto &[name, heard] : this->hosts)
		if (!heard.beat.cells.empty() && this->IsAtWork(heard, inNow))
			beats.push_back(heard.beat);
	return beats;
}

std::vector<Address> OwnerTable::WellInformed(Millis inNow) const
{
	const std::set<std::string> &first = this->Heirs(inNow);
	std::vector<Address> informed;
	for (const auto &[name, heard] : this->hosts)
	{
		const bool often = first.contains(name) || (!heard.beat.cells.empty() && this->IsAtWork(heard, inNow));
		if (often && name != this->self)
			informed.push_back(heard.beat.address);
	}
	return informed;
}

std::vector<Address> OwnerTable::ReplicaHosts(Millis inNow) const
{
	const std::set<std::string> &first = this->Heirs(inNow);
	// Each owner has an order of its own, so that replicas are shared out
	std::map<uint64, const HostBeat *, std::greater<>> order;
	for (const auto &[name, heard] : this->hosts)
	{
		const bool informed = first.contains(name) || !heard.beat.cells.empty();
		if (name != this->self && informed && heard.beat.address.port != 0 && this->IsAtWork(heard, inNow))
			order.emplace(RendezvousWeight(this->self, name), &heard.beat);
	}
	std::set<std::string_view> zones;
	auto own = this->hosts.find(this->self);
	if (own != this->hosts.end())
		zones.insert(own->second.beat.availability_zone);
	std::vector<Address> addresses;
	// In the second round hosts of zones that have one already, where there are no others
	for (const bool new_zones : {true, false})
		for (auto &[weight, beat] : order)
		{
			if (beat == nullptr || addresses.size() >= cReplicas || (new_zones && !zones.insert(beat->availability_zone).second))
				continue;
			addresses.push_back(beat->address);
			beat = nullptr;
		}
	return addresses;
}

Millis OwnerTable::IdleInterval(Millis inNow) const
{
	if (this->IsHeir(inNow))
		return this->tuning.beat_ms;
	// Not bounded from above: with twice the hosts, each of which reads all the others, the sum would be four times as large
	return std::max(this->tuning.beat_ms, static_cast<Millis>(this->HostsAtWork(inNow)) * this->tuning.idle_each_ms);
}

Millis OwnerTable::ReadInterval(bool inOwner, Millis inNow) const
{
	if (inOwner || this->IsHeir(inNow))
		return this->tuning.read_least_ms;
	return std::max(this->tuning.read_least_ms, static_cast<Millis>(this->HostsAtWork(inNow)) * this->tuning.read_each_ms);
}

uint64 OwnerTable::ToldEpoch(uint32 inCell) const
{
	uint64 told = 0;
	for (const auto &[name, heard] : this->hosts)
		for (const OwnedCell &cell : heard.beat.cells)
			if (cell.cell == inCell && cell.held)
				told = std::max(told, cell.epoch);
	return told;
}

bool OwnerTable::IsFree(uint32 inCell, Millis inNow) const
{
	const uint64 told = this->ToldEpoch(inCell);
	auto seen = this->claims.find(inCell);
	const uint64 newest = std::max(told, seen == this->claims.end() ? 0 : seen->second.claim.epoch);
	for (const auto &[name, heard] : this->hosts)
		for (const OwnedCell &cell : heard.beat.cells)
		{
			// Whoever claimed after it had waited for its lease. One without an epoch yet is only about to claim
			const bool superseded = cell.epoch != 0 && cell.epoch < newest;
			// An earlier life of this very host is over
			if (cell.cell == inCell && !superseded && name != this->self && inNow - heard.at <= this->LeaseOf(heard))
				return false;
		}
	return seen == this->claims.end() || !this->MayStand(seen->second, told, inNow);
}

bool OwnerTable::MayStand(const ClaimSeen &inSeen, uint64 inToldEpoch, Millis inNow) const
{
	const ClaimRecord &claim = inSeen.claim;
	// Whoever told of it holds it by its heartbeats alone
	if (claim.by.host == this->self || inToldEpoch >= claim.epoch)
		return false;
	auto found = this->hosts.find(claim.by.host);
	if (found != this->hosts.end())
	{
		const HostBeat &newest = found->second.beat;
		// A later process of the host is at work: the claimer has ended
		if (newest.start > claim.by.start)
			return false;
		// Sent after the claim, and without the cell: it was given back
		if (newest.life == claim.by.life && newest.number > claim.beat_number)
			return false;
	}
	// A claim that no heartbeat has told of may be a moment old
	return inNow - inSeen.at <= this->tuning.lease_ms;
}

bool OwnerTable::IsFirstStart() const
{
	return std::all_of(this->hosts.begin(), this->hosts.end(), [](const auto &inHost) { return inHost.second.beat.start <= 1; });
}

std::map<std::string, OwnerTable::Claimer> OwnerTable::Claimers(Millis inNow, size_t inOwn) const
{
	std::map<std::string, Claimer> claimers;
	for (const auto &[name, heard] : this->hosts)
	{
		if (!heard.beat.claims || !this->IsAtWork(heard, inNow))
			continue;
		const uint64 cells = name == this->self ? inOwn : heard.beat.cells.size();
		// A host that ran out of time would do so again with the cell it has just lost
		const uint64 more = heard.beat.short_of_time ? 1 : 0;
		claimers[name] = {cells + more, std::max<uint32>(heard.beat.weight, 1), heard.beat.availability_zone};
	}
	return claimers;
}

/// A cell goes where it is carried with less than this part of what its present owner carries: with equal hosts from three cells on to one
/// that has none, and never back.
static constexpr double cGiveOnPart = 0.5;

bool OwnerTable::ShouldGiveOn(size_t inOwn, Millis inNow)
{
	const std::map<std::string, Claimer> claimers = this->Claimers(inNow, inOwn);
	auto own = claimers.find(this->self);
	bool unfair = false;
	if (own != claimers.end() && inOwn > 0)
		for (const auto &[name, claimer] : claimers)
		{
			const double carried = static_cast<double>(inOwn) / own->second.weight;
			const double there = static_cast<double>(claimer.cells + 1) / claimer.weight;
			unfair = unfair || (name != this->self && there < carried * cGiveOnPart);
		}
	if (!unfair)
		this->unfair_since = -1;
	else if (this->unfair_since < 0)
		this->unfair_since = inNow;
	return unfair && inNow - this->unfair_since >= this->tuning.give_on_ms;
}

std::vector<uint32> OwnerTable::ToClaim(const std::set<uint32> &inCells, Millis inNow, size_t inOwn)
{
	// Cells of each host that is at work, and what free cells would add to it
	std::map<std::string, Claimer> claimers = this->Claimers(inNow, inOwn);
	std::map<std::string, uint64> in_zone;
	for (const auto &[name, claimer] : claimers)
		in_zone[claimer.availability_zone] += claimer.cells;
	const bool first_start = this->IsFirstStart();
	std::vector<uint32> wanted;
	this->claim_text.clear();
	for (uint32 cell : inCells)
	{
		if (!this->IsFree(cell, inNow))
		{
			this->free_since.erase(cell);
			continue;
		}
		// They see a free cell sooner than others that carry as little
		const std::set<std::string> &first = this->Heirs(inNow);
		using Place = std::tuple<double, bool, uint64, uint64, std::string>;
		std::vector<Place> order;
		order.reserve(claimers.size());
		for (const auto &[name, claimer] : claimers)
			order.emplace_back(static_cast<double>(claimer.cells + 1) / claimer.weight, !first.contains(name),
							   in_zone[claimer.availability_zone], RendezvousWeight(std::to_string(cell), name), name);
		std::sort(order.begin(), order.end());
		size_t rank = 0;
		while (rank < order.size() && std::get<std::string>(order[rank]) != this->self)
			++rank;
		const Millis since = this->free_since.try_emplace(cell, inNow).first->second;
		// After a restart the heartbeats of the hosts' earlier processes are there to be read
		const Millis first_wait = first_start && !this->WasOwned(cell) ? this->tuning.first_claim_ms : 0;
		const Millis wait = static_cast<Millis>(rank) * this->tuning.rank_ms + first_wait;
		const bool wants = rank < order.size() && inNow - since >= wait;
		if (!order.empty())
		{
			// Whoever takes it has one more when the next cell is looked at
			Claimer &taker = claimers[wants ? this->self : std::get<std::string>(order[0])];
			++taker.cells;
			++in_zone[taker.availability_zone];
		}
		if (!wants)
			continue;
		wanted.push_back(cell);
		this->claim_text += (this->claim_text.empty() ? "" : " ") + std::to_string(cell) + ":rank" + std::to_string(rank) + "of" +
							std::to_string(order.size()) + "/" + std::get<std::string>(order[0]) + "/" + std::to_string(inNow - since) +
							"ms";
	}
	return wanted;
}

} // namespace Loomreach::Jobs
