// UDP transport of questions and answers, encoded with cereal.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/PeerQuery.h>
#include <Loomreach/State/Codec.h>

namespace Loomreach::Jobs
{

/// A job's record has 1 to 6 KB; the largest must fit into one datagram.
static constexpr size_t cMaxDatagramBytes = 32768;
/// Interval at which questions are checked for repeats.
static constexpr Millis cResendCheckMs = 30;
/// A late reply to a question that is over arrives within this time.
static constexpr Millis cClosedKeptMs = 5000;
/// A question is sent this often within its time, whatever round trips were measured: a host that has just restarted answers late at first.
static constexpr Millis cMinSends = 2;
/// The same within the short time in which the other host must report that it handles the question.
static constexpr Millis cMinReportSends = 3;
static constexpr size_t cMaxRoundTrips = 4096; ///< Hosts whose round trips are kept.
/// Answers are kept much longer than the last repeat of any question (2.8 s) and the delay of a datagram.
static constexpr Millis cAnswerCacheMs = 10000;
/// Questions that take longer are reported as being handled: a worker answers the start of a run within a few ms.
static constexpr Millis cInProgressMs = 30;
/// Delay before a question that is being handled is repeated, to learn whether the other host still responds: twice within the time after
/// which it counts as silent. Also the delay between repeats of one whose answer is overdue.
static constexpr Millis cResendInProgressMs = 240;
static constexpr char cQuestionMark = 'Q';
static constexpr char cAnswerMark = 'A';
static constexpr char cHeartbeatMark = 'N';
static constexpr char cEndsMark = 'E';
static constexpr char cSlowStoreMark = 'S';

/// Marks of the messages that are not questions or answers.
static constexpr std::array cMessageMarks = {
	std::pair{cHeartbeatMark, EPeerMessage::Heartbeat},
	std::pair{cEndsMark, EPeerMessage::Ends},
	std::pair{cSlowStoreMark, EPeerMessage::SlowStore},
};

static char MarkOf(EPeerMessage inKind)
{
	for (const auto &[mark, kind] : cMessageMarks)
		if (kind == inKind)
			return mark;
	return cHeartbeatMark;
}

/// Converts an address for the socket.
static ObjectPtr<GSocketAddress> ToSocketAddress(const Address &inAddress)
{
	return ObjectPtr<GSocketAddress>(g_inet_socket_address_new_from_string(inAddress.ip.c_str(), inAddress.port));
}

PeerQuery::PeerQuery(const Address &inOwn, Metrics &inMetrics, QuestionHandler inQuestionHandler, MessageHandler inMessageHandler,
					 LinkUsage *inLink)
	: own(inOwn), metrics(inMetrics), link(inLink), question_handler(std::move(inQuestionHandler)),
	  message_handler(std::move(inMessageHandler)), next_nonce(static_cast<uint64>(g_get_real_time()))
{
}

PeerQuery::~PeerQuery()
{
	if (this->source == nullptr)
		return;
	g_source_destroy(this->source);
	g_source_unref(this->source);
}

bool PeerQuery::Open()
{
	ErrorPtr error;
	const ObjectPtr<GSocketAddress> where = ToSocketAddress(this->own);
	this->socket.reset(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, error.Out()));
	if (this->socket == nullptr || where == nullptr || g_socket_bind(this->socket.get(), where.get(), TRUE, error.Out()) == FALSE)
		return FailFalse(EError::BadConfig, "peers: " + this->own.Text() + ": " + error.Text());
	g_socket_set_blocking(this->socket.get(), FALSE);
	this->source = g_socket_create_source(this->socket.get(), G_IO_IN, nullptr);
	g_source_set_callback(this->source, G_SOURCE_FUNC(&PeerQuery::OnReadable), this, nullptr);
	g_source_attach(this->source, nullptr);
	return true;
}

gboolean PeerQuery::OnReadable(GSocket *, GIOCondition, gpointer inSelf)
{
	static_cast<PeerQuery *>(inSelf)->Receive();
	return G_SOURCE_CONTINUE;
}

