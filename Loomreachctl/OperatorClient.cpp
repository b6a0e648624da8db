// Runs the main loop until the asynchronous HTTP client has the answer.

#include <Loomreach/Loomreach.h>

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

std::optional<nlohmann::json> OperatorClient::Read(const HttpResult &inResult)
{
	if (inResult.status == 0)
		return Fail(EError::NotReady, "no answer from " + this->server.Text() + ": " + inResult.error);
	nlohmann::json body = nlohmann::json::parse(inResult.body, nullptr, false);
	if (!body.is_object() && !body.is_array())
		return Fail(EError::Corrupt, "the entry host's answer is no valid JSON");
	if (inResult.IsOk())
		return body;
	this->last_refusal = body;
	const std::string name = body.is_object() ? body.value("error", std::string("internal")) : std::string("internal");
	const EError kind = ErrorOf(name).value_or(EError::Internal);
	return Fail(kind, body.is_object() ? body.value("detail", std::string()) : std::string());
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
