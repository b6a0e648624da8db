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
	void SetTeams(const Catalogue &inCatalogue) { this->limits.Update(inCatalogue); }
	const TeamLimits &Limits() const { return this->limits; }
	/// Adds a run that may exist from now on, and subtracts one that is known to be over. Runs of no team are not counted.
	void Add(const std::string &inTeam, const Resources &inRequested);
	void Subtract(const std::string &inTeam, const Resources &inRequested);
	/// Whether the team's share admits a run with these requested resources as well.
	bool HasCapacity(const std::string &inTeam, const Resources &inRequested, Millis inNow) const;

	/// Time of the next question for shares. `inShortOfShare`: a task has not fitted into its team's share since the last question.
	Millis NextQuestionAt(bool inShortOfShare) const;
	/// Builds the question to the fleet's owner; it returns the shares of idle teams. It is sent even if it lists no team, because a new
	/// owner of the fleet waits until it has heard from all cells.
	ShareQuestion BuildQuestion(uint64 inEpoch, const std::map<std::string, Resources> &inWanted, Millis inNow);
	/// Call when a host is known to own the fleet with this epoch. Returns whether it is a new owner: a question is due at once.
	bool OnFleetOwner(uint64 inFleetEpoch);
	/// Takes an answer; answers to older questions are ignored.
	void OnAnswer(const ShareAnswer &inAnswer, Millis inNow);

private:
	/// Use and share of one team.
	struct Share
	{
		Resources used;            ///< Of all runs that may exist.
		Resources held;            ///< Share that the cell holds.
		Millis last_active_at = 0; ///< When a question was last built with something used or wanted.
	};

	TeamLimits limits;
	std::map<std::string, Share> shares; ///< Teams that use, want or hold something in this cell, or have until recently.
	uint64 number = 0;                   ///< Of the newest question.
	uint64 fleet_epoch = 0;              ///< Highest epoch in an accepted answer.
	bool fleet_owner_changed = false;    ///< A new owner of the fleet has answered; it counts this cell as heard from at the next question.
	uint64 announced_fleet_epoch = 0;    ///< Highest epoch passed to OnFleetOwner.
	bool ask_at_once = false;            ///< A new owner of the fleet has not been asked yet, or only its first answer has arrived.
	Millis asked_at = -1;                ///< When the newest question was built; -1: none yet.
	Millis valid_until = 0;              ///< Until then the held shares may be used.
};

} // namespace Loomreach::Jobs
