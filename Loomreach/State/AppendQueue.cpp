// Batching, rate limit and back-off of appends.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/State/AppendQueue.h>

namespace Loomreach
{

static constexpr size_t cMaxQueuedProposals = 4096;
static constexpr size_t cBatchProposals = 512;
static constexpr Millis cStaleAfterMs = 5000;
static constexpr Millis cFirstBackoffMs = 50;
static constexpr Millis cMaxBackoffMs = 2000;
static constexpr double cMaxBurstAppends = 3.0;

/// Lower ranks go first: membership, then operators' changes, then host steps, then placements.
static constexpr std::array<uint8, static_cast<size_t>(EProposal::Count)> cRanksByKind = {{
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
	if (this->waiting.size() >= cMaxQueuedProposals)
		return Fail(EError::NotAccepted, "the append queue is full");
	const Ticket ticket = ++this->last_ticket;
	const uint8 rank = cRanksByKind[inBody.index()];
	this->waiting.emplace(std::pair(rank, ticket), Entry{ticket, std::move(inBody), inNow});
	return ticket;
}

void AppendQueue::Refill(Millis inNow)
{
	const double refill = static_cast<double>(inNow - this->last_refill) * this->rate / 1000.0;
	this->tokens = std::min(cMaxBurstAppends, this->tokens + refill);
	this->last_refill = inNow;
}

void AppendQueue::FormBatch()
{
	Batch batch;
	this->in_flight_kind = static_cast<EProposal>(this->waiting.begin()->second.body.index());
	while (!this->waiting.empty() && batch.size() < cBatchProposals)
	{
		auto first = this->waiting.begin();
		// A settings tree gets a batch of its own, so that no batch exceeds its size limit
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
	this->in_flight_last_sequence = this->last_sequence;
	this->was_issued = false;
}

std::optional<std::string> AppendQueue::Take(Millis inNow)
{
	this->Refill(inNow);
	if (this->awaits_answer || inNow < this->next_attempt_at || this->tokens < 1.0)
		return std::nullopt;
	if (!this->in_flight.has_value())
	{
		if (this->waiting.empty())
			return std::nullopt;
		this->FormBatch();
	}
	this->tokens -= 1.0;
	this->awaits_answer = true;
	if (this->was_issued)
		++this->repeats;
	this->was_issued = true;
	++this->appends_by_kind[static_cast<size_t>(this->in_flight_kind)];
	return this->in_flight;
}

void AppendQueue::OnAppended()
{
	this->in_flight.reset();
	this->awaits_answer = false;
	this->failures = 0;
	this->next_attempt_at = 0;
}

void AppendQueue::OnFailed(Millis inNow)
{
	this->awaits_answer = false;
	const Millis ceiling = std::min(cMaxBackoffMs, cFirstBackoffMs << std::min<uint32>(this->failures, 10));
	++this->failures;
	// Full jitter, so that the entry hosts do not all retry at the same time after an outage
	this->next_attempt_at = inNow + static_cast<Millis>(this->random.Below(static_cast<uint64>(ceiling) + 1));
}

std::optional<Ticket> AppendQueue::OnReadBack(uint64 inSequence)
{
	// Reading the last proposal of the batch from the log proves the append, even if its answer was lost
	if (this->in_flight.has_value() && !this->awaits_answer && inSequence == this->in_flight_last_sequence)
		this->OnAppended();
	auto found = this->sent.find(inSequence);
	if (found == this->sent.end())
		return std::nullopt;
	const Ticket ticket = found->second.ticket;
	this->sent.erase(found);
	return ticket;
}

std::vector<DroppedTicket> AppendQueue::OnStateLoaded(uint64 inLastSequence)
{
	std::vector<DroppedTicket> lost;
	while (!this->sent.empty() && this->sent.begin()->first <= inLastSequence)
	{
		lost.push_back(this->sent.begin()->second);
		this->sent.erase(this->sent.begin());
	}
	if (this->in_flight.has_value() && !this->awaits_answer && this->in_flight_last_sequence <= inLastSequence)
		this->OnAppended();
	return lost;
}

std::vector<DroppedTicket> AppendQueue::DropStale(Millis inNow)
{
	std::vector<DroppedTicket> dropped;
	for (auto entry = this->waiting.begin(); entry != this->waiting.end();)
	{
		if (inNow - entry->second.queued_at < cStaleAfterMs)
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
