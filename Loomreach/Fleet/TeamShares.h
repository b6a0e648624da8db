// Shares out the teams' limits over the cells. Pure; the fleet cell's owner drives it. See TeamClaims.h for what keeps the limits.

#pragma once

#include <Loomreach/Schedule/TeamClaims.h>
#include <Loomreach/Schedule/TeamLimits.h>

namespace Loomreach::Jobs
{

/// See the head of the file.
class TeamShares
{
public:
	/// `inEpoch`: of this owner of the fleet, which began at `inNow`; `inRunsOverMs`: what nobody has asked for since runs no longer then.
	TeamShares(uint64 inEpoch, Millis inNow, Millis inRunsOverMs) : epoch(inEpoch), began_at(inNow), runs_over_ms(inRunsOverMs) {}

	void SetTeams(const Catalogue &inCatalogue);
	/// The cells that have pools.
	void SetCells(std::set<uint32> inCells) { this->cells = std::move(inCells); }
	/// A cell's owner asks. An answer with number 0: the question is older than what is known, or for a later owner of the fleet.
	ShareAnswer OnQuestion(const ShareQuestion &inQuestion, Millis inNow);

private:
	/// What is known of a team in a cell.
	struct Standing
	{
		TeamClaim claim;
		Resources most; ///< The most that the cell may hold.
	};
	/// What a cell's owner told last.
	struct CellStanding
	{
		uint64 epoch = 0;
		uint64 number = 0;
		Millis heard_at = 0;
		bool sure = false; ///< Whether it asked knowing of this owner.
		std::map<std::string, Standing> teams;
	};

	/// Whether nothing unknown of an earlier owner's shares can be left.
	bool KnowsAll(Millis inNow) const;
	/// What the cell may have of a team's limit.
	Resources LimitOf(uint32 inCell, const TeamClaim &inClaim, const Resources &inLimit, Millis inNow) const;
	/// Whether another cell's want goes before that of the cell that asks.
	static bool GoesBefore(uint32 inOther, const TeamClaim &inOthers, uint32 inCell, const TeamClaim &inClaim, const Resources &inLimit);

	uint64 epoch;
	Millis began_at;
	Millis runs_over_ms;
	TeamLimits limits;
	std::set<uint32> cells;
	std::map<uint32, CellStanding> standings;
};

} // namespace Loomreach::Jobs
