// HTTP calls by libsoup with a timeout for the whole call.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Platform/HttpClient.h>

namespace Loomreach
{

static constexpr int cMaxConnections = 256;

/// One call under way.
struct HttpClient::Pending
{
	HttpClient *client = nullptr;
	std::shared_ptr<bool> alive;
	Callback done;
	ObjectPtr<SoupMessage> message;
	ObjectPtr<GCancellable> cancellable;
	guint timeout = 0;
	Millis not_after = 0;
	bool too_late = false;
};

HttpClient::HttpClient(int inPerHost)
	: session(soup_session_new_with_options("max-conns", cMaxConnections, "max-conns-per-host", inPerHost,
											 "proxy-resolver", nullptr, nullptr)),
	  alive(std::make_shared<bool>(true))
{
}

HttpClient::~HttpClient()
{
	*this->alive = false;
	soup_session_abort(this->session.get());
}

/// Just before a request's first byte: the process may have stood still since the call was made.
static void StopIfLate(SoupMessage *, gpointer inPending)
{
	HttpClient::Pending *pending = static_cast<HttpClient::Pending *>(inPending);
	if (NowMillis() <= pending->not_after)
		return;
	pending->too_late = true;
	g_cancellable_cancel(pending->cancellable.get());
}

gboolean HttpClient::OnTimeout(gpointer inPending)
{
	Pending *pending = static_cast<Pending *>(inPending);
	pending->timeout = 0;
	g_cancellable_cancel(pending->cancellable.get());
	return G_SOURCE_REMOVE;
}

void HttpClient::OnSent(GObject *inSession, GAsyncResult *inResult, gpointer inPending)
{
	const std::unique_ptr<Pending> pending(static_cast<Pending *>(inPending));
	if (pending->timeout != 0)
		g_source_remove(pending->timeout);
	ErrorPtr error;
	GBytes *bytes = soup_session_send_and_read_finish(SOUP_SESSION(inSession), inResult, error.Out());
	HttpResult result;
	if (bytes != nullptr)
	{
		gsize length = 0;
		const void *data = g_bytes_get_data(bytes, &length);
		result.body.assign(static_cast<const char *>(data), data == nullptr ? 0 : length);
		result.status = soup_message_get_status(pending->message.get());
		const char *etag = soup_message_headers_get_one(soup_message_get_response_headers(pending->message.get()), "ETag");
		result.etag = etag == nullptr ? "" : etag;
		g_bytes_unref(bytes);
	}
	else
	{
		// Without a start of the request its first byte never left
		SoupMessageMetrics *sent = soup_message_get_metrics(pending->message.get());
		const bool never_began = sent != nullptr && soup_message_metrics_get_request_start(sent) == 0;
		result.refused = never_began || pending->too_late || error.Is(G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
		result.error = error.Text();
	}
	if (*pending->alive)
	{
		SoupMessageMetrics *metrics = soup_message_get_metrics(pending->message.get());
		if (metrics != nullptr)
			pending->client->bytes += soup_message_metrics_get_request_header_bytes_sent(metrics) +
									  soup_message_metrics_get_request_body_bytes_sent(metrics) +
									  soup_message_metrics_get_response_header_bytes_received(metrics) +
									  soup_message_metrics_get_response_body_bytes_received(metrics);
		pending->done(std::move(result));
	}
}

void HttpClient::Start(const HttpCall &inCall, Callback inDone)
{
	const std::string url = "http://" + inCall.to.Text() + inCall.path;
	SoupMessage *message = soup_message_new(inCall.method.c_str(), url.c_str());
	if (message == nullptr)
	{
		HttpResult result;
		result.error = "not a URL: " + url;
		inDone(std::move(result));
		return;
	}
	auto pending = std::make_unique<Pending>();
	pending->client = this;
	pending->alive = this->alive;
	pending->done = std::move(inDone);
	pending->message.reset(message);
	pending->cancellable.reset(g_cancellable_new());
	soup_message_add_flags(message, SOUP_MESSAGE_COLLECT_METRICS);
	// libsoup opens a new connection for each POST that it may not repeat
	if (inCall.repeatable)
		soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
	if (!inCall.body.empty())
	{
		GBytes *bytes = g_bytes_new(inCall.body.data(), inCall.body.size());
		soup_message_set_request_body_from_bytes(message, inCall.content_type.c_str(), bytes);
		g_bytes_unref(bytes);
	}
	for (const auto &[name, value] : inCall.headers)
		soup_message_headers_replace(soup_message_get_request_headers(message), name.c_str(), value.c_str());
	Pending *raw = pending.release();
	raw->timeout = g_timeout_add(static_cast<guint>(inCall.timeout_ms), &HttpClient::OnTimeout, raw);
	if (inCall.not_after > 0)
	{
		raw->not_after = inCall.not_after;
		g_signal_connect(message, "starting", G_CALLBACK(&StopIfLate), raw);
	}
	soup_session_send_and_read_async(this->session.get(), message, G_PRIORITY_DEFAULT, raw->cancellable.get(), &HttpClient::OnSent, raw);
}

std::string UrlEscape(std::string_view inText)
{
	gchar *escaped = g_uri_escape_bytes(reinterpret_cast<const guint8 *>(inText.data()), inText.size(), nullptr);
	std::string text = escaped;
	g_free(escaped);
	return text;
}

} // namespace Loomreach
