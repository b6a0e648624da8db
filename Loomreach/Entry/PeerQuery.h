// Questions between entry hosts, over UDP: one datagram for the question and one for the answer. A question is repeated until it is
// answered or times out. Questions about a cell are answered by its owner.

#pragma once

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/Error.h>
#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Core/Metrics.h>
#include <Loomreach/Entry/RoundTrip.h>
#include <Loomreach/Job/JobRecord.h>
#include <Loomreach/Platform/LinkUsage.h>
#include <Loomreach/Schedule/PoolDemand.h>
#include <Loomreach/Schedule/TeamClaims.h>
#include <Loomreach/Settings/DaemonConfig.h>

namespace Loomreach::Jobs
{

/// Kinds of questions.
enum class EQuestion : uint8
{
	Show,        ///< Phase of a job.
	Count,       ///< Number of jobs of a queue that have not begun.
	Drain,       ///< Drains a worker for maintenance; asks whether it is drained.
	Demand,      ///< Demand of a pool, and workers that it can spare.
	AppendInbox, ///< Appends a record to a cell's inbox for a host that does not reach the store or finds it slow.
	StoreReach,  ///< Whether the asked host reaches the store; also asked to read its clock.
	Shares,      ///< To the owner of the fleet cell: how much teams may have running in the asking cell.
	Forward,     ///< Sends an order to a worker for an owner that lacks processor time.
	Owners,      ///< Which hosts own cells, for a host that seldom reads their heartbeats.
	QueueMoved   ///< To the owner of a cell in which a queue was placed before (MoveQuestion).
};

/// A question. Fields that its kind does not use are empty.
struct PeerQuestion
{
	uint64 nonce = 0; ///< Matches the answer to its question.
	EQuestion kind = EQuestion::Show;
	uint32 cell = 0;
	std::string queue;
	std::string id;      ///< Id of a job, a worker or a pool.
	std::string team;    ///< Show: the asking team.
	int64 version = 0;   ///< AppendInbox, Show, Count: version of the asking host's configuration.
	uint64 key_hash = 0; ///< AppendInbox: hash of the caller's key, see Admission. Show, Count: the queue, see QueueKey.
	int64 for_ms = 0;    ///< Drain, Demand: how long workers must stay drained. AppendInbox: time left for the append.
	uint32 count = 0;    ///< Demand: number of workers that should be spared.
	/// Demand: workers whose hosts have just been moved or taken down, although the worker list still shows them.
	std::vector<std::string> departed;
	std::string record; ///< AppendInbox: the encoded record. Forward: the encoded order. QueueMoved: the encoded MoveQuestion.
	/// AppendInbox, Forward: incarnation of the process that is asked; 0: not known. Another process at its address does nothing.
	uint64 incarnation = 0;
	ShareQuestion shares; ///< Only for Shares.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->nonce, this->kind, this->cell, this->queue, this->id, this->team, this->version, this->key_hash, this->for_ms,
				  this->count, this->departed, this->record, this->incarnation, this->shares);
	}
};

/// An answer. Only fields marked "any host" are valid when `owner` is false.
struct PeerAnswer
{
	uint64 nonce = 0;
	bool owner = false;         ///< Whether the answering host owns the cell.
	Address owner_address;      ///< Any host: the cell's owner as the answering host knows it; port 0: none.
	bool appended = false;      ///< Any host: the record is in the inbox, or the owner knows its job.
	bool not_done = false;      ///< Any host: the record is certainly not in the inbox. Forward: the order was certainly not sent.
	bool reaches_store = false; ///< Any host: the answering host reaches the store.
	bool in_progress = false;   ///< Any host: the question is being handled, and its answer will follow.
	/// Not sent, set where the answer arrives: the question was sent more than once, so that two processes at one address may have got it.
	bool repeated = false;
	/// Not sent, set where the answer arrives: it follows a report that the question is being handled. If the question was repeated
	/// since, the answer may be from a later process at the same address, which knows nothing of what the first one did.
	bool reported = false;
	int64 clock_ms = 0; ///< Any host: steady clock of the answering host.
	/// Any host. Forward: the worker's encoded answer. Owners: the encoded heartbeats of hosts that own cells. AppendInbox: an encoded
	/// CollectorStatus; if the question names another process, the encoded incarnation of the answering one. QueueMoved: the encoded
	/// MoveAnswer. Show, Count: the encoded list of other cells that may have jobs of the queue. Empty: not available here, or none.
	std::string record;
	bool inbox_current = false;    ///< Whether the owner has recently read its inbox to the end.
	EError refusal = EError::None; ///< Any host. AppendInbox: why a newer configuration does not allow the record.
	/// Show: the owner knows the job. AppendInbox, Forward: the question names the answering process.
	bool known = false;
	bool other_team = false; ///< Show: the job belongs to another team.
	EJobPhase phase = EJobPhase::Queued;
	uint32 waiting = 0;   ///< Count: jobs that have not begun.
	bool drained = false; ///< Drain: the worker is drained and will stay so for the time asked.
	PoolDemand demand;
	ShareAnswer shares;

