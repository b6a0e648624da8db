// HTTP client for small calls to the platform, to workers' agents and, in the command-line tool, to an entry host. Request and response
// bodies are held whole in memory.
//
// It uses libcurl's multi interface, although the house style names libsoup: libsoup's client creates a handful of GLib sources and objects
// per call and takes 0.7 ms for each, too much for an entry host with a quarter of a core (figures: docs/design/on-the-platform.md). The
// server side uses libsoup. All sockets of a client are in one epoll set, which is a single source of the main context.
//
// Timeouts are checked here rather than by libcurl, which checks them before it reads the sockets: after a pause, the process would discard
// the answers that arrived meanwhile, and decide without them. Here the sockets are read first, and only calls still unanswered time out.
//
// A connection may become unresponsive for good, without a reset, while new ones work. Once an answer over a kept connection is overdue
// (see ResponseTimeTracker), the idle connections to that address are shut down, which libcurl notices before it uses one, and waiting
// calls (long-polling reads and polls of workers) are sent again over new connections. The overdue call itself keeps its timeout: it may
// still be answered, and a change is not sent twice merely because it is slow.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Platform/LinkUsage.h>
#include <Loomreach/Platform/PeerTrust.h>
#include <Loomreach/Settings/DaemonConfig.h>

#include <curl/curl.h>

namespace Loomreach
{

/// Outcome of a call.
struct HttpResult
{
	uint32 status = 0; ///< 0: no complete answer arrived.
	std::string body;
	std::string etag;     ///< Entity tag of the answer; empty if it has none.
	bool refused = false; ///< The request was never sent (there was no connection): the call certainly had no effect.
	bool closed = false;  ///< With status 0: the peer closed or refused the connection, which an unresponsive peer does not do.
	std::string error;    ///< With status 0: the reason.
	size_t received = 0;  ///< Bytes of the body that arrived, also of an incomplete one.

	bool IsOk() const { return this->status >= 200 && this->status < 300; }
};

/// A call to make.
struct HttpCall
{
	std::string method = "GET";
	Address to;
	std::string path; ///< Including the query.
	std::string body;
	std::string content_type = "application/json";
	std::vector<std::pair<std::string, std::string>> headers;
	Millis timeout_ms = 3000;
	/// An answer that has begun to arrive may take this long in all: each part that arrives starts `timeout_ms` anew. 0: it may not.
	Millis max_transfer_ms = 0;
	Millis wait_ms = 0;                 ///< The part of `timeout_ms` for which the server may delay its answer on purpose (long poll).
	Millis not_after = 0;               ///< On the process's clock: the request is not sent after this time; 0: no limit.
	ETraffic traffic = ETraffic::Other; ///< Kind under which its bytes are counted.
	bool repeatable = false;            ///< Idempotent: it may use a kept connection, and is sent again if that turns out to be closed.
};

/// Makes calls on the main context. Calls in flight when it is destroyed never call back.
class HttpClient
{
public:
	using Callback = std::function<void(HttpResult)>;

	/// What happens to the data of a timed-out call that the network still holds.
	enum class EClose : uint8
	{
		Deliver, ///< It may arrive as soon as a network partition ends.
		Discard  ///< It is lost: the connection is reset.
	};

	/// `inPerHost`: maximum number of connections to one address; further calls are queued. `inLink` counts the bytes of the calls.
	explicit HttpClient(int inPerHost = 16, EClose inClose = EClose::Deliver, LinkUsage *inLink = nullptr);
	~HttpClient();
	HttpClient(const HttpClient &) = delete;
	HttpClient &operator=(const HttpClient &) = delete;

