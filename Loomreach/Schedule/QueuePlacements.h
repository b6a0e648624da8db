// Where the queues of a cell are placed. The newest configuration places a queue in the cell of its pool; jobs that were accepted before
// stay in the cell that took them. Each job must still be found and must run once, whichever cell callers' hosts hand it to.
//
// Rules that this depends on:
//  1. Before a cell takes jobs of a queue, it is registered as a site of the queue, and all sites have been read after that. So of two
//  cells
//     at least one knows the other.
//  2. The current cell takes a job only after each former cell has answered that it does not have it and that its log says it takes no new
//     jobs of the queue (a fence).
//  3. A cell that is not the current one passes records about jobs that it does not know to the inbox of the current cell. A record stays
//     in this cell's log until the other inbox has it.
//  4. Of two cells that both count as current, the one with the newer version of the configuration is.
//  5. A cancellation waits for no answer: the current cell hands it on at once to the inboxes of all former cells, one of which may have
//  it. A former cell keeps what was handed on and does not pass it back.

#pragma once

#include <Loomreach/Ownership/CellNames.h>
#include <Loomreach/Schedule/CellTypes.h>
#include <Loomreach/Schedule/QueueMoves.h>

namespace Loomreach::Jobs
{

/// What becomes of a record about a job that the cell does not know.
enum class EArrival : uint8
{
	Take,    ///< The cell decides on it.
	Held,    ///< Other cells must be asked first.
	Redirect ///< It goes to the inbox of the queue's current cell.
};

inline constexpr std::array cArrivalNames = {
	EnumName<EArrival>{EArrival::Take, "take"},
	EnumName<EArrival>{EArrival::Held, "held"},
	EnumName<EArrival>{EArrival::Redirect, "redirect"},
};

/// A record on its way to another cell's inbox.
struct RedirectedRecord
{
	uint64 number = 0; ///< Identifies it in this cell.
	uint32 cell = 0;   ///< The cell whose inbox gets it.
	InboxRecord record;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->number, this->cell, this->record);
	}
};

/// See the head of this file. Belongs to one cell, does no I/O.
class QueuePlacements
{
public:
	explicit QueuePlacements(const CellTuning &inTuning)
		: partitions(inTuning.log_partitions), keep_ms(inTuning.keep_ended_ms), records_name_queues(inTuning.records_name_queues)
	{
	}

	/// Applies a log record of a queue's placement, a held record or a redirected record. False: the value cannot be decoded.
	bool RestorePlacement(std::string_view inValue);
	bool RestoreHeld(const std::string &inJob, std::string_view inValue);
	bool RestoreRedirected(std::string_view inId, std::string_view inValue);
	/// Starts with what was restored. `inQueues`: names and keys of the queues of the jobs in the cell's log; key 0: not known.
	void Begin(uint32 inCell, const std::set<std::pair<std::string, QueueKey>> &inQueues, const Catalogue *inCatalogue, Millis inNow);
	void SetCatalogue(const Catalogue &inCatalogue, Millis inNow);

	/// Decides on a record about a job that the cell does not know. Unless the cell takes it, the record is kept here.
	EArrival OnArrival(const InboxRecord &inRecord, Millis inNow);
	/// Held records that the cell decides on now, in the order in which they arrived.
	std::vector<InboxRecord> TakeCleared() { return std::exchange(this->cleared, {}); }

	/// Sites that are to be registered. `inMost`: those with held records first, and no more than this many.
	std::vector<QueueSite> SitesToRegister(size_t inMost) const;
	/// Whether held records wait until the cell is registered.
	bool IsRegistrationUrgent() const;
	/// Sites of other cells may have been registered since. A configuration that placed the queue there may never have been read here.
	void OnRegistry(const QueueRegistry &inRegistry, Millis inNow);
	/// All versions of the configuration that were published before this time have been read, or newer ones.
	void OnCatalogueRead(Millis inAsOf);
	/// These sites were registered before all sites were read into `inRegistry`.
	void OnRegistered(const std::vector<QueueSite> &inSites, const QueueRegistry &inRegistry, Millis inNow);