void PeerQuery::Receive()
{
	for (;;)
	{
		static std::array<gchar, cMaxDatagramBytes> buffer;
		GSocketAddress *from = nullptr;
		const gssize got = g_socket_receive_from(this->socket.get(), &from, buffer.data(), buffer.size(), nullptr, nullptr);
		const ObjectPtr<GSocketAddress> sender(from);
		if (got <= 0)
			return;
		this->metrics.Count(ECounter::PeerBytes, "in", static_cast<uint64>(got));
		if (this->link != nullptr)
			this->link->OnReceived(ETraffic::Question, static_cast<size_t>(got));
		this->Handle(std::string(buffer.data(), static_cast<size_t>(got)), from);
	}
}

/// "ip:port" of a datagram's sender.
static std::string SenderText(GSocketAddress *inFrom)
{
	GInetSocketAddress *address = G_INET_SOCKET_ADDRESS(inFrom);
	gchar *ip = g_inet_address_to_string(g_inet_socket_address_get_address(address));
	std::string text = std::string(ip) + ':' + std::to_string(g_inet_socket_address_get_port(address));
	g_free(ip);
	return text;
}

void PeerQuery::Handle(const std::string &inBytes, GSocketAddress *inFrom)
{
	const std::string_view body = std::string_view(inBytes).substr(1);
	for (const auto &[mark, kind] : cMessageMarks)
		if (inBytes[0] == mark)
			return this->message_handler(kind, std::string(body));
	if (inBytes[0] == cAnswerMark)
	{
		std::optional<PeerAnswer> answer = DecodeValue<PeerAnswer>(body);
		if (!answer.has_value())
			return this->metrics.Count(ECounter::PeerRejects, AnswerOf(LastReason().kind).name);
		const Millis arrived_at = NowMillis();
		auto found = this->pending.find(answer->nonce);
		if (found == this->pending.end())
			return this->OnLateReply(answer->nonce, arrived_at);
		this->OnFirstReply(found->second, arrived_at);
		if (answer->in_progress)
		{
			Pending &asked = found->second;
			const Millis now = NowMillis();
			const Millis silence_ms = asked.times.silence_ms;
			if (!std::exchange(asked.in_progress, true))
				asked.resend_at = now + (silence_ms > 0 ? cResendInProgressMs : this->OverdueAfterMs(asked));
			asked.give_up_at = silence_ms > 0 ? std::min(asked.limit_at, now + silence_ms) : asked.limit_at;
			return;
		}
		answer->reported = found->second.in_progress;
		answer->repeated = found->second.repeated;
		this->KeepClosed(answer->nonce, found->second, arrived_at);
		const OnAnswer done = std::move(found->second.done);
		this->pending.erase(found);
		return done(answer);
	}
	const std::optional<PeerQuestion> question = DecodeValue<PeerQuestion>(body);
	if (inBytes[0] != cQuestionMark || !question.has_value())
		return this->metrics.Count(ECounter::PeerRejects, "corrupt");
	const std::string sender = SenderText(inFrom) + '/' + std::to_string(question->nonce);
	if (this->ResendAnswer(sender, inFrom))
		return;
	const bool is_append = question->kind == EQuestion::AppendInbox;
	if (!this->answering.insert(sender).second)
	{
		// The asking host repeats such a question to learn whether this host still responds
		if (is_append)
			this->SendInProgress(question->nonce, inFrom);
		return;
	}
	std::shared_ptr<GSocketAddress> to(static_cast<GSocketAddress *>(g_object_ref(inFrom)),
									   [](GSocketAddress *inOld) { g_object_unref(inOld); });
	if (is_append || question->kind == EQuestion::Forward)
		this->ReportInProgress(sender, question->nonce, to);
	this->question_handler(*question,
						   [this, to, sender, nonce = question->nonce, changes = is_append || question->kind == EQuestion::Forward,
							alive = std::weak_ptr<bool>(this->alive)](PeerAnswer inAnswer)
						   {
							   if (alive.expired())
								   return;
							   this->answering.erase(sender);
							   inAnswer.nonce = nonce;
							   inAnswer.clock_ms = NowMillis();
							   const std::string bytes = cAnswerMark + EncodeValue(inAnswer);
							   if (changes)
								   this->CacheAnswer(sender, bytes);
							   this->SendTo(to.get(), bytes, ETraffic::Answer);
						   });
}

