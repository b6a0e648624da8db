// The queue of proposals towards the log: batches, an append budget, priority among kinds,
// repeats of appends whose answer was lost, and back-off while the platform is down. Pure: time comes in.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/Core/Random.h>
#include <Loomreach/State/Records.h>

namespace Loomreach
{

/// Names one waiting proposal within its process.
using Ticket = uint64;

/// A proposal by its ticket and kind.
struct DroppedTicket
{
	Ticket ticket = 0;
	EProposal kind = EProposal::Count;
};

/// The queue. Invariant: at most one batch is on its way, and it is repeated, unchanged, until it is known to stand in the log;
/// so proposals of one process enter the log in the order of their sequence numbers, and the fold tells repeats by them.
class AppendQueue
{
public:
	AppendQueue(uint64 inIncarnation, uint64 inSeed) : incarnation(inIncarnation), random(inSeed) {}

	/// Appends a second that this process may make: its share of the whole budget.
	void SetRate(double inAppendsPerSecond) { this->rate = inAppendsPerSecond; }
	/// Takes a proposal. Nothing, with not-accepted, when the queue is full.
	std::optional<Ticket> Add(ProposalBody inBody, Millis inNow);
	/// The encoded batch to append now, or nothing: none waits, one is on its way, or budget and back-off say wait.
	std::optional<std::string> Take(Millis inNow);
	/// The platform has answered: the batch stands in the log.
	void OnAppended();
	/// The append failed or its answer was lost; the same batch is taken again after a back-off.
	void OnFailed(Millis inNow);
	/// A proposal of this process was read from the log. Returns its ticket, or nothing for one that was already seen.
	std::optional<Ticket> OnSeen(uint64 inSequence);
	/// A state was adopted that holds this process's proposals up to a sequence, without reading the records themselves.
	/// Returns the tickets whose verdicts will never be read.
	std::vector<DroppedTicket> OnAdopted(uint64 inLastSequence);
	/// Drops what has waited too long without being sent.
	std::vector<DroppedTicket> DropStale(Millis inNow);
	/// Proposals that have not been sent.
	size_t Waiting() const { return this->waiting.size(); }
	/// Tickets on their way and not yet seen in the log.
	size_t Unseen() const { return this->sent.size(); }
	/// Whether a batch is on its way.
	bool IsBusy() const { return this->in_flight.has_value(); }
	/// Appends made, by kind of their first proposal, repeats included.
	const std::array<uint64, static_cast<size_t>(EProposal::Count)> &AppendsByKind() const { return this->appends_by_kind; }
	/// Batches taken again because an answer was lost or an append failed.
	uint64 Repeats() const { return this->repeats; }

private:
	/// A proposal that has not been sent.
	struct Entry
	{
		Ticket ticket = 0;
		ProposalBody body;
		Millis since = 0;
	};

	void Refill(Millis inNow);
	void FormBatch();

	uint64 incarnation;
	Random random;
	double rate = 1.0;
	double tokens = 1.0;
	Millis refilled = 0;
	Ticket last_ticket = 0;
	uint64 last_sequence = 0;
	std::map<std::pair<uint8, Ticket>, Entry> waiting; ///< By rank of the kind, then age.
	std::optional<std::string> in_flight;
	EProposal in_flight_kind = EProposal::Count;
	uint64 in_flight_last = 0; ///< Last sequence of the batch on its way.
	bool is_out = false;       ///< The batch was handed out and not yet answered.
	bool was_out = false;      ///< The batch was handed out at least once.
	Millis not_before = 0;
	uint32 failures = 0;
	std::map<uint64, DroppedTicket> sent; ///< Sequence to ticket and kind, until seen in the log.
	std::array<uint64, static_cast<size_t>(EProposal::Count)> appends_by_kind{};
	uint64 repeats = 0;
};

} // namespace Loomreach
