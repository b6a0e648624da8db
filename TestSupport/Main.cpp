// loomreach-standin: fake of the platform (log service, host list) and of all workers of a deployment, on loopback, for tests and the demo.
// Control paths: /standin/report (counters), /standin/set?FAULT=VALUE, and
// /standin/worker?name=NAME&action=kill|start|leave|stay|fail|heal.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/Error.h>
#include <Loomreach/Core/Hash.h>
#include <Loomreach/Entry/HttpListener.h>
#include <Loomreach/Settings/TomlReader.h>
#include <TestSupport/WorkerStandIn.h>

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>

#include <gflags/gflags.h>
#include <glib-unix.h>

DEFINE_string(platform, "127.0.0.1:7000", "Address of the log service and the host list.");
DEFINE_string(hosts, "", "TOML file with the deployment's host groups.");
DEFINE_int32(worker_port, 7100, "First port of the workers.");
DEFINE_int32(reboot_ms, 1500, "Duration of a worker's reboot, ms.");

namespace
{

using namespace Loomreach;
using Json = nlohmann::json;

constexpr uint32 cHostsPerRack = 4;

/// The fake platform with its workers.
class StandIn
{
public:
	bool Start()
	{
		std::optional<Address> address = ParseAddress(FLAGS_platform);
		const std::optional<std::string> text = ReadFile(FLAGS_hosts);
		if (!address.has_value() || !text.has_value() || !this->ReadHosts(*text))
			return false;
		this->server = OpenServer(*address, "platform");
		if (this->server == nullptr)
			return false;
		soup_server_add_handler(this->server.get(), nullptr, &StandIn::OnCall, this, nullptr);
		return true;
	}

private:
	bool ReadHosts(const std::string &inText)
	{
		const std::optional<toml::table> document = ParseToml(inText, FLAGS_hosts, EError::BadConfig);
		if (!document.has_value())
			return false;
		const toml::array *groups = (*document)["host_group"].as_array();
		if (groups == nullptr)
			return FailFalse(EError::BadConfig, "no [[host_group]]");
		for (const toml::node &node : *groups)
			this->AddGroup(*node.as_table());
		for (auto &[name, worker] : this->workers)
			if (!worker->Start())
				return FailFalse(EError::BadConfig, "port of " + name + " is taken");
		return true;
	}

	void AddGroup(const toml::table &inGroup)
	{
		const std::string pool = inGroup["pool"].value_or(std::string());
		const std::string prefix = inGroup["prefix"].value_or(std::string("w"));
		const int64 count = inGroup["count"].value_or(int64(0));
		std::vector<std::string> zones;
		if (const toml::array *list = inGroup["availability_zones"].as_array(); list != nullptr)
			for (const toml::node &zone : *list)
				zones.push_back(zone.value_or(std::string()));
		for (int64 i = 0; i < count; ++i)
		{
			HostSpec spec;
			const std::string &zone = zones[static_cast<size_t>(i) % zones.size()];
			const uint32 in_zone = this->zone_hosts[zone]++;
			spec.name = prefix + "-" + std::to_string(i);
			spec.address = {"127.0.0.1", static_cast<uint16>(FLAGS_worker_port + static_cast<int>(this->workers.size()))};
			spec.region = inGroup["region"].value_or(std::string("here"));
			spec.availability_zone = zone;
			spec.rack = zone + "-r" + std::to_string(in_zone / cHostsPerRack);
			spec.capacity = {inGroup["cpu_milli"].value_or(int64(16000)), inGroup["memory_mb"].value_or(int64(32768)),
							 inGroup["accelerators"].value_or(int64(0))};
			spec.slots = static_cast<uint32>(inGroup["slots"].value_or(int64(8)));
			spec.connections = static_cast<uint32>(inGroup["connections"].value_or(int64(64)));
			const std::string name = spec.name;
			this->workers.emplace(name, std::make_unique<WorkerStandIn>(std::move(spec), pool, FLAGS_reboot_ms, this->counters));
		}
	}

