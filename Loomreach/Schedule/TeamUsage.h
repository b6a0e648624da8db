// Resources that teams use in one cell, and the shares of their limits that the cell holds. The rules are in TeamClaims.h.

#pragma once

#include <Loomreach/Schedule/TeamClaims.h>
#include <Loomreach/Schedule/TeamLimits.h>

namespace Loomreach::Jobs
{

/// Accounting of one cell; its owner asks the fleet's owner for shares through it.
class TeamUsage
{
public:
	void SetTeams(const Catalogue &inCatalogue) { this->limits.Take(inCatalogue); }
	const TeamLimits &Limits() const { return this->limits; }
	/// Adds a run that may exist from now on, and subtracts one that is known to be over. Runs of no team are not counted.
	void Add(const std::string &inTeam, const Resources &inRequested);
	void Subtract(const std::string &inTeam, const Resources &inRequested);
	/// Whether the team's share admits a run with these requested resources as well.
	bool HasRoom(const std::string &inTeam, const Resources &inRequested, Millis inNow) const;

	/// Time of the next request for shares. `inShortOfShare`: a task has not fitted into its team's share since the last request.
	Millis NextAskAt(bool inShortOfShare) const;
	/// Builds the request to the fleet's owner; it returns the shares of idle teams. It is sent even if it lists no team, because a new
	/// owner of the fleet waits until it has heard from all cells.
	ShareQuestion Ask(uint64 inEpoch, const std::map<std::string, Resources> &inWanted, Millis inNow);
	/// Takes an answer; answers to older requests are ignored.
	void OnAnswer(const ShareAnswer &inAnswer, Millis inNow);

private:
	/// Use and share of one team.
	struct Share
	{
		Resources used;            ///< Of all runs that may exist.
		Resources held;            ///< Share that the cell holds.
		Millis last_active_at = 0; ///< When a request was last built with something used or wanted.
	};

	TeamLimits limits;
	std::map<std::string, Share> shares; ///< Teams that use, want or hold something in this cell, or have until recently.
	uint64 number = 0;                   ///< Of the newest request.
	uint64 fleet_epoch = 0;              ///< Highest epoch in an accepted answer.
	bool fleet_owner_changed = false;    ///< A new owner of the fleet has answered; it counts this cell as heard from at the next request.
	Millis requested_at = -1;            ///< When the newest request was built; -1: none yet.
	Millis valid_until = 0;              ///< Until then the held shares may be used.
};

} // namespace Loomreach::Jobs
