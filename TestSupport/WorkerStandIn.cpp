// The worker's stand-in.

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

static constexpr size_t cPieceBytes = 32U << 10;

/// A request that the endpoint has begun.
struct WorkerStandIn::Running
{
	WorkerStandIn *worker = nullptr;
	ObjectPtr<SoupServerMessage> message;
	Timer timer;
	gulong finished = 0;
	size_t size = 0;
	bool breaks = false;
	std::string text;

	void Answer()
	{
		SoupMessageHeaders *headers = soup_server_message_get_response_headers(this->message.get());
		soup_message_headers_replace(headers, "X-Worker", this->worker->spec.name.c_str());
		soup_server_message_set_status(this->message.get(), SOUP_STATUS_OK, nullptr);
		if (this->breaks)
		{
			// Announces more than it sends, then cuts the connection
			soup_message_headers_set_content_length(headers, static_cast<goffset>(this->size + cPieceBytes));
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
										this->worker->EndRequest(this);
									});
		}
		this->text.append(this->size, 'x');
		soup_server_message_set_response(this->message.get(), "text/plain", SOUP_MEMORY_COPY, this->text.data(), this->text.size());
		++this->worker->tally.answered;
		soup_server_message_unpause(this->message.get());
		this->worker->EndRequest(this);
	}
};

WorkerStandIn::WorkerStandIn(HostSpec inSpec, std::string inPool, Millis inRebootMs, EndpointTally &ioTally)
	: spec(std::move(inSpec)), pool(std::move(inPool)), reboot_ms(inRebootMs), tally(ioTally)
{
}

WorkerStandIn::~WorkerStandIn() { this->Down(true); }

bool WorkerStandIn::Up()
{
	this->server = OpenServer(this->spec.address, this->spec.name);
	if (this->server == nullptr)
		return false;
	soup_server_add_handler(this->server.get(), "/agent/order", &WorkerStandIn::OnOrder, this, nullptr);
	soup_server_add_handler(this->server.get(), nullptr, &WorkerStandIn::OnRequest, this, nullptr);
	return true;
}

