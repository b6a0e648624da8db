// Admission of callers by queues, teams and API keys, across versions of the configuration.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Schedule/Catalogue.h>
#include <UnitTests/CellWorld.h>
#include <platform/StoreRecords.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr const char *cBody = R"({"version":7,"routes":[
	{"name":"q","host":"h","pathPrefix":"/q/","service":"p","public":false},
	{"name":"o","host":"h","pathPrefix":"/o/","service":"p","public":true}],
	"services":[{"name":"p"}],
	"tenants":[{"name":"a","apiKeys":["k1","k2"],"weight":5,"atMost":{"cpu":4000,"memMb":0,"gpu":1}},
	{"name":"b","apiKeys":["k3",4],"weight":"x"},7,{"apiKeys":3}]})";

EError ErrorFor(const Catalogue &inCatalogue, const char *inPath, const char *inKey)
{
	return inCatalogue.Admit("h", inPath, inKey).has_value() ? EError::None : LastReason().kind;
}

} // namespace

TEST(Catalogue, LetsTeamsInByTheirKeysAlone)
{
	// Guards against accepting requests with keys that no configuration contains
	const std::optional<Catalogue> catalogue = Platform::DecodeCatalogue(cBody);
	ASSERT_TRUE(catalogue.has_value());
	EXPECT_EQ(catalogue->Admit("h", "/q/1", "k2")->team, "a");
	EXPECT_EQ(catalogue->Admit("h", "/q/1", "k3")->team, "b");
	EXPECT_EQ(ErrorFor(*catalogue, "/q/1", "k9"), EError::UnknownKey);
	EXPECT_EQ(ErrorFor(*catalogue, "/q/1", ""), EError::UnknownKey);
	EXPECT_EQ(ErrorFor(*catalogue, "/q/1", "k"), EError::UnknownKey);
	// A queue that does not exist is reported as such, whatever the key
	EXPECT_EQ(ErrorFor(*catalogue, "/x/1", "k1"), EError::NoSuchService);
	EXPECT_EQ(AnswerOf(EError::UnknownKey).http_status, 401);
}

TEST(Catalogue, PublicQueuesNeedNoKey)
{
	const std::optional<Catalogue> catalogue = Platform::DecodeCatalogue(cBody);
	for (const char *key : {"", "k1", "k9"})
		EXPECT_EQ(catalogue->Admit("h", "/o/1", key)->team, "") << key;
}

TEST(Catalogue, WithoutTeamsNobodyNeedsAKey)
{
	const std::optional<Catalogue> catalogue =
		Platform::DecodeCatalogue(R"({"version":1,"routes":[{"name":"q","host":"h","pathPrefix":"/q/","service":"p"}]})");
	EXPECT_TRUE(catalogue->Admit("h", "/q/1", "").has_value());
	// An empty list of teams is not a missing one: no key is known
	const std::optional<Catalogue> none =
		Platform::DecodeCatalogue(R"({"version":1,"routes":[{"name":"q","host":"h","pathPrefix":"/q/","service":"p"}],"tenants":[]})");
	EXPECT_EQ(ErrorFor(*none, "/q/1", ""), EError::UnknownKey);
}

TEST(Catalogue, DecodesLimitsAndWeights)
{
	const std::optional<Catalogue> catalogue = Platform::DecodeCatalogue(cBody);
	const Team *team = catalogue->FindTeam("a");
	ASSERT_NE(team, nullptr);
	EXPECT_EQ(team->limit, (Resources{4000, 0, 1}));
	EXPECT_EQ(team->weight, 5);
	EXPECT_EQ(catalogue->FindTeam("b")->weight, 0);
	EXPECT_EQ(catalogue->FindTeam("b")->keys.size(), 1u);
}

TEST(Catalogue, ANewerVersionDecidesForAHostThatIsBehind)
{
	// A host that the store refuses passes its callers' records on to other hosts, which may know a newer configuration without the key
	const std::optional<Catalogue> before = Platform::DecodeCatalogue(cBody);
	const uint64 hash = before->Admit("h", "/q/1", "k1")->key_hash;
	EXPECT_NE(hash, 0u);
	EXPECT_TRUE(before->StillAdmits("q", "a", hash));
	const std::optional<Catalogue> after = Platform::DecodeCatalogue(R"({"version":8,
		"routes":[{"name":"q","host":"h","pathPrefix":"/q/","service":"p"}],"tenants":[{"name":"a","apiKeys":["k2"]}]})");
	EXPECT_FALSE(after->StillAdmits("q", "a", hash));
	EXPECT_EQ(LastReason().kind, EError::UnknownKey);
	EXPECT_FALSE(after->StillAdmits("o", "", 0));
	EXPECT_EQ(LastReason().kind, EError::NoSuchService);
}

/// A cancellation in the inbox that names another team must change nothing.
TEST(Catalogue, ATeamCancelsOnlyItsOwnJobs)
{
	Cell cell(CellTuning{});
	cell.Begin(1, 1000);
	JobSpec job = MakeJob("job", 1, 2, 1000, 500);
	job.team = "a";
	cell.Ingest({EInbox::Submit, job}, 0, 1000, 1'700'000'000'000);
	InboxRecord cancel;
	cancel.kind = EInbox::Cancel;
	cancel.spec.id = "job";
	cancel.spec.team = "b";
	cell.Ingest(cancel, 1, 1100, 1'700'000'000'100);
	EXPECT_EQ(cell.Counts().active, 1u);
	cancel.spec.team = "a";
	cell.Ingest(cancel, 2, 1200, 1'700'000'000'200);
	EXPECT_EQ(cell.Counts().active, 0u);
}

} // namespace Loomreach::Jobs