	static void OnCall(SoupServer *, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf)
	{
		StandIn *self = static_cast<StandIn *>(inSelf);
		const std::string path = inPath;
		if (path.starts_with("/standin/"))
			return self->Control(inMessage, path.substr(9), inQuery);
		if (self->faults.down)
		{
			const ObjectPtr<GIOStream> stream(soup_server_message_steal_connection(inMessage));
			if (stream != nullptr)
				g_io_stream_close(stream.get(), nullptr, nullptr);
			return;
		}
		if (self->faults.slow_ms == 0)
			return self->AnswerPlatform(inMessage, path, inQuery);
		self->AnswerPlatformLater(inMessage, path, inQuery);
	}

	void AnswerPlatformLater(SoupServerMessage *inMessage, const std::string &inPath, GHashTable *inQuery)
	{
		soup_server_message_pause(inMessage);
		auto timer = std::make_shared<Timer>();
		const auto message = std::shared_ptr<SoupServerMessage>(static_cast<SoupServerMessage *>(g_object_ref(inMessage)), ObjectUnref());
		GHashTable *query = inQuery == nullptr ? nullptr : g_hash_table_ref(inQuery);
		timer->Once(this->faults.slow_ms,
					[this, message, inPath, query, timer]
					{
						this->AnswerPlatform(message.get(), inPath, query);
						if (query != nullptr)
							g_hash_table_unref(query);
						soup_server_message_unpause(message.get());
					});
	}

	void AnswerPlatform(SoupServerMessage *inMessage, const std::string &inPath, GHashTable *inQuery)
	{
		if (inPath.starts_with("/log/"))
			return this->log.Handle(inMessage, inPath.substr(5), inQuery);
		if (inPath == "/hosts")
			return this->ListHosts(inMessage);
		if (inPath.starts_with("/hosts/") && inPath.ends_with("/reboot"))
		{
			auto worker = this->workers.find(inPath.substr(7, inPath.size() - 14));
			if (worker == this->workers.end())
				return AnswerJson(inMessage, SOUP_STATUS_NOT_FOUND, "{}");
			worker->second->Reboot(std::strtoull(QueryParameter(inQuery, "boot").c_str(), nullptr, 10));
			return AnswerJson(inMessage, SOUP_STATUS_OK, "{}");
		}
		AnswerJson(inMessage, SOUP_STATUS_NOT_FOUND, "{}");
	}

	void ListHosts(SoupServerMessage *inMessage)
	{
		const Millis now = NowMillis();
		if (this->list.empty() || now - this->list_made_at >= this->faults.list_lag_ms)
		{
			Json hosts = Json::array();
			for (const auto &[name, worker] : this->workers)
			{
				const HostSpec &spec = worker->Spec();
				hosts.push_back({{"name", name},
								 {"address", spec.address.Text()},
								 {"region", spec.region},
								 {"availability_zone", spec.availability_zone},
								 {"rack", spec.rack},
								 {"cpu_milli", spec.capacity.cpu_milli},
								 {"memory_mb", spec.capacity.memory_mb},
								 {"accelerators", spec.capacity.accelerators},
								 {"slots", spec.slots},
								 {"connections", spec.connections},
								 {"pool", worker->Pool()},
								 {"state", worker->IsLeaving() ? "leaving" : "live"}});
			}
			this->list = hosts.dump();
			this->list_made_at = now;
		}
		const std::string etag = '"' + std::to_string(HashBytes(this->list)) + '"';
		const char *known = soup_message_headers_get_one(soup_server_message_get_request_headers(inMessage), "If-None-Match");
		soup_message_headers_replace(soup_server_message_get_response_headers(inMessage), "ETag", etag.c_str());
		if (known != nullptr && etag == known)
			return soup_server_message_set_status(inMessage, SOUP_STATUS_NOT_MODIFIED, nullptr);
		AnswerJson(inMessage, SOUP_STATUS_OK, this->list);
	}

