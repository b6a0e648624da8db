// Encodes orders to workers' agents and decodes their status.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/BoundedJson.h>
#include <Loomreach/Core/Error.h>
#include <Loomreach/Platform/WorkerClient.h>

#include <charconv>

namespace Loomreach
{

using Json = nlohmann::json;

std::optional<ReplicaKey> ParseReplica(std::string_view inText)
{
	const size_t hash = inText.rfind('#');
	if (hash == std::string_view::npos)
		return Fail(EError::Corrupt, "expected job#index");
	const std::string_view digits = inText.substr(hash + 1);
	ReplicaKey replica{std::string(inText.substr(0, hash)), 0};
	const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), replica.index);
	if (error != std::errc() || end != digits.data() + digits.size())
		return Fail(EError::Corrupt, "expected job#index");
	return replica;
}

static ETaskState TaskStateOf(const std::string &inName)
{
	if (inName == "finished")
		return ETaskState::Finished;
	return inName == "failed" ? ETaskState::Failed : ETaskState::Running;
}

std::optional<WorkerStatus> ParseWorkerStatus(const std::string &inBody)
{
	const Json body = ParseJson(inBody).value_or(Json());
	if (!body.is_object() || !body.value("tasks", Json()).is_array() || !body.value("boot", Json()).is_number_unsigned())
		return Fail(EError::Corrupt, "the worker's status lacks boot or tasks");
	const Json in_flight = body.value("in_flight", Json());
	if (!in_flight.is_number_unsigned())
		return Fail(EError::Corrupt, "the worker's status lacks in_flight");
	WorkerStatus status;
	status.boot = body["boot"].get<uint64>();
	status.in_flight = static_cast<uint32>(std::min<uint64>(in_flight.get<uint64>(), UINT32_MAX));
	status.leaving = body.value("leaving", Json(false)) == Json(true);
	for (const Json &element : body["tasks"])
	{
		const bool well_formed = element.is_object() && element.value("replica", Json()).is_string() &&
								 element.value("state", Json()).is_string() && element.value("generation", Json()).is_number_unsigned();
		std::optional<ReplicaKey> replica = well_formed ? ParseReplica(element["replica"].get<std::string>()) : std::nullopt;
		if (!replica.has_value())
			return Fail(EError::Corrupt, "a task of the worker's status lacks replica, generation or state");
		TaskReport task;
		task.replica = std::move(*replica);
		task.generation = element["generation"].get<uint64>();
		task.state = TaskStateOf(element["state"].get<std::string>());
		status.tasks.push_back(std::move(task));
	}
	return status;
}

void WorkerClient::Send(const Address &inWorker, const WorkerOrder &inOrder, Millis inTimeout,
						std::function<void(std::optional<WorkerStatus>)> inDone)
{
	Json tasks = Json::array();
	for (const WantedTask &task : inOrder.tasks)
	{
		const std::string service(LeafName(task.replica.job));
		tasks.push_back({{"replica", task.replica.Text()},
						 {"generation", task.generation},
						 {"service", task.is_service ? service : std::string()},
						 {"run_time_s", task.run_time_s}});
	}
	const Json order = {
		{"state_offset", inOrder.state_offset}, {"lease_ms", inOrder.lease_ms}, {"accepts", inOrder.accepts}, {"tasks", std::move(tasks)}};
	HttpCall call;
	call.method = "PUT";
	call.to = inWorker;
	call.path = "/agent/order";
	call.body = DumpJson(order);
	call.timeout_ms = inTimeout;
	this->http.Start(call, [done = std::move(inDone)](const HttpResult &inResult)
					 { done(inResult.IsOk() ? ParseWorkerStatus(inResult.body) : std::nullopt); });
}

} // namespace Loomreach