	/// Questions to former cells that are due.
	std::vector<MoveQuestion> TakeQuestions(Millis inNow);
	/// The answer to a question; nothing: there was none.
	void OnAnswer(const MoveQuestion &inQuestion, const std::optional<MoveAnswer> &inAnswer, Millis inNow);
	/// Answers the owner of the current cell. `ioAnswer` has what the cell knows of jobs.
	void Answer(const MoveQuestion &inQuestion, MoveAnswer &ioAnswer, Millis inNow);

	/// Records to append to other inboxes. Each is returned once, until OnRedirected reports a failure.
	std::vector<RedirectedRecord> TakeRedirected();
	void OnRedirected(uint64 inNumber, bool inDone, Millis inNow);

	/// What is known here of a queue.
	QueueStatus StatusOf(QueueKey inQueue) const;
	/// Whether it is not decided which cell gets a job: a record about it is held here, or on its way to another cell.
	bool IsUndecided(const std::string &inJob, Millis inNow) const;
	/// The queue that a job's queue name stands for.
	QueueKey KeyOfName(const std::string &inName) const;
	/// Whether a version that was read here, or a record, has told which queue has this name.
	bool IsKnownName(const std::string &inName) const;
	/// Number of held or redirected submissions of a queue.
	uint32 CountUndecided(QueueKey inQueue) const;

	/// Whether there is something that must be written now. Other changes go along with any append.
	bool HasUrgentChanges() const { return !this->to_add.empty() || !this->to_remove.empty(); }
	/// A series of appends begins that writes all jobs taken until now.
	void BeginAppendSeries() { this->removable = this->to_remove; }
	/// Adds records for the next append, as many as fit into `inBytes` bytes. `inWhole`: it is the last one of its series. False: the log
	/// still lacks records that were ingested.
	bool AddRecords(size_t inBytes, bool inWhole, std::vector<KeyedRecord> &outBatch);
	void OnAppended();

private:
	/// Placement of one queue, as far as this cell knows it.
	struct Placement
	{
		QueueSite site;                ///< The current cell.
		std::set<std::string> names;   ///< Names that the queue has had.
		std::vector<uint32> former;    ///< Former cells that may have jobs, if this is the current one.
		std::map<uint32, int64> left;  ///< Former cells that had no jobs any more, and the versions that had placed the queue there.
		bool confirmed = false;        ///< If this is the current cell: it is registered, and `former` is complete.
		bool registered = true;        ///< Whether this cell is a registered site, or need not be one.
		int64 site_version = 0;        ///< Version under which this cell was the current one.
		uint64 revision = 0;           ///< Counts changes of the current cell. Not serialized, as the following members.
		uint64 appending_revision = 0; ///< Up to here: in the log once the append in flight completes.
		uint64 logged_revision = 0;    ///< Up to here: in the log.
		Millis moved_at = 0;           ///< When this owner learned that another cell is the current one.

		template <class Archive>
		void serialize(Archive &ioArchive)
		{
			ioArchive(this->site, this->names, this->former, this->left, this->confirmed, this->registered, this->site_version);
		}
	};
	/// Records about a job that the cell does not know, while other cells are asked.
	struct HeldRecords
	{
		QueueKey queue = 0; ///< 0: no configuration that was read here has the queue's name.
		std::vector<InboxRecord> records;
		std::set<uint32> lacking; ///< Former cells that do not have the job. Not serialized, as the next members.
		Millis arrived_at = 0;
		/// Number of `records`, the first ones, of which each former cell has been handed the cancellations.
		std::map<uint32, size_t> handed_on;

		template <class Archive>
		void serialize(Archive &ioArchive)
		{
			ioArchive(this->queue, this->records);
		}
	};
	/// A former cell that is asked.
	struct AskedCell
	{
		bool in_flight = false;
		Millis retry_at = 0; ///< Not asked before.
		Millis check_at = 0; ///< Asked then even if no record is held, since it may have no jobs any more.
	};

