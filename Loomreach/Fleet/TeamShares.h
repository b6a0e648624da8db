// Divides the limits of teams among the cells. Pure: does no I/O, time is passed in; the owner of the fleet cell drives it. TeamClaims.h
// has the rules that keep the limits.

#pragma once

#include <Loomreach/Schedule/TeamClaims.h>
#include <Loomreach/Schedule/TeamLimits.h>

namespace Loomreach::Jobs
{

/// Answers the questions of the cells; see the head of the file.
class TeamShares
{
public:
	/// `inEpoch`: epoch of this owner of the fleet cell, whose ownership began at `inNow`. `inRunsEndedMs`: runs for which no owner has
	/// asked since have ended after this long.
	TeamShares(uint64 inEpoch, Millis inNow, Millis inRunsEndedMs) : epoch(inEpoch), began_at(inNow), runs_ended_ms(inRunsEndedMs) {}

	/// Takes over what the previous owner has left, before the first question. `inPrevious`: epoch of the newest claim of the fleet cell
	/// before this owner's. Returns false, and changes nothing, if another owner has left it.
	bool TakeOver(const ShareHandOver &inHandOver, uint64 inPrevious, Millis inNow);
	/// Returns what the next owner needs to know. From then on nothing more is granted.
	ShareHandOver HandOver();
	/// Whether no question has been accepted and nothing taken over.
	bool IsEmpty() const { return this->known_cells.empty(); }
	/// Sets the limits of the teams; keeps the present ones if the catalogue has none.
	void SetTeams(const Catalogue &inCatalogue);
	/// Sets the cells that have pools.
	void SetCells(std::set<uint32> inCells) { this->cells = std::move(inCells); }
	/// Answers the owner of a cell. Answer number 0: the question is older than the newest one of the cell, or meant for a later owner of
	/// the fleet cell.
	ShareAnswer OnQuestion(const ShareQuestion &inQuestion, Millis inNow);

private:
	/// State of a team in a cell.
	struct KnownTeam
	{
		TeamClaim claim;
		Resources may_hold; ///< The most that the cell may hold.
	};
	/// The last question of the owner of a cell.
	struct KnownCell
	{
		uint64 epoch = 0;
		uint64 number = 0;
		Millis heard_at = 0;
		bool heard_from = false; ///< Whether this owner knows the most that the cell may hold (rules 5 and 7 in TeamClaims.h).
		std::map<std::string, KnownTeam> teams;
	};

	/// Whether everything that an earlier owner granted is known or has expired.
	bool KnowsAllGrants(Millis inNow) const;
	/// Part of the limit of a team that the cell may hold.
	Resources LimitOf(uint32 inCell, const TeamClaim &inClaim, const Resources &inLimit, Millis inNow) const;
	/// Whether the demand of another cell goes before that of the cell that asks.
	static bool Precedes(uint32 inOther, const TeamClaim &inOthers, uint32 inCell, const TeamClaim &inClaim, const Resources &inLimit);

	uint64 epoch;
	uint64 handed_over_by = 0; ///< Epoch of the owner whose record was taken over; 0: none.
	bool handed_over = false;  ///< Nothing more is granted.
	Millis began_at;
	Millis runs_ended_ms;
	TeamLimits limits;
	std::set<uint32> cells;
	std::map<uint32, KnownCell> known_cells;
};

} // namespace Loomreach::Jobs
