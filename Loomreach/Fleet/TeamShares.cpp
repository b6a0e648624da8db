// Divides the limits of teams among the cells.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Fleet/TeamShares.h>

namespace Loomreach::Jobs
{

/// The demand of a cell counts against other cells for this long after its last question: five question intervals (TeamUse.cpp).
static constexpr Millis cDemandFreshMs = 1000;

/// Share of its limit that a team uses, in thousandths, of the resource that is scarcest for it.
static int64 UsedPerMille(const Resources &inUsed, const Resources &inLimit)
{
	const Resources shares =
		ForEachResource(inUsed, inLimit, [](int64 inX, int64 inMost) { return inMost == 0 ? int64{0} : inX * int64{1000} / inMost; });
	return std::max({shares.cpu_milli, shares.memory_mb, shares.accelerators});
}

void TeamShares::SetTeams(const Catalogue &inCatalogue)
{
	if (!inCatalogue.teams.has_value())
		return;
	for (const auto &[name, team] : *inCatalogue.teams)
	{
		const Resources *before = this->limits.Find(name);
		if (before != nullptr && *before == team.limit)
			continue;
		LogEvent(ELogLevel::Info, "team_limit")
			.Field("team", name)
			.Field("version", inCatalogue.version)
			.Field("cpu_milli", team.limit.cpu_milli)
			.Field("memory_mb", team.limit.memory_mb)
			.Field("accelerators", team.limit.accelerators)
			.Field("weight", team.weight);
	}
	this->limits.Update(inCatalogue);
}

bool TeamShares::TakeOver(const ShareHandOver &inHandOver, uint64 inPrevious, Millis inNow)
{
	if (inHandOver.fleet_epoch == 0 || inHandOver.fleet_epoch != inPrevious || inPrevious >= this->epoch)
		return false;
	this->handed_over_by = inPrevious;
	for (const HandedOverCell &cell : inHandOver.cells)
	{
		KnownCell &known = this->known_cells[cell.cell];
		known = {cell.epoch, cell.number, inNow, true, {}};
		for (const HandedOverTeam &team : cell.teams)
			known.teams[team.claim.team] = {team.claim, team.may_hold};
	}
	return true;
}

ShareHandOver TeamShares::HandOver()
{
	this->handed_over = true;
	ShareHandOver hand_over;
	hand_over.fleet_epoch = this->epoch;
	for (const auto &[number, known] : this->known_cells)
	{
		// A cell that this owner has not heard from may hold what only an earlier owner knows
		if (!known.heard_from)
			continue;
		HandedOverCell &cell = hand_over.cells.emplace_back();
		cell.cell = number;
		cell.epoch = known.epoch;
		cell.number = known.number;
		for (const auto &[name, team] : known.teams)
			cell.teams.push_back({team.claim, team.may_hold});
	}
	return hand_over;
}

bool TeamShares::KnowsAllGrants(Millis inNow) const
{
	// By then, a cell that has not asked holds nothing any more, and the runs that it started have ended
	if (inNow - this->began_at >= cShareValidMs + this->runs_ended_ms)
		return true;
	const auto heard_from = [this](uint32 inCell)
	{
		auto found = this->known_cells.find(inCell);
		return found != this->known_cells.end() && found->second.heard_from;
	};
	return !this->cells.empty() && std::all_of(this->cells.begin(), this->cells.end(), heard_from);
}

bool TeamShares::Precedes(uint32 inOther, const TeamClaim &inOthers, uint32 inCell, const TeamClaim &inClaim, const Resources &inLimit)
{
	// The cell that uses the least goes first. So cells approach equal parts in whole tasks; a limit divided into equal parts could be
	// too small for a task in each of them
	const int64 other = UsedPerMille(inOthers.used, inLimit);
	const int64 own = UsedPerMille(inClaim.used, inLimit);
	return other != own ? other < own : inOther < inCell;
}

Resources TeamShares::LimitOf(uint32 inCell, const TeamClaim &inClaim, const Resources &inLimit, Millis inNow) const
{
	Resources demand = inClaim.used;
	demand.Add(inClaim.wanted);
	Resources free = inLimit;
	Resources left = inLimit;
	Resources spare = inLimit;
	spare.Subtract(demand);
	for (const auto &[cell, other_cell] : this->known_cells)
	{
		auto found = other_cell.teams.find(inClaim.team);
		if (cell == inCell || found == other_cell.teams.end())
			continue;
		const KnownTeam &other = found->second;
		free.Subtract(other.may_hold);
		const bool before =
			inNow - other_cell.heard_at < cDemandFreshMs && TeamShares::Precedes(cell, other.claim, inCell, inClaim, inLimit);
		left.Subtract(other.claim.used);
		spare.Subtract(other.claim.used);
		spare.Subtract(other.claim.wanted);
		if (before)
			left.Subtract(other.claim.wanted);
	}
	// Resources without demand are granted in advance, so that new work need not wait for an answer
	const auto cells = static_cast<int64>(std::max<size_t>(this->cells.size(), 1));
	const Resources in_advance =
		ForEachResource(spare, demand, [cells](int64 inSpare, int64) { return std::max<int64>(inSpare, 0) / cells; });
	demand.Add(in_advance);
	return MaxOf(MinOf(demand, MinOf(free, left)), Resources{});
}

ShareAnswer TeamShares::OnQuestion(const ShareQuestion &inQuestion, Millis inNow)
{
	ShareAnswer answer;
	KnownCell &known = this->known_cells[inQuestion.cell];
	// Questions and answers may be reordered, and a superseded owner may still ask
	if (inQuestion.fleet_epoch > this->epoch || inQuestion.epoch < known.epoch ||
		(inQuestion.epoch == known.epoch && inQuestion.number < known.number))
		return answer;
	const bool repeated = inQuestion.epoch == known.epoch && inQuestion.number == known.number;
	std::map<std::string, KnownTeam> teams;
	for (const TeamClaim &claim : inQuestion.claims)
	{
		KnownTeam &known_team = teams[claim.team];
		known_team.claim = claim;
		known_team.may_hold = MaxOf(claim.used, claim.held);
		// The answer to the first copy of the question may still be in flight
		if (auto earlier = known.teams.find(claim.team); repeated && earlier != known.teams.end())
			known_team.may_hold = MaxOf(known_team.may_hold, earlier->second.may_hold);
	}
	const bool asked_this_owner = inQuestion.fleet_epoch == this->epoch;
	// After its record the previous owner has granted nothing more, so its answers in transit do not matter
	const bool asked_previous_owner = known.heard_from && this->handed_over_by != 0 && inQuestion.fleet_epoch == this->handed_over_by;
	const bool may_grant = !this->handed_over && (asked_this_owner || asked_previous_owner);
	known = {inQuestion.epoch, inQuestion.number, inNow, known.heard_from || asked_this_owner, std::move(teams)};
	answer.number = inQuestion.number;
	answer.fleet_epoch = this->epoch;
	const bool knows_all = this->KnowsAllGrants(inNow);
	for (auto &[team, known_team] : known.teams)
	{
		const Resources *limit = this->limits.Find(team);
		if (limit == nullptr)
			continue;
		Resources share = this->LimitOf(inQuestion.cell, known_team.claim, *limit, inNow);
		if (!knows_all || !may_grant)
			share = MinOf(share, known_team.claim.held);
		known_team.may_hold = MaxOf(known_team.may_hold, share);
		answer.shares.push_back({team, share});
	}
	return answer;
}

} // namespace Loomreach::Jobs
