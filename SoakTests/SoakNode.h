// Control side of an entry host in the soak test: makes the same pure decisions as the daemon's ControlLoop, over fakes.

#pragma once

#include <Loomreach/Fleet/HostLifecycle.h>
#include <Loomreach/Fleet/PlacementPlanner.h>
#include <Loomreach/Fleet/WavePlanner.h>
#include <Loomreach/Member/PeerTracker.h>
#include <Loomreach/Member/ViewPlanner.h>
#include <Loomreach/State/AppendQueue.h>
#include <Loomreach/State/Snapshot.h>
#include <SoakTests/FakePlatform.h>

namespace Loomreach
{

/// One process of an entry host. A kill replaces it by a new object.
class SoakNode
{
public:
	SoakNode(std::string inName, std::string inZone, uint64 inIncarnation);

	/// Reads the platform's log: first a snapshot if retention has removed records that are still to be read, then the records.
	void ReadLog(const FakeLog &inLog);
	/// Applies records that a peer has read and this node has not.
	void FetchFrom(const SoakNode &inPeer);
	/// Takes over a peer's whole state, for a cold start while the platform is down.
	void AdoptFrom(const SoakNode &inPeer);
	/// Runs one planning round.
	void Plan(Millis inNow);
	/// Appends the next batch of proposals, as far as the queue's rate allows it.
	void Append(FakeLog &ioLog, Random &ioRandom, Millis inNow);
	/// Writes a snapshot if one is due and this node is assigned to write it.
	void MaybeSnapshot(FakeLog &ioLog, Random &ioRandom, Millis inNow);
	/// Queues a proposal, of this node's planners or of an operator.
	void Propose(ProposalBody inBody, Millis inNow) { this->queue.Add(std::move(inBody), inNow); }
	/// The heartbeat message to send now.
	HeartbeatMessage MakeHeartbeat(Millis inNow);
	PlannerAssignment MakeAssignment(Millis inNow) const;
	Member Self() const;

	std::string name;
	std::string zone;
	uint64 incarnation;
	FleetState state;
	bool ready = false;
	bool reaches_platform = false;
	bool paused = false;
	bool is_partitioned = false; ///< A network partition separates it from the platform.
	PeerTracker tracker;
	AppendQueue queue;
	Observations observations;
	std::vector<ProposalOutcome> outcomes; ///< Outcomes of the proposals that were applied in this round.
	uint64 sequence = 0;
	uint64 snapshots_written = 0;

private:
	/// Brings the queue and the recent records in line with a state that was taken over.
	void OnAdopted();
	/// Applies a record to the state.
	void ApplyRecord(LogOffset inOffset, const std::string &inRecord);

	std::deque<std::pair<LogOffset, std::string>> recent_records;
	LogOffset snapshot_offset = 0;
	ListeningSpan listening;
	Millis log_heartbeat_sent = 0;
};

} // namespace Loomreach
