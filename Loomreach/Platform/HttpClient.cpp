// HTTP calls by libcurl with a timeout for the whole call.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Platform/ConnectionCare.h>
#include <Loomreach/Platform/HttpClient.h>

#include <glib-unix.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Loomreach
{

static constexpr long cMaxConnections = 2048; ///< Below the 4,100 descriptors of the smallest host; kept ones spare new connections.
static constexpr size_t cMostIdle = 64;       ///< Handles kept for later calls.
static constexpr int cEventsAtOnce = 64;
static constexpr int cMostRounds = 32;     ///< Of reading ready sockets before calls are given up: all connections, 64 at a time.
static constexpr size_t cMostPeers = 2048; ///< Addresses remembered: workers come and go at new ones.
static constexpr long cGoodFrom = 200;     ///< Statuses that say that a call was carried out: from this
static constexpr long cGoodBelow = 300;    ///< to below this.

/// One call under way, and its handle.
struct HttpClient::Pending
{
	~Pending()
	{
		curl_slist_free_all(this->headers);
		curl_easy_cleanup(this->easy);
	}

	CURL *easy = curl_easy_init();
	curl_slist *headers = nullptr;
	std::string url;
	std::string request;
	std::string answer;
	Callback done;
	Millis not_after = 0;
	Millis limit_at = 0;  ///< When its time is over.
	uint32 sent = 0;      ///< How often the request was about to leave: libcurl repeats it where a kept connection turns out closed.
	bool changes = false; ///< Whether carrying it out changes anything.
	HttpClient *client = nullptr;
	std::shared_ptr<Peer> peer;
	Millis timeout_ms = 0;
	Millis wait_ms = 0;
	Millis sent_at = 0;   ///< When the request was about to leave.
	bool made = false;    ///< A connection was made for it.
	bool is_anew = false; ///< It was asked anew already.
	bool repeatable = false;

	/// Whether the answer to what waits can still come when it is asked anew. A change keeps its time: whoever made the call counts on it.
	bool MayAskAnew(Millis inNow) const
	{
		const bool waits = this->wait_ms > 0 && this->sent > 0 && this->answer.empty();
		const bool has_time = !this->changes || this->limit_at - inNow > this->wait_ms;
		return waits && has_time && this->repeatable && !this->is_anew;
	}
};

/// libcurl's own set-up, once a process.
static void StartCurl()
{
	static const CURLcode started = curl_global_init(CURL_GLOBAL_DEFAULT);
	static_cast<void>(started);
}

HttpClient::HttpClient(int inPerHost, EClose inClose) : close_by(inClose), alive(std::make_shared<bool>(true))
{
	StartCurl();
	this->multi = curl_multi_init();
	curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &HttpClient::OnSocket);
	curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
	curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &HttpClient::OnTimer);
	curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
	curl_multi_setopt(this->multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(inPerHost));
	curl_multi_setopt(this->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, cMaxConnections);
	curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, cMaxConnections);
	this->epoll = epoll_create1(EPOLL_CLOEXEC);
	this->epoll_source = g_unix_fd_add(this->epoll, G_IO_IN, &HttpClient::OnReadable, this);
}

HttpClient::~HttpClient()
{
	*this->alive = false;
	g_source_remove(this->epoll_source);
	for (auto &[easy, pending] : this->under_way)
		curl_multi_remove_handle(this->multi, easy);
	this->under_way.clear();
	this->idle.clear();
	curl_multi_cleanup(this->multi);
	close(this->epoll);
}