void PeerQuery::ReportInProgress(const std::string &inSender, uint64 inNonce, const std::shared_ptr<GSocketAddress> &inTo)
{
	// Most answers are sent sooner, which saves this datagram
	After(cInProgressMs,
		  [this, sender = inSender, nonce = inNonce, to = inTo, alive = std::weak_ptr<bool>(this->alive)]
		  {
			  if (alive.expired() || !this->answering.contains(sender))
				  return;
			  this->SendInProgress(nonce, to.get());
		  });
}

void PeerQuery::SendInProgress(uint64 inNonce, GSocketAddress *inTo)
{
	PeerAnswer answer;
	answer.nonce = inNonce;
	answer.in_progress = true;
	answer.clock_ms = NowMillis();
	this->SendTo(inTo, cAnswerMark + EncodeValue(answer), ETraffic::Answer);
}

bool PeerQuery::ResendAnswer(const std::string &inSender, GSocketAddress *inTo)
{
	// A repeat may arrive after the answer was sent. What was reported as not done must not be done then
	auto known = this->sent_answers.find(inSender);
	if (known == this->sent_answers.end())
		return false;
	this->SendTo(inTo, known->second.bytes, ETraffic::Answer);
	return true;
}

void PeerQuery::CacheAnswer(const std::string &inSender, const std::string &inBytes)
{
	const Millis now = NowMillis();
	if (now - this->purged_at > cAnswerCacheMs)
	{
		std::erase_if(this->sent_answers, [now](const auto &inSent) { return now - inSent.second.at > cAnswerCacheMs; });
		this->purged_at = now;
	}
	this->sent_answers[inSender] = {inBytes, now};
}

void PeerQuery::SendTo(GSocketAddress *inTo, const std::string &inBytes, ETraffic inKind)
{
	if (this->link != nullptr)
		this->link->OnSent(inKind, inBytes.size(), NowMillis());
	this->metrics.Count(ECounter::PeerBytes, "out", inBytes.size());
	ErrorPtr error;
	if (g_socket_send_to(this->socket.get(), inTo, inBytes.data(), inBytes.size(), nullptr, error.Out()) < 0)
		this->metrics.Count(ECounter::PeerRejects, "send-failed");
}

void PeerQuery::Ask(const Address &inTo, PeerQuestion inQuestion, Millis inTimeoutMs, OnAnswer inDone, const ReportTimes &inTimes)
{
	inQuestion.nonce = this->next_nonce++;
	Pending &asked = this->pending[inQuestion.nonce];
	asked.to = inTo;
	asked.bytes = cQuestionMark + EncodeValue(inQuestion);
	asked.done = std::move(inDone);
	// The times of the other host count from when the datagram leaves the link
	asked.first_sent_at = NowMillis() + this->BacklogMs();
	asked.limit_at = NowMillis() + inTimeoutMs;
	const Millis report_ms = inTimes.report_within_ms;
	asked.give_up_at = report_ms > 0 ? std::min(asked.first_sent_at + report_ms, asked.limit_at) : asked.limit_at;
	asked.times = inTimes;
	asked.max_repeat_ms = report_ms > 0 ? report_ms / cMinReportSends : inTimeoutMs / cMinSends;
	asked.resend_at = asked.first_sent_at + this->RepeatDelay(asked);
	this->SendTo(ToSocketAddress(asked.to).get(), asked.bytes, ETraffic::Question);
	if (!this->resend_timer.IsRunning())
		this->resend_timer.Every(cResendCheckMs, [this] { this->ResendPending(); });
}

