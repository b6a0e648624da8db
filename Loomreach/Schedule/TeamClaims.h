// How the owners of cells and the fleet's owner share out what teams may have running over all pools.
//
// A team's limit holds over all cells, and each cell has an owner of its own. So the fleet's owner shares it out: a cell's owner tells what
// its teams have running and want, and is told how much they may have there. What keeps the limit, whatever is lost or late:
//  1. a cell starts nothing beyond what it holds, and holds no more than the newest answer to its newest question gave;
//  2. the fleet's owner counts a cell for the most that it may hold: what it said that it holds, and what it was answered since;
//  3. a new owner of a cell holds nothing, and counts every run that its log has;
//  4. a new owner of the fleet gives nothing more until it has heard of all cells, or all that was given before must be over;
//  5. heard of is a cell only by a question asked after an answer of that owner: an older one may have been on its way for seconds, and a
//     predecessor's answer may come in still.

#pragma once

#include <Loomreach/Job/JobSpec.h>

namespace Loomreach::Jobs
{

/// What a cell holds of a team's limit counts this long after the question was sent whose answer gave it. Longer than the fleet is without
/// an owner when that host is lost (1.5 s of lease and a claim).
inline constexpr Millis cShareGoodMs = 3000;

/// What one team has and wants in a cell.
struct TeamClaim
{
	std::string team;
	Resources used;   ///< Of all runs that may exist.
	Resources held;   ///< What the cell keeps itself to.
	Resources wanted; ///< Of what could start beside them.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->team, this->used, this->held, this->wanted);
	}
};

/// What a cell's owner tells. Teams that are not named have and hold nothing there.
struct ShareQuestion
{
	uint32 cell = 0;
	uint64 epoch = 0;       ///< Of the cell's owner.
	uint64 number = 0;      ///< Rises within the epoch.
	uint64 fleet_epoch = 0; ///< Highest epoch of a fleet's owner whose answer this one has taken; 0: none yet.
	std::vector<TeamClaim> claims;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->cell, this->epoch, this->number, this->fleet_epoch, this->claims);
	}
};

/// What a team may have running in the cell that asked.
struct TeamShare
{
	std::string team;
	Resources limit;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->team, this->limit);
	}
};

/// What the fleet's owner answers.
struct ShareAnswer
{
	uint64 number = 0;      ///< Of the question; 0: it was not taken.
	uint64 fleet_epoch = 0; ///< Of the owner that answers.
	std::vector<TeamShare> shares;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->number, this->fleet_epoch, this->shares);
	}
};

} // namespace Loomreach::Jobs
