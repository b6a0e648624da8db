// Batching, budget and back-off of appends.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/State/AppendQueue.h>

namespace Loomreach
{

static constexpr size_t cMaxWaiting = 4096;
static constexpr size_t cBatchProposals = 512;
static constexpr Millis cStaleAfterMs = 5000;
static constexpr Millis cFirstBackoffMs = 50;
static constexpr Millis cMaxBackoffMs = 2000;
static constexpr double cBurst = 3.0;

/// Lower goes first: membership, then operators' wishes, then hosts, then placements.
static constexpr std::array<uint8, static_cast<size_t>(EProposal::Count)> cRanks = {{
	1, // ApplySettings
	3, // AddHost
	2, // StepHost
	2, // MoveHost
	3, // PlaceReplica
	3, // StopReplica
	1, // StartWave
	1, // ChangeWave
	0, // ChangeView
	0, // TakeOver
	0, // ZoneAlive
}};

std::optional<Ticket> AppendQueue::Add(ProposalBody inBody, Millis inNow)
{
	if (this->waiting.size() >= cMaxWaiting)
		return Fail(EError::NotAccepted, "the queue towards the log is full");
	const Ticket ticket = ++this->last_ticket;
	const uint8 rank = cRanks[inBody.index()];
	this->waiting.emplace(std::pair(rank, ticket), Entry{ticket, std::move(inBody), inNow});
	return ticket;
}

void AppendQueue::Refill(Millis inNow)
{
	const double earned = static_cast<double>(inNow - this->refilled) * this->rate / 1000.0;
	this->tokens = std::min(cBurst, this->tokens + earned);
	this->refilled = inNow;
}

void AppendQueue::FormBatch()
{
	Batch batch;
	this->in_flight_kind = static_cast<EProposal>(this->waiting.begin()->second.body.index());
	while (!this->waiting.empty() && batch.size() < cBatchProposals)
	{
		auto first = this->waiting.begin();
		// A whole settings tree travels alone, so that a batch stays under its size limit
		const bool is_large = std::holds_alternative<ApplySettings>(first->second.body);
		if (is_large && !batch.empty())
			break;
		const ProposalId id{this->incarnation, ++this->last_sequence};
		this->sent.emplace(id.sequence, DroppedTicket{first->second.ticket, static_cast<EProposal>(first->second.body.index())});
		batch.push_back({id, std::move(first->second.body)});
		this->waiting.erase(first);
		if (is_large)
			break;
	}
	this->in_flight = EncodeBatch(batch);
	this->in_flight_last = this->last_sequence;
	this->was_out = false;
}

std::optional<std::string> AppendQueue::Take(Millis inNow)
{
	this->Refill(inNow);
	if (this->is_out || inNow < this->not_before || this->tokens < 1.0)
		return std::nullopt;
	if (!this->in_flight.has_value())
	{
		if (this->waiting.empty())
			return std::nullopt;
		this->FormBatch();
	}
	this->tokens -= 1.0;
	this->is_out = true;
	if (this->was_out)
		++this->repeats;
	this->was_out = true;
	++this->appends_by_kind[static_cast<size_t>(this->in_flight_kind)];
	return this->in_flight;
}

void AppendQueue::OnAppended()
{
	this->in_flight.reset();
	this->is_out = false;
	this->failures = 0;
	this->not_before = 0;
}

void AppendQueue::OnFailed(Millis inNow)
{
	this->is_out = false;
	const Millis ceiling = std::min(cMaxBackoffMs, cFirstBackoffMs << std::min<uint32>(this->failures, 10));
	++this->failures;
	// Full jitter, so that entry hosts do not come back together after an outage
	this->not_before = inNow + static_cast<Millis>(this->random.Below(static_cast<uint64>(ceiling) + 1));
}

std::optional<Ticket> AppendQueue::OnSeen(uint64 inSequence)
{
	// Its last proposal read back proves that the batch stands in the log, whatever became of the answer
	if (this->in_flight.has_value() && !this->is_out && inSequence == this->in_flight_last)
		this->OnAppended();
	auto found = this->sent.find(inSequence);
	if (found == this->sent.end())
		return std::nullopt;
	const Ticket ticket = found->second.ticket;
	this->sent.erase(found);
	return ticket;
}

std::vector<DroppedTicket> AppendQueue::OnAdopted(uint64 inLastSequence)
{
	std::vector<DroppedTicket> unread;
	while (!this->sent.empty() && this->sent.begin()->first <= inLastSequence)
	{
		unread.push_back(this->sent.begin()->second);
		this->sent.erase(this->sent.begin());
	}
	if (this->in_flight.has_value() && !this->is_out && this->in_flight_last <= inLastSequence)
		this->OnAppended();
	return unread;
}

std::vector<DroppedTicket> AppendQueue::DropStale(Millis inNow)
{
	std::vector<DroppedTicket> dropped;
	for (auto entry = this->waiting.begin(); entry != this->waiting.end();)
	{
		if (inNow - entry->second.since < cStaleAfterMs)
		{
			++entry;
			continue;
		}
		dropped.push_back({entry->second.ticket, static_cast<EProposal>(entry->second.body.index())});
		entry = this->waiting.erase(entry);
	}
	return dropped;
}

} // namespace Loomreach
