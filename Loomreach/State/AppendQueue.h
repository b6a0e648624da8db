// Queue of proposals that wait to be appended to the replicated log. It forms batches by priority of the proposal's kind, keeps to
// a rate of appends, repeats an append whose answer was lost, and backs off while the platform is down. Does no I/O; the caller
// passes the time in.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/Core/Random.h>
#include <Loomreach/State/Records.h>

namespace Loomreach
{

/// Identifies a queued proposal within its process.
using Ticket = uint64;

/// Ticket and kind of a proposal that the queue no longer tracks.
struct DroppedTicket
{
	Ticket ticket = 0;
	EProposal kind = EProposal::Count;
};

/// Invariant: at most one batch is in flight, and it is appended again, unchanged, until it is known to be in the log. Proposals of one
/// process therefore enter the log in the order of their sequence numbers, by which duplicates are recognized when the log is applied.
class AppendQueue
{
public:
	AppendQueue(uint64 inIncarnation, uint64 inSeed) : incarnation(inIncarnation), random(inSeed) {}

	/// Sets the rate of appends allowed to this process: its share of the total budget.
	void SetRate(double inAppendsPerSecond) { this->rate = inAppendsPerSecond; }
	/// Queues a proposal. Fails with not-accepted when the queue is full.
	std::optional<Ticket> Add(ProposalBody inBody, Millis inNow);
	/// Returns the encoded batch to append now; nothing while no proposal waits, an append is in flight, or the rate or the back-off
	/// forbids one.
	std::optional<std::string> Take(Millis inNow);
	/// The platform has confirmed that the batch in flight is in the log.
	void OnAppended();
	/// The append failed or its answer was lost; `Take` returns the same batch again after a back-off.
	void OnFailed(Millis inNow);
	/// A proposal of this process was read from the log. Returns its ticket, or nothing if it was read before.
	std::optional<Ticket> OnReadBack(uint64 inSequence);
	/// A snapshot or a peer's state was loaded that includes this process's proposals up to a sequence number, without their records being
	/// read. Returns the tickets whose outcomes can no longer be known.
	std::vector<DroppedTicket> OnStateLoaded(uint64 inLastSequence);
	/// Removes and returns the proposals that have waited too long without being sent.
	std::vector<DroppedTicket> DropStale(Millis inNow);
	/// Number of proposals not yet sent.
	size_t QueuedCount() const { return this->waiting.size(); }
	/// Number of proposals sent and not yet read back from the log.
	size_t UnconfirmedCount() const { return this->sent.size(); }
	/// Whether a batch is in flight.
	bool IsBusy() const { return this->in_flight.has_value(); }
	/// Number of appends, including repeats, by the kind of their first proposal.
	const std::array<uint64, static_cast<size_t>(EProposal::Count)> &AppendsByKind() const { return this->appends_by_kind; }
	/// Number of appends repeated after a failure or a lost answer.
	uint64 Repeats() const { return this->repeats; }

private:
	/// A proposal not yet sent.
	struct Entry
	{
		Ticket ticket = 0;
		ProposalBody body;
		Millis queued_at = 0;
	};

	void Refill(Millis inNow);
	void FormBatch();

	uint64 incarnation;
	Random random;
	double rate = 1.0;
	double tokens = 1.0;
	Millis last_refill = 0;
	Ticket last_ticket = 0;
	uint64 last_sequence = 0;
	std::map<std::pair<uint8, Ticket>, Entry> waiting; ///< Ordered by the rank of the kind, then by age.
	std::optional<std::string> in_flight;
	EProposal in_flight_kind = EProposal::Count;
	uint64 in_flight_last_sequence = 0; ///< Last sequence number in the batch in flight.
	bool awaits_answer = false;         ///< An append of the batch has been issued and not answered.
	bool was_issued = false;            ///< The batch has been issued at least once.
	Millis next_attempt_at = 0;
	uint32 failures = 0;
	std::map<uint64, DroppedTicket> sent; ///< By sequence number, until read back from the log.
	std::array<uint64, static_cast<size_t>(EProposal::Count)> appends_by_kind{};
	uint64 repeats = 0;
};

} // namespace Loomreach