	void Control(SoupServerMessage *inMessage, const std::string &inPath, GHashTable *inQuery)
	{
		if (inPath == "report")
			return this->Report(inMessage);
		if (inPath == "set")
		{
			const auto number = [inQuery](const char *inKey, int64 inDefault)
			{
				const std::string text = QueryParameter(inQuery, inKey);
				return text.empty() ? inDefault : std::strtoll(text.c_str(), nullptr, 10);
			};
			this->faults.down = number("down", this->faults.down ? 1 : 0) != 0;
			this->faults.slow_ms = number("slow_ms", this->faults.slow_ms);
			this->faults.lose_percent = static_cast<uint32>(number("lose_percent", this->faults.lose_percent));
			this->faults.retention = static_cast<uint64>(number("retention", static_cast<int64>(this->faults.retention)));
			this->faults.list_lag_ms = number("list_lag_ms", this->faults.list_lag_ms);
			return AnswerJson(inMessage, SOUP_STATUS_OK, "{}");
		}
		auto worker = this->workers.find(QueryParameter(inQuery, "name"));
		if (inPath != "worker" || worker == this->workers.end())
			return AnswerJson(inMessage, SOUP_STATUS_NOT_FOUND, "{}");
		const std::string action = QueryParameter(inQuery, "action");
		if (action == "kill")
			worker->second->Stop(false);
		if (action == "start")
			worker->second->Start();
		if (action == "leave" || action == "stay")
			worker->second->SetLeaving(action == "leave");
		if (action == "fail" || action == "heal")
			worker->second->SetFailing(action == "fail");
		AnswerJson(inMessage, SOUP_STATUS_OK, "{}");
	}

	void Report(SoupServerMessage *inMessage)
	{
		uint64 begun_twice = 0;
		for (const auto &[id, count] : this->counters.begun_by_id)
			begun_twice += count > 1 ? 1 : 0;
		const Json body = {{"begun", this->counters.begun},
						   {"answered", this->counters.answered},
						   {"cut", this->counters.interrupted},
						   {"killed", this->counters.interrupted_by_kill},
						   {"refused_full", this->counters.refused_full},
						   {"refused_unwanted", this->counters.refused_unwanted},
						   {"most_in_flight", this->counters.most_in_flight},
						   {"ids", this->counters.begun_by_id.size()},
						   {"ids_begun_twice", begun_twice},
						   {"begun_by_id", this->counters.begun_by_id},
						   {"appends", this->log.Appends()},
						   {"appends_throttled", this->log.Throttled()}};
		AnswerJson(inMessage, SOUP_STATUS_OK, body.dump() + "\n");
	}

	PlatformFaults faults;
	LogStandIn log{faults};
	EndpointCounters counters;
	std::map<std::string, std::unique_ptr<WorkerStandIn>> workers;
	std::map<std::string, uint32> zone_hosts;
	ObjectPtr<SoupServer> server;
	std::string list;
	Millis list_made_at = 0;
};

} // namespace

int main(int argc, char **argv)
{
	gflags::SetUsageMessage("Stand-in for the platform and the workers of a deployment.");
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	std::signal(SIGPIPE, SIG_IGN);
	StandIn stand_in;
	if (!stand_in.Start())
	{
		std::fprintf(stderr, "loomreach-standin: %s\n", LastReasonText().c_str());
		return AnswerOf(LastReason().kind).exit_code;
	}
	GMainLoop *loop = g_main_loop_new(nullptr, FALSE);
	g_unix_signal_add(
		SIGTERM,
		[](gpointer inLoop) -> gboolean
		{
			g_main_loop_quit(static_cast<GMainLoop *>(inLoop));
			return G_SOURCE_REMOVE;
		},
		loop);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
	return 0;
}