int HttpClient::OnSocket(CURL *inEasy, curl_socket_t inSocket, int inWhat, void *inSelf, void *inKnown)
{
	HttpClient *self = static_cast<HttpClient *>(inSelf);
	self->SetUser(inSocket, inWhat == CURL_POLL_REMOVE ? nullptr : inEasy);
	if (inWhat == CURL_POLL_REMOVE)
	{
		epoll_ctl(self->epoll, EPOLL_CTL_DEL, inSocket, nullptr);
		return 0;
	}
	epoll_event event{};
	event.events = (inWhat & CURL_POLL_IN ? EPOLLIN : 0u) | (inWhat & CURL_POLL_OUT ? EPOLLOUT : 0u);
	event.data.fd = inSocket;
	// A mark that the socket is in the set already
	const int operation = inKnown == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
	if (epoll_ctl(self->epoll, operation, inSocket, &event) != 0)
		epoll_ctl(self->epoll, operation == EPOLL_CTL_ADD ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, inSocket, &event);
	curl_multi_assign(self->multi, inSocket, self);
	return 0;
}

int HttpClient::OnTimer(CURLM *, long inMillis, void *inSelf)
{
	HttpClient *self = static_cast<HttpClient *>(inSelf);
	if (inMillis < 0)
		self->timer.Stop();
	else
		self->timer.Once(inMillis, [self] { self->Act(CURL_SOCKET_TIMEOUT, 0); });
	return 0;
}

bool HttpClient::TakeReady()
{
	std::array<epoll_event, cEventsAtOnce> events;
	const int count = epoll_wait(this->epoll, events.data(), cEventsAtOnce, 0);
	int running = 0;
	for (int i = 0; i < count; ++i)
	{
		const uint32 seen = events[static_cast<size_t>(i)].events;
		int what = seen & EPOLLIN ? CURL_CSELECT_IN : 0;
		what |= seen & EPOLLOUT ? CURL_CSELECT_OUT : 0;
		what |= seen & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0;
		curl_multi_socket_action(this->multi, events[static_cast<size_t>(i)].data.fd, what, &running);
	}
	return count > 0;
}

gboolean HttpClient::OnReadable(gint, GIOCondition, gpointer inSelf)
{
	HttpClient *self = static_cast<HttpClient *>(inSelf);
	self->TakeReady();
	self->Finish();
	return G_SOURCE_CONTINUE;
}

void HttpClient::WaitForNextLimit()
{
	if (!this->limits.empty() && !this->limit.IsRunning())
		this->limit.Once(this->limits.begin()->first - NowMillis(), [this] { this->GiveUpLate(); });
}

void HttpClient::GiveUpLate()
{
	// What has come in counts, however late this process looks at it
	for (int round = 0; round < cMostRounds && this->TakeReady(); ++round)
		;
	const Millis now = NowMillis();
	std::vector<std::pair<Callback, HttpResult>> late;
	const std::weak_ptr<bool> still = this->alive;
	this->Finish();
	while (!still.expired() && !this->limits.empty() && this->limits.begin()->first <= now)
	{
		CURL *easy = this->limits.begin()->second;
		// Its time may be over sooner than its answer is overdue
		const bool is_sign = this->under_way[easy]->peer->trust.IsExpected(this->under_way[easy].get());
		std::unique_ptr<Pending> pending = this->Take(easy);
		if (is_sign)
			this->GiveUpKept(*pending->peer);
		HttpResult result = this->ResultOf(*pending, CURLE_OPERATION_TIMEDOUT);
		late.emplace_back(std::move(pending->done), std::move(result));
		this->Keep(std::move(pending));
	}
	if (!still.expired())
		this->WaitForNextLimit();
	for (auto &[done, result] : late)
		if (!still.expired())
			done(std::move(result));
}

std::shared_ptr<HttpClient::Peer> HttpClient::PeerOf(const std::string &inAddress)
{
	// Those that no call and no connection refers to
	if (this->peers.size() > cMostPeers)
		std::erase_if(this->peers, [](const auto &inPeer) { return inPeer.second.use_count() == 1; });
	std::shared_ptr<Peer> &peer = this->peers[inAddress];
	if (peer == nullptr)
	{
		peer = std::make_shared<Peer>();
		peer->address = inAddress;
	}
	return peer;
}

void HttpClient::WaitForOverdue(std::optional<Millis> inAt)
{
	if (!inAt.has_value() || (this->overdue.IsRunning() && this->overdue_at <= *inAt))
		return;
	this->overdue_at = *inAt;
	this->overdue.Once(*inAt - NowMillis(), [this] { this->LookForSilence(); });
}