void WorkerStandIn::Down(bool inPlanned)
{
	(inPlanned ? this->tally.cut : this->tally.killed) += this->running.size();
	while (!this->running.empty())
	{
		Running *cut = *this->running.begin();
		const ObjectPtr<GIOStream> stream(soup_server_message_steal_connection(cut->message.get()));
		if (stream != nullptr)
			g_io_stream_close(stream.get(), nullptr, nullptr);
		this->EndRequest(cut);
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
	this->Down(true);
	this->reboot_timer.Once(this->reboot_ms,
							[this]
							{
								++this->boot;
								this->leaving = false;
								this->Up();
							});
}

void WorkerStandIn::OnOrder(SoupServer *, SoupServerMessage *inMessage, const char *, GHashTable *, gpointer inSelf)
{
	static_cast<WorkerStandIn *>(inSelf)->TakeOrder(inMessage);
}

void WorkerStandIn::TakeOrder(SoupServerMessage *inMessage)
{
	GBytes *bytes = soup_message_body_flatten(soup_server_message_get_request_body(inMessage));
	gsize size = 0;
	const char *data = static_cast<const char *>(g_bytes_get_data(bytes, &size));
	const Json order = Json::parse(std::string(data == nullptr ? "" : data, size), nullptr, false);
	g_bytes_unref(bytes);
	if (!order.is_object() || !order.contains("tasks"))
		return AnswerJson(inMessage, SOUP_STATUS_BAD_REQUEST, "{}");
	// An order that was made on an older state comes from a keeper that has been overtaken
	if (order["state_offset"].get<uint64>() < this->order_offset)
		return AnswerJson(inMessage, SOUP_STATUS_CONFLICT, "{}");
	this->order_offset = order["state_offset"].get<uint64>();
	this->accepts = order["accepts"].get<bool>();
	const Millis now = NowMillis();
	this->lease_until = now + order["lease_ms"].get<int64>();
	std::map<std::string, Task> wanted;
	for (const Json &element : order["tasks"])
	{
		const std::string replica = element["replica"].get<std::string>();
		Task task;
		task.generation = element["generation"].get<uint64>();
		LogPosition &seen = this->newest[replica];
		if (task.generation < seen)
			continue;
		seen = task.generation;
		auto present = this->tasks.find(replica);
		if (present != this->tasks.end() && present->second.generation == task.generation)
		{
			wanted.emplace(replica, present->second);
			continue;
		}
		task.service = element["service"].get<std::string>();
		const int64 run_time = element["run_time_s"].get<int64>();
		task.ends = task.service.empty() ? now + std::max<int64>(run_time, 1) * 1000 : 0;
		if (task.service.empty() && this->failing)
			task.state = ETaskState::Failed;
		wanted.emplace(replica, std::move(task));
	}
	this->tasks = std::move(wanted);
	this->AnswerStatus(inMessage);
}

void WorkerStandIn::ExpireTasks()
{
	const Millis now = NowMillis();
	// Without a lease nothing runs
	if (now > this->lease_until)
		this->tasks.clear();
	for (auto &[replica, task] : this->tasks)
		if (task.ends != 0 && now >= task.ends && task.state == ETaskState::Running)
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
	const Json body = {{"boot", this->boot}, {"leaving", this->leaving}, {"in_flight", this->running.size()}, {"tasks", std::move(list)}};
	AnswerJson(inMessage, SOUP_STATUS_OK, body.dump());
}

void WorkerStandIn::OnRequest(SoupServer *, SoupServerMessage *inMessage, const char *, GHashTable *inQuery, gpointer inSelf)
{
	static_cast<WorkerStandIn *>(inSelf)->Begin(inMessage, inQuery);
}

void WorkerStandIn::RefuseRequest(SoupServerMessage *inMessage, bool inLeaving)
{
	SoupMessageHeaders *headers = soup_server_message_get_response_headers(inMessage);
	soup_message_headers_replace(headers, cHeaderNotBegun, "yes");
	if (inLeaving)
		soup_message_headers_replace(headers, cHeaderLeaving, "yes");
	AnswerJson(inMessage, SOUP_STATUS_SERVICE_UNAVAILABLE, "{}");
}

void WorkerStandIn::Begin(SoupServerMessage *inMessage, GHashTable *inQuery)
{
	this->ExpireTasks();
	const char *service = soup_message_headers_get_one(soup_server_message_get_request_headers(inMessage), cHeaderService);
	const bool runs_it = std::any_of(this->tasks.begin(), this->tasks.end(),
									 [service](const auto &inTask) { return service != nullptr && inTask.second.service == service; });
	if (!this->accepts || this->leaving || !runs_it)
	{
		++this->tally.refused_unwanted;
		return this->RefuseRequest(inMessage, !this->accepts || this->leaving);
	}
	if (this->running.size() >= this->spec.slots)
	{
		++this->tally.refused_full;
		return this->RefuseRequest(inMessage, false);
	}
	++this->tally.begun;
	if (const char *id = soup_message_headers_get_one(soup_server_message_get_request_headers(inMessage), cHeaderId); id != nullptr)
		++this->tally.begun_by_id[std::string(service) + "/" + id];
	auto *begun = new Running();
	begun->worker = this;
	begun->message = Share(inMessage);
	begun->size = std::strtoull(QueryOf(inQuery, "size").c_str(), nullptr, 10);
	begun->breaks = QueryOf(inQuery, "break") == "yes";
	begun->text = "echo=" + QueryOf(inQuery, "echo") + "\n";
	this->running.insert(begun);
	this->tally.most_in_flight = std::max<uint64>(this->tally.most_in_flight, this->running.size());
	soup_server_message_pause(inMessage);
	begun->timer.Once(std::strtoll(QueryOf(inQuery, "work_ms").c_str(), nullptr, 10), [begun] { begun->Answer(); });
}

void WorkerStandIn::EndRequest(Running *inRunning)
{
	this->running.erase(inRunning);
	// A timer of its own may be what calls
	g_idle_add_once([](gpointer inDone) { delete static_cast<Running *>(inDone); }, inRunning);
}

} // namespace Loomreach
