// UDP questions and answers, encoded by cereal.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/PeerQuery.h>
#include <Loomreach/State/Codec.h>

namespace Loomreach::Jobs
{

/// A record of a job is 1 to 6 KB; the largest is handed over in one datagram.
static constexpr size_t cMostBytes = 32768;
/// A round trip between zones is 2 ms; a lost datagram costs this much.
static constexpr Millis cAskAgainMs = 60;
/// Answers are remembered this long: far beyond the last repeat of any question (1.2 s) and a datagram's way.
static constexpr Millis cRememberMs = 10000;
/// An answer that takes longer is told to be under way: a worker's own answer to a start takes a few ms.
static constexpr Millis cUnderWayMs = 30;
static constexpr char cQuestionMark = 'Q';
static constexpr char cAnswerMark = 'A';
static constexpr char cBeatMark = 'N';
static constexpr char cEndsMark = 'E';

/// An address for the socket.
static ObjectPtr<GSocketAddress> ToSocketAddress(const Address &inAddress)
{
	return ObjectPtr<GSocketAddress>(g_inet_socket_address_new_from_string(inAddress.ip.c_str(), inAddress.port));
}

PeerQuery::PeerQuery(const Address &inOwn, Metrics &inMetrics, Answerer inAnswerer, Listener inListener)
	: own(inOwn), metrics(inMetrics), answerer(std::move(inAnswerer)), listener(std::move(inListener)),
	  next_nonce(static_cast<uint64>(g_get_real_time()))
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
		static std::array<gchar, cMostBytes> buffer;
		GSocketAddress *from = nullptr;
		const gssize got = g_socket_receive_from(this->socket.get(), &from, buffer.data(), buffer.size(), nullptr, nullptr);
		const ObjectPtr<GSocketAddress> sender(from);
		if (got <= 0)
			return;
		this->metrics.Count(ECounter::PeerBytes, "in", static_cast<uint64>(got));
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
	if (inBytes[0] == cBeatMark || inBytes[0] == cEndsMark)
		return this->listener(inBytes[0] == cBeatMark ? EPeerNews::Beat : EPeerNews::Ends, std::string(body));
	if (inBytes[0] == cAnswerMark)
	{
		const std::optional<PeerAnswer> answer = DecodeValue<PeerAnswer>(body);
		if (!answer.has_value())
			return this->metrics.Count(ECounter::PeerRejects, AnswerOf(LastReason().kind).name);
		auto found = this->pending.find(answer->nonce);
		// Late or doubled
		if (found == this->pending.end())
			return;
		if (answer->under_way)
		{
			found->second.taken_up = true;
			found->second.give_up_at = found->second.limit_at;
			return;
		}
		const OnAnswer done = std::move(found->second.done);
		this->pending.erase(found);
		return done(answer);
	}
	const std::optional<PeerQuestion> question = DecodeValue<PeerQuestion>(body);
	if (inBytes[0] != cQuestionMark || !question.has_value())
		return this->metrics.Count(ECounter::PeerRejects, "corrupt");
	const std::string sender = SenderText(inFrom) + '/' + std::to_string(question->nonce);
	if (this->AnswerAgain(sender, inFrom) || !this->answering.insert(sender).second)
		return;
	std::shared_ptr<GSocketAddress> to(static_cast<GSocketAddress *>(g_object_ref(inFrom)),
									   [](GSocketAddress *inOld) { g_object_unref(inOld); });
	if (question->kind == EQuestion::Forward)
		this->SayUnderWay(sender, question->nonce, to);
	this->answerer(*question,
				   [this, to, sender, nonce = question->nonce,
					changes = question->kind == EQuestion::Enter || question->kind == EQuestion::Forward,
					alive = std::weak_ptr<bool>(this->alive)](PeerAnswer inAnswer)
				   {
					   if (alive.expired())
						   return;
					   this->answering.erase(sender);
					   inAnswer.nonce = nonce;
					   inAnswer.clock_ms = NowMillis();
					   const std::string bytes = cAnswerMark + EncodeValue(inAnswer);
					   if (changes)
						   this->Remember(sender, bytes);
					   this->SendTo(to.get(), bytes);
				   });
}

