// Events of the modelled hosts and of the partition.

#include <Loomreach/Loomreach.h>

#include <Loomreach/State/Codec.h>
#include <UnitTests/AdmissionWorld.h>

namespace Loomreach::Jobs
{

static constexpr Millis cNetworkMs = 1;
static constexpr Millis cCallTimeoutMs = 700; ///< As in InboxWriter.
static constexpr Millis cMaxQueueMs = 2000;   ///< The store refuses calls that have waited longer.
static constexpr Millis cAckMs = 30;          ///< As in PeerQuery: acknowledgement,
static constexpr Millis cNoAckMs = 150;       ///< time without one,
static constexpr Millis cSilenceMs = 600;     ///< silence after one,
static constexpr Millis cRepeatMs = 60;       ///< repeats before
static constexpr Millis cRepeatAckedMs = 240; ///< and after it.
static constexpr Millis cAskTickMs = 30;
static constexpr Millis cTakeoverMs = 2000;     ///< A lease of an owner.
static constexpr Millis cReadIntervalMs = 1000; ///< Interval of a host's reads of heartbeats.
static constexpr size_t cMaxRecords = 500;
static constexpr size_t cMaxCalls = 3;
static constexpr double cAppendMs = 4.0;
static constexpr double cQuickMs = 20.0;

/// An attempt that is being handled by a host.
struct AdmissionWorld::Request
{
	std::string id;
	size_t attempt = 0;
	size_t record = 0;
	size_t retries_left = 0;
	Submission submission{0};
	bool own_in_flight = false;
	bool done = false;
};

/// A question to a collector, on both sides.
struct AdmissionWorld::Asked
{
	std::shared_ptr<Request> request;
	size_t from = 0;
	CollectorHost collector;
	size_t to = 0;
	Millis give_up_at = 0;
	Millis limit_at = 0;
	Millis resend_at = 0;
	bool acked = false;
	bool ended = false;
	bool repeated = false;
	/// What one process of the collector has done about it.
	struct Handling
	{
		bool begun = false;
		std::optional<PeerAnswer> answer;
	};
	std::map<uint64, Handling> handling; ///< By process.
};

/// One entry host.
struct AdmissionWorld::Host
{
	size_t index = 0;
	std::string name;
	Address address;
	Faults faults;
	uint64 process = 1;           ///< Rises with each process at its address.
	uint64 announced_process = 1; ///< The one that the other hosts have heard of.
	Millis reads_inbox_from = 0;  ///< A new process of the owner knows no jobs before it has taken its cell over.
	std::vector<std::function<void()>> postponed;
	InboxPaths paths;
	OpenAppends open_appends{cAppendMs};
	bool checking = false;
	CollectorChoice choice;
	StoreWatch watch;
	std::set<std::shared_ptr<Request>> own_appends;
	/// Writer
	struct Item
	{
		std::string id;
		Millis give_up_at = 0;
		std::function<void(EAppendResult)> done;
	};
	std::deque<Item> waiting;
	size_t in_flight = 0;
	Millis sent_at = -1000;
	double latency_ms = cAppendMs;
	bool flush_planned = false;
};

AdmissionWorld::AdmissionWorld(size_t inHosts, uint64 inSeed) : random(inSeed)
{
	for (size_t i = 0; i < inHosts; ++i)
	{
		Host &host = *this->hosts.emplace_back(std::make_unique<Host>());
		host.index = i;
		host.name = "h" + std::to_string(i);
		host.address = {"10.0.0." + std::to_string(i), 1};
		this->HostAt(host, static_cast<Millis>(this->random.Below(cReadIntervalMs)), [this, &host] { this->ReadStore(host, true); });
	}
}

AdmissionWorld::~AdmissionWorld() = default;

AdmissionWorld::Faults &AdmissionWorld::FaultsOf(size_t inHost) { return this->hosts[inHost]->faults; }

const InboxPaths &AdmissionWorld::PathsOf(size_t inHost) const { return this->hosts[inHost]->paths; }

void AdmissionWorld::RunUntil(Millis inUntil)
{
	while (!this->events.empty() && this->events.begin()->first <= inUntil)
	{
		auto next = this->events.extract(this->events.begin());
		this->now = std::max(this->now, next.key());
		next.mapped()();
	}
	this->now = inUntil;
}

void AdmissionWorld::HostAt(Host &ioHost, Millis inAt, std::function<void()> inCall)
{
	this->At(inAt,
			 [host = &ioHost, process = ioHost.process, call = std::move(inCall)]
			 {
				 if (host->process != process)
					 return;
				 if (host->faults.frozen)
					 host->postponed.push_back(call);
				 else if (!host->faults.killed)
					 call();
			 });
}

void AdmissionWorld::Restart(size_t inHost, Millis inBackMs, Millis inHeardMs)
{
	Host &host = *this->hosts[inHost];
	for (Attempt &attempt : this->attempts)
		attempt.connection_lost = attempt.connection_lost || (attempt.host == inHost && attempt.answered_at < 0);
	Host next;
	next.index = host.index;
	next.name = host.name;
	next.address = host.address;
	next.faults = host.faults;
	next.faults.frozen = false;
	next.faults.killed = true;
	next.process = host.process + 1;
	next.announced_process = host.announced_process;
	next.reads_inbox_from = this->now + inBackMs + cTakeoverMs;
	host = std::move(next);
	this->At(this->now + inBackMs,
			 [this, &host, process = host.process, inHeardMs]
			 {
				 if (host.process != process)
					 return;
				 host.faults.killed = false;
				 this->ReadStore(host, true);
				 this->HostAt(host, this->now + inHeardMs, [&host] { host.announced_process = host.process; });
			 });
}

bool AdmissionWorld::KnowsRecord(const Host &inHost, const std::string &inId) const
{
	return inHost.index == this->owner && this->now >= inHost.reads_inbox_from && this->inbox.contains(inId);
}

void AdmissionWorld::Thaw(size_t inHost)
{
	Host &host = *this->hosts[inHost];
	host.faults.frozen = false;
	for (const std::function<void()> &call : std::exchange(host.postponed, {}))
		call();
}

// ---- Callers ----

void AdmissionWorld::Submit(size_t inHost, Millis inAt)
{
	this->At(inAt, [this, inHost, record = this->records++] { this->Arrive(record, inHost, this->retries); });
}

void AdmissionWorld::Arrive(size_t inRecord, size_t inHost, size_t inRetriesLeft)
{
	Host &host = *this->hosts[inHost];
	// The load balancer sends callers to live hosts only
	if (host.faults.killed || host.faults.frozen)
		return this->Arrive(inRecord, (inHost + 1) % this->hosts.size(), inRetriesLeft);
	auto request = std::make_shared<Request>();
	request->id = "r" + std::to_string(inRecord);
	request->attempt = this->attempts.size();
	request->record = inRecord;
	request->retries_left = inRetriesLeft;
	Attempt &attempt = this->attempts.emplace_back();
	attempt.record = inRecord;
	attempt.host = inHost;
	attempt.arrived_at = this->now;
	const Millis give_up_at = this->now + this->deadline_ms - 150;
	request->submission = Submission(give_up_at);
	this->HostAt(host, give_up_at, [this, &host, request] { this->Execute(host, request, request->submission.OnTimeUp()); });
	this->Execute(host, request, request->submission.Begin(this->ViewOf(host)));
}

void AdmissionWorld::Finish(const std::shared_ptr<Request> &inRequest, EError inError, int inRetryAfterS)
{
	if (std::exchange(inRequest->done, true))
		return;
	Attempt &attempt = this->attempts[inRequest->attempt];
	attempt.answered_at = this->now;
	attempt.error = inError;
	attempt.retry_after_s = inRetryAfterS;
	attempt.tried = inRequest->submission.TriedText();
	if (inError != EError::PlatformDown)
		return;
	this->certain_refusal[inRequest->id] = this->now;
	if (inRequest->retries_left == 0)
		return;
	// The caller returns as a new attempt with the same id, at another host
	const size_t host = this->random.Below(this->hosts.size());
	this->At(this->now + Millis{1000} * inRetryAfterS,
			 [this, request = inRequest, host] { this->Arrive(request->record, host, request->retries_left - 1); });
}

// ---- Hosts ----

std::vector<CollectorHost> AdmissionWorld::Collectors(Host &ioHost)
{
	std::vector<CollectorHost> all;
	const bool unresponsive = ioHost.watch.IsUnresponsive(this->now);
	for (const std::unique_ptr<Host> &host : this->hosts)
	{
		const bool is_self = host.get() == &ioHost;
		if (is_self && unresponsive)
			continue;
		const bool is_owner = host->index == this->owner;
		const bool reaches = unresponsive && !host->faults.cut_off && !this->store_down;
		if (unresponsive && !reaches && !is_owner)
			continue;
		all.push_back({host->name, host->address, is_self, is_owner, true, reaches, host->announced_process});
	}
	return ioHost.choice.Candidates(0, all, this->now);
}

std::string AdmissionWorld::FirstCollector(size_t inAsking)
{
	const std::vector<CollectorHost> hosts_in_order = this->Collectors(*this->hosts[inAsking]);
	return hosts_in_order.empty() ? "" : hosts_in_order.front().name;
}

SubmissionView AdmissionWorld::ViewOf(Host &ioHost)
{
	SubmissionView view;
	view.now = this->now;
	view.path = ioHost.paths.PathOf(0);
	view.store_unresponsive = ioHost.watch.IsUnresponsive(this->now);
	view.candidates = this->Collectors(ioHost);
	const Host &owning = *this->hosts[this->owner];
	view.owner = CollectorHost{owning.name, owning.address, &owning == &ioHost, true, true, false, owning.announced_process};
	return view;
}

void AdmissionWorld::Execute(Host &ioHost, const std::shared_ptr<Request> &inRequest, const SubmissionStep &inStep)
{
	switch (inStep.kind)
	{
	case ESubmissionStep::Wait: break;
	case ESubmissionStep::Append: this->AppendOwn(ioHost, inRequest, inStep.limit_ms); break;
	case ESubmissionStep::Ask: this->Ask(ioHost, inRequest, inStep); break;
	case ESubmissionStep::AskLater:
		this->HostAt(ioHost, this->now + inStep.delay_ms,
					 [this, &ioHost, inRequest]
					 { this->Execute(ioHost, inRequest, inRequest->submission.OnDelayOver(this->ViewOf(ioHost))); });
		break;
	case ESubmissionStep::Accept: this->Finish(inRequest, EError::None, 0); break;
	case ESubmissionStep::Refuse:
		this->Finish(inRequest, inStep.error,
					 RetryAfterSeconds({inRequest->id, inStep.expected_wait_ms,
										ioHost.watch.IsUnresponsive(this->now) ? ioHost.watch.UnansweredFor(this->now) : 0}));
		break;
	}
}

void AdmissionWorld::AppendOwn(Host &ioHost, const std::shared_ptr<Request> &inRequest, Millis inLimitMs)
{
	if (this->KnowsRecord(ioHost, inRequest->id))
		return this->Execute(ioHost, inRequest, inRequest->submission.OnOwnAppend(true, EOwnAppend::None, {}));
	this->appended_in_flight += std::exchange(inRequest->own_in_flight, true) ? 1 : 0;
	ioHost.own_appends.insert(inRequest);
	const bool collected = ioHost.paths.PathOf(0) == EInboxPath::Collected;
	const Millis sent_at = this->now;
	this->Write(ioHost, inRequest->id, this->now + inLimitMs,
				[this, &ioHost, inRequest, collected, sent_at](EAppendResult inResult)
				{
					inRequest->own_in_flight = false;
					ioHost.own_appends.erase(inRequest);
					const bool done = inResult == EAppendResult::Done;
					if (done && collected && static_cast<double>(this->now - sent_at) <= cQuickMs)
						ioHost.paths.OnQuickAnswer(0);
					const EOwnAppend outcome = inResult == EAppendResult::Unknown ? EOwnAppend::Unknown : EOwnAppend::Refused;
					this->Execute(ioHost, inRequest, inRequest->submission.OnOwnAppend(done, outcome, this->ViewOf(ioHost)));
				});
}

void AdmissionWorld::OnSlowSign(Host &ioHost, ESlowSign inSign)
{
	const InboxPaths::SignEffect effect = ioHost.paths.OnSlowSign(inSign, this->now);
	if (effect.notify_all)
		for (const std::unique_ptr<Host> &other : this->hosts)
			if (other.get() != &ioHost)
				this->Send(ioHost.index, other->index, [this, to = other.get()] { this->OnSlowSign(*to, ESlowSign::OtherHost); });
	if (!effect.changed)
		return;
	ioHost.watch.OnSlow(this->now);
	if (ioHost.index == this->owner)
		this->ReadStore(ioHost, false);
	if (this->FirstCollector(ioHost.index) != ioHost.name)
		for (const Host::Item &item : std::exchange(ioHost.waiting, {}))
			item.done(EAppendResult::Refused);
	for (const std::shared_ptr<Request> &request : std::set(ioHost.own_appends))
		this->Execute(ioHost, request, request->submission.OnCollected(this->ViewOf(ioHost)));
}

void AdmissionWorld::WatchAppend(Host &ioHost)
{
	if (std::exchange(ioHost.checking, true))
		return;
	const Millis due = this->now + ioHost.open_appends.OverdueAfter();
	this->HostAt(ioHost, due, [this, &ioHost] { this->CheckAppends(ioHost); });
}

void AdmissionWorld::CheckAppends(Host &ioHost)
{
	const OpenAppends::Verdict verdict = ioHost.open_appends.Check(this->now, this->now);
	ioHost.checking = verdict.next_check_ms >= 0;
	if (ioHost.checking)
		this->HostAt(ioHost, this->now + verdict.next_check_ms, [this, &ioHost] { this->CheckAppends(ioHost); });
	if (verdict.sign.has_value())
		this->OnSlowSign(ioHost, *verdict.sign);
}

// ---- Transport ----

void AdmissionWorld::Send(size_t inFrom, size_t inTo, std::function<void()> inReceive)
{
	++this->datagrams;
	if (this->hosts[inFrom]->faults.no_link.contains(inTo) || this->hosts[inTo]->faults.no_link.contains(inFrom))
		return;
	const Millis takes =
		cNetworkMs + (this->jitter_ms > 0 ? static_cast<Millis>(this->random.Below(static_cast<uint64>(this->jitter_ms))) : 0);
	// Whichever process is there by then
	this->At(this->now + takes,
			 [this, to = this->hosts[inTo].get(), receive = std::move(inReceive)] { this->HostAt(*to, this->now, receive); });
}

void AdmissionWorld::Ask(Host &ioHost, const std::shared_ptr<Request> &inRequest, const SubmissionStep &inStep)
{
	auto asked = std::make_shared<Asked>();
	asked->request = inRequest;
	asked->from = ioHost.index;
	asked->collector = inStep.collector;
	for (const std::unique_ptr<Host> &host : this->hosts)
		if (host->name == inStep.collector.name)
			asked->to = host->index;
	asked->limit_at = this->now + inStep.limit_ms;
	asked->give_up_at = std::min(asked->limit_at, this->now + cNoAckMs);
	asked->resend_at = this->now + cRepeatMs;
	this->SendQuestion(ioHost, asked);
	this->HostAt(ioHost, this->now + cAskTickMs, [this, &ioHost, asked] { this->CheckAsked(ioHost, asked); });
}

void AdmissionWorld::SendQuestion(Host &ioHost, const std::shared_ptr<Asked> &inAsked)
{
	Host &to = *this->hosts[inAsked->to];
	this->Send(ioHost.index, to.index, [this, &to, inAsked] { this->OnQuestion(to, inAsked->from, inAsked); });
}

void AdmissionWorld::CheckAsked(Host &ioHost, const std::shared_ptr<Asked> &inAsked)
{
	if (inAsked->ended)
		return;
	if (this->now >= inAsked->give_up_at)
	{
		inAsked->ended = true;
		CollectorReply reply;
		reply.outcome = inAsked->acked ? ECollected::Silent : ECollected::NoAnswer;
		if (this->now < inAsked->limit_at)
			ioHost.choice.OnSilent(inAsked->collector.address, this->now);
		return this->Execute(ioHost, inAsked->request, inAsked->request->submission.OnReply(reply, this->ViewOf(ioHost)));
	}
	if (this->now >= inAsked->resend_at)
	{
		inAsked->repeated = true;
		inAsked->resend_at = this->now + (inAsked->acked ? cRepeatAckedMs : cRepeatMs);
		this->SendQuestion(ioHost, inAsked);
	}
	this->HostAt(ioHost, this->now + cAskTickMs, [this, &ioHost, inAsked] { this->CheckAsked(ioHost, inAsked); });
}

void AdmissionWorld::OnQuestion(Host &ioHost, size_t inFrom, const std::shared_ptr<Asked> &inAsked)
{
	Host &asking = *this->hosts[inFrom];
	const auto acknowledge = [this, &ioHost, &asking, inAsked]
	{
		this->Send(ioHost.index, asking.index,
				   [this, inAsked]
				   {
					   if (!std::exchange(inAsked->acked, true))
						   inAsked->resend_at = this->now + cRepeatAckedMs;
					   inAsked->give_up_at = std::min(inAsked->limit_at, this->now + cSilenceMs);
				   });
	};
	Asked::Handling &handling = inAsked->handling[ioHost.process];
	const auto answer = [this, &ioHost, &asking, inAsked, &handling](PeerAnswer inAnswer)
	{
		handling.answer = std::move(inAnswer);
		this->Send(ioHost.index, asking.index,
				   [this, &asking, inAsked, given = *handling.answer] { this->OnAnswer(asking, inAsked, given); });
	};
	if (handling.answer.has_value())
		return answer(*handling.answer);
	if (std::exchange(handling.begun, true))
		return acknowledge();
	const std::string &id = inAsked->request->id;
	PeerAnswer given;
	given.reaches_store = !ioHost.watch.IsUnresponsive(this->now);
	given.appended = this->KnowsRecord(ioHost, id);
	if (given.appended)
		return answer(given);
	PeerQuestion question;
	question.incarnation = inAsked->collector.incarnation;
	if (IsForOtherProcess(question, ioHost.process))
		return answer(RefuseForOtherProcess(given, ioHost.process));
	given.known = question.incarnation == ioHost.process;
	given.not_done = true;
	if (!given.reaches_store)
		return answer(given);
	const size_t batches = ioHost.in_flight + 1 + ioHost.waiting.size() / cMaxRecords;
	const auto wait = static_cast<Millis>(static_cast<double>(batches) * ioHost.latency_ms);
	if (this->now + wait > inAsked->limit_at)
	{
		given.record = EncodeValue(CollectorStatus{false, wait});
		return answer(given);
	}
	this->HostAt(ioHost, this->now + cAckMs,
				 [&handling, acknowledge]
				 {
					 if (!handling.answer.has_value())
						 acknowledge();
				 });
	const Millis sent_at = this->now;
	this->Write(ioHost, id, inAsked->limit_at,
				[this, answer, sent_at, given](EAppendResult inResult) mutable
				{
					given.appended = inResult == EAppendResult::Done;
					given.not_done = inResult == EAppendResult::Refused;
					const bool quick = given.appended && static_cast<double>(this->now - sent_at) <= cQuickMs;
					if (given.appended)
						given.record = EncodeValue(CollectorStatus{quick, 0});
					answer(given);
				});
}

void AdmissionWorld::OnAnswer(Host &ioAsking, const std::shared_ptr<Asked> &inAsked, PeerAnswer inAnswer)
{
	if (std::exchange(inAsked->ended, true))
		return;
	inAnswer.repeated = inAsked->repeated;
	const CollectorReply reply = CollectorReplyOf(inAnswer);
	if (DecodeValue<CollectorStatus>(inAnswer.record).value_or(CollectorStatus{}).quick)
		ioAsking.paths.OnQuickAnswer(0);
	if (reply.outcome == ECollected::CannotReach)
		ioAsking.choice.OnCannotReachStore(inAsked->collector.address, this->now);
	this->Execute(ioAsking, inAsked->request, inAsked->request->submission.OnReply(reply, this->ViewOf(ioAsking)));
}

// ---- Writer ----

void AdmissionWorld::Write(Host &ioHost, const std::string &inId, Millis inGiveUpAt, std::function<void(EAppendResult)> inDone)
{
	if (ioHost.paths.PathOf(0) == EInboxPath::Direct)
		ioHost.watch.OnSent(this->now);
	const uint64 watched = ioHost.open_appends.Add(ESlowSign::InboxAppend, this->now);
	const Millis sent_at = this->now;
	this->WatchAppend(ioHost);
	ioHost.waiting.push_back({inId, inGiveUpAt,
							  [this, &ioHost, watched, sent_at, done = std::move(inDone)](EAppendResult inResult)
							  {
								  ioHost.open_appends.Remove(watched);
								  if (inResult == EAppendResult::Done)
									  ioHost.watch.OnAnswered(sent_at, this->now);
								  done(inResult);
							  }});
	this->Flush(ioHost);
}

void AdmissionWorld::Flush(Host &ioHost)
{
	if (ioHost.waiting.empty())
		return;
	// One call, another one only after twice the latency, doubled for each further call in flight
	const double latency = std::max(ioHost.latency_ms, ioHost.in_flight > 0 ? static_cast<double>(this->now - ioHost.sent_at) : 0.0);
	const Millis gap = std::max<Millis>(40, static_cast<Millis>(2.0 * latency)) << (ioHost.in_flight > 0 ? ioHost.in_flight - 1 : 0);
	if (ioHost.in_flight > 0 && (ioHost.in_flight >= cMaxCalls || this->now - ioHost.sent_at < gap))
	{
		if (!std::exchange(ioHost.flush_planned, true))
			this->HostAt(ioHost, std::max(this->now + 1, ioHost.sent_at + gap),
						 [this, &ioHost]
						 {
							 ioHost.flush_planned = false;
							 this->Flush(ioHost);
						 });
		return;
	}
	std::vector<Host::Item> items;
	while (!ioHost.waiting.empty() && items.size() < cMaxRecords)
	{
		Host::Item item = std::move(ioHost.waiting.front());
		ioHost.waiting.pop_front();
		if (item.give_up_at <= this->now)
			item.done(EAppendResult::Refused);
		else
			items.push_back(std::move(item));
	}
	if (items.empty())
		return;
	Call call;
	for (const Host::Item &item : items)
		call.ids.push_back(item.id);
	++ioHost.in_flight;
	ioHost.sent_at = this->now;
	auto ended = std::make_shared<bool>(false);
	auto done = [this, &ioHost, ended, items = std::move(items), sent_at = this->now](EAppendResult inResult)
	{
		if (std::exchange(*ended, true))
			return;
		const auto took = static_cast<double>(this->now - sent_at);
		ioHost.latency_ms = std::max(took, ioHost.latency_ms + 0.4 * (took - ioHost.latency_ms));
		if (inResult != EAppendResult::Unknown)
			--ioHost.in_flight;
		else
			// The call may be in the partition's queue until the store refuses it
			this->HostAt(ioHost, sent_at + cMaxQueueMs,
						 [this, &ioHost]
						 {
							 --ioHost.in_flight;
							 this->Flush(ioHost);
						 });
		for (const Host::Item &item : items)
			item.done(inResult);
		this->Flush(ioHost);
	};
	this->HostAt(ioHost, this->now + cCallTimeoutMs, [done] { done(EAppendResult::Unknown); });
	call.done = [this, &ioHost, process = ioHost.process, done](EAppendResult inResult)
	{
		if (ioHost.process == process)
			this->HostAt(ioHost, this->now + cNetworkMs, [done, inResult] { done(inResult); });
	};
	++this->calls;
	if (this->store_busy)
		return call.done(EAppendResult::Refused);
	if (!this->store_down && !ioHost.faults.cut_off)
		this->At(this->now + ioHost.faults.slow_ms, [this, call = std::move(call)]() mutable { this->Receive(std::move(call)); });
}

void AdmissionWorld::ReadStore(Host &ioHost, bool inRepeats)
{
	const Millis sent_at = this->now;
	ioHost.watch.OnSent(sent_at);
	if (!this->store_down && !ioHost.faults.cut_off)
		this->HostAt(ioHost, this->now + this->append_ms, [this, &ioHost, sent_at] { ioHost.watch.OnAnswered(sent_at, this->now); });
	if (inRepeats)
		this->HostAt(ioHost, this->now + cReadIntervalMs, [this, &ioHost] { this->ReadStore(ioHost, true); });
}

// ---- Partition ----

void AdmissionWorld::Receive(Call inCall)
{
	inCall.arrived_at = this->now;
	this->queue.push_back(std::move(inCall));
	this->max_open_calls = std::max(this->max_open_calls, this->queue.size());
	if (!this->serving)
		this->Serve();
}

void AdmissionWorld::Serve()
{
	while (!this->queue.empty() && this->now - this->queue.front().arrived_at > cMaxQueueMs)
	{
		this->queue.front().done(EAppendResult::Refused);
		this->queue.pop_front();
	}
	this->serving = !this->queue.empty();
	if (!this->serving)
		return;
	this->At(this->now + this->append_ms,
			 [this]
			 {
				 for (const std::string &id : this->queue.front().ids)
					 ++this->inbox[id];
				 this->queue.front().done(EAppendResult::Done);
				 this->queue.pop_front();
				 this->Serve();
			 });
}

// ---- Reports ----

std::string AdmissionWorld::Violations() const
{
	std::string text;
	std::set<std::string> accepted;
	for (const Attempt &attempt : this->attempts)
	{
		const std::string id = "r" + std::to_string(attempt.record);
		if (attempt.answered_at < 0)
			text += attempt.connection_lost ? "" : id + " without an answer; ";
		else if (attempt.error == EError::None)
			accepted.insert(id);
		if (attempt.error == EError::None && attempt.answered_at >= 0 && !this->inbox.contains(id))
			text += id + " accepted but lost; ";
	}
	// A record whose attempts were all refused for certain must not be in the inbox
	for (const auto &[id, count] : this->inbox)
	{
		bool only_certain = !accepted.contains(id);
		for (const Attempt &attempt : this->attempts)
			only_certain = only_certain && ("r" + std::to_string(attempt.record) != id || attempt.error == EError::PlatformDown);
		if (only_certain)
			text += id + " refused for certain but appended; ";
	}
	if (this->appended_in_flight > 0)
		text += "appended again while in flight; ";
	return text;
}

double AdmissionWorld::Served(Millis inFrom, Millis inUntil, Millis inWithinMs) const
{
	double arrived = 0.0;
	double served = 0.0;
	for (const Attempt &attempt : this->attempts)
	{
		if (attempt.arrived_at < inFrom || attempt.arrived_at >= inUntil)
			continue;
		++arrived;
		if (attempt.error == EError::None && attempt.answered_at >= 0 && attempt.answered_at - attempt.arrived_at <= inWithinMs)
			++served;
	}
	return arrived == 0.0 ? 1.0 : served / arrived;
}

std::string AdmissionWorld::AcceptedBySecond(Millis inFrom, Millis inUntil) const
{
	std::string text;
	for (Millis from = inFrom; from < inUntil; from += 1000)
	{
		size_t arrived = 0;
		size_t accepted = 0;
		for (const Attempt &attempt : this->attempts)
		{
			arrived += attempt.arrived_at >= from && attempt.arrived_at < from + 1000 ? 1 : 0;
			accepted += attempt.error == EError::None && attempt.answered_at >= from && attempt.answered_at < from + 1000 ? 1 : 0;
		}
		text += (text.empty() ? "" : " ") + std::to_string(accepted) + '/' + std::to_string(arrived);
	}
	return text;
}

} // namespace Loomreach::Jobs
