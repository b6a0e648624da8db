// loomreach-platform: fake of the platform (metadata store, machine service, workers) on loopback, for tests of jobs with real processes.
// The control listener takes:
//   PUT /operator/KEY      writes an operator's order, the body
//   PUT /servers/KEY       writes an entry into the list of workers, the body, as another writer would
//   GET /status/KEY        newest status record of a key
//   PUT /fault/NAME        fault of the store: busy, silent, lost; any other name ends it
//   PUT /orders/NAME       fault of orders to workers: late, repeat; any other name ends it
//   PUT /dark/HOST         makes a host's worker stop answering; PUT /light/HOST ends that
//   PUT /crash/HOST        crashes a host's worker; the next one has a new id
//   PUT /again/HOST/MS     crashes a host's worker; the next one has the same id and starts after MS
//   PUT /room/HOST/CPU     sets a worker's capacity, thousandths of a core; 0: all
//   PUT /leave/HOST/MS     a host's worker drains for MS, serves on without an entry for MS, and ends
//   PUT /call/METHOD/PORT/LIMIT_MS/PATH   sends a caller's request with this body to an entry host; answers with its status, 0: none
//   PUT /trouble/SCOPE     a fault begins on store, entry, workers or config; PUT /calm/SCOPE ends it
//   GET /report            violations of rules, and counts
//   GET /gaps              longest pauses, ms, since PUT /gaps/reset

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/HttpListener.h>
#include <TestSupport/Platform/FakeCallers.h>
#include <TestSupport/Platform/FakeFleet.h>

#include <cstdio>

#include <gflags/gflags.h>
#include <glib-unix.h>

DEFINE_int32(port, 7300, "First port: store, machine service, control listener, then one port for each host.");
DEFINE_uint64(seed, 1, "Seed of the random choice of the orders that a fault affects.");
DEFINE_string(pools, "fast,fast,fast,slow,slow,spare", "Pool of each host, in order.");

namespace
{

using namespace Loomreach;

/// The objects that the control listener acts on.
struct Control
{
	FakeStore *store = nullptr;
	FakeFleet *fleet = nullptr;
	FakeCallers *callers = nullptr;
};

EStoreFault ParseStoreFault(std::string_view inName)
{
	if (inName == "busy")
		return EStoreFault::Busy;
	if (inName == "silent")
		return EStoreFault::Unresponsive;
	return inName == "lost" ? EStoreFault::AnswerLost : EStoreFault::None;
}

constexpr std::array cScopeNames = {
	EnumName<EScope>{EScope::Store, "store"},
	EnumName<EScope>{EScope::Entry, "entry"},
	EnumName<EScope>{EScope::Workers, "workers"},
	EnumName<EScope>{EScope::Config, "config"},
};

EOrderFault ParseOrderFault(std::string_view inName)
{
	if (inName == "late")
		return EOrderFault::Late;
	return inName == "repeat" ? EOrderFault::RefusedRepeat : EOrderFault::None;
}

void OnControl(SoupServer *, SoupServerMessage *inMessage, const char *inPath, GHashTable *, gpointer inControl)
{
	const Control &control = *static_cast<Control *>(inControl);
	const std::string path = inPath;
	const size_t slash = path.find('/', 1);
	const std::string verb = path.substr(1, slash == std::string::npos ? std::string::npos : slash - 1);
	const std::string rest = slash == std::string::npos ? "" : path.substr(slash + 1);
	if (verb == "report")
		return Reply(inMessage, 200, control.fleet->Report().dump());
	if (verb == "gaps" && rest.empty())
		return Reply(inMessage, 200, control.store->Gaps().Report().dump());
	if (verb == "status")
		return Reply(inMessage, 200, control.store->Newest("keyed.status", rest));
	if (verb == "call")
		return control.callers->Forward(inMessage, rest);
	if (verb == "operator")
		control.store->Put("keyed.op", rest, BodyOf(inMessage));
	else if (verb == "servers")
		control.store->Put("keyed.servers", rest, BodyOf(inMessage));
	else if (verb == "gaps")
		control.store->Gaps().Reset();
	else if (verb == "fault")
		control.store->SetFault(ParseStoreFault(rest));
	else if (verb == "orders")
		control.fleet->SetOrderFault(ParseOrderFault(rest));
	else if (verb == "dark" || verb == "light")
		control.fleet->SetUnresponsive(rest, verb == "dark");
	else if (verb == "crash")
		control.fleet->Crash(rest);
	else if (verb == "again")
		control.fleet->Restart(rest.substr(0, rest.find('/')), std::strtoll(rest.c_str() + rest.find('/') + 1, nullptr, 10));
	else if (verb == "room")
		control.fleet->SetCapacity(rest.substr(0, rest.find('/')), std::strtoll(rest.c_str() + rest.find('/') + 1, nullptr, 10));
	else if (verb == "leave")
		control.fleet->Leave(rest.substr(0, rest.find('/')), std::strtoll(rest.c_str() + rest.find('/') + 1, nullptr, 10));
	else if (const std::optional<EScope> scope = ValueOf(cScopeNames, rest); scope.has_value() && verb == "trouble")
		control.fleet->Troubles().Begin(*scope);
	else if (scope.has_value() && verb == "calm")
		control.fleet->Troubles().End(*scope, NowMillis());
	else
		return Reply(inMessage, 404, "{}");
	Reply(inMessage, 200, "{}");
}

std::vector<std::string> Split(const std::string &inText)
{
	std::vector<std::string> parts;
	for (size_t at = 0; at <= inText.size();)
	{
		const size_t comma = std::min(inText.find(',', at), inText.size());
		parts.push_back(inText.substr(at, comma - at));
		at = comma + 1;
	}
	return parts;
}

gboolean OnSignal(gpointer inLoop)
{
	g_main_loop_quit(static_cast<GMainLoop *>(inLoop));
	return G_SOURCE_CONTINUE;
}

} // namespace

int main(int argc, char **argv)
{
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	StartLogging(argv[0]);
	const auto address = [](int inOffset) { return Address{"127.0.0.1", static_cast<uint16>(FLAGS_port + inOffset)}; };
	FakeStore store;
	FakeFleet fleet(store, FLAGS_seed);
	FakeCallers callers(fleet.Requests());
	Control control{&store, &fleet, &callers};
	const ObjectPtr<SoupServer> listener = OpenServer(address(2), "control");
	if (listener == nullptr || !store.Open(address(0)) || !fleet.Open(address(1), static_cast<uint16>(FLAGS_port + 3), Split(FLAGS_pools)))
	{
		std::fprintf(stderr, "loomreach-platform: %s\n", LastReasonText().c_str());
		return 1;
	}
	soup_server_add_handler(listener.get(), nullptr, &OnControl, &control, nullptr);
	GMainLoop *loop = g_main_loop_new(nullptr, FALSE);
	g_unix_signal_add(SIGTERM, &OnSignal, loop);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
	StopLogging();
	return 0;
}
