// Keeps this process's copy of the accepted state up to date with the replicated log, and writes snapshots of it. A new process starts
// from the newest snapshot and the records after it. Records are read from the platform; while it does not answer, from peers.
//
// Rules:
//  * The state only moves forward: records are applied in order and without gaps, and a state that is not newer is never adopted.
//  * The lease for claims on ids is derived from the last read of the platform. A read counts from the time at which it was sent, and only
//    if it brought the state up to date.

#pragma once

#include <Loomreach/Core/Metrics.h>
#include <Loomreach/Entry/PeerLink.h>
#include <Loomreach/Platform/PlatformClient.h>
#include <Loomreach/State/Fold.h>
#include <Loomreach/State/Snapshot.h>

namespace Loomreach
{

/// The latest records of the log, kept for peers that lack them. Bounded in number and in bytes.
class RecordTail
{
public:
	static constexpr size_t cMaxRecords = 2000;
	static constexpr size_t cMaxBytes = 16U << 20;

	/// Adds the next record. A record that does not follow the last one replaces all.
	void Add(LogOffset inOffset, std::string inBytes);
	/// Removes all records, after the state was replaced as a whole.
	void Clear();
	/// The records from an offset on, empty if it is not below `inNext`; nothing when the first of them is no longer kept.
	std::optional<std::vector<RelayedRecord>> From(LogOffset inOffset, LogOffset inNext) const;

private:
	std::deque<RelayedRecord> records;
	size_t bytes = 0;
};

/// Reads the log, applies its records to the state, and serves both to peers.
class LogFollower
{
public:
	LogFollower(PlatformClient &ioPlatform, PeerLink &ioLink, Metrics &ioMetrics, std::vector<Address> inSeeds);

	/// Starts reading; on_records_applied, which must be set, is called from then on.
	void Start();
	/// Reads from the platform now, unless a read is in progress.
	void Poll();
	/// Sets the poll interval, ms: a long one where another member of the zone reads often and reports new records in its heartbeats.
	void SetInterval(Millis inInterval) { this->interval = inInterval; }
	/// Fetches the records up to `inNext` from a peer that has read further.
	void OnPeerAhead(const Address &inPeer, LogOffset inNext);
	/// Answers a peer that asks for records or for the whole state.
	PeerReply AnswerFetch(const FetchRecords &inRequest) const;
	PeerReply AnswerFetch(const FetchState &inRequest) const;
	/// Writes a snapshot of the current state, unless one is being written.
	void WriteSnapshot();
	/// First offset that the latest known snapshot does not include.
	LogOffset SnapshotOffset() const { return this->snapshot_offset; }
	/// Time at which the latest known snapshot was read or written.
	Millis SnapshotTime() const { return this->snapshot_time; }

	const FleetState &State() const { return this->state; }
	/// Whether a state has been read; until then it is the empty one of a new process.
	bool IsReady() const { return this->ready; }
	/// Time at which the last read that brought the state up to date was sent; 0: none yet.
	Millis LastPlatformRead() const { return this->last_platform_read; }
	/// Whether the platform answered such a read lately.
	bool ReachesPlatform(Millis inNow) const;

	/// Called after each change of the state, with the outcomes of the proposals that were applied; empty when a state was adopted.
	std::function<void(const std::vector<ProposalOutcome> &)> on_records_applied;

private:
	void ReadSnapshots(LogOffset inFrom, const std::shared_ptr<SnapshotAssembler> &inAssembler);
	void OnSnapshotsRead(const SnapshotAssembler &inAssembler);
	void OnPage(Millis inStarted, std::optional<LogPage> inPage);
	void ApplyRecords(std::vector<RelayedRecord> inRecords, std::string_view inSource);
	void Adopt(FleetState inState, std::string_view inSource);
	void FetchStateFrom(const Address &inPeer);
	void FetchStateFromSeeds();
	/// Asks the known peers in turn for new records: while the platform is not reachable, heartbeats may not arrive either.
	void FetchRecordsFromNextPeer();
	void OnSeedState(std::optional<PeerReply> inReply);
	void AppendPieces(const std::shared_ptr<std::vector<std::string>> &inPieces, size_t inIndex, LogOffset inOffset);
	void Schedule(Millis inDelay);

	PlatformClient &platform;
	PeerLink &link;
	Metrics &metrics;
	std::vector<Address> seeds;
	size_t next_peer = 0;
	size_t seed_replies_pending = 0;             ///< Requests to seeds that have not ended.
	std::optional<FleetState> newest_seed_state; ///< Newest state among the replies so far.
	FleetState state;
	RecordTail tail;
	Timer poll_timer;
	Millis interval = 500;
	bool ready = false;
	bool platform_read_pending = false;
	bool peer_request_pending = false;
	bool snapshots_read = false;
	bool snapshot_write_pending = false;
	LogOffset snapshot_offset = 0;
	Millis snapshot_time = 0;
	Millis last_platform_read = 0;
};

} // namespace Loomreach
