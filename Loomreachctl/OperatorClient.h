// Calls to an entry host's operators' listener, one after another.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/Platform/HttpClient.h>

#include <nlohmann/json.hpp>

namespace Loomreach
{

/// The client of one entry host.
class OperatorClient
{
public:
	OperatorClient(Address inServer, std::string inToken) : server(std::move(inServer)), token(std::move(inToken)) {}

	/// Reads; nothing, with the server's reason, when it refuses.
	std::optional<nlohmann::json> Get(const std::string &inPath);
	/// Asks for a change; nothing, with the server's reason, when it is not accepted.
	std::optional<nlohmann::json> Post(const std::string &inPath, std::string inBody = {});
	/// Reads plain text.
	std::optional<std::string> GetText(const std::string &inPath);
	/// The body of the last answer that was refused.
	const nlohmann::json &LastRefusal() const { return this->refusal; }

private:
	HttpResult Call(const std::string &inMethod, const std::string &inPath, std::string inBody);
	std::optional<nlohmann::json> Read(const HttpResult &inResult);

	Address server;
	std::string token;
	HttpClient http;
	nlohmann::json refusal;
};

} // namespace Loomreach
