// What teams have running in one cell, and how much of their limits it holds. See TeamClaims.h for what keeps the limits.

#pragma once

#include <Loomreach/Schedule/TeamClaims.h>
#include <Loomreach/Schedule/TeamLimits.h>

namespace Loomreach::Jobs
{

/// See the head of the file.
class TeamUse
{
public:
	void SetTeams(const Catalogue &inCatalogue) { this->limits.Take(inCatalogue); }
	const TeamLimits &Limits() const { return this->limits; }
	/// A run that may exist from now on, and one that is known to be over. Of no team: counts for nobody.
	void Add(const std::string &inTeam, const Resources &inNeed);
	void Subtract(const std::string &inTeam, const Resources &inNeed);
	/// Whether a team may have this much more running.
	bool HasRoom(const std::string &inTeam, const Resources &inNeed, Millis inNow) const;

	/// When to ask for shares next; `inShort`: something has found no room in its team's share since the last question.
	Millis NextAskAt(bool inShort) const;
	/// The question to the fleet's owner: gives back the shares of idle teams. Also with nothing to tell: a new owner of the fleet waits
	/// until it has heard of all cells.
	ShareQuestion Ask(uint64 inEpoch, const std::map<std::string, Resources> &inWanted, Millis inNow);
	/// An answer, if one came.
	void OnAnswer(const ShareAnswer &inAnswer, Millis inNow);

private:
	/// Of one team.
	struct Share
	{
		Resources used;
		Resources held;
		Millis busy_at = 0; ///< When a question last told of something used or wanted.
	};

	TeamLimits limits;
	std::map<std::string, Share> shares; ///< Of teams that have or hold something here.
	uint64 number = 0;                   ///< Of the newest question.
	uint64 fleet_epoch = 0;              ///< Highest epoch of an answer that was taken.
	bool unknown_to_fleet = false;       ///< A new owner of the fleet has answered, and counts on this cell from the next question on.
	Millis asked_at = -1;                ///< When it was sent; -1: none yet.
	Millis good_until = 0;               ///< What is held counts until then.
};

} // namespace Loomreach::Jobs