	bool IsEnabled() const { return this->partitions > 0; }
	bool IsHere(const Placement &inPlacement) const { return inPlacement.site.cell == this->cell; }
	/// The placement of a record's queue; nullptr: the name of the queue is not known here.
	Placement *PlacementOf(const InboxRecord &inRecord);
	/// Takes over where a record says that its queue is placed: in this cell, by a version that this owner may never read.
	void AdoptPlacement(const InboxRecord &inRecord, Millis inNow);
	void Hold(const InboxRecord &inRecord, QueueKey inQueue, Millis inNow);
	/// Finds the queues of held records whose names are known by now. `inAsOf`: names that are not are of versions that will not be read
	/// any more, if the record arrived before this.
	void ResolveNames(Millis inAsOf);
	/// Adds former cells that are registered and not known.
	bool AddFormer(Placement &ioPlacement, const QueueRegistry &inRegistry, Millis inNow);
	/// Adds a placement in this cell, which has to be registered.
	Placement &AddHere(const QueueSite &inSite);
	/// Takes a site over if its version is not older than the known one.
	void Adopt(Placement &ioPlacement, const QueueSite &inSite, Millis inNow);
	/// Decides on the held records of a queue about which no other cell need be asked any more.
	void Review(const Placement &inPlacement);
	/// Hands the held cancellations of a job on to the former cells that have not been handed them.
	void HandOnCancels(const Placement &inPlacement, HeldRecords &ioRecords);
	/// Adds to a restored record which queue it is about, as far as that is known.
	void RestoreQueueOf(RedirectedRecord &ioRedirected) const;
	/// Sends a record to the inbox of the cell of a site.
	void Redirect(InboxRecord inRecord, const QueueSite &inSite);
	/// Removes the held records about a job.
	void DropHeld(const std::string &inJob);
	/// Handles the answer of a former cell about a job whose records are held.
	void OnJobAnswer(const std::string &inJob, uint32 inFormer, const MoveAnswer &inAnswer);
	void OnPlacementChanged(Placement &ioPlacement, bool inUrgent);
	/// Value of a log record; empty: there is nothing under this key.
	std::string ValueOf(const std::string &inKey);
	/// The record of this key is not needed any more.
	void Remove(const std::string &inKey);
	void Log(std::string_view inEvent, const Placement &inPlacement) const;

	uint32 cell = 0;
	uint32 partitions;        ///< Partitions per topic, which map pools to cells; 0: queues never move.
	Millis keep_ms;           ///< A former cell must be asked for this long after it was fenced.
	bool records_name_queues; ///< See CellTuning.
	int64 version = 0;        ///< Newest version of the configuration.
	std::map<QueueKey, Placement> placements;
	std::map<std::string, QueueSite> newest_sites; ///< By queue name, as the newest version places the queues.
	std::map<std::string, HeldRecords> held;       ///< By job.
	std::map<uint64, RedirectedRecord> outgoing;   ///< By number.
	std::set<uint64> unsent;                       ///< Numbers in `outgoing` that no call carries.
	std::map<std::string, Millis> redirected_at;   ///< Jobs whose records another inbox got lately.
	std::vector<InboxRecord> cleared;
	std::map<std::pair<QueueKey, uint32>, AskedCell> asked; ///< By queue and former cell.
	uint64 next_number = 1;
	std::set<std::string> to_add;      ///< Log keys to write now.
	std::set<std::string> to_add_lazy; ///< Log keys to write along with other records.
	/// Log keys to remove. A held record must not be removed before the log has its job.
	std::set<std::string> to_remove;
	std::set<std::string> removable; ///< Of these, keys whose jobs are written by the current series of appends at the latest.
	std::set<std::string> logged;    ///< Log keys that the log has, once the append in flight completes.
};

} // namespace Loomreach::Jobs
