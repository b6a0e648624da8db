// Reads of the log and of snapshots, from the platform and from peers.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/LogFollower.h>

namespace Loomreach
{

static constexpr uint32 cPageRecords = 500;
static constexpr Millis cPeerRequestTimeoutMs = 3000;
static constexpr Millis cRetryMs = 500;
/// Age of the last read up to which the platform counts as reachable.
static constexpr Millis cPlatformReachableMs = 8000;

void RecordTail::Add(LogOffset inOffset, std::string inBytes)
{
	if (!this->records.empty() && this->records.back().offset + 1 != inOffset)
		this->Clear();
	this->bytes += inBytes.size();
	this->records.push_back({inOffset, std::move(inBytes)});
	while (this->records.size() > cMaxRecords || this->bytes > cMaxBytes)
	{
		this->bytes -= this->records.front().bytes.size();
		this->records.pop_front();
	}
}

void RecordTail::Clear()
{
	this->records.clear();
	this->bytes = 0;
}

std::optional<std::vector<RelayedRecord>> RecordTail::From(LogOffset inOffset, LogOffset inNext) const
{
	if (inOffset >= inNext)
		return std::vector<RelayedRecord>();
	if (this->records.empty() || this->records.front().offset > inOffset)
		return std::nullopt;
	const auto first = this->records.begin() + static_cast<std::ptrdiff_t>(inOffset - this->records.front().offset);
	return std::vector<RelayedRecord>(first, this->records.end());
}

LogFollower::LogFollower(PlatformClient &ioPlatform, PeerLink &ioLink, Metrics &ioMetrics, std::vector<Address> inSeeds)
	: platform(ioPlatform), link(ioLink), metrics(ioMetrics), seeds(std::move(inSeeds))
{
}

void LogFollower::Start() { this->ReadSnapshots(0, std::make_shared<SnapshotAssembler>()); }

bool LogFollower::ReachesPlatform(Millis inNow) const
{
	return this->last_platform_read != 0 && inNow - this->last_platform_read < cPlatformReachableMs;
}

void LogFollower::Schedule(Millis inDelay)
{
	this->poll_timer.Once(inDelay, [this] { this->Poll(); });
}

void LogFollower::ReadSnapshots(LogOffset inFrom, const std::shared_ptr<SnapshotAssembler> &inAssembler)
{
	this->platform.Read(
		cSnapshotStream, inFrom, cPageRecords,
		[this, inFrom, inAssembler](std::optional<LogPage> inPage)
		{
			this->metrics.Count(ECounter::PlatformCalls, inPage.has_value() ? "read-ok" : "read-failed");
			if (!inPage.has_value())
			{
				// The platform does not answer at start; a seed may have the state
				this->FetchStateFromSeeds();
				return this->poll_timer.Once(cRetryMs, [this] { this->ready ? this->Poll() : this->Start(); });
			}
			for (const LogRecord &record : inPage->records)
				if (!inAssembler->Add(record.bytes))
					LogEvent(ELogLevel::Warning, "snapshot_piece_refused").Field("offset", record.offset).Field("reason", LastReasonText());
			const LogOffset next = inPage->records.empty() ? inPage->next : inPage->records.back().offset + 1;
			if (next < inPage->next && next > inFrom)
				return this->ReadSnapshots(next, inAssembler);
			this->OnSnapshotsRead(*inAssembler);
		});
}

void LogFollower::OnSnapshotsRead(const SnapshotAssembler &inAssembler)
{
	this->snapshots_read = true;
	std::optional<FleetState> newest = inAssembler.Newest();
	if (newest.has_value())
		this->Adopt(std::move(*newest), "snapshot");
	this->Poll();
}

void LogFollower::Adopt(FleetState inState, std::string_view inSource)
{
	// The state never moves back
	if (inState.next_offset <= this->state.next_offset && this->ready)
		return;
	LOOM_INVARIANT(inState.settings_version >= this->state.settings_version, "no accepted settings version goes back");
	this->state = std::move(inState);
	this->tail.Clear();
	this->ready = true;
	this->snapshot_offset = std::max(this->snapshot_offset, this->state.next_offset);
	this->snapshot_time = NowMillis();
	this->metrics.Count(ECounter::Snapshots, std::string("adopted-from-") + std::string(inSource));
	LogEvent(ELogLevel::Info, "state_adopted").Field("source", inSource).Field("offset", this->state.next_offset);
	this->on_records_applied({});
}

void LogFollower::Poll()
{
	if (this->platform_read_pending)
		return;
	this->platform_read_pending = true;
	const Millis started = NowMillis();
	this->platform.Read(cRecordStream, this->state.next_offset, cPageRecords,
						[this, started](std::optional<LogPage> inPage)
						{
							this->platform_read_pending = false;
							this->metrics.Count(ECounter::PlatformCalls, inPage.has_value() ? "read-ok" : "read-failed");
							this->OnPage(started, std::move(inPage));
						});
}

void LogFollower::OnPage(Millis inStarted, std::optional<LogPage> inPage)
{
	if (!inPage.has_value())
	{
		if (this->ready)
			this->FetchRecordsFromNextPeer();
		else
			this->FetchStateFromSeeds();
		return this->Schedule(cRetryMs);
	}
	if (inPage->first > this->state.next_offset)
	{
		// Retention has removed the next record from the log, so only a snapshot or a peer's state closes the gap
		LogEvent(ELogLevel::Warning, "log_gap").Field("first", inPage->first).Field("next_offset", this->state.next_offset);
		this->FetchStateFromSeeds();
		return this->poll_timer.Once(cRetryMs, [this] { this->Start(); });
	}
	std::vector<RelayedRecord> records;
	for (LogRecord &record : inPage->records)
		records.push_back({record.offset, std::move(record.bytes)});
	const LogOffset end = inPage->next;
	if (!this->ready)
		LogEvent(ELogLevel::Info, "state_from_log").Field("records", records.size());
	this->ready = true;
	this->ApplyRecords(std::move(records), "platform");
	if (this->state.next_offset >= end)
		this->last_platform_read = inStarted;
	this->Schedule(this->state.next_offset < end ? 0 : this->interval);
}

void LogFollower::ApplyRecords(std::vector<RelayedRecord> inRecords, std::string_view inSource)
{
	const double started = NowMillisExact();
	std::vector<ProposalOutcome> outcomes;
	uint64 applied = 0;
	for (RelayedRecord &record : inRecords)
	{
		if (record.offset < this->state.next_offset)
			continue;
		// Nothing after a gap may be applied
		if (record.offset > this->state.next_offset)
			break;
		const LogPosition version = this->state.settings_version;
		std::vector<ProposalOutcome> record_outcomes = ApplyLogRecord(this->state, record.offset, record.bytes);
		LOOM_INVARIANT(this->state.settings_version >= version, "no accepted settings version goes back");
		outcomes.insert(outcomes.end(), record_outcomes.begin(), record_outcomes.end());
		this->tail.Add(record.offset, std::move(record.bytes));
		++applied;
	}
	if (applied == 0)
		return;
	this->metrics.Count(ECounter::RecordsApplied, inSource, applied);
	this->metrics.Observe(ETiming::Apply, NowMillisExact() - started);
	this->on_records_applied(outcomes);
}

void LogFollower::OnPeerAhead(const Address &inPeer, LogOffset inNext)
{
	if (this->peer_request_pending || !this->ready || inNext <= this->state.next_offset)
		return;
	this->peer_request_pending = true;
	this->link.SendRequest(inPeer, FetchRecords{this->state.next_offset}, cPeerRequestTimeoutMs,
						   [this, inPeer](std::optional<PeerReply> inReply)
						   {
							   this->peer_request_pending = false;
							   if (!inReply.has_value())
								   return;
							   if (RecordsReply *reply = std::get_if<RecordsReply>(&*inReply); reply != nullptr)
								   return this->ApplyRecords(std::move(reply->records), "peer");
							   // The peer no longer keeps these records. While the platform is not reachable, its whole state is adopted
							   // instead
							   if (!this->ReachesPlatform(NowMillis()))
								   this->FetchStateFrom(inPeer);
						   });
}

void LogFollower::FetchRecordsFromNextPeer()
{
	std::vector<Address> peers = this->seeds;
	for (const auto &[name, member] : this->state.view.members)
		peers.push_back(member.peers);
	if (!peers.empty())
		this->OnPeerAhead(peers[this->next_peer++ % peers.size()], this->state.next_offset + 1);
}

void LogFollower::FetchStateFrom(const Address &inPeer)
{
	if (this->peer_request_pending)
		return;
	this->peer_request_pending = true;
	this->link.SendRequest(inPeer, FetchState{}, cPeerRequestTimeoutMs,
						   [this](std::optional<PeerReply> inReply)
						   {
							   this->peer_request_pending = false;
							   const StateReply *reply = inReply.has_value() ? std::get_if<StateReply>(&*inReply) : nullptr;
							   if (reply == nullptr)
								   return;
							   std::optional<FleetState> peer_state = DecodeState(reply->state);
							   if (peer_state.has_value() && (!this->ready || peer_state->next_offset > this->state.next_offset))
								   this->Adopt(std::move(*peer_state), "peer");
						   });
}

void LogFollower::FetchStateFromSeeds()
{
	if (this->seed_replies_pending != 0)
		return;
	// Asks all seeds and adopts the newest state, since any of them may have been partitioned for long
	this->newest_seed_state.reset();
	this->seed_replies_pending = this->seeds.size();
	for (const Address &seed : this->seeds)
		this->link.SendRequest(seed, FetchState{}, cPeerRequestTimeoutMs,
							   [this](std::optional<PeerReply> inReply) { this->OnSeedState(std::move(inReply)); });
}

void LogFollower::OnSeedState(std::optional<PeerReply> inReply)
{
	--this->seed_replies_pending;
	const StateReply *reply = inReply.has_value() ? std::get_if<StateReply>(&*inReply) : nullptr;
	std::optional<FleetState> offered = reply == nullptr ? std::nullopt : DecodeState(reply->state);
	if (offered.has_value() && (!this->newest_seed_state.has_value() || offered->next_offset > this->newest_seed_state->next_offset))
		this->newest_seed_state = std::move(offered);
	if (this->seed_replies_pending != 0 || !this->newest_seed_state.has_value())
		return;
	if (!this->ready || this->newest_seed_state->next_offset > this->state.next_offset)
		this->Adopt(std::move(*this->newest_seed_state), "peer");
	this->newest_seed_state.reset();
}

PeerReply LogFollower::AnswerFetch(const FetchRecords &inRequest) const
{
	std::optional<std::vector<RelayedRecord>> records = this->tail.From(inRequest.from, this->state.next_offset);
	if (!this->ready || !records.has_value())
		return RefusedReply{"these records are no longer kept"};
	return RecordsReply{std::move(*records)};
}

PeerReply LogFollower::AnswerFetch(const FetchState &) const
{
	if (!this->ready)
		return RefusedReply{"no state yet"};
	return StateReply{EncodeState(this->state)};
}

void LogFollower::WriteSnapshot()
{
	if (this->snapshot_write_pending || !this->ready)
		return;
	this->snapshot_write_pending = true;
	auto pieces = std::make_shared<std::vector<std::string>>(SplitSnapshot(this->state.next_offset, EncodeState(this->state)));
	this->AppendPieces(pieces, 0, this->state.next_offset);
}

void LogFollower::AppendPieces(const std::shared_ptr<std::vector<std::string>> &inPieces, size_t inIndex, LogOffset inOffset)
{
	if (inIndex == inPieces->size())
	{
		this->snapshot_write_pending = false;
		this->snapshot_offset = inOffset;
		this->snapshot_time = NowMillis();
		this->metrics.Count(ECounter::Snapshots, "written");
		LogEvent(ELogLevel::Info, "snapshot_written").Field("offset", inOffset).Field("pieces", inPieces->size());
		return;
	}
	this->platform.Append(cSnapshotStream, (*inPieces)[inIndex],
						  [this, inPieces, inIndex, inOffset](std::optional<LogOffset> inDone)
						  {
							  // After a failed append, or a lost answer, the snapshot is written again later; readers take a piece that
							  // is stored twice only once
							  if (inDone.has_value())
								  return this->AppendPieces(inPieces, inIndex + 1, inOffset);
							  this->snapshot_write_pending = false;
							  this->metrics.Count(ECounter::Snapshots, "failed");
						  });
}

} // namespace Loomreach