	/// Starts a call; `inDone` is called once.
	void Start(const HttpCall &inCall, Callback inDone);
	/// HTTP bytes sent and received, headers included, by calls that were answered.
	uint64 Bytes() const { return this->bytes; }

private:
	struct Pending;
	/// State of one address.
	struct Peer
	{
		std::string address;
		ResponseTimeTracker response_times;
		std::set<curl_socket_t> idle_sockets; ///< Kept connections that no call uses.
	};
	/// Peer of an open socket, and the call that uses it, if any.
	struct Connection
	{
		std::shared_ptr<Peer> peer;
		CURL *user = nullptr;
	};
	static int OnSocket(CURL *inEasy, curl_socket_t inSocket, int inWhat, void *inSelf, void *inKnown);
	static int OnTimer(CURLM *inMulti, long inMillis, void *inSelf);
	static curl_socket_t OnOpen(void *inPending, curlsocktype inPurpose, curl_sockaddr *inAddress);
	static int OnClose(void *inSelf, curl_socket_t inSocket);
	static int OnBeforeSend(void *inPending, char *, char *, int, int);
	static size_t OnBody(char *inData, size_t inSize, size_t inCount, void *inPending);
	static gboolean OnReadable(gint inDescriptor, GIOCondition inCondition, gpointer inSelf);
	void ProcessSocket(curl_socket_t inSocket, int inEvents);
	/// Lets libcurl handle the sockets that are ready; false if there were none.
	bool ProcessReadySockets();
	/// Ends the calls that libcurl has completed.
	void EndCompleted();
	/// Removes a call, whether it has completed or not.
	std::unique_ptr<Pending> Remove(CURL *inEasy);
	/// Keeps the handle of a finished call for later calls.
	void KeepHandle(std::unique_ptr<Pending> inPending);
	/// Ends the calls that have timed out.
	void EndTimedOut();
	void StartDeadlineTimer();
	/// Part of an answer has arrived: its call may take longer, see `HttpCall::max_transfer_ms`.
	void ExtendDeadline(Pending &ioPending, Millis inNow);
	/// Records which call uses a connection, if any.
	void SetSocketUser(curl_socket_t inSocket, CURL *inUser);
	std::shared_ptr<Peer> FindOrAddPeer(const std::string &inAddress);
	/// Starts the timer for an answer that becomes overdue at the given time.
	void StartOverdueTimer(std::optional<Millis> inAt);
	/// Checks whether an answer is overdue.
	void CheckOverdue();
	/// Reads what has arrived, and then closes the kept connections to addresses whose answers are still overdue.
	void CloseOverdue();
	void CloseIdleConnections(Peer &ioPeer);
	/// Sends the waiting calls to an address again over new connections; returns their number.
	uint32 ResendWaiting(const Peer &inPeer);
	void SetUp(Pending &ioPending, const HttpCall &inCall);
	HttpResult ResultOf(Pending &ioPending, CURLcode inCode);

	EClose on_close;
	LinkUsage *link; ///< nullptr: bytes are not counted.
	CURLM *multi = nullptr;
	int epoll = -1; ///< Contains all sockets of this client.
	guint epoll_source = 0;
	Timer curl_timer;     ///< The timer that libcurl requests.
	Timer deadline_timer; ///< Runs until the first of `deadlines`, or less long.
	std::map<CURL *, std::unique_ptr<Pending>> in_flight;
	std::set<std::pair<Millis, CURL *>> deadlines;      ///< When each call times out. Invariant: one entry for each call of `in_flight`.
	std::vector<std::unique_ptr<Pending>> idle_handles; ///< Handles of finished calls, for reuse.
	std::unordered_map<std::string, std::shared_ptr<Peer>> peers;
	std::unordered_map<curl_socket_t, Connection> connections;
	Timer overdue_timer;         ///< Runs until an answer may be overdue, or less long.
	Millis overdue_at = 0;       ///< When `overdue_timer` fires.
	std::shared_ptr<bool> alive; ///< Expires with this client, so that a callback that destroys it is noticed.
	uint64 bytes = 0;
};

/// Percent-encodes a text for use as one part of a URL's path or query.
std::string UrlEscape(std::string_view inText);

} // namespace Loomreach