	/// AppendInbox, Forward: whether only the answering process can have handled the question, so that `not_done` is certain. A process
	/// cannot tell what an earlier one at its address did, and one of an earlier version does not tell whether it is the one named.
	bool IsFromOnlyHandler() const { return this->known || !this->repeated; }

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->nonce, this->owner, this->owner_address, this->appended, this->not_done, this->reaches_store, this->in_progress,
				  this->clock_ms, this->record, this->inbox_current, this->refusal, this->known, this->other_team, this->phase,
				  this->waiting, this->drained, this->demand, this->shares);
	}
};

/// Times of a question whose handling is reported (AppendInbox, Forward).
struct ReportTimes
{
	Millis report_within_ms = 0; ///< Above 0: the question is given up after this without a report or an answer.
	/// Above 0: the question is still repeated after a report, and given up when no report has arrived for this long.
	Millis silence_ms = 0;
	/// If `silence_ms` is 0: the longest time that the other host needs when all goes well. After a report the question is not repeated
	/// until this and a round trip are over. Its answer may then have been lost, and each repeat has it sent again.
	Millis handling_ms = 0;
};

/// What a collector says about an inbox, in `PeerAnswer::record`: hosts of earlier versions, which do not know it, can decode the answer.
struct CollectorStatus
{
	bool quick = false; ///< The collector's appends to the inbox are fast.
	int64 busy_ms = 0;  ///< Above 0: refused since the backlog would take longer than `for_ms`; the expected wait, ms.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->quick, this->busy_ms);
	}
};

/// Messages that hosts send without being asked.
enum class EPeerMessage : uint8
{
	Heartbeat, ///< A heartbeat (HostHeartbeat).
	Ends,      ///< Run ends for replication (RunEndsUpdate).
	SlowStore  ///< The sender has detected that the store is slow. Empty.
};

/// Asks questions and answers those of other hosts.
class PeerQuery
{
public:
	using OnAnswer = std::function<void(std::optional<PeerAnswer>)>;
	/// Answers a question, immediately or later.
	using QuestionHandler = std::function<void(const PeerQuestion &, std::function<void(PeerAnswer)>)>;

	/// Handles a message from another host. Messages may be lost, duplicated or delayed.
	using MessageHandler = std::function<void(EPeerMessage inKind, const std::string &inMessage)>;

	/// `inLink` counts the bytes of the datagrams.
	PeerQuery(const Address &inOwn, Metrics &inMetrics, QuestionHandler inQuestionHandler, MessageHandler inMessageHandler,
			  LinkUsage *inLink = nullptr);
	~PeerQuery();
	PeerQuery(const PeerQuery &) = delete;
	PeerQuery &operator=(const PeerQuery &) = delete;

