// HTTP calls over libcurl, each with a timeout for the whole call.

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

static constexpr long cMaxConnections = 2048; ///< Below the 4,100 descriptors of the smallest host. Kept ones save the cost of new ones.
static constexpr size_t cMaxIdleHandles = 64; ///< Handles kept for later calls.
static constexpr int cEventsPerWait = 64;
static constexpr int cMaxReadRounds = 32;   ///< Reads of ready sockets before calls time out: covers all connections, 64 at a time.
static constexpr size_t cHeaderBytes = 150; ///< Usual size of a request's headers.
static constexpr size_t cMaxAnswerBytes = size_t{32} << 20; ///< Several times the longest page that the platform sends.
static constexpr size_t cMaxPeers = 2048;                   ///< Addresses kept in memory: new workers have new addresses.
static constexpr long cSuccessFrom = 200;                   ///< First status that says that a call was carried out.
static constexpr long cSuccessBelow = 300;                  ///< First status above that range.

/// One call in flight, and its libcurl handle.
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
	std::string request_body;
	std::string response_body;
	Callback done;
	Millis not_after = 0;
	Millis deadline = 0;      ///< When the call times out.
	Millis last_deadline = 0; ///< `deadline` is not extended beyond this.
	uint32 send_count = 0;    ///< How often the request was about to be sent: libcurl repeats it if a kept connection turns out closed.
	bool has_side_effects = false; ///< Whether the call changes anything at the server.
	HttpClient *client = nullptr;
	std::shared_ptr<Peer> peer;
	Millis timeout_ms = 0;
	Millis wait_ms = 0;
	Millis sent_at = 0;     ///< When the request was about to be sent.
	bool opened = false;    ///< A connection was opened for this call.
	bool is_resent = false; ///< It has been sent again by `ResendWaiting`.
	bool repeatable = false;
	ETraffic traffic = ETraffic::Other;
	size_t request_bytes = 0; ///< Approximate size of the request, headers included.

	/// Whether a waiting call may be sent again. One with side effects keeps its deadline, on which its caller relies, so it needs enough
	/// time for its whole wait.
	bool MayResend(Millis inNow) const
	{
		const bool waits = this->wait_ms > 0 && this->send_count > 0 && this->response_body.empty();
		const bool has_time = !this->has_side_effects || this->deadline - inNow > this->wait_ms;
		return waits && has_time && this->repeatable && !this->is_resent;
	}
};

/// Initializes libcurl, once per process.
static void StartCurl()
{
	static const CURLcode started = curl_global_init(CURL_GLOBAL_DEFAULT);
	static_cast<void>(started);
}

HttpClient::HttpClient(int inPerHost, EClose inClose, LinkUsage *inLink)
	: on_close(inClose), link(inLink), alive(std::make_shared<bool>(true))
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
	for (auto &[easy, pending] : this->in_flight)
		curl_multi_remove_handle(this->multi, easy);
	this->in_flight.clear();
	this->idle_handles.clear();
	curl_multi_cleanup(this->multi);
	close(this->epoll);
}

int HttpClient::OnSocket(CURL *inEasy, curl_socket_t inSocket, int inWhat, void *inSelf, void *inKnown)
{
	HttpClient *self = static_cast<HttpClient *>(inSelf);
	self->SetSocketUser(inSocket, inWhat == CURL_POLL_REMOVE ? nullptr : inEasy);
	if (inWhat == CURL_POLL_REMOVE)
	{
		epoll_ctl(self->epoll, EPOLL_CTL_DEL, inSocket, nullptr);
		return 0;
	}
	epoll_event event{};
	event.events = (inWhat & CURL_POLL_IN ? EPOLLIN : 0u) | (inWhat & CURL_POLL_OUT ? EPOLLOUT : 0u);
	event.data.fd = inSocket;
	// `inKnown` is set if the socket is in the epoll set already
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
		self->curl_timer.Stop();
	else
		self->curl_timer.Once(inMillis, [self] { self->ProcessSocket(CURL_SOCKET_TIMEOUT, 0); });
	return 0;
}

