// Questions between entry hosts: one datagram to ask, one to answer, asked again when lost. The owner of a cell answers.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Core/Metrics.h>
#include <Loomreach/Job/JobRecord.h>
#include <Loomreach/Schedule/PoolDemand.h>
#include <Loomreach/Settings/DaemonConfig.h>

namespace Loomreach::Jobs
{

/// What is asked of a cell's owner.
enum class EQuestion : uint8
{
	Show,  ///< A job's phase.
	Count, ///< Jobs of a queue that have not begun.
	Empty, ///< Empty a worker for maintenance; is it empty?
	Demand ///< What does a pool need, and which workers can it spare?
};

/// A question. Every field that the kind does not need is empty.
struct PeerQuestion
{
	uint64 nonce = 0; ///< Joins answer and question.
	EQuestion kind = EQuestion::Show;
	uint32 cell = 0;
	std::string queue;
	std::string id; ///< A job, a worker or a pool.
	int64 for_ms = 0;
	uint32 count = 0; ///< Demand: workers that should be spared.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->nonce, this->kind, this->cell, this->queue, this->id, this->for_ms, this->count);
	}
};

/// An answer.
struct PeerAnswer
{
	uint64 nonce = 0;
	bool owner = false; ///< Whether the host that answers owns the cell; without it nothing else counts.
	bool sure = false;  ///< Whether the owner has read its inbox up to a moment ago.
	bool known = false;
	EJobPhase phase = EJobPhase::Queued;
	uint32 waiting = 0;
	bool empty = false;
	PoolDemand demand;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->nonce, this->owner, this->sure, this->known, this->phase, this->waiting, this->empty, this->demand);
	}
};

/// Asks and answers.
class PeerQuery
{
public:
	using OnAnswer = std::function<void(std::optional<PeerAnswer>)>;
	using Answerer = std::function<PeerAnswer(const PeerQuestion &)>;

	PeerQuery(const Address &inOwn, Metrics &inMetrics, Answerer inAnswerer);
	~PeerQuery();
	PeerQuery(const PeerQuery &) = delete;
	PeerQuery &operator=(const PeerQuery &) = delete;

	bool Open();
	/// Asks until an answer comes or `inTimeoutMs` is over.
	void Ask(const Address &inTo, PeerQuestion inQuestion, Millis inTimeoutMs, OnAnswer inDone);

private:
	/// A question without an answer yet.
	struct Pending
	{
		Address to;
		std::string bytes;
		OnAnswer done;
		Millis give_up_at = 0;
		Millis next_at = 0;
	};

	static gboolean OnReadable(GSocket *, GIOCondition, gpointer inSelf);
	void Receive();
	void Handle(const std::string &inBytes, GSocketAddress *inFrom);
	void SendTo(const Address &inTo, const std::string &inBytes);
	void Repeat();

	Address own;
	Metrics &metrics;
	Answerer answerer;
	ObjectPtr<GSocket> socket;
	GSource *source = nullptr;
	Timer repeat;
	std::map<uint64, Pending> pending;
	uint64 next_nonce = 1;
};

} // namespace Loomreach::Jobs
