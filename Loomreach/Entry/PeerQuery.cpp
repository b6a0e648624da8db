// UDP questions and answers, encoded by cereal.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/PeerQuery.h>
#include <Loomreach/State/Codec.h>

namespace Loomreach::Jobs
{

static constexpr size_t cMostBytes = 2048;
/// A round trip between zones is 2 ms; a lost datagram costs this much.
static constexpr Millis cAskAgainMs = 60;
static constexpr char cQuestionMark = 'Q';
static constexpr char cAnswerMark = 'A';

PeerQuery::PeerQuery(const Address &inOwn, Metrics &inMetrics, Answerer inAnswerer)
	: own(inOwn), metrics(inMetrics), answerer(std::move(inAnswerer)), next_nonce(static_cast<uint64>(g_get_real_time()))
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
	const ObjectPtr<GSocketAddress> where(g_inet_socket_address_new_from_string(this->own.ip.c_str(), this->own.port));
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
		std::array<gchar, cMostBytes> buffer;
		GSocketAddress *from = nullptr;
		const gssize got = g_socket_receive_from(this->socket.get(), &from, buffer.data(), buffer.size(), nullptr, nullptr);
		const ObjectPtr<GSocketAddress> sender(from);
		if (got <= 0)
			return;
		this->metrics.Count(ECounter::PeerBytes, "in", static_cast<uint64>(got));
		this->Handle(std::string(buffer.data(), static_cast<size_t>(got)), from);
	}
}

void PeerQuery::Handle(const std::string &inBytes, GSocketAddress *inFrom)
{
	const std::string_view body = std::string_view(inBytes).substr(1);
	if (inBytes[0] == cAnswerMark)
	{
		const std::optional<PeerAnswer> answer = DecodeValue<PeerAnswer>(body);
		if (!answer.has_value())
			return this->metrics.Count(ECounter::PeerRejects, AnswerOf(LastReason().kind).name);
		auto found = this->pending.find(answer->nonce);
		// Late or doubled
		if (found == this->pending.end())
			return;
		const OnAnswer done = std::move(found->second.done);
		this->pending.erase(found);
		return done(answer);
	}
	const std::optional<PeerQuestion> question = DecodeValue<PeerQuestion>(body);
	if (inBytes[0] != cQuestionMark || !question.has_value())
		return this->metrics.Count(ECounter::PeerRejects, "corrupt");
	PeerAnswer answer = this->answerer(*question);
	answer.nonce = question->nonce;
	const std::string bytes = cAnswerMark + EncodeValue(answer);
	this->metrics.Count(ECounter::PeerBytes, "out", bytes.size());
	ErrorPtr error;
	if (g_socket_send_to(this->socket.get(), inFrom, bytes.data(), bytes.size(), nullptr, error.Out()) < 0)
		this->metrics.Count(ECounter::PeerRejects, "send-failed");
}

void PeerQuery::SendTo(const Address &inTo, const std::string &inBytes)
{
	const ObjectPtr<GSocketAddress> to(g_inet_socket_address_new_from_string(inTo.ip.c_str(), inTo.port));
	this->metrics.Count(ECounter::PeerBytes, "out", inBytes.size());
	ErrorPtr error;
	if (g_socket_send_to(this->socket.get(), to.get(), inBytes.data(), inBytes.size(), nullptr, error.Out()) < 0)
		this->metrics.Count(ECounter::PeerRejects, "send-failed");
}

void PeerQuery::Ask(const Address &inTo, PeerQuestion inQuestion, Millis inTimeoutMs, OnAnswer inDone)
{
	inQuestion.nonce = this->next_nonce++;
	Pending &asked = this->pending[inQuestion.nonce];
	asked.to = inTo;
	asked.bytes = cQuestionMark + EncodeValue(inQuestion);
	asked.done = std::move(inDone);
	asked.give_up_at = NowMillis() + inTimeoutMs;
	asked.next_at = NowMillis() + cAskAgainMs;
	this->SendTo(asked.to, asked.bytes);
	if (!this->repeat.IsRunning())
		this->repeat.Every(cAskAgainMs / 2, [this] { this->Repeat(); });
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
		if (now >= asked.next_at)
		{
			asked.next_at = now + cAskAgainMs;
			this->SendTo(asked.to, asked.bytes);
		}
		++it;
	}
	if (this->pending.empty())
		this->repeat.Stop();
	for (const OnAnswer &done : given_up)
		done(std::nullopt);
}

} // namespace Loomreach::Jobs
