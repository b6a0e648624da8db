// Judges owners by their heartbeats.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Ownership/OwnerTable.h>

namespace Loomreach::Jobs
{

void OwnerTable::OnBeat(const HostBeat &inBeat, Millis inNow)
{
	Heard &heard = this->hosts[inBeat.host];
	const bool same = heard.beat.life == inBeat.life && heard.beat.number >= inBeat.number && !heard.beat.host.empty();
	if (same)
		return;
	heard.beat = inBeat;
	heard.at = inNow;
}

void OwnerTable::OnClaimSeen(uint32 inCell, const std::string &inHost, uint64 inEpoch, Millis inNow)
{
	ClaimSeen &claim = this->claims[inCell];
	if (claim.epoch >= inEpoch && claim.epoch != 0)
		return;
	claim = {inHost, inEpoch, inNow};
}

std::optional<CellOwner> OwnerTable::OwnerOf(uint32 inCell, Millis inNow) const
{
	std::optional<CellOwner> best;
	for (const auto &[name, heard] : this->hosts)
		for (const OwnedCell &cell : heard.beat.cells)
		{
			const bool fresh = inNow - heard.at <= this->tuning.lease_ms + this->tuning.beat_ms;
			if (cell.cell == inCell && fresh && (!best.has_value() || cell.epoch > best->epoch))
				best = CellOwner{name, heard.beat.address, cell.epoch};
		}
	return best;
}

bool OwnerTable::IsFree(uint32 inCell, Millis inNow) const
{
	uint64 beaten = 0;
	for (const auto &[name, heard] : this->hosts)
		for (const OwnedCell &cell : heard.beat.cells)
		{
			if (cell.cell != inCell)
				continue;
			beaten = std::max(beaten, cell.epoch);
			// An earlier life of this very host is over
			if (name != this->self && inNow - heard.at <= this->tuning.lease_ms)
				return false;
		}
	// A claim that no heartbeat has told of may be a moment old
	auto claim = this->claims.find(inCell);
	if (claim == this->claims.end() || claim->second.host == this->self)
		return true;
	auto claimer = this->hosts.find(claim->second.host);
	const bool heard_later = claimer != this->hosts.end() && claimer->second.at > claim->second.at;
	return beaten >= claim->second.epoch || heard_later || inNow - claim->second.at > this->tuning.lease_ms;
}

bool OwnerTable::ShouldClaim(uint32 inCell, size_t inOwned, uint64 inDraw, Millis inNow)
{
	if (!this->IsFree(inCell, inNow))
	{
		this->free_since.erase(inCell);
		return false;
	}
	auto [since, is_new] = this->free_since.try_emplace(inCell, inNow);
	if (is_new)
		this->claim_delay[inCell] = static_cast<Millis>(inDraw % static_cast<uint64>(this->tuning.jitter_ms));
	return inNow - since->second >= this->claim_delay[inCell] + static_cast<Millis>(inOwned) * this->tuning.spread_ms;
}

} // namespace Loomreach::Jobs