bool HttpClient::ProcessReadySockets()
{
	std::array<epoll_event, cEventsPerWait> events;
	const int count = epoll_wait(this->epoll, events.data(), cEventsPerWait, 0);
	int running = 0;
	for (int i = 0; i < count; ++i)
	{
		const uint32 ready = events[static_cast<size_t>(i)].events;
		int what = ready & EPOLLIN ? CURL_CSELECT_IN : 0;
		what |= ready & EPOLLOUT ? CURL_CSELECT_OUT : 0;
		what |= ready & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0;
		curl_multi_socket_action(this->multi, events[static_cast<size_t>(i)].data.fd, what, &running);
	}
	return count > 0;
}

gboolean HttpClient::OnReadable(gint, GIOCondition, gpointer inSelf)
{
	HttpClient *self = static_cast<HttpClient *>(inSelf);
	self->ProcessReadySockets();
	self->EndCompleted();
	return G_SOURCE_CONTINUE;
}

void HttpClient::StartDeadlineTimer()
{
	if (!this->deadlines.empty() && !this->deadline_timer.IsRunning())
		this->deadline_timer.Once(this->deadlines.begin()->first - NowMillis(), [this] { this->EndTimedOut(); });
}

void HttpClient::EndTimedOut()
{
	// Answers that have arrived count, however late this process reads them
	for (int round = 0; round < cMaxReadRounds && this->ProcessReadySockets(); ++round)
		;
	const Millis now = NowMillis();
	std::vector<std::pair<Callback, HttpResult>> timed_out;
	const std::weak_ptr<bool> still_alive = this->alive;
	this->EndCompleted();
	while (!still_alive.expired() && !this->deadlines.empty() && this->deadlines.begin()->first <= now)
	{
		CURL *easy = this->deadlines.begin()->second;
		// The timeout may pass before the answer counts as overdue
		const bool was_expected = this->in_flight[easy]->peer->response_times.IsExpected(this->in_flight[easy].get());
		std::unique_ptr<Pending> pending = this->Remove(easy);
		if (was_expected)
			this->CloseIdleConnections(*pending->peer);
		HttpResult result = this->ResultOf(*pending, CURLE_OPERATION_TIMEDOUT);
		timed_out.emplace_back(std::move(pending->done), std::move(result));
		this->KeepHandle(std::move(pending));
	}
	if (!still_alive.expired())
		this->StartDeadlineTimer();
	for (auto &[done, result] : timed_out)
		if (!still_alive.expired())
			done(std::move(result));
}

std::shared_ptr<HttpClient::Peer> HttpClient::FindOrAddPeer(const std::string &inAddress)
{
	// Removes the peers to which no call and no connection refers
	if (this->peers.size() > cMaxPeers)
		std::erase_if(this->peers, [](const auto &inPeer) { return inPeer.second.use_count() == 1; });
	std::shared_ptr<Peer> &peer = this->peers[inAddress];
	if (peer == nullptr)
	{
		peer = std::make_shared<Peer>();
		peer->address = inAddress;
	}
	return peer;
}

void HttpClient::StartOverdueTimer(std::optional<Millis> inAt)
{
	if (!inAt.has_value() || (this->overdue_timer.IsRunning() && this->overdue_at <= *inAt))
		return;
	this->overdue_at = *inAt;
	this->overdue_timer.Once(*inAt - NowMillis(), [this] { this->CheckOverdue(); });
}

void HttpClient::CheckOverdue()
{
	// In most cases the answer for which the timer was started has arrived long ago
	std::optional<Millis> first;
	for (const auto &[address, peer] : this->peers)
		if (const std::optional<Millis> at = peer->response_times.OverdueAt(); at.has_value())
			first = std::min(first.value_or(*at), *at);
	if (first.has_value() && *first <= NowMillis())
		return this->CloseOverdue();
	this->StartOverdueTimer(first);
}

