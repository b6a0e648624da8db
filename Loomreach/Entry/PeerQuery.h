// Questions between entry hosts: one datagram to ask, one to answer, asked again when lost. The owner of a cell answers.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Core/Metrics.h>
#include <Loomreach/Job/JobRecord.h>
#include <Loomreach/Schedule/PoolDemand.h>
#include <Loomreach/Schedule/TeamClaims.h>
#include <Loomreach/Settings/DaemonConfig.h>

namespace Loomreach::Jobs
{

/// What is asked of a cell's owner.
enum class EQuestion : uint8
{
	Show,    ///< A job's phase.
	Count,   ///< Jobs of a queue that have not begun.
	Empty,   ///< Empty a worker for maintenance; is it empty?
	Demand,  ///< What does a pool need, and which workers can it spare?
	Enter,   ///< Put a record into a cell's inbox: the store turns the asking host away.
	Reach,   ///< Does the store answer the host that is asked?
	Shares,  ///< Asked of the fleet's owner: how much may teams have running in the asking cell?
	Forward, ///< Send an order to a worker: the asking host is an owner short of processor time.
	Owners   ///< Which hosts own something: the asking host reads their heartbeats seldom.
};

/// A question. Every field that the kind does not need is empty.
struct PeerQuestion
{
	uint64 nonce = 0; ///< Joins answer and question.
	EQuestion kind = EQuestion::Show;
	uint32 cell = 0;
	std::string queue;
	std::string id;      ///< A job, a worker or a pool.
	std::string team;    ///< Show: who asks.
	int64 version = 0;   ///< Enter: of the asking host's configuration.
	uint64 key_hash = 0; ///< Enter: see Admission.
	int64 for_ms = 0;
	uint32 count = 0;              ///< Demand: workers that should be spared.
	std::vector<std::string> left; ///< Demand: workers whose hosts have just been moved or taken down; the worker list shows them still.
	std::string record;            ///< Enter: the encoded record. Forward: the encoded order.
	uint64 life = 0;               ///< Forward: the process that is meant.
	ShareQuestion shares;          ///< Shares.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->nonce, this->kind, this->cell, this->queue, this->id, this->team, this->version, this->key_hash, this->for_ms,
				  this->count, this->left, this->record, this->life, this->shares);
	}
};

/// An answer.
struct PeerAnswer
{
	uint64 nonce = 0;
	bool owner = false;       ///< Whether the host that answers owns the cell; without it only the fields marked so count.
	Address owner_address;    ///< Counts always: whom the host that answers takes for the owner; port 0: nobody.
	bool entered = false;     ///< Counts always: the record is in the inbox.
	bool not_entered = false; ///< Counts always: it certainly is not; Forward: the order certainly was not sent.
	bool reaches = false;     ///< Counts always: the store answers the host that answers.
	bool under_way = false;   ///< Counts always: the question was taken up, and its answer is still to come.
	int64 clock_ms = 0;       ///< Counts always: the steady clock of the host that answers.
	/// Counts always; Forward: the worker's encoded answer; Owners: their encoded heartbeats; empty: there is none to be had here.
	std::string record;
	bool sure = false;             ///< Whether the owner has read its inbox up to a moment ago.
	EError refusal = EError::None; ///< Counts always; Enter: a newer configuration does not allow it.
	bool known = false;
	bool other_team = false; ///< Show: the job is not the asking team's.
	EJobPhase phase = EJobPhase::Queued;
	uint32 waiting = 0;
	bool empty = false;
	PoolDemand demand;
	ShareAnswer shares;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->nonce, this->owner, this->owner_address, this->entered, this->not_entered, this->reaches, this->under_way,
				  this->clock_ms, this->record, this->sure, this->refusal, this->known, this->other_team, this->phase, this->waiting,
				  this->empty, this->demand, this->shares);
	}
};

/// What hosts tell each other without being asked.
enum class EPeerNews : uint8
{
	Beat, ///< A heartbeat (HostBeat).
	Ends  ///< Ends that an owner has read (EndsUpdate).
};

/// Asks and answers.
class PeerQuery
{
public:
	using OnAnswer = std::function<void(std::optional<PeerAnswer>)>;
	/// Answers now or later.
	using Answerer = std::function<void(const PeerQuestion &, std::function<void(PeerAnswer)>)>;

	/// Takes in what another host tells without being asked; it may be lost, doubled or late.
	using Listener = std::function<void(EPeerNews inKind, const std::string &inNews)>;

	PeerQuery(const Address &inOwn, Metrics &inMetrics, Answerer inAnswerer, Listener inListener);
	~PeerQuery();
	PeerQuery(const PeerQuery &) = delete;
	PeerQuery &operator=(const PeerQuery &) = delete;

	bool Open();
	/// Asks until an answer comes or `inTimeoutMs` is over. `inTakenUpMs`, if above 0: given up sooner where nothing is heard within it.
	void Ask(const Address &inTo, PeerQuestion inQuestion, Millis inTimeoutMs, OnAnswer inDone, Millis inTakenUpMs = 0);
	/// Tells other hosts something, once each.
	void Tell(const std::vector<Address> &inTo, EPeerNews inKind, const std::string &inNews);

private:
	/// A question without an answer yet.
	struct Pending
	{
		Address to;
		std::string bytes;
		OnAnswer done;
		Millis give_up_at = 0;
		Millis limit_at = 0;   ///< When it is given up at the latest, once it was taken up.
		bool taken_up = false; ///< The other side has it: nothing is asked again.
		Millis next_at = 0;
	};

	static gboolean OnReadable(GSocket *, GIOCondition, gpointer inSelf);
	void Receive();
	void Handle(const std::string &inBytes, GSocketAddress *inFrom);
	void SendTo(GSocketAddress *inTo, const std::string &inBytes);
	void Repeat();
	/// Tells whoever asked that its question was taken up, unless the answer is there soon.
	void SayUnderWay(const std::string &inSender, uint64 inNonce, const std::shared_ptr<GSocketAddress> &inTo);
	/// Sends again what was answered before; false: nothing was.
	bool AnswerAgain(const std::string &inSender, GSocketAddress *inTo);
	void Remember(const std::string &inSender, const std::string &inBytes);

	Address own;
	Metrics &metrics;
	Answerer answerer;
	Listener listener;
	ObjectPtr<GSocket> socket;
	GSource *source = nullptr;
	Timer repeat;
	std::map<uint64, Pending> pending;
	/// An answer that was given, for a repeat of its question that comes later still.
	struct Given
	{
		std::string bytes;
		Millis at = 0;
	};

	uint64 next_nonce;                  ///< Begins anywhere: an earlier process at this address must not be taken for this one.
	std::map<std::string, Given> given; ///< Answers to questions that change something, by sender and nonce.
	Millis swept_at = 0;                ///< When those that are too old were last dropped.
	std::set<std::string> answering;    ///< Questions under way here, by sender and nonce: they are asked again and again.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Loomreach::Jobs
