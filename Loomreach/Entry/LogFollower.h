// Follows the log: cold start from snapshot and tail, reading from the platform or, where that fails, from a peer,
// folding, and writing snapshots. The accepted state lives here; it only ever moves forward.

#pragma once

#include <Loomreach/Core/Metrics.h>
#include <Loomreach/Entry/PeerLink.h>
#include <Loomreach/Platform/PlatformClient.h>
#include <Loomreach/State/Fold.h>
#include <Loomreach/State/Snapshot.h>

namespace Loomreach
{

/// Keeps the last records of the log for peers. Bounded by number and bytes.
class RecordTail
{
public:
	static constexpr size_t cMaxRecords = 2000;
	static constexpr size_t cMaxBytes = 16U << 20;

	/// Adds the next record.
	void Add(LogOffset inOffset, std::string inBytes);
	/// Forgets all, after the state was replaced by a snapshot.
	void Clear();
	/// Records from an offset on, or nothing when the first of them is no longer kept.
	std::optional<std::vector<PassedRecord>> From(LogOffset inOffset, LogOffset inNext) const;

private:
	std::deque<PassedRecord> records;
	size_t bytes = 0;
};

/// The follower.
class LogFollower
{
public:
	LogFollower(PlatformClient &ioPlatform, PeerLink &ioLink, Metrics &ioMetrics, std::vector<Address> inSeeds);

	/// Starts reading; on_folded and on_ready are called from then on.
	void Start();
	/// Reads from the platform now, if no read is under way.
	void Poll();
	/// How often to poll: seldom while a peer of the zone polls and tells.
	void SetInterval(Millis inInterval) { this->interval = inInterval; }
	/// A peer has read further: fetch from it.
	void OnPeerAhead(const Address &inPeer, LogOffset inNext);
	/// Answers a peer.
	PeerReply AnswerFetch(const FetchRecords &inAsk) const;
	PeerReply AnswerFetch(const FetchState &inAsk) const;
	/// Writes a snapshot of the present state, unless one is being written.
	void WriteSnapshot();
	/// First offset that the last snapshot known here does not hold.
	LogOffset SnapshotOffset() const { return this->snapshot_offset; }
	/// When the last snapshot known here was read or written.
	Millis SnapshotTime() const { return this->snapshot_time; }

	const FleetState &State() const { return this->state; }
	/// Whether the state is one that was read, rather than the empty one of a new process.
	bool IsReady() const { return this->ready; }
	/// Start of the last read that the platform answered; 0: none yet.
	Millis LastPlatformRead() const { return this->last_platform_read; }
	/// Whether the platform answered lately.
	bool ReachesPlatform(Millis inNow) const;

	std::function<void(const std::vector<Verdict> &)> on_folded;

private:
	void ReadSnapshots(LogOffset inFrom, const std::shared_ptr<SnapshotAssembler> &inAssembler);
	void OnSnapshotsRead(const SnapshotAssembler &inAssembler);
	void OnPage(Millis inStarted, std::optional<LogPage> inPage);
	void FoldRecords(std::vector<PassedRecord> inRecords, std::string_view inSource);
	void Adopt(FleetState inState, std::string_view inSource);
	void AskStateOf(const Address &inPeer);
	void AskSeeds();
	/// Asks one of the known peers, in turn, for records: where the platform is out of reach and digests may not come either.
	void AskPeerForNews();
	void OnSeedState(std::optional<PeerReply> inReply);
	void AppendPieces(const std::shared_ptr<std::vector<std::string>> &inPieces, size_t inIndex, LogOffset inOffset);
	void Schedule(Millis inDelay);

	PlatformClient &platform;
	PeerLink &link;
	Metrics &metrics;
	std::vector<Address> seeds;
	size_t next_peer = 0;
	size_t seeds_asked = 0;                   ///< Seeds that have yet to answer.
	std::optional<FleetState> newest_offered; ///< Of the seeds that have answered.
	FleetState state;
	RecordTail tail;
	Timer poll_timer;
	Millis interval = 500;
	bool ready = false;
	bool reading = false;
	bool asking = false;
	bool snapshots_read = false;
	bool writing = false;
	LogOffset snapshot_offset = 0;
	Millis snapshot_time = 0;
	Millis last_platform_read = 0;
};

} // namespace Loomreach
