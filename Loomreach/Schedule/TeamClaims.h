// Messages by which the fleet's owner divides teams' limits among the cells.
//
// A team's limit applies to all cells together, but each cell has its own owner. A cell's owner reports what its teams use and want, and
// the fleet's owner answers with the share of each limit that the cell may use. The following rules keep the limit even if messages are
// lost or delayed:
//  1. A cell starts nothing beyond the share it holds. That share is at most what the newest answer to its newest question granted.
//  2. The fleet's owner counts a cell with the most that it may hold: what it reported to hold, or more if more was granted since.
//  3. A new owner of a cell holds no share, and counts every run in the cell's log as used.
//  4. A new owner of the fleet grants nothing more until it has heard from all cells, or until everything granted before has expired.
//  5. A cell counts as heard from only by a question that it sent after an answer of that owner. An older question may have been in
//     transit for seconds, and the cell may yet accept an answer of the previous owner. Once heard from, it stays so when it gets a new
//     owner: that owner claimed the cell after the fleet's owner had claimed the fleet, so no previous owner of the fleet has answered it.
//  6. In a planned hand-over the fleet's owner appends to the fleet cell's log what the cells that it has heard from may hold
//     (ShareHandOver). From then on it grants nothing more: a share in an answer is at most what the question says is held. So the cells
//     in the record hold at most what it lists, whichever later answers they accept.
//  7. A successor counts the cells in the record as heard from if the record's epoch is that of the newest claim before its own. Each
//     claim has a higher epoch, so the record is valid for that one successor only: a later owner, to which the successor's grants are
//     unknown, finds the successor's claim between the record and its own.

#pragma once

#include <Loomreach/Job/JobSpec.h>

namespace Loomreach::Jobs
{

/// A granted share is valid for this long after the question for it was sent. This exceeds the time that the fleet is without
/// an owner after the owner's host is lost (1.5 s of lease and a claim).
inline constexpr Millis cShareValidMs = 3000;

/// What one team uses, holds and wants in a cell.
struct TeamClaim
{
	std::string team;
	Resources used;   ///< Of all runs that may exist.
	Resources held;   ///< Share of the team's limit that the cell holds.
	Resources wanted; ///< Of the tasks that could start in addition.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->team, this->used, this->held, this->wanted);
	}
};

/// Question of a cell's owner. Teams that are not listed use and hold nothing in the cell.
struct ShareQuestion
{
	uint32 cell = 0;
	uint64 epoch = 0;       ///< Of the cell's owner.
	uint64 number = 0;      ///< Increases within the epoch.
	uint64 fleet_epoch = 0; ///< Highest epoch of a fleet's owner whose answer the cell's owner has accepted; 0: none yet.
	std::vector<TeamClaim> claims;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->cell, this->epoch, this->number, this->fleet_epoch, this->claims);
	}
};

/// Share of a team's limit for the cell that asked.
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

/// What one team may hold in a cell.
struct HandedOverTeam
{
	TeamClaim claim;    ///< As last reported.
	Resources may_hold; ///< The most that the cell may hold.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->claim, this->may_hold);
	}
};

/// A cell that the fleet's owner has heard from. Teams that are not listed use and hold nothing in it.
struct HandedOverCell
{
	uint32 cell = 0;
	uint64 epoch = 0;  ///< Of the cell's owner that asked last.
	uint64 number = 0; ///< Of its newest question.
	std::vector<HandedOverTeam> teams;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->cell, this->epoch, this->number, this->teams);
	}
};

/// What the fleet's owner leaves to its successor in a planned hand-over, by rules 6 and 7.
struct ShareHandOver
{
	uint64 fleet_epoch = 0; ///< Of the fleet's owner that hands over.
	std::vector<HandedOverCell> cells;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->fleet_epoch, this->cells);
	}
};

/// Answer of the fleet's owner.
struct ShareAnswer
{
	uint64 number = 0;      ///< Of the question; 0: the question was not accepted.
	uint64 fleet_epoch = 0; ///< Of the fleet's owner that answers.
	std::vector<TeamShare> shares;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->number, this->fleet_epoch, this->shares);
	}
};

} // namespace Loomreach::Jobs
