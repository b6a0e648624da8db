// Reading, planning and appending of a node of the soak test.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/State/ClaimGroups.h>
#include <SoakTests/SoakNode.h>

namespace Loomreach
{

static constexpr Millis cSuspectMs = 2000;
static constexpr Millis cRemoveMs = 8000;
static constexpr size_t cMaxRecentRecords = 200;
static constexpr LogOffset cSnapshotEveryRecords = 60;
static constexpr double cAppendsPerSecond = 20.0;

SoakNode::SoakNode(std::string inName, std::string inZone, uint64 inIncarnation)
	: name(std::move(inName)), zone(std::move(inZone)), incarnation(inIncarnation), tracker(this->name, this->zone, cSuspectMs, cSuspectMs),
	  queue(inIncarnation, inIncarnation)
{
	this->queue.SetRate(cAppendsPerSecond);
}

Member SoakNode::Self() const { return {this->name, this->incarnation, "here", this->zone, {"127.0.0.1", 1}, {"127.0.0.1", 2}}; }

PlannerAssignment SoakNode::MakeAssignment(Millis inNow) const
{
	return {this->state.view, this->tracker, this->name, this->reaches_platform, false, inNow};
}

void SoakNode::ApplyRecord(LogOffset inOffset, const std::string &inRecord)
{
	const LogPosition version = this->state.settings_version;
	std::vector<ProposalOutcome> applied = ApplyLogRecord(this->state, inOffset, inRecord);
	LOOM_INVARIANT(this->state.settings_version >= version, "the accepted settings version never decreases");
	for (const ProposalOutcome &outcome : applied)
		if (outcome.id.incarnation == this->incarnation)
			this->queue.OnReadBack(outcome.id.sequence);
	this->outcomes.insert(this->outcomes.end(), applied.begin(), applied.end());
	this->recent_records.emplace_back(inOffset, inRecord);
	if (this->recent_records.size() > cMaxRecentRecords)
		this->recent_records.pop_front();
}

void SoakNode::OnAdopted()
{
	this->recent_records.clear();
	if (auto mark = this->state.proposers.find(this->incarnation); mark != this->state.proposers.end())
		this->queue.OnStateLoaded(mark->second.sequence);
}

void SoakNode::ReadLog(const FakeLog &inLog)
{
	this->reaches_platform = !inLog.down && !this->is_partitioned;
	if (!this->reaches_platform)
		return;
	if (this->state.next_offset < inLog.records.first)
	{
		// Retention has removed records that this node has not read: only a snapshot closes the gap
		SnapshotAssembler assembler;
		for (LogOffset offset = inLog.snapshots.first; offset < inLog.snapshots.Next(); ++offset)
			assembler.Add(inLog.snapshots.records[offset]);
		std::optional<FleetState> newest = assembler.Newest();
		if (!newest.has_value() || newest->next_offset <= this->state.next_offset)
			return;
		this->state = std::move(*newest);
		this->OnAdopted();
		if (this->state.next_offset < inLog.records.first)
			return;
	}
	for (LogOffset offset = this->state.next_offset; offset < inLog.records.Next(); ++offset)
		this->ApplyRecord(offset, inLog.records.records[offset]);
	this->ready = true;
}

void SoakNode::FetchFrom(const SoakNode &inPeer)
{
	if (!this->ready || inPeer.recent_records.empty() || inPeer.recent_records.front().first > this->state.next_offset)
		return;
	for (const auto &[offset, record] : inPeer.recent_records)
		if (offset >= this->state.next_offset)
			this->ApplyRecord(offset, record);
}

void SoakNode::AdoptFrom(const SoakNode &inPeer)
{
	if (!inPeer.ready || (this->ready && inPeer.state.next_offset <= this->state.next_offset))
		return;
	std::optional<FleetState> copy = DecodeState(EncodeState(inPeer.state));
	LOOM_INVARIANT(copy.has_value(), "an encoded state can be decoded");
	this->state = std::move(*copy);
	this->OnAdopted();
	this->ready = true;
}

HeartbeatMessage SoakNode::MakeHeartbeat(Millis inNow)
{
	HeartbeatMessage heartbeat;
	heartbeat.name = this->name;
	heartbeat.incarnation = this->incarnation;
	heartbeat.sequence = ++this->sequence;
	heartbeat.availability_zone = this->zone;
	heartbeat.next_offset = this->ready ? this->state.next_offset : 0;
	heartbeat.reaches_platform = this->reaches_platform;
	heartbeat.zone_reaches_platform = this->reaches_platform || this->tracker.ZoneReachesPlatform(inNow);
	return heartbeat;
}

void SoakNode::Plan(Millis inNow)
{
	this->queue.DropStale(inNow);
	const Millis listening_since = this->listening.Update(inNow, cSuspectMs);
	this->tracker.UpdateFromLog(this->state, inNow);
	if (!this->ready || !this->reaches_platform || this->queue.QueuedCount() != 0 || this->queue.UnconfirmedCount() != 0)
		return;
	if (std::optional<ChangeView> change =
			PlanView({this->state, this->tracker, this->Self(), inNow, listening_since, cRemoveMs, cSuspectMs});
		change.has_value())
		this->Propose(std::move(*change), inNow);
	const bool heartbeat_due = inNow - this->log_heartbeat_sent >= cSuspectMs && inNow - listening_since >= cSuspectMs;
	if (heartbeat_due && this->MakeAssignment(inNow).IsAssignedInZone("log-beat", this->zone) &&
		NeedsLogHeartbeat(this->state.view, this->tracker, this->zone, cSuspectMs, inNow))
	{
		this->log_heartbeat_sent = inNow;
		this->Propose(ZoneAlive{this->zone}, inNow);
	}
	// Claims are empty in the soak test, so a new holder can take over a range at once
	TakeOver take{this->state.view.number, this->name, {}};
	for (uint32 range = 0; range < cClaimRanges; ++range)
	{
		const std::vector<std::string> group = ClaimGroupOf(this->state.view, range);
		if (std::find(group.begin(), group.end(), this->name) != group.end() && this->state.claim_holders[range].count(this->name) == 0)
			take.ranges.push_back(range);
	}
	if (!take.ranges.empty())
		this->Propose(std::move(take), inNow);
	const PlannerAssignment assignment = this->MakeAssignment(inNow);
	const HostLifecycle lifecycle(this->state, this->observations, {3000, 100, 20'000}, inNow);
	if (assignment.IsAssigned("hosts"))
		for (ProposalBody &body : lifecycle.FollowHostList())
			this->Propose(std::move(body), inNow);
	for (const auto &[host_name, observation] : this->observations.hosts)
		if (auto host = this->state.hosts.find(host_name); host != this->state.hosts.end())
			for (ProposalBody &body : lifecycle.Decide(host->second, true))
				this->Propose(std::move(body), inNow);
	std::set<std::string> unresponsive_hosts;
	for (const auto &[host_name, host] : this->state.hosts)
		if (assignment.UnresponsiveZones().count(host.spec.availability_zone) != 0)
			unresponsive_hosts.insert(host_name);
	for (const auto &[path, pool] : this->state.pools)
	{
		if (!assignment.IsAssigned("pool:" + path))
			continue;
		for (ProposalBody &body : PlacementPlanner(this->state, path).Plan().proposals)
			this->Propose(std::move(body), inNow);
		for (ProposalBody &body : WavePlanner(this->state, path, unresponsive_hosts).Plan().proposals)
			this->Propose(std::move(body), inNow);
	}
}

void SoakNode::Append(FakeLog &ioLog, Random &ioRandom, Millis inNow)
{
	if (this->is_partitioned)
		return;
	std::optional<std::string> batch = this->queue.Take(inNow);
	if (!batch.has_value())
		return;
	if (ioLog.Append(ioLog.records, std::move(*batch), ioRandom))
		this->queue.OnAppended();
	else
		this->queue.OnFailed(inNow);
}

void SoakNode::MaybeSnapshot(FakeLog &ioLog, Random &ioRandom, Millis inNow)
{
	const bool due = this->state.next_offset >= this->snapshot_offset + cSnapshotEveryRecords;
	if (!this->ready || !due || this->is_partitioned || !this->MakeAssignment(inNow).IsAssigned("snapshot"))
		return;
	for (const std::string &piece : SplitSnapshot(this->state.next_offset, EncodeState(this->state)))
		if (!ioLog.Append(ioLog.snapshots, piece, ioRandom))
			return;
	this->snapshot_offset = this->state.next_offset;
	++this->snapshots_written;
}

} // namespace Loomreach
