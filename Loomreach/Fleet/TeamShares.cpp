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

bool TeamShares::KnowsAllGrants(Millis inNow) const
{
	// By then, a cell that has not asked holds nothing any more, and the runs that it started have ended
	if (inNow - this->began_at >= cShareValidMs + this->runs_ended_ms)
		return true;
	const auto has_asked = [this](uint32 inCell)
	{
		auto found = this->known_cells.find(inCell);
		return found != this->known_cells.end() && found->second.asked_this_owner;
	};
	return !this->cells.empty() && std::all_of(this->cells.begin(), this->cells.end(), has_asked);
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
	known = {inQuestion.epoch, inQuestion.number, inNow, asked_this_owner, std::move(teams)};
	answer.number = inQuestion.number;
	answer.fleet_epoch = this->epoch;
	const bool knows_all = this->KnowsAllGrants(inNow);
	for (auto &[team, known_team] : known.teams)
	{
		const Resources *limit = this->limits.Find(team);
		if (limit == nullptr)
			continue;
		Resources share = this->LimitOf(inQuestion.cell, known_team.claim, *limit, inNow);
		if (!knows_all || !asked_this_owner)
			share = MinOf(share, known_team.claim.held);
		known_team.may_hold = MaxOf(known_team.may_hold, share);
		answer.shares.push_back({team, share});
	}
	return answer;
}

} // namespace Loomreach::Jobs