void HttpClient::CloseOverdue()
{
	// Answers that have arrived count, however late this process reads them
	for (int round = 0; round < cMaxReadRounds && this->ProcessReadySockets(); ++round)
		;
	const Millis now = NowMillis();
	const std::weak_ptr<bool> still_alive = this->alive;
	this->EndCompleted();
	if (still_alive.expired())
		return;
	for (const auto &[address, peer] : this->peers)
	{
		if (const std::optional<Millis> at = peer->response_times.OverdueAt(); at.has_value() && *at <= now)
			this->CloseIdleConnections(*peer);
		this->StartOverdueTimer(peer->response_times.OverdueAt());
	}
}

void HttpClient::CloseIdleConnections(Peer &ioPeer)
{
	ioPeer.response_times.OnConnectionsClosed();
	// libcurl notices the shutdown before it uses one of them
	for (curl_socket_t idle : ioPeer.idle_sockets)
		shutdown(idle, SHUT_RDWR);
	const size_t given_up = ioPeer.idle_sockets.size();
	const uint32 resent = this->ResendWaiting(ioPeer);
	LogEvent(ELogLevel::Warning, "kept_connections_given_up")
		.Field("to", ioPeer.address)
		.Field("idle", given_up)
		.Field("asked_anew", resent);
}

uint32 HttpClient::ResendWaiting(const Peer &inPeer)
{
	const Millis now = NowMillis();
	uint32 resent = 0;
	for (const auto &[easy, pending] : this->in_flight)
	{
		if (pending->peer.get() != &inPeer || !pending->MayResend(now))
			continue;
		pending->is_resent = true;
		pending->opened = false;
		++resent;
		// Removing the handle closes the connection of the call; once added again, it uses another one
		curl_multi_remove_handle(this->multi, easy);
		this->deadlines.erase({pending->deadline, easy});
		pending->deadline = pending->has_side_effects ? pending->deadline : now + pending->timeout_ms;
		this->deadlines.emplace(pending->deadline, easy);
		curl_multi_add_handle(this->multi, easy);
	}
	return resent;
}

void HttpClient::ProcessSocket(curl_socket_t inSocket, int inEvents)
{
	int running = 0;
	curl_multi_socket_action(this->multi, inSocket, inEvents, &running);
	this->EndCompleted();
}