	/// Binds the UDP socket. Returns false if that fails, with BadConfig as the last error.
	bool Open();
	/// Repeats the question until an answer arrives or `inTimeoutMs` is over, and calls back once; nothing: no answer. An answer with
	/// `in_progress` set: the other host has reported that it is handling the question, and its answer has not arrived in time.
	void Ask(const Address &inTo, PeerQuestion inQuestion, Millis inTimeoutMs, OnAnswer inDone, const ReportTimes &inTimes = {});
	/// Sends a message to other hosts, once each.
	void Notify(const std::vector<Address> &inTo, EPeerMessage inKind, const std::string &inMessage);

private:
	/// A question without an answer yet.
	struct Pending
	{
		Address to;
		std::string bytes;
		OnAnswer done;
		Millis give_up_at = 0;
		Millis limit_at = 0; ///< When to give up once the question is being handled.
		ReportTimes times;
		bool in_progress = false; ///< The other host has reported that it is handling the question.
		Millis resend_at = 0;
		Millis max_repeat_ms = 0; ///< Longest delay before a repeat.
		Millis first_sent_at = 0; ///< When the first datagram left the link, by the estimate of its backlog.
		bool repeated = false;
		Millis round_trip_ms = -1; ///< From the first datagram to the first reply; -1: no reply yet.
	};
	/// A question that is over and to which another reply may arrive. A second reply shows that the datagram was not lost but repeated too
	/// soon, and that the first reply was to the first datagram. So, as far as is known, is a reply after the question was given up.
	struct ClosedQuestion
	{
		Address to;
		Millis round_trip_ms = -1; ///< As in Pending.
		Millis first_sent_at = 0;
		Millis closed_at = 0;
	};

	static gboolean OnReadable(GSocket *, GIOCondition, gpointer inSelf);
	void Receive();
	void Handle(const std::string &inBytes, GSocketAddress *inFrom);
	void SendTo(GSocketAddress *inTo, const std::string &inBytes, ETraffic inKind);
	void ResendPending();
	/// Delay until datagrams sent now leave the link.
	Millis BacklogMs() const { return this->link == nullptr ? 0 : this->link->BacklogMs(NowMillis()); }
	/// Delay before a question is repeated.
	Millis RepeatDelay(const Pending &inAsked);
	/// Time from the report that a question is being handled until its answer counts as lost.
	Millis OverdueAfterMs(const Pending &inAsked);
	RoundTrip &RoundTripTo(const Address &inHost);
	/// Measures the round trip of a question that has got its first reply.
	void OnFirstReply(Pending &ioAsked, Millis inNow);
	/// Keeps what is needed to recognize a repeat that was sent too soon.
	void KeepClosed(uint64 inNonce, const Pending &inAsked, Millis inNow);
	/// A reply to a question that is over.
	void OnLateReply(uint64 inNonce, Millis inNow);
	/// Tells the asking host that its question is being handled, unless it is answered within a short time.
	void ReportInProgress(const std::string &inSender, uint64 inNonce, const std::shared_ptr<GSocketAddress> &inTo);
	void SendInProgress(uint64 inNonce, GSocketAddress *inTo);
	/// Sends the answer to a repeated question again. Returns false if there is none.
	bool ResendAnswer(const std::string &inSender, GSocketAddress *inTo);
	void CacheAnswer(const std::string &inSender, const std::string &inBytes);

	Address own;
	Metrics &metrics;
	LinkUsage *link; ///< nullptr: bytes are not counted.
	QuestionHandler question_handler;
	MessageHandler message_handler;
	ObjectPtr<GSocket> socket;
	GSource *source = nullptr;
	Timer resend_timer;
	std::map<uint64, Pending> pending;
	std::map<uint64, ClosedQuestion> closed;  ///< By nonce, so the oldest first; kept for `cClosedKeptMs`.
	std::map<Address, RoundTrip> round_trips; ///< By host; at most `cMaxRoundTrips`.
	/// An answer that was sent, kept for repeats of its question that arrive later.
	struct SentAnswer
	{
		std::string bytes;
		Millis at = 0;
	};

	/// Starts at the current time, so that this process is not taken for an earlier one at the same address.
	uint64 next_nonce;
	std::map<std::string, SentAnswer> sent_answers; ///< Answers to questions that change something, by sender and nonce.
	Millis purged_at = 0;                           ///< When old answers were last removed.
	std::set<std::string> answering;                ///< Questions being handled, by sender and nonce: their repeats are ignored.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Loomreach::Jobs
