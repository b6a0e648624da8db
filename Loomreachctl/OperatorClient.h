// Synchronous client for the listener of an entry host for operators.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/Platform/HttpClient.h>

#include <nlohmann/json.hpp>

namespace Loomreach
{

/// Client of one entry host. Each call waits for its answer.
class OperatorClient
{
public:
	OperatorClient(Address inServer, std::string inToken) : server(std::move(inServer)), token(std::move(inToken)) {}

	/// GET of a JSON document; nothing, with the reason that the server gives, when it refuses.
	std::optional<nlohmann::json> Get(const std::string &inPath);
	/// POST of a change; nothing, with the reason that the server gives, when it is not accepted.
	std::optional<nlohmann::json> Post(const std::string &inPath, std::string inBody = {});
	/// GET of plain text.
	std::optional<std::string> GetText(const std::string &inPath);
	/// Body of the last refusal.
	const nlohmann::json &LastRefusal() const { return this->last_refusal; }

private:
	HttpResult Call(const std::string &inMethod, const std::string &inPath, std::string inBody);
	std::optional<nlohmann::json> Read(const HttpResult &inResult);

	Address server;
	std::string token;
	HttpClient http;
	nlohmann::json last_refusal;
};

} // namespace Loomreach
