// Small HTTP calls to the platform, to workers' agents and, in the command-line tool, to an entry host: whole body in, whole body out.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Settings/DaemonConfig.h>

#include <libsoup/soup.h>

namespace Loomreach
{

/// How a call ended.
struct HttpResult
{
	uint32 status = 0; ///< 0: no whole answer came.
	std::string body;
	std::string etag;     ///< The answer's entity tag, if it has one.
	bool refused = false; ///< The request never left (no connection was had): the call certainly had no effect.
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
	Millis not_after = 0;    ///< On the process's clock: a request that could not be sent by then is not sent any more; 0: no bound.
	bool repeatable = false; ///< Doing it twice is doing it once: it may go over a kept connection, and again if that turns out closed.
};

/// Makes calls on the main context. Calls that are under way when it is destroyed never call back.
class HttpClient
{
public:
	using Callback = std::function<void(HttpResult)>;

	/// `inPerHost`: connections to one address at once, at most; further calls wait.
	explicit HttpClient(int inPerHost = 16);
	~HttpClient();
	HttpClient(const HttpClient &) = delete;
	HttpClient &operator=(const HttpClient &) = delete;

	/// Starts a call; `inDone` is called once.
	void Start(const HttpCall &inCall, Callback inDone);
	/// Bytes of HTTP sent and received, heads included, of calls that were answered.
	uint64 Bytes() const { return this->bytes; }

	struct Pending;

private:
	static void OnSent(GObject *inSession, GAsyncResult *inResult, gpointer inPending);
	static gboolean OnTimeout(gpointer inPending);

	ObjectPtr<SoupSession> session;
	std::shared_ptr<bool> alive;
	uint64 bytes = 0;
};

/// Text made safe for one part of a URL's path or query.
std::string UrlEscape(std::string_view inText);

} // namespace Loomreach
