// Which other entry hosts are asked whether they reach the store while this host does not, and which of them are known to reach it.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/HelperSearch.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

const Address cA{"10.0.0.1", 1};
const Address cB{"10.0.0.2", 1};
const Address cC{"10.0.0.3", 1};
const Address cD{"10.0.0.4", 1};
const Address cE{"10.0.0.5", 1};

} // namespace

/// Hosts fail together by zones. Guards against asking only the first few hosts again and again.
TEST(HelperSearch, AsksEveryHostInItsTurn)
{
	HelperSearch search;
	EXPECT_TRUE(search.HostsToAsk({}, 0).empty());
	EXPECT_EQ(search.HostsToAsk({cA, cB, cC, cD, cE}, 1000), (std::vector<Address>{cA, cB, cC}));
	EXPECT_TRUE(search.HostsToAsk({cA, cB, cC, cD, cE}, 1100).empty());
	EXPECT_EQ(search.HostsToAsk({cA, cB, cC, cD, cE}, 1300), (std::vector<Address>{cD, cE, cA}));
	// No host is listed twice, even when there are fewer hosts than are asked at a time
	EXPECT_EQ(search.HostsToAsk({cA, cB}, 1600).size(), 2u);
}

TEST(HelperSearch, KnowsHostsThatReachedTheStoreRecently)
{
	HelperSearch search;
	search.OnAnswer(cB, true, 1000);
	search.OnAnswer(cA, true, 1100);
	search.OnAnswer(cC, false, 1100);
	EXPECT_EQ(search.Reaching(1200), (std::vector<Address>{cA, cB}));
	// A host that loses the store itself is no longer known as a helper, nor is one whose last answer is too old
	search.OnAnswer(cA, false, 1300);
	EXPECT_EQ(search.Reaching(1300), std::vector<Address>{cB});
	EXPECT_TRUE(search.Reaching(2000).empty());
}

TEST(HelperSearch, AsksKnownHelpersEveryTime)
{
	HelperSearch search;
	search.OnAnswer(cE, true, 900);
	EXPECT_EQ(search.HostsToAsk({cA, cB, cC, cD, cE}, 1000), (std::vector<Address>{cE, cA, cB, cC}));
}

} // namespace Loomreach::Jobs
