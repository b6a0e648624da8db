// A number of entry hosts with the real decisions about admission, and one partition of the store that carries out appends one by one, in
// virtual time. Modelled are the transport (datagrams, acknowledgements, repeats) and the writer of an inbox.

#pragma once

#include <Loomreach/Admission/CollectorChoice.h>
#include <Loomreach/Admission/InboxPaths.h>
#include <Loomreach/Admission/OpenAppends.h>
#include <Loomreach/Admission/RetryAfter.h>
#include <Loomreach/Admission/Submission.h>
#include <Loomreach/Core/Random.h>
#include <Loomreach/Entry/CollectorAnswer.h>
#include <Loomreach/Entry/StoreWatch.h>

namespace Loomreach::Jobs
{

/// The hosts, the partition and the callers.
class AdmissionWorld
{
public:
	/// One attempt of a caller.
	struct Attempt
	{
		size_t record = 0;
		size_t host = 0;
		bool connection_lost = false; ///< Its host was killed before it answered.
		Millis arrived_at = 0;
		Millis answered_at = -1;
		EError error = EError::None;
		int retry_after_s = 0;
		std::string tried;
	};
	/// Faults of one host.
	struct Faults
	{
		bool killed = false;
		bool frozen = false;      ///< What it should receive or do is postponed.
		bool cut_off = false;     ///< Does not reach the store.
		Millis slow_ms = 0;       ///< Delay of each of its appends before it reaches the store.
		std::set<size_t> no_link; ///< Hosts with which it exchanges no datagrams.
	};
	enum class EAppendResult : uint8
	{
		Done,
		Refused,
		Unknown
	};

	AdmissionWorld(size_t inHosts, uint64 inSeed);
	~AdmissionWorld();

	void RunUntil(Millis inUntil);
	void At(Millis inAt, std::function<void()> inCall) { this->events.emplace(inAt, std::move(inCall)); }
	/// A caller submits a new record at a host, and returns up to four times after it was refused.
	void Submit(size_t inHost, Millis inAt);
	Faults &FaultsOf(size_t inHost);
	/// Ends a host's freeze.
	void Thaw(size_t inHost);
	/// Kills a host. Its next process starts at its address after `inBackMs`, and the other hosts learn of it `inHeardMs` later.
	void Restart(size_t inHost, Millis inBackMs, Millis inHeardMs);
	const InboxPaths &PathsOf(size_t inHost) const;
	/// Name of the host that collects where none failed.
	std::string FirstCollector(size_t inAsking);
	Millis Now() const { return this->now; }
	/// Counts the records that are accepted but missing, and those refused for certain although they are in the inbox by then.
	std::string Violations() const;
	/// Share of the attempts that arrived in a period and were accepted within `inWithinMs`.
	double Served(Millis inFrom, Millis inUntil, Millis inWithinMs) const;
	/// Records accepted in each second, for reports.
	std::string AcceptedBySecond(Millis inFrom, Millis inUntil) const;

	Millis append_ms = 4;      ///< Duration of an append that begins now.
	bool store_down = false;   ///< Calls get no response and are not carried out.
	bool store_busy = false;   ///< Calls are refused at once.
	Millis jitter_ms = 0;      ///< Datagrams take up to this much longer.
	Millis deadline_ms = 3000; ///< Deadline of each attempt.
	size_t owner = 0;          ///< Index of the cell's owner.
	size_t retries = 4;
	std::vector<Attempt> attempts;
	std::map<std::string, size_t> inbox; ///< How often each record is in the inbox, by id.
	size_t calls = 0;                    ///< Append calls.
	size_t datagrams = 0;
	size_t max_open_calls = 0;                     ///< Most calls in the partition at one time, including those whose client has given up.
	size_t appended_in_flight = 0;                 ///< Direct appends of a record that the same host was still appending.
	std::map<std::string, Millis> certain_refusal; ///< Records refused with 503, by id.

private:
	struct Host;
	struct Request;
	struct Asked;
	/// A call in the partition.
	struct Call
	{
		std::vector<std::string> ids;
		Millis arrived_at = 0;
		std::function<void(EAppendResult)> done;
	};

	void Arrive(size_t inRecord, size_t inHost, size_t inRetriesLeft);
	// Host
	void HostAt(Host &ioHost, Millis inAt, std::function<void()> inCall);
	/// Whether the host owns the cell and has read the record.
	bool KnowsRecord(const Host &inHost, const std::string &inId) const;
	SubmissionView ViewOf(Host &ioHost);
	std::vector<CollectorHost> Collectors(Host &ioHost);
	void Execute(Host &ioHost, const std::shared_ptr<Request> &inRequest, const SubmissionStep &inStep);
	void AppendOwn(Host &ioHost, const std::shared_ptr<Request> &inRequest, Millis inLimitMs);
	void Finish(const std::shared_ptr<Request> &inRequest, EError inError, int inRetryAfterS);
	void OnSlowSign(Host &ioHost, ESlowSign inSign);
	void WatchAppend(Host &ioHost);
	void CheckAppends(Host &ioHost);
	// Transport
	void Send(size_t inFrom, size_t inTo, std::function<void()> inReceive);
	void Ask(Host &ioHost, const std::shared_ptr<Request> &inRequest, const SubmissionStep &inStep);
	void CheckAsked(Host &ioHost, const std::shared_ptr<Asked> &inAsked);
	void SendQuestion(Host &ioHost, const std::shared_ptr<Asked> &inAsked);
	void OnQuestion(Host &ioHost, size_t inFrom, const std::shared_ptr<Asked> &inAsked);
	void OnAnswer(Host &ioAsking, const std::shared_ptr<Asked> &inAsked, PeerAnswer inAnswer);
	/// Reads other hosts' heartbeats, which also shows whether the store responds.
	void ReadStore(Host &ioHost, bool inRepeats);
	// Writer
	void Write(Host &ioHost, const std::string &inId, Millis inGiveUpAt, std::function<void(EAppendResult)> inDone);
	void Flush(Host &ioHost);
	// Partition
	void Receive(Call inCall);
	void Serve();

	std::vector<std::unique_ptr<Host>> hosts;
	std::multimap<Millis, std::function<void()>> events;
	Millis now = 0;
	Random random;
	size_t records = 0;
	std::deque<Call> queue;
	bool serving = false;
};

} // namespace Loomreach::Jobs
