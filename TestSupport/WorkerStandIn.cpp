// HTTP handlers of the fake worker.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Entry/Headers.h>
#include <Loomreach/Entry/HttpListener.h>
#include <TestSupport/WorkerStandIn.h>

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace Loomreach
{

using Json = nlohmann::json;

static constexpr size_t cExtraBytes = 32U << 10;

/// A request that the endpoint has begun and not yet answered.
struct WorkerStandIn::BegunRequest
{
	WorkerStandIn *worker = nullptr;
	ObjectPtr<SoupServerMessage> message;
	Timer timer;
	gulong finished = 0;
	size_t size = 0;
	bool breaks_off = false;
	std::string text;

	void Answer()
	{
		SoupMessageHeaders *headers = soup_server_message_get_response_headers(this->message.get());
		soup_message_headers_replace(headers, "X-Worker", this->worker->spec.name.c_str());
		soup_server_message_set_status(this->message.get(), SOUP_STATUS_OK, nullptr);
		if (this->breaks_off)
		{
			// Announces more bytes than it sends, then closes the connection
			soup_message_headers_set_content_length(headers, static_cast<goffset>(this->size + cExtraBytes));
			soup_message_body_set_accumulate(soup_server_message_get_response_body(this->message.get()), FALSE);
			this->text.append(this->size, 'x');
			soup_message_body_append(soup_server_message_get_response_body(this->message.get()), SOUP_MEMORY_COPY, this->text.data(),
									 this->text.size());
			soup_server_message_unpause(this->message.get());
			return this->timer.Once(20,
									[this]
									{
										const ObjectPtr<GIOStream> stream(soup_server_message_steal_connection(this->message.get()));
										if (stream != nullptr)
											g_io_stream_close(stream.get(), nullptr, nullptr);
										this->worker->RemoveRequest(this);
									});
		}
		this->text.append(this->size, 'x');
		soup_server_message_set_response(this->message.get(), "text/plain", SOUP_MEMORY_COPY, this->text.data(), this->text.size());
		++this->worker->counters.answered;
		soup_server_message_unpause(this->message.get());
		this->worker->RemoveRequest(this);
	}
};

WorkerStandIn::WorkerStandIn(HostSpec inSpec, std::string inPool, Millis inRebootMs, EndpointCounters &ioCounters)
	: spec(std::move(inSpec)), pool(std::move(inPool)), reboot_ms(inRebootMs), counters(ioCounters)
{
}

WorkerStandIn::~WorkerStandIn() { this->Stop(true); }

bool WorkerStandIn::Start()
{
	this->server = OpenServer(this->spec.address, this->spec.name);
	if (this->server == nullptr)
		return false;
	soup_server_add_handler(this->server.get(), "/agent/order", &WorkerStandIn::OnOrder, this, nullptr);
	soup_server_add_handler(this->server.get(), nullptr, &WorkerStandIn::OnRequest, this, nullptr);
	return true;
}

void WorkerStandIn::Stop(bool inPlanned)
{
	(inPlanned ? this->counters.interrupted : this->counters.interrupted_by_kill) += this->in_flight.size();
	while (!this->in_flight.empty())
	{
		BegunRequest *interrupted = *this->in_flight.begin();
		const ObjectPtr<GIOStream> stream(soup_server_message_steal_connection(interrupted->message.get()));
		if (stream != nullptr)
			g_io_stream_close(stream.get(), nullptr, nullptr);
		this->RemoveRequest(interrupted);
	}
	if (this->server != nullptr)
		soup_server_disconnect(this->server.get());
	this->server.reset();
	this->tasks.clear();
	this->accepts = true;
	this->order_offset = 0;
}

void WorkerStandIn::Reboot(uint64 inBoot)
{
	if (inBoot != this->boot || this->reboot_timer.IsRunning())
		return;
	this->Stop(true);
	this->reboot_timer.Once(this->reboot_ms,
							[this]
							{
								++this->boot;
								this->leaving = false;
								this->Start();
							});
}

void WorkerStandIn::OnOrder(SoupServer *, SoupServerMessage *inMessage, const char *, GHashTable *, gpointer inSelf)
{
	static_cast<WorkerStandIn *>(inSelf)->HandleOrder(inMessage);
}

void WorkerStandIn::HandleOrder(SoupServerMessage *inMessage)
{
	GBytes *bytes = soup_message_body_flatten(soup_server_message_get_request_body(inMessage));
	gsize size = 0;
	const char *data = static_cast<const char *>(g_bytes_get_data(bytes, &size));
	const Json order = Json::parse(std::string(data == nullptr ? "" : data, size), nullptr, false);
	g_bytes_unref(bytes);
	if (!order.is_object() || !order.contains("tasks"))
		return AnswerJson(inMessage, SOUP_STATUS_BAD_REQUEST, "{}");
	// An order based on an older state comes from an owner that has been superseded
	if (order["state_offset"].get<uint64>() < this->order_offset)
		return AnswerJson(inMessage, SOUP_STATUS_CONFLICT, "{}");
	this->order_offset = order["state_offset"].get<uint64>();
	this->accepts = order["accepts"].get<bool>();
	const Millis now = NowMillis();
	this->lease_until = now + order["lease_ms"].get<int64>();
	std::map<std::string, Task> ordered_tasks;
	for (const Json &element : order["tasks"])
	{
		const std::string replica = element["replica"].get<std::string>();
		Task task;
		task.generation = element["generation"].get<uint64>();
		LogPosition &seen = this->newest_generation[replica];
		if (task.generation < seen)
			continue;
		seen = task.generation;
		auto present = this->tasks.find(replica);
		if (present != this->tasks.end() && present->second.generation == task.generation)
		{
			ordered_tasks.emplace(replica, present->second);
			continue;
		}
		task.service = element["service"].get<std::string>();
		const int64 run_time = element["run_time_s"].get<int64>();
		task.finishes_at = task.service.empty() ? now + std::max<int64>(run_time, 1) * 1000 : 0;
		if (task.service.empty() && this->failing)
			task.state = ETaskState::Failed;
		ordered_tasks.emplace(replica, std::move(task));
	}
	this->tasks = std::move(ordered_tasks);
	this->AnswerStatus(inMessage);
}

void WorkerStandIn::ExpireTasks()
{
	const Millis now = NowMillis();
	// Tasks run only under a lease
	if (now > this->lease_until)
		this->tasks.clear();
	for (auto &[replica, task] : this->tasks)
		if (task.finishes_at != 0 && now >= task.finishes_at && task.state == ETaskState::Running)
			task.state = ETaskState::Finished;
}

void WorkerStandIn::AnswerStatus(SoupServerMessage *inMessage)
{
	this->ExpireTasks();
	Json list = Json::array();
	for (const auto &[replica, task] : this->tasks)
	{
		const char *state = task.state == ETaskState::Running ? "running" : task.state == ETaskState::Finished ? "finished" : "failed";
		list.push_back({{"replica", replica}, {"generation", task.generation}, {"state", state}});
	}
	const Json body = {{"boot", this->boot}, {"leaving", this->leaving}, {"in_flight", this->in_flight.size()}, {"tasks", std::move(list)}};
	AnswerJson(inMessage, SOUP_STATUS_OK, body.dump());
}

void WorkerStandIn::OnRequest(SoupServer *, SoupServerMessage *inMessage, const char *, GHashTable *inQuery, gpointer inSelf)
{
	static_cast<WorkerStandIn *>(inSelf)->BeginRequest(inMessage, inQuery);
}

void WorkerStandIn::RefuseRequest(SoupServerMessage *inMessage, bool inLeaving)
{
	SoupMessageHeaders *headers = soup_server_message_get_response_headers(inMessage);
	soup_message_headers_replace(headers, cHeaderNotBegun, "yes");
	if (inLeaving)
		soup_message_headers_replace(headers, cHeaderLeaving, "yes");
	AnswerJson(inMessage, SOUP_STATUS_SERVICE_UNAVAILABLE, "{}");
}

void WorkerStandIn::BeginRequest(SoupServerMessage *inMessage, GHashTable *inQuery)
{
	this->ExpireTasks();
	const char *service = soup_message_headers_get_one(soup_server_message_get_request_headers(inMessage), cHeaderService);
	const bool runs_service = std::any_of(this->tasks.begin(), this->tasks.end(),
										  [service](const auto &inTask) { return service != nullptr && inTask.second.service == service; });
	if (!this->accepts || this->leaving || !runs_service)
	{
		++this->counters.refused_unwanted;
		return this->RefuseRequest(inMessage, !this->accepts || this->leaving);
	}
	if (this->in_flight.size() >= this->spec.slots)
	{
		++this->counters.refused_full;
		return this->RefuseRequest(inMessage, false);
	}
	++this->counters.begun;
	if (const char *id = soup_message_headers_get_one(soup_server_message_get_request_headers(inMessage), cHeaderId); id != nullptr)
		++this->counters.begun_by_id[std::string(service) + "/" + id];
	auto *begun = new BegunRequest();
	begun->worker = this;
	begun->message = Share(inMessage);
	begun->size = std::strtoull(QueryParameter(inQuery, "size").c_str(), nullptr, 10);
	begun->breaks_off = QueryParameter(inQuery, "break") == "yes";
	begun->text = "echo=" + QueryParameter(inQuery, "echo") + "\n";
	this->in_flight.insert(begun);
	this->counters.most_in_flight = std::max<uint64>(this->counters.most_in_flight, this->in_flight.size());
	soup_server_message_pause(inMessage);
	begun->timer.Once(std::strtoll(QueryParameter(inQuery, "work_ms").c_str(), nullptr, 10), [begun] { begun->Answer(); });
}

void WorkerStandIn::RemoveRequest(BegunRequest *inRequest)
{
	this->in_flight.erase(inRequest);
	// Deleted later, since the call may come from the request's own timer
	g_idle_add_once([](gpointer inDone) { delete static_cast<BegunRequest *>(inDone); }, inRequest);
}

} // namespace Loomreach
