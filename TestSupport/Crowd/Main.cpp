// loomreach-crowd: callers that misbehave, all of one kind, for tests of an entry host's listeners on loopback. Ends after a bounded time,
// or at once on SIGTERM, and prints what happened to the connections.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Settings/DaemonConfig.h>
#include <TestSupport/Crowd/Caller.h>

#include <csignal>
#include <cstdio>

#include <arpa/inet.h>
#include <gflags/gflags.h>

DEFINE_string(address, "", "Listener to connect to, 127.x.y.z:port.");
DEFINE_string(path, "/", "Path of the requests; {id} in it becomes an id of its own for each connection.");
DEFINE_string(kind, "", "Kind of callers, see TestSupport/Crowd/CallerKind.h.");
DEFINE_string(host, "localhost", "Host header.");
DEFINE_int32(connections, 100, "Number of connections, 1 to 1000.");
DEFINE_int32(seconds, 10, "Time until the crowd ends, 1 to 120 s.");

namespace
{

using namespace Loomreach;
using namespace Loomreach::Crowd;

constexpr int cMaxConnections = 1000;
constexpr int cMaxSeconds = 120;
constexpr int cTickMs = 20;
constexpr uint64 cFirstId = 0xc0ffee0000000000; ///< Above the ids of ordinary jobs in tests.
constexpr std::string_view cIdMark = "{id}";

volatile std::sig_atomic_t is_stopped = 0;

void OnStop(int) { is_stopped = 1; }

/// The request target of one connection.
Target TargetOf(size_t inNumber)
{
	Target target{FLAGS_path, FLAGS_host};
	std::array<char, 20> id{};
	std::snprintf(id.data(), id.size(), "%016llx", static_cast<unsigned long long>(cFirstId) + inNumber);
	if (const size_t at = target.path.find(cIdMark); at != std::string::npos)
		target.path.replace(at, cIdMark.size(), id.data());
	return target;
}

/// The address to connect to, if it is on loopback.
std::optional<sockaddr_in> ReadAddress()
{
	const std::optional<Address> parsed = ParseAddress(FLAGS_address);
	sockaddr_in address{};
	address.sin_family = AF_INET;
	if (!parsed.has_value() || !parsed->ip.starts_with("127.") || inet_pton(AF_INET, parsed->ip.c_str(), &address.sin_addr) != 1)
		return std::nullopt;
	address.sin_port = htons(parsed->port);
	return address;
}

std::vector<std::unique_ptr<Caller>> OpenCallers(ECallerKind inKind, const sockaddr_in &inAddress)
{
	std::vector<std::unique_ptr<Caller>> callers;
	for (size_t number = 0; number < static_cast<size_t>(FLAGS_connections); ++number)
	{
		std::vector<Behaviour> behaviours = BehavioursOf(inKind, TargetOf(number));
		callers.push_back(std::make_unique<Caller>(std::move(behaviours[number % behaviours.size()]), inAddress, NowMillis()));
	}
	return callers;
}

void AdvanceAll(std::vector<std::unique_ptr<Caller>> &ioCallers, Counts &ioCounts)
{
	std::vector<pollfd> waits;
	waits.reserve(ioCallers.size());
	const Millis now = NowMillis();
	for (const std::unique_ptr<Caller> &caller : ioCallers)
		waits.push_back(caller->Waits(now));
	poll(waits.data(), waits.size(), cTickMs);
	for (size_t index = 0; index < ioCallers.size(); ++index)
		if (ioCallers[index]->IsOpen())
			ioCallers[index]->Advance(waits[index].revents, NowMillis(), ioCounts);
}

void Print(const Counts &inCounts)
{
	std::printf("%s: opened %zu, closed by the server %zu, answers", FLAGS_kind.c_str(), inCounts.opened, inCounts.closed_by_server);
	for (const auto &[status, count] : inCounts.answers)
		std::printf(" %d:%zu", status, count);
	std::printf("\n");
}

} // namespace

int main(int argc, char **argv)
{
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	const std::optional<ECallerKind> kind = ValueOf(cCallerKindNames, FLAGS_kind);
	const std::optional<sockaddr_in> address = ReadAddress();
	if (!kind.has_value() || !address.has_value() || FLAGS_connections < 1 || FLAGS_connections > cMaxConnections || FLAGS_seconds < 1 ||
		FLAGS_seconds > cMaxSeconds)
	{
		std::fprintf(stderr, "loomreach-crowd: --kind, --address (on loopback), --connections or --seconds is not valid\n");
		return 2;
	}
	std::signal(SIGTERM, &OnStop);
	std::vector<std::unique_ptr<Caller>> callers = OpenCallers(*kind, *address);
	Counts counts;
	const Millis end = NowMillis() + static_cast<Millis>(FLAGS_seconds) * 1000;
	const auto is_open = [](const std::unique_ptr<Caller> &inCaller) { return inCaller->IsOpen(); };
	while (is_stopped == 0 && NowMillis() < end && std::any_of(callers.begin(), callers.end(), is_open))
		AdvanceAll(callers, counts);
	Print(counts);
	return 0;
}
