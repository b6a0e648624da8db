// How the answers of the machine service are read: a list that is missing or damaged is not an empty list.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CannedServer.h>
#include <UnitTests/FakeLog.h>
#include <platform/MachineCalls.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs::Platform
{

/// Number of hosts in a list with this body; -1 if it is not a valid list.
static int64 ListedHostCount(const std::string &inBody)
{
	const CannedServer server({{inBody, 0}});
	MachineCalls calls({"127.0.0.1", server.Port()});
	int64 count = -2;
	calls.List([&count](const std::optional<std::vector<HostEntry>> &inHosts)
			   { count = inHosts.has_value() ? static_cast<int64>(inHosts->size()) : -1; });
	for (int i = 0; i < 100 && count == -2; ++i)
		FakeLog::RunMainLoopFor(20);
	return count;
}

TEST(PlatformMachines, AnInvalidListIsNotAnEmptyOne)
{
	// Guards against reading an invalid list as an empty one: every host that waits in a maintenance wave would be taken for removed, and
	// the wave for completed.
	for (const std::string body : {"", "{}", "busy", R"({"machines":null})"})
		EXPECT_EQ(ListedHostCount(body), -1) << body;
	EXPECT_EQ(ListedHostCount(R"({"machines":[]})"), 0);
	EXPECT_EQ(ListedHostCount(R"({"machines":[{"machine":"m0","pool":"p","state":"up"}]})"), 1);
}

} // namespace Loomreach::Jobs::Platform
