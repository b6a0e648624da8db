// Runs the main loop until the asynchronous HTTP client has the answer.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/BoundedJson.h>
#include <Loomreachctl/OperatorClient.h>

namespace Loomreach
{

static constexpr Millis cCallTimeoutMs = 20'000;

HttpResult OperatorClient::Call(const std::string &inMethod, const std::string &inPath, std::string inBody)
{
	HttpCall call;
	call.method = inMethod;
	call.to = this->server;
	call.path = inPath;
	call.body = std::move(inBody);
	call.timeout_ms = cCallTimeoutMs;
	if (!this->token.empty())
		call.headers.emplace_back("Authorization", "Bearer " + this->token);
	HttpResult answer;
	bool done = false;
	this->http.Start(call,
					 [&answer, &done](HttpResult inResult)
					 {
						 answer = std::move(inResult);
						 done = true;
					 });
	while (!done)
		g_main_context_iteration(nullptr, TRUE);
	return answer;
}

/// A text of an answer; empty if it is absent or of another type, for which the library would throw.
static std::string TextOfField(const nlohmann::json &inBody, const char *inField)
{
	if (!inBody.is_object())
		return {};
	auto found = inBody.find(inField);
	return found == inBody.end() || !found->is_string() ? std::string() : found->get<std::string>();
}

std::optional<nlohmann::json> OperatorClient::Read(const HttpResult &inResult)
{
	if (inResult.status == 0)
		return Fail(EError::NotReady, "no answer from " + this->server.Text() + ": " + inResult.error);
	nlohmann::json body = ParseJson(inResult.body).value_or(nlohmann::json());
	if (!body.is_object() && !body.is_array())
		return Fail(EError::Corrupt, "the entry host's answer is no valid JSON");
	if (inResult.IsOk())
		return body;
	this->last_refusal = body;
	return Fail(ErrorOf(TextOfField(body, "error")).value_or(EError::Internal), TextOfField(body, "detail"));
}

std::optional<nlohmann::json> OperatorClient::Get(const std::string &inPath) { return this->Read(this->Call("GET", inPath, {})); }

std::optional<nlohmann::json> OperatorClient::Post(const std::string &inPath, std::string inBody)
{
	return this->Read(this->Call("POST", inPath, std::move(inBody)));
}

std::optional<std::string> OperatorClient::GetText(const std::string &inPath)
{
	HttpResult result = this->Call("GET", inPath, {});
	if (!result.IsOk())
	{
		this->Read(result);
		return std::nullopt;
	}
	return std::move(result.body);
}

} // namespace Loomreach
