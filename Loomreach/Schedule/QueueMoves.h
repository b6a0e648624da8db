// Messages about a queue that a newer configuration has placed in another cell: between the owners of the two cells, and in the log of host
// heartbeats, where every cell that takes jobs of a queue is registered.

#pragma once

#include <Loomreach/Schedule/Catalogue.h>
#include <Loomreach/Schedule/CellTypes.h>

namespace Loomreach::Jobs
{

/// Identifies a queue by what callers address, its host and path prefix. A queue that is removed and added again, also under another name,
/// is the same one.
using QueueKey = uint64;

QueueKey KeyOf(const Queue &inQueue);

/// A cell that takes jobs of a queue, or did.
struct QueueSite
{
	QueueKey queue = 0;
	uint32 cell = 0;
	int64 version = 0; ///< Version of the configuration that placed the queue there.
	std::string pool;  ///< Pool of the queue in that version.

	bool operator==(const QueueSite &) const = default;
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->queue, this->cell, this->version, this->pool);
	}
};

/// From the owner of a queue's current cell to the owner of a former one, which takes no new jobs of the queue from then on.
struct MoveQuestion
{
	QueueSite site; ///< The current cell.
	uint32 former = 0;
	std::vector<std::string> jobs; ///< Ids of jobs that the current cell does not know.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->site, this->former, this->jobs);
	}
};

/// The answer to a MoveQuestion.
struct MoveAnswer
{
	QueueSite site;      ///< Where the former cell knows the queue to be; a newer version than that of the question takes precedence.
	bool fenced = false; ///< Its log says that it takes no new jobs of the queue. Only then may the current cell take those that it lacks.
	bool holds_jobs = true;         ///< It must still be asked: it has jobs of the queue, or may have been handed some a short while ago.
	std::vector<std::string> known; ///< The jobs of the question that it has.
	std::map<std::string, EarlyCancels> canceled; ///< Of the other ones, those whose cancellations it has got.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->site, this->fenced, this->holds_jobs, this->known, this->canceled);
	}
};

/// What a cell tells about a queue besides its own jobs.
struct QueueStatus
{
	bool current = false;       ///< It is the current cell, as of `version`.
	int64 version = 0;          ///< Version of the configuration that the status is of.
	std::vector<uint32> others; ///< Other cells that may have jobs of the queue, or may know more about it.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->current, this->version, this->others);
	}
};

/// Collects what cells say about a job, or about the number of jobs, of a queue. A job that none of them has does not exist if all were
/// sure of their own jobs, and one of them was the current cell in the newest version that any of them knew.
class QueueSearch
{
public:
	/// `inVersion`: version of the configuration by which the first cell was chosen.
	explicit QueueSearch(uint32 inFirst, int64 inVersion) : to_ask({inFirst}), newest_version(inVersion) {}

	/// Cells to ask now; each is returned once.
	std::vector<uint32> TakeCells();
	/// Version that an asked cell must know in order to be sure.
	int64 Version() const { return this->newest_version; }
	/// The answer of a cell that does not have the job. `inSure`: it can tell which jobs it has.
	void OnAnswer(bool inSure, const QueueStatus &inStatus);
	/// Whether no cell has the job, once all cells have answered.
	bool IsCertain() const { return this->all_sure && this->current_version >= this->newest_version; }

private:
	std::set<uint32> to_ask;
	std::set<uint32> asked;
	bool all_sure = true;
	int64 newest_version;
	int64 current_version = -1; ///< Newest version as of which a cell has said that it is the current one.
};

/// All registered sites, by queue and cell.
class QueueRegistry
{
public:
	/// Key under which a site is registered in the log of host heartbeats.
	static std::string LogKey(const QueueSite &inSite);
	/// Whether a key of that log is such a key, not a host's name.
	static bool IsLogKey(std::string_view inKey);

	/// Adds a site, or replaces an older version of it.
	void Add(const QueueSite &inSite);
	/// Whether a cell is a registered site of a queue, under whatever version.
	bool Contains(const QueueSite &inSite) const;
	/// Counts changes.
	uint64 Revision() const { return this->revision; }
	std::vector<QueueSite> SitesOf(QueueKey inQueue) const;
	/// Cells that may hold jobs, also of pools that the configuration no longer has.
	const std::set<uint32> &Cells() const { return this->cells; }

private:
	std::map<QueueKey, std::map<uint32, QueueSite>> sites;
	std::set<uint32> cells;
	uint64 revision = 0;
};

} // namespace Loomreach::Jobs