void PeerQuery::SayUnderWay(const std::string &inSender, uint64 inNonce, const std::shared_ptr<GSocketAddress> &inTo)
{
	// Most answers come sooner, and spare the datagram
	After(cUnderWayMs,
		  [this, sender = inSender, nonce = inNonce, to = inTo, alive = std::weak_ptr<bool>(this->alive)]
		  {
			  if (alive.expired() || !this->answering.contains(sender))
				  return;
			  PeerAnswer answer;
			  answer.nonce = nonce;
			  answer.under_way = true;
			  answer.clock_ms = NowMillis();
			  this->SendTo(to.get(), cAnswerMark + EncodeValue(answer));
		  });
}

bool PeerQuery::AnswerAgain(const std::string &inSender, GSocketAddress *inTo)
{
	// A repeat may come after the answer has left. What was said to be not done must not be done then
	auto known = this->given.find(inSender);
	if (known == this->given.end())
		return false;
	this->SendTo(inTo, known->second.bytes);
	return true;
}

void PeerQuery::Remember(const std::string &inSender, const std::string &inBytes)
{
	const Millis now = NowMillis();
	if (now - this->swept_at > cRememberMs)
	{
		std::erase_if(this->given, [now](const auto &inGiven) { return now - inGiven.second.at > cRememberMs; });
		this->swept_at = now;
	}
	this->given[inSender] = {inBytes, now};
}

void PeerQuery::SendTo(GSocketAddress *inTo, const std::string &inBytes)
{
	this->metrics.Count(ECounter::PeerBytes, "out", inBytes.size());
	ErrorPtr error;
	if (g_socket_send_to(this->socket.get(), inTo, inBytes.data(), inBytes.size(), nullptr, error.Out()) < 0)
		this->metrics.Count(ECounter::PeerRejects, "send-failed");
}

void PeerQuery::Ask(const Address &inTo, PeerQuestion inQuestion, Millis inTimeoutMs, OnAnswer inDone, Millis inTakenUpMs)
{
	inQuestion.nonce = this->next_nonce++;
	Pending &asked = this->pending[inQuestion.nonce];
	asked.to = inTo;
	asked.bytes = cQuestionMark + EncodeValue(inQuestion);
	asked.done = std::move(inDone);
	asked.limit_at = NowMillis() + inTimeoutMs;
	asked.give_up_at = inTakenUpMs > 0 ? NowMillis() + std::min(inTakenUpMs, inTimeoutMs) : asked.limit_at;
	asked.next_at = NowMillis() + cAskAgainMs;
	this->SendTo(ToSocketAddress(asked.to).get(), asked.bytes);
	if (!this->repeat.IsRunning())
		this->repeat.Every(cAskAgainMs / 2, [this] { this->Repeat(); });
}

void PeerQuery::Tell(const std::vector<Address> &inTo, EPeerNews inKind, const std::string &inNews)
{
	const std::string bytes = (inKind == EPeerNews::Beat ? cBeatMark : cEndsMark) + inNews;
	for (const Address &to : inTo)
		this->SendTo(ToSocketAddress(to).get(), bytes);
}

void PeerQuery::Repeat()
{
	const Millis now = NowMillis();
	std::vector<OnAnswer> given_up;
	for (auto it = this->pending.begin(); it != this->pending.end();)
	{
		Pending &asked = it->second;
		if (now >= asked.give_up_at)
		{
			given_up.push_back(std::move(asked.done));
			it = this->pending.erase(it);
			continue;
		}
		if (now >= asked.next_at && !asked.taken_up)
		{
			asked.next_at = now + cAskAgainMs;
			this->SendTo(ToSocketAddress(asked.to).get(), asked.bytes);
		}
		++it;
	}
	if (this->pending.empty())
		this->repeat.Stop();
	for (const OnAnswer &done : given_up)
		done(std::nullopt);
}

} // namespace Loomreach::Jobs
