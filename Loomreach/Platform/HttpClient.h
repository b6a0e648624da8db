// Small HTTP calls to the platform, to workers' agents and, in the command-line tool, to an entry host: whole body in, whole body out.
//
// By libcurl's multi interface, where the house style names libsoup: an entry host has a quarter of a core, and libsoup's client, with a
// handful of GLib sources and objects a call, took 0.7 ms of it for each (docs/design/on-the-platform.md has the figures). The server side
// stays libsoup's. All sockets of a client wait in one epoll set, which is one source of the main context.
//
// The time of a call is watched here and not by libcurl, which looks at it before the socket: a process that stood still would throw away
// the answers that came meanwhile, and decide without them. Here the sockets are read first, and only what has no answer then is given up.
//
// Open connections may fall silent for good, without a reset, while new ones work. Once an answer over a kept connection is overdue
// (PeerTrust), the idle connections to that address are shut, which libcurl sees before it uses one; what waits there by itself, reads
// and looks at workers, is asked anew over new ones. The overdue call itself keeps its time: it may yet be answered, and a change is not
// sent twice for being slow.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Platform/PeerTrust.h>
#include <Loomreach/Settings/DaemonConfig.h>

#include <curl/curl.h>

namespace Loomreach
{

/// How a call ended.
struct HttpResult
{
	uint32 status = 0; ///< 0: no whole answer came.
	std::string body;
	std::string etag;     ///< The answer's entity tag, if it has one.
	bool refused = false; ///< The request never left (no connection was had): the call certainly had no effect.
	bool closed = false;  ///< With status 0: the other side closed the connection or turned it away; a silent one does neither.
	std::string error;    ///< With status 0: why.

	bool IsOk() const { return this->status >= 200 && this->status < 300; }
};

/// One call.
struct HttpCall
{
	std::string method = "GET";
	Address to;
	std::string path; ///< With its query.
	std::string body;
	std::string content_type = "application/json";
	std::vector<std::pair<std::string, std::string>> headers;
	Millis timeout_ms = 3000;
	Millis wait_ms = 0;      ///< The part of `timeout_ms` for which the other side may keep the answer back by itself.
	Millis not_after = 0;    ///< On the process's clock: a request that could not be sent by then is not sent any more; 0: no bound.
	bool repeatable = false; ///< Doing it twice is doing it once: it may go over a kept connection, and again if that turns out closed.
};

/// Makes calls on the main context. Calls that are under way when it is destroyed never call back.
class HttpClient
{
public:
	using Callback = std::function<void(HttpResult)>;

	/// What happens to bytes of a call that was given up and that the network still holds.
	enum class EClose : uint8
	{
		Deliver, ///< They may arrive whenever a cut heals.
		Discard  ///< They are lost: the connection is reset.
	};

	/// `inPerHost`: connections to one address at once, at most; further calls wait.
	explicit HttpClient(int inPerHost = 16, EClose inClose = EClose::Deliver);
	~HttpClient();
	HttpClient(const HttpClient &) = delete;
	HttpClient &operator=(const HttpClient &) = delete;

	/// Starts a call; `inDone` is called once.
	void Start(const HttpCall &inCall, Callback inDone);
	/// Bytes of HTTP sent and received, heads included, of calls that were answered.
	uint64 Bytes() const { return this->bytes; }

private:
	struct Pending;
	/// What is known of one address.
	struct Peer
	{
		std::string address;
		PeerTrust trust;
		std::set<curl_socket_t> idle; ///< Its kept connections that no call uses.
	};
	/// Whose a socket is.
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
	void Act(curl_socket_t inSocket, int inEvents);
	/// Takes in what lies ready at the sockets; false: there was nothing.
	bool TakeReady();
	void Finish();
	/// Takes a call out, whether it is over or not.
	std::unique_ptr<Pending> Take(CURL *inEasy);
	/// Keeps a finished handle for later calls.
	void Keep(std::unique_ptr<Pending> inPending);
	/// Ends the calls whose time is over.
	void GiveUpLate();
	void WaitForNextLimit();
	/// Notes which call uses a connection, if any.
	void SetUser(curl_socket_t inSocket, CURL *inUser);
	std::shared_ptr<Peer> PeerOf(const std::string &inAddress);
	/// Waits for an answer that would be overdue then.
	void WaitForOverdue(std::optional<Millis> inAt);
	/// Looks whether an answer is overdue.
	void LookForSilence();
	/// Gives up the kept connections to addresses whose answers are overdue, once what has come in is read.
	void GiveUpSilent();
	void GiveUpKept(Peer &ioPeer);
	/// Asks what waits at an address anew; how many.
	uint32 AskAnew(const Peer &inPeer);
	void SetUp(Pending &ioPending, const HttpCall &inCall);
	HttpResult ResultOf(Pending &ioPending, CURLcode inCode);

	EClose close_by;
	CURLM *multi = nullptr;
	int epoll = -1; ///< All sockets of this client.
	guint epoll_source = 0;
	Timer timer; ///< The one that libcurl asks for.
	Timer limit; ///< Until the first of `limits`, or sooner.
	std::map<CURL *, std::unique_ptr<Pending>> under_way;
	std::set<std::pair<Millis, CURL *>> limits; ///< Until when each call under way has time. Invariant: one entry a call of `under_way`.
	std::vector<std::unique_ptr<Pending>> idle; ///< Finished handles, to be used again.
	std::unordered_map<std::string, std::shared_ptr<Peer>> peers;
	std::unordered_map<curl_socket_t, Connection> connections;
	Timer overdue;         ///< Until an answer may be overdue, or sooner.
	Millis overdue_at = 0; ///< When it is over.
	std::shared_ptr<bool> alive;
	uint64 bytes = 0;
};

/// Text made safe for one part of a URL's path or query.
std::string UrlEscape(std::string_view inText);

} // namespace Loomreach
