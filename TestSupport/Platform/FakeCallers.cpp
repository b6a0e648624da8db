// Forwards requests over kept connections.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/LogEvent.h>
#include <TestSupport/Platform/FakeCallers.h>
#include <TestSupport/Platform/FakeStore.h>

#include <nlohmann/json.hpp>

namespace Loomreach
{

static constexpr int cMaxConnections = 200;
static constexpr int cMaxConnectionsPerHost = 30;

/// A request under way.
struct FakeCallers::Call
{
	FakeCallers *callers = nullptr;
	ObjectPtr<SoupServerMessage> script_call;
	ObjectPtr<SoupMessage> message;
	ObjectPtr<GCancellable> cancellable;
	std::string method;
	std::string id;
	std::string port;
	Millis sent_at = 0;
};

FakeCallers::FakeCallers(RequestLedger &ioRequests)
	: requests(ioRequests), session(soup_session_new_with_options("max-conns", cMaxConnections, "max-conns-per-host",
																  cMaxConnectionsPerHost, "idle-timeout", 0U, nullptr))
{
}

void FakeCallers::Forward(SoupServerMessage *inMessage, const std::string &inTarget)
{
	const size_t port_at = inTarget.find('/') + 1;
	const size_t limit_at = inTarget.find('/', port_at) + 1;
	const size_t path_at = inTarget.find('/', limit_at);
	if (port_at == 0 || limit_at == 0 || path_at == std::string::npos)
		return Reply(inMessage, 400, "{}");
	auto call = std::make_shared<Call>();
	call->callers = this;
	call->method = inTarget.substr(0, port_at - 1);
	call->port = inTarget.substr(port_at, limit_at - port_at - 1);
	call->id = inTarget.substr(inTarget.rfind('/') + 1);
	call->sent_at = NowMillis();
	call->cancellable.reset(g_cancellable_new());
	call->message.reset(soup_message_new(call->method.c_str(), ("http://127.0.0.1:" + call->port + inTarget.substr(path_at)).c_str()));
	if (call->message == nullptr)
		return Reply(inMessage, 400, "{}");
	soup_message_headers_replace(soup_message_get_request_headers(call->message.get()), "Host", "jobs.example");
	const std::string body = BodyOf(inMessage);
	if (call->method == "POST")
		this->requests.OnSubmitted(call->id, nlohmann::json::parse(body, nullptr, false).value("spec", ""));
	if (!body.empty())
	{
		GBytes *bytes = g_bytes_new(body.data(), body.size());
		soup_message_set_request_body_from_bytes(call->message.get(), "application/json", bytes);
		g_bytes_unref(bytes);
	}
	soup_server_message_pause(inMessage);
	call->script_call = Share(inMessage);
	After(std::strtoll(inTarget.c_str() + limit_at, nullptr, 10), [call] { g_cancellable_cancel(call->cancellable.get()); });
	soup_session_send_and_read_async(
		this->session.get(), call->message.get(), G_PRIORITY_DEFAULT, call->cancellable.get(),
		[](GObject *inSession, GAsyncResult *inResult, gpointer inCall)
		{
			const std::unique_ptr<std::shared_ptr<Call>> held(static_cast<std::shared_ptr<Call> *>(inCall));
			Call &answered = **held;
			GBytes *answer = soup_session_send_and_read_finish(SOUP_SESSION(inSession), inResult, nullptr);
			answered.callers->OnAnswer(answered, answer == nullptr ? 0 : soup_message_get_status(answered.message.get()));
			if (answer != nullptr)
				g_bytes_unref(answer);
		},
		new std::shared_ptr<Call>(call));
}

void FakeCallers::OnAnswer(Call &inCall, uint32 inStatus)
{
	const bool is_success = inStatus / 100 == 2;
	if (inCall.method == "DELETE" && is_success)
		this->requests.OnCanceled(inCall.id, NowMillis());
	if (inCall.method != "GET")
		LogEvent(ELogLevel::Info, "fake_call")
			.Field("method", inCall.method)
			.Field("request", inCall.id)
			.Field("port", inCall.port)
			.Field("status", inStatus)
			.Field("after_ms", NowMillis() - inCall.sent_at);
	Reply(inCall.script_call.get(), 200, std::to_string(inStatus));
	soup_server_message_unpause(inCall.script_call.get());
}

} // namespace Loomreach