void HttpClient::LookForSilence()
{
	// Mostly the answer that was waited for has come long ago
	std::optional<Millis> first;
	for (const auto &[address, peer] : this->peers)
		if (const std::optional<Millis> at = peer->trust.OverdueAt(); at.has_value())
			first = std::min(first.value_or(*at), *at);
	if (first.has_value() && *first <= NowMillis())
		return this->GiveUpSilent();
	this->WaitForOverdue(first);
}

void HttpClient::GiveUpSilent()
{
	// What has come in counts, however late this process looks at it
	for (int round = 0; round < cMostRounds && this->TakeReady(); ++round)
		;
	const Millis now = NowMillis();
	const std::weak_ptr<bool> still = this->alive;
	this->Finish();
	if (still.expired())
		return;
	for (const auto &[address, peer] : this->peers)
	{
		if (const std::optional<Millis> at = peer->trust.OverdueAt(); at.has_value() && *at <= now)
			this->GiveUpKept(*peer);
		this->WaitForOverdue(peer->trust.OverdueAt());
	}
}

void HttpClient::GiveUpKept(Peer &ioPeer)
{
	ioPeer.trust.OnGivenUp();
	// libcurl finds them closed when it would use them
	for (curl_socket_t idle : ioPeer.idle)
		shutdown(idle, SHUT_RDWR);
	const size_t given_up = ioPeer.idle.size();
	const uint32 anew = this->AskAnew(ioPeer);
	LogEvent(ELogLevel::Warning, "kept_connections_given_up").Field("to", ioPeer.address).Field("idle", given_up).Field("asked_anew", anew);
}

uint32 HttpClient::AskAnew(const Peer &inPeer)
{
	const Millis now = NowMillis();
	uint32 anew = 0;
	for (const auto &[easy, pending] : this->under_way)
	{
		if (pending->peer.get() != &inPeer || !pending->MayAskAnew(now))
			continue;
		pending->is_anew = true;
		pending->made = false;
		++anew;
		// Out of it a call's connection is closed; in again it takes another
		curl_multi_remove_handle(this->multi, easy);
		this->limits.erase({pending->limit_at, easy});
		pending->limit_at = pending->changes ? pending->limit_at : now + pending->timeout_ms;
		this->limits.emplace(pending->limit_at, easy);
		curl_multi_add_handle(this->multi, easy);
	}
	return anew;
}

void HttpClient::Act(curl_socket_t inSocket, int inEvents)
{
	int running = 0;
	curl_multi_socket_action(this->multi, inSocket, inEvents, &running);
	this->Finish();
}

