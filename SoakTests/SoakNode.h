// One entry host's control side as the soak drives it: the same pure decisions as the daemon's ControlLoop, over fakes.

#pragma once

#include <Loomreach/Fleet/HostKeeper.h>
#include <Loomreach/Fleet/PlacementPlanner.h>
#include <Loomreach/Fleet/WavePlanner.h>
#include <Loomreach/Member/PeerTracker.h>
#include <Loomreach/Member/ViewPlanner.h>
#include <Loomreach/State/AppendQueue.h>
#include <Loomreach/State/Snapshot.h>
#include <SoakTests/FakePlatform.h>

namespace Loomreach
{

/// The process. Replaced by a new object at a kill.
class SoakNode
{
public:
	SoakNode(std::string inName, std::string inZone, uint64 inIncarnation);

	/// Reads from the platform: cold start, snapshot where there is a gap, then records.
	void ReadLog(const FakeLog &inLog);
	/// Takes records from a peer.
	void FetchFrom(const SoakNode &inPeer);
	/// Takes a peer's whole state, for a cold start while the platform is down.
	void AdoptFrom(const SoakNode &inPeer);
	/// One planning round.
	void Plan(Millis inNow);
	/// Appends what may be appended.
	void Append(FakeLog &ioLog, Random &ioRandom, Millis inNow);
	/// Writes a snapshot where it is due and this node is the steward.
	void MaybeSnapshot(FakeLog &ioLog, Random &ioRandom, Millis inNow);
	/// An operator's proposal through this node.
	void Propose(ProposalBody inBody, Millis inNow) { this->queue.Add(std::move(inBody), inNow); }
	/// The digest that it sends now.
	Digest MakeDigest(Millis inNow);
	StewardPicker Picker(Millis inNow) const;
	Member Self() const;

	std::string name;
	std::string zone;
	uint64 incarnation;
	FleetState state;
	bool ready = false;
	bool reaches_platform = false;
	bool paused = false;
	bool cut = false; ///< From the platform.
	PeerTracker tracker;
	AppendQueue queue;
	Observations seen;
	std::vector<Verdict> verdicts; ///< Of the last fold, for the harness.
	uint64 sequence = 0;
	uint64 wrote_snapshots = 0;

private:
	void OnAdopted();
	void Fold(LogOffset inOffset, const std::string &inRecord);

	std::deque<std::pair<LogOffset, std::string>> tail;
	LogOffset snapshot_offset = 0;
	ListeningSpan listening;
	Millis log_beat_sent = 0;
};

} // namespace Loomreach