void PeerQuery::Notify(const std::vector<Address> &inTo, EPeerMessage inKind, const std::string &inMessage)
{
	const std::string bytes = MarkOf(inKind) + inMessage;
	for (const Address &to : inTo)
		this->SendTo(ToSocketAddress(to).get(), bytes, ETraffic::Message);
}

Millis PeerQuery::RepeatDelay(const Pending &inAsked)
{
	return std::min(this->RoundTripTo(inAsked.to).RepeatAfterMs(), std::max(RoundTrip::cMinRepeatMs, inAsked.max_repeat_ms));
}

Millis PeerQuery::OverdueAfterMs(const Pending &inAsked)
{
	// The report was sent some time after the handling had begun, so an answer in time arrives before the first part is over. The second
	// is for what varies from datagram to datagram
	return inAsked.times.handling_ms + this->RoundTripTo(inAsked.to).RepeatAfterMs();
}

RoundTrip &PeerQuery::RoundTripTo(const Address &inHost)
{
	// Hosts are replaced at new addresses. What is forgotten is soon measured again
	if (this->round_trips.size() >= cMaxRoundTrips && !this->round_trips.contains(inHost))
		this->round_trips.clear();
	return this->round_trips[inHost];
}

void PeerQuery::OnFirstReply(Pending &ioAsked, Millis inNow)
{
	if (ioAsked.round_trip_ms >= 0)
		return;
	ioAsked.round_trip_ms = std::max<Millis>(inNow - ioAsked.first_sent_at, 0);
	// The reply to a repeated question may be to the repeat
	if (!ioAsked.repeated)
		this->RoundTripTo(ioAsked.to).OnMeasured(ioAsked.round_trip_ms);
}

void PeerQuery::KeepClosed(uint64 inNonce, const Pending &inAsked, Millis inNow)
{
	while (!this->closed.empty() && inNow - this->closed.begin()->second.closed_at > cClosedKeptMs)
		this->closed.erase(this->closed.begin());
	if (inAsked.repeated || inAsked.round_trip_ms < 0)
		this->closed[inNonce] = {inAsked.to, inAsked.round_trip_ms, inAsked.first_sent_at, inNow};
}

void PeerQuery::OnLateReply(uint64 inNonce, Millis inNow)
{
	auto found = this->closed.find(inNonce);
	if (found == this->closed.end())
		return;
	const ClosedQuestion &question = found->second;
	const Millis round_trip_ms = question.round_trip_ms >= 0 ? question.round_trip_ms : inNow - question.first_sent_at;
	this->RoundTripTo(question.to).OnMeasured(std::max<Millis>(round_trip_ms, 0));
	this->closed.erase(found);
}

void PeerQuery::ResendPending()
{
	// After a pause of this process, answers that arrived meanwhile come before what is overdue
	this->Receive();
	const Millis now = NowMillis();
	std::vector<std::pair<OnAnswer, std::optional<PeerAnswer>>> given_up;
	for (auto it = this->pending.begin(); it != this->pending.end();)
	{
		Pending &asked = it->second;
		if (now >= asked.give_up_at)
		{
			this->KeepClosed(it->first, asked, now);
			std::optional<PeerAnswer> silent;
			if (asked.in_progress)
				silent.emplace().in_progress = true;
			given_up.emplace_back(std::move(asked.done), std::move(silent));
			it = this->pending.erase(it);
			continue;
		}
		if (now >= asked.resend_at)
		{
			asked.repeated = true;
			const Millis repeat_ms = this->RepeatDelay(asked);
			asked.resend_at = now + this->BacklogMs() + (asked.in_progress ? std::max(cResendInProgressMs, repeat_ms) : repeat_ms);
			this->SendTo(ToSocketAddress(asked.to).get(), asked.bytes, ETraffic::Repeat);
		}
		++it;
	}
	if (this->pending.empty())
		this->resend_timer.Stop();
	for (const auto &[done, silent] : given_up)
		done(silent);
}

} // namespace Loomreach::Jobs