curl_socket_t HttpClient::OnOpen(void *inPending, curlsocktype, curl_sockaddr *inAddress)
{
	Pending *pending = static_cast<Pending *>(inPending);
	const curl_socket_t made = socket(inAddress->family, inAddress->socktype | SOCK_CLOEXEC, inAddress->protocol);
	if (made < 0)
		return CURL_SOCKET_BAD;
	CareFor(made);
	const linger at_once{1, 0};
	if (pending->client->close_by == EClose::Discard)
		setsockopt(made, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
	pending->made = true;
	pending->client->connections[made] = {pending->peer, nullptr};
	return made;
}

int HttpClient::OnClose(void *inSelf, curl_socket_t inSocket)
{
	HttpClient *self = static_cast<HttpClient *>(inSelf);
	auto found = self->connections.find(inSocket);
	if (found != self->connections.end())
	{
		found->second.peer->idle.erase(inSocket);
		self->connections.erase(found);
	}
	return close(inSocket);
}

void HttpClient::SetUser(curl_socket_t inSocket, CURL *inUser)
{
	auto found = this->connections.find(inSocket);
	if (found == this->connections.end())
		return;
	found->second.user = inUser;
	if (inUser == nullptr)
		found->second.peer->idle.insert(inSocket);
	else
		found->second.peer->idle.erase(inSocket);
}

int HttpClient::OnBeforeSend(void *inPending, char *, char *, int, int)
{
	Pending *pending = static_cast<Pending *>(inPending);
	// Just before the first byte: the process may have stood still since the call was made
	const Millis now = NowMillis();
	if (now > pending->limit_at || (pending->not_after > 0 && now > pending->not_after))
		return CURL_PREREQFUNC_ABORT;
	++pending->sent;
	pending->sent_at = NowMillis();
	if (!pending->made)
		pending->peer->trust.OnSent(pending, pending->wait_ms, pending->sent_at);
	else
		pending->peer->trust.OnOver(pending);
	pending->client->WaitForOverdue(pending->peer->trust.OverdueAt());
	return CURL_PREREQFUNC_OK;
}

size_t HttpClient::OnBody(char *inData, size_t inSize, size_t inCount, void *inPending)
{
	static_cast<Pending *>(inPending)->answer.append(inData, inSize * inCount);
	return inSize * inCount;
}

/// Whether a call ended because the other side closed its connection or let none be made: its process has gone, or its host has reset it.
static bool IsClosedByPeer(CURL *inEasy, CURLcode inCode)
{
	if (inCode == CURLE_GOT_NOTHING)
		return true;
	const bool on_connection = inCode == CURLE_COULDNT_CONNECT || inCode == CURLE_RECV_ERROR || inCode == CURLE_SEND_ERROR;
	long why = 0;
	curl_easy_getinfo(inEasy, CURLINFO_OS_ERRNO, &why);
	return on_connection && (why == ECONNREFUSED || why == ECONNRESET || why == EPIPE);
}

HttpResult HttpClient::ResultOf(Pending &ioPending, CURLcode inCode)
{
	HttpResult result;
	long request_bytes = 0;
	long status = 0;
	curl_easy_getinfo(ioPending.easy, CURLINFO_REQUEST_SIZE, &request_bytes);
	curl_easy_getinfo(ioPending.easy, CURLINFO_RESPONSE_CODE, &status);
	// libcurl has repeated it on a new connection: the refusal is the repeat's, and the first may have been carried out
	const bool in_doubt = ioPending.sent > 1 && ioPending.changes && (status < cGoodFrom || status >= cGoodBelow);
	if (inCode == CURLE_OK && in_doubt)
	{
		result.error = "refused when repeated with " + std::to_string(status);
		return result;
	}
	if (inCode == CURLE_OK)
	{
		result.status = static_cast<uint32>(status);
		result.body = std::move(ioPending.answer);
		curl_header *etag = nullptr;
		if (curl_easy_header(ioPending.easy, "ETag", 0, CURLH_HEADER, -1, &etag) == CURLHE_OK)
			result.etag = etag->value;
		long header_bytes = 0;
		curl_easy_getinfo(ioPending.easy, CURLINFO_HEADER_SIZE, &header_bytes);
		this->bytes += static_cast<uint64>(request_bytes + header_bytes) + ioPending.request.size() + result.body.size();
		return result;
	}
	// Without a request line on the wire nothing was asked; what is asked anew had one
	result.refused = !ioPending.is_anew && (request_bytes == 0 || ioPending.sent == 0);
	result.closed = IsClosedByPeer(ioPending.easy, inCode);
	result.error = curl_easy_strerror(inCode);
	return result;
}

std::unique_ptr<HttpClient::Pending> HttpClient::Take(CURL *inEasy)
{
	auto found = this->under_way.find(inEasy);
	std::unique_ptr<Pending> pending = std::move(found->second);
	this->under_way.erase(found);
	this->limits.erase({pending->limit_at, inEasy});
	pending->peer->trust.OnOver(pending.get());
	curl_multi_remove_handle(this->multi, inEasy);
	return pending;
}

void HttpClient::Keep(std::unique_ptr<Pending> inPending)
{
	if (this->idle.size() < cMostIdle)
		this->idle.push_back(std::move(inPending));
}

void HttpClient::Finish()
{
	// A call back may end this client, or make calls of its own
	std::vector<std::pair<Callback, HttpResult>> finished;
	int left = 0;
	while (CURLMsg *message = curl_multi_info_read(this->multi, &left))
	{
		if (message->msg != CURLMSG_DONE)
			continue;
		const CURLcode code = message->data.result;
		std::unique_ptr<Pending> pending = this->Take(message->easy_handle);
		HttpResult result = this->ResultOf(*pending, code);
		if (code == CURLE_OK && pending->wait_ms == 0)
			pending->peer->trust.OnAnswered(NowMillis() - pending->sent_at);
		finished.emplace_back(std::move(pending->done), std::move(result));
		this->Keep(std::move(pending));
	}
	const std::weak_ptr<bool> still = this->alive;
	for (auto &[done, result] : finished)
		if (!still.expired())
			done(std::move(result));
}

void HttpClient::SetUp(Pending &ioPending, const HttpCall &inCall)
{
	CURL *easy = ioPending.easy;
	const std::string to = inCall.to.Text();
	curl_easy_reset(easy);
	curl_slist_free_all(ioPending.headers);
	ioPending.headers = nullptr;
	ioPending.answer.clear();
	ioPending.sent = 0;
	ioPending.changes = inCall.method != "GET";
	ioPending.client = this;
	ioPending.peer = this->PeerOf(to);
	ioPending.timeout_ms = std::max<Millis>(inCall.timeout_ms, 1);
	ioPending.wait_ms = inCall.wait_ms;
	ioPending.made = false;
	ioPending.is_anew = false;
	ioPending.repeatable = inCall.repeatable || !ioPending.changes;
	ioPending.not_after = inCall.not_after;
	ioPending.url = "http://" + to + inCall.path;
	ioPending.request = inCall.body;
	// No wait for the other side's leave to send the body
	ioPending.headers = curl_slist_append(ioPending.headers, "Expect:");
	if (!inCall.body.empty())
		ioPending.headers = curl_slist_append(ioPending.headers, ("Content-Type: " + inCall.content_type).c_str());
	for (const auto &[name, value] : inCall.headers)
	{
		std::string line = name;
		line += ": ";
		line += value;
		ioPending.headers = curl_slist_append(ioPending.headers, line.c_str());
	}
	curl_easy_setopt(easy, CURLOPT_URL, ioPending.url.c_str());
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, inCall.method.c_str());
	if (inCall.method != "GET" || !inCall.body.empty())
	{
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, ioPending.request.data());
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(ioPending.request.size()));
	}
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, ioPending.headers);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &HttpClient::OnBody);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &ioPending);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &HttpClient::OnBeforeSend);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, &ioPending);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &HttpClient::OnOpen);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &ioPending);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &HttpClient::OnClose);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
	// libcurl repeats by itself on a kept connection that turns out closed, which only repeatable calls may risk
	if (!inCall.repeatable && inCall.method != "GET")
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
}

void HttpClient::Start(const HttpCall &inCall, Callback inDone)
{
	std::unique_ptr<Pending> pending;
	if (this->idle.empty())
		pending = std::make_unique<Pending>();
	else
	{
		pending = std::move(this->idle.back());
		this->idle.pop_back();
	}
	this->SetUp(*pending, inCall);
	pending->done = std::move(inDone);
	pending->limit_at = NowMillis() + pending->timeout_ms;
	CURL *easy = pending->easy;
	this->limits.emplace(pending->limit_at, easy);
	this->under_way[easy] = std::move(pending);
	curl_multi_add_handle(this->multi, easy);
	// The one that is waited for may be later than this one
	if (this->limits.begin()->second == easy)
		this->limit.Stop();
	this->WaitForNextLimit();
}

std::string UrlEscape(std::string_view inText)
{
	gchar *escaped = g_uri_escape_bytes(reinterpret_cast<const guint8 *>(inText.data()), inText.size(), nullptr);
	std::string text = escaped;
	g_free(escaped);
	return text;
}

} // namespace Loomreach