curl_socket_t HttpClient::OnOpen(void *inPending, curlsocktype, curl_sockaddr *inAddress)
{
	Pending *pending = static_cast<Pending *>(inPending);
	const curl_socket_t opened = socket(inAddress->family, inAddress->socktype | SOCK_CLOEXEC, inAddress->protocol);
	if (opened < 0)
		return CURL_SOCKET_BAD;
	SetKeepAliveOptions(opened);
	const linger at_once{1, 0};
	if (pending->client->on_close == EClose::Discard)
		setsockopt(opened, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
	pending->opened = true;
	pending->client->connections[opened] = {pending->peer, nullptr};
	return opened;
}

int HttpClient::OnClose(void *inSelf, curl_socket_t inSocket)
{
	HttpClient *self = static_cast<HttpClient *>(inSelf);
	auto found = self->connections.find(inSocket);
	if (found != self->connections.end())
	{
		found->second.peer->idle_sockets.erase(inSocket);
		self->connections.erase(found);
	}
	return close(inSocket);
}

void HttpClient::SetSocketUser(curl_socket_t inSocket, CURL *inUser)
{
	auto found = this->connections.find(inSocket);
	if (found == this->connections.end())
		return;
	found->second.user = inUser;
	if (inUser == nullptr)
		found->second.peer->idle_sockets.insert(inSocket);
	else
		found->second.peer->idle_sockets.erase(inSocket);
}

int HttpClient::OnBeforeSend(void *inPending, char *, char *, int, int)
{
	Pending *pending = static_cast<Pending *>(inPending);
	// Checked just before the first byte is sent: the process may have been paused since the call was made
	const Millis now = NowMillis();
	if (now > pending->deadline || (pending->not_after > 0 && now > pending->not_after))
		return CURL_PREREQFUNC_ABORT;
	++pending->send_count;
	if (pending->client->link != nullptr)
		pending->client->link->OnSent(pending->traffic, pending->request_bytes, now);
	pending->sent_at = NowMillis();
	if (!pending->opened)
		pending->peer->response_times.OnSent(pending, pending->wait_ms, pending->sent_at);
	else
		pending->peer->response_times.OnFinished(pending);
	pending->client->StartOverdueTimer(pending->peer->response_times.OverdueAt());
	return CURL_PREREQFUNC_OK;
}

size_t HttpClient::OnBody(char *inData, size_t inSize, size_t inCount, void *inPending)
{
	Pending *pending = static_cast<Pending *>(inPending);
	// Taking less than everything makes libcurl end the call
	if (pending->response_body.size() + inSize * inCount > cMaxAnswerBytes)
		return 0;
	pending->response_body.append(inData, inSize * inCount);
	if (pending->client->link != nullptr)
		pending->client->link->OnReceived(pending->traffic, inSize * inCount);
	pending->client->ExtendDeadline(*pending, NowMillis());
	return inSize * inCount;
}

void HttpClient::ExtendDeadline(Pending &ioPending, Millis inNow)
{
	const Millis extended = std::min(inNow + ioPending.timeout_ms, ioPending.last_deadline);
	if (extended <= ioPending.deadline)
		return;
	this->deadlines.erase({ioPending.deadline, ioPending.easy});
	ioPending.deadline = extended;
	this->deadlines.emplace(ioPending.deadline, ioPending.easy);
}

/// Whether a call failed because the peer closed or refused the connection: its process has ended, or its host has reset the connection.
static bool IsClosedByPeer(CURL *inEasy, CURLcode inCode)
{
	if (inCode == CURLE_GOT_NOTHING)
		return true;
	const bool on_connection = inCode == CURLE_COULDNT_CONNECT || inCode == CURLE_RECV_ERROR || inCode == CURLE_SEND_ERROR;
	long system_error = 0;
	curl_easy_getinfo(inEasy, CURLINFO_OS_ERRNO, &system_error);
	return on_connection && (system_error == ECONNREFUSED || system_error == ECONNRESET || system_error == EPIPE);
}

HttpResult HttpClient::ResultOf(Pending &ioPending, CURLcode inCode)
{
	HttpResult result;
	result.received = ioPending.response_body.size();
	long request_bytes = 0;
	long status = 0;
	curl_easy_getinfo(ioPending.easy, CURLINFO_REQUEST_SIZE, &request_bytes);
	curl_easy_getinfo(ioPending.easy, CURLINFO_RESPONSE_CODE, &status);
	// libcurl has repeated the request on a new connection: the error answers the repetition, while the first may have been carried out
	const bool is_ambiguous = ioPending.send_count > 1 && ioPending.has_side_effects && (status < cSuccessFrom || status >= cSuccessBelow);
	if (inCode == CURLE_OK && is_ambiguous)
	{
		result.error = "refused when repeated with " + std::to_string(status);
		return result;
	}
	if (inCode == CURLE_OK)
	{
		result.status = static_cast<uint32>(status);
		result.body = std::move(ioPending.response_body);
		curl_header *etag = nullptr;
		if (curl_easy_header(ioPending.easy, "ETag", 0, CURLH_HEADER, -1, &etag) == CURLHE_OK)
			result.etag = etag->value;
		long header_bytes = 0;
		curl_easy_getinfo(ioPending.easy, CURLINFO_HEADER_SIZE, &header_bytes);
		this->bytes += static_cast<uint64>(request_bytes + header_bytes) + ioPending.request_body.size() + result.body.size();
		return result;
	}
	// A request that was never on the wire had no effect; a call that was sent again has been on the wire before
	result.refused = !ioPending.is_resent && (request_bytes == 0 || ioPending.send_count == 0);
	result.closed = IsClosedByPeer(ioPending.easy, inCode);
	result.error = curl_easy_strerror(inCode);
	return result;
}

std::unique_ptr<HttpClient::Pending> HttpClient::Remove(CURL *inEasy)
{
	auto found = this->in_flight.find(inEasy);
	std::unique_ptr<Pending> pending = std::move(found->second);
	this->in_flight.erase(found);
	this->deadlines.erase({pending->deadline, inEasy});
	pending->peer->response_times.OnFinished(pending.get());
	curl_multi_remove_handle(this->multi, inEasy);
	return pending;
}

void HttpClient::KeepHandle(std::unique_ptr<Pending> inPending)
{
	if (this->idle_handles.size() < cMaxIdleHandles)
		this->idle_handles.push_back(std::move(inPending));
}

void HttpClient::EndCompleted()
{
	// A callback may destroy this client or start further calls
	std::vector<std::pair<Callback, HttpResult>> finished;
	int left = 0;
	while (CURLMsg *message = curl_multi_info_read(this->multi, &left))
	{
		if (message->msg != CURLMSG_DONE)
			continue;
		const CURLcode code = message->data.result;
		std::unique_ptr<Pending> pending = this->Remove(message->easy_handle);
		HttpResult result = this->ResultOf(*pending, code);
		if (code == CURLE_OK && pending->wait_ms == 0)
			pending->peer->response_times.OnAnswered(NowMillis() - pending->sent_at);
		finished.emplace_back(std::move(pending->done), std::move(result));
		this->KeepHandle(std::move(pending));
	}
	const std::weak_ptr<bool> still_alive = this->alive;
	for (auto &[done, result] : finished)
		if (!still_alive.expired())
			done(std::move(result));
}

void HttpClient::SetUp(Pending &ioPending, const HttpCall &inCall)
{
	CURL *easy = ioPending.easy;
	const std::string to = inCall.to.Text();
	curl_easy_reset(easy);
	curl_slist_free_all(ioPending.headers);
	ioPending.headers = nullptr;
	ioPending.response_body.clear();
	ioPending.send_count = 0;
	ioPending.has_side_effects = inCall.method != "GET";
	ioPending.client = this;
	ioPending.peer = this->FindOrAddPeer(to);
	ioPending.timeout_ms = std::max<Millis>(inCall.timeout_ms, 1);
	ioPending.wait_ms = inCall.wait_ms;
	ioPending.opened = false;
	ioPending.is_resent = false;
	ioPending.repeatable = inCall.repeatable || !ioPending.has_side_effects;
	ioPending.not_after = inCall.not_after;
	ioPending.url = "http://" + to + inCall.path;
	ioPending.request_body = inCall.body;
	ioPending.traffic = inCall.traffic;
	ioPending.request_bytes = ioPending.url.size() + inCall.body.size() + cHeaderBytes;
	// Sends the body without waiting for the status 100 (Continue)
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
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, ioPending.request_body.data());
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(ioPending.request_body.size()));
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
	// libcurl repeats a request by itself if a kept connection turns out closed, so only repeatable calls may use kept connections
	if (!inCall.repeatable && inCall.method != "GET")
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
}

void HttpClient::Start(const HttpCall &inCall, Callback inDone)
{
	std::unique_ptr<Pending> pending;
	if (this->idle_handles.empty())
		pending = std::make_unique<Pending>();
	else
	{
		pending = std::move(this->idle_handles.back());
		this->idle_handles.pop_back();
	}
	this->SetUp(*pending, inCall);
	pending->done = std::move(inDone);
	const Millis now = NowMillis();
	pending->deadline = now + pending->timeout_ms;
	pending->last_deadline = now + inCall.max_transfer_ms;
	CURL *easy = pending->easy;
	this->deadlines.emplace(pending->deadline, easy);
	this->in_flight[easy] = std::move(pending);
	curl_multi_add_handle(this->multi, easy);
	// The timer may have been started for a later deadline than this one
	if (this->deadlines.begin()->second == easy)
		this->deadline_timer.Stop();
	this->StartDeadlineTimer();
}

std::string UrlEscape(std::string_view inText)
{
	gchar *escaped = g_uri_escape_bytes(reinterpret_cast<const guint8 *>(inText.data()), inText.size(), nullptr);
	std::string text = escaped;
	g_free(escaped);
	return text;
}

} // namespace Loomreach
