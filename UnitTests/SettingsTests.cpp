// The settings tree and the two readers of TOML: inheritance, each kind of error with its position, and round trips.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Settings/DaemonConfig.h>
#include <Loomreach/Settings/SettingsParser.h>

#include <fstream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Loomreach;

namespace
{

/// A text that must be refused, with the position of the error and a word of its reason.
struct BadText
{
	const char *text;
	const char *position;
	const char *word;
};

/// Prints the text into the test's name; the default is the bytes of the pointers to it.
static void PrintTo(const BadText &inText, std::ostream *outStream) { *outStream << testing::PrintToString(std::string(inText.text)); }

class BadSettings : public testing::TestWithParam<BadText>
{
};

TEST_P(BadSettings, IsRefusedWithItsPosition)
{
	const BadText &bad = GetParam();
	EXPECT_FALSE(ParseSettings(bad.text, "file.toml").has_value());
	EXPECT_EQ(LastReason().kind, EError::BadSettings);
	EXPECT_NE(LastReason().detail.find(std::string("file.toml:") + bad.position), std::string::npos) << LastReason().detail;
	EXPECT_NE(LastReason().detail.find(bad.word), std::string::npos) << LastReason().detail;
}

INSTANTIATE_TEST_SUITE_P(
	Kinds, BadSettings,
	testing::Values(BadText{"[pool.a\n", "1:", ""}, BadText{"colour = 3\n", "1:1", "unknown setting 'colour'"},
					BadText{"priority = \"high\"\n", "1:12", "whole number"}, BadText{"\npriority = 5000\n", "2:12", "from 0 to 1000"},
					BadText{"repeatable = 1\n", "1:14", "true or false"}, BadText{"kind = \"daemon\"\n", "1:8", "service|batch"},
					BadText{"team = 4\n", "1:8", "text in quotes"}, BadText{"[job.x]\n", "1:", "pools hold jobs"},
					BadText{"[pool.a.pool.b]\n", "1:", "pools hold jobs"}, BadText{"[pool.\"a b\"]\n", "1:", "without spaces"},
					BadText{"pool = 3\n", "1:8", "table"}, BadText{"[pool]\na = 1\n", "2:5", "table with settings"},
					BadText{"[pool.a.job.x]\n[pool.b.job.x]\n", "", "another job has the same name"}));

TEST(SettingsTree, InheritsUnlessStated)
{
	const std::optional<SettingsTree> tree =
		ParseSettings("priority = 7\n[group.g]\nteam = \"red\"\n[group.g.pool.p]\npriority = 9\n[group.g.pool.p.job.j]\n", "f");
	ASSERT_TRUE(tree.has_value()) << LastReasonText();
	EXPECT_EQ(tree->Explain("/g/p/j", ESetting::Priority).from, "/g/p");
	EXPECT_EQ(tree->Number("/g/p/j", ESetting::Priority), 9);
	EXPECT_EQ(tree->Explain("/g/p/j", ESetting::Team).from, "/g");
	EXPECT_EQ(tree->Explain("/g/p/j", ESetting::Replicas).from, "");
	EXPECT_EQ(tree->Number("/g", ESetting::Priority), 7);
}

TEST(SettingsTree, DiffShowsAllThatAChangeReaches)
{
	const std::string below = "[group.g.pool.p]\n[group.g.pool.p.job.j]\n[group.g.pool.q]\npriority = 1\n[group.g.pool.q.job.k]\n";
	const std::optional<SettingsTree> before = ParseSettings("priority = 7\n" + below, "f");
	const std::optional<SettingsTree> after = ParseSettings("priority = 8\n" + below, "f");
	const std::vector<SettingChange> changes = after->DiffFrom(*before);
	ASSERT_EQ(changes.size(), 2U);
	EXPECT_EQ(changes[0].path, "/g/p");
	EXPECT_EQ(changes[1].path, "/g/p/j");
	EXPECT_EQ(changes[1].after, "8");
}

RC_GTEST_PROP(SettingsTree, WritesWhatItReads, ())
{
	std::vector<SettingsNode> nodes;
	const int pools = *rc::gen::inRange(0, 5);
	for (int i = 0; i < pools; ++i)
	{
		SettingsNode pool{"/pool-" + std::to_string(i), ENodeKind::Pool, {}};
		pool.stated[ESetting::Priority] = {*rc::gen::inRange<int64>(0, 1001), {}};
		SettingsNode job{pool.path + "/job-" + std::to_string(i), ENodeKind::Job, {}};
		job.stated[ESetting::Repeatable] = {*rc::gen::inRange<int64>(0, 2), {}};
		job.stated[ESetting::Kind] = {0, *rc::gen::element<std::string>("service", "batch")};
		nodes.push_back(pool);
		nodes.push_back(job);
	}
	const std::optional<SettingsTree> tree = SettingsTree::FromNodes(nodes);
	RC_ASSERT(tree.has_value());
	const std::optional<SettingsTree> again = ParseSettings(tree->ToToml(), "again");
	RC_ASSERT(again.has_value());
	RC_ASSERT(*again == *tree);
}

/// A valid configuration of the daemon.
const std::string cValidConfig =
	"name = \"e\"\navailability_zone = \"z\"\ncallers = \"127.0.0.1:1\"\noperators = \"127.0.0.1:2\"\npeers = \"127.0.0.1:3\"\n"
	"platform = \"127.0.0.1:4\"\npeer_key_file = \"key\"\n";

class DaemonConfigTest : public testing::Test
{
protected:
	DaemonConfigTest() : directory(testing::TempDir()) { std::ofstream(this->directory + "/key") << "0123456789abcdef0123\n"; }

	void ExpectRefused(const std::string &inText, const std::string &inWord)
	{
		EXPECT_FALSE(ParseDaemonConfig(inText, "d.toml", this->directory).has_value()) << inWord;
		EXPECT_EQ(LastReason().kind, EError::BadConfig);
		EXPECT_NE(LastReason().detail.find(inWord), std::string::npos) << LastReason().detail;
		EXPECT_TRUE(LastReason().detail.starts_with("d.toml")) << LastReason().detail;
	}

	std::string directory;
};

TEST_F(DaemonConfigTest, AcceptsAValidOne)
{
	const std::optional<DaemonConfig> config = ParseDaemonConfig(cValidConfig, "d.toml", this->directory);
	ASSERT_TRUE(config.has_value()) << LastReasonText();
	EXPECT_EQ(config->peer_key, "0123456789abcdef0123");
	EXPECT_EQ(config->region, "z");
	EXPECT_EQ(config->callers.port, 1);
}

TEST_F(DaemonConfigTest, RefusesEachKindOfInvalidOne)
{
	this->ExpectRefused(cValidConfig + "heartbeet_ms = 3\n", "d.toml:8:1: unknown key 'heartbeet_ms'");
	this->ExpectRefused(cValidConfig + "heartbeat_ms = \"x\"\n", "d.toml:8:16: heartbeat_ms: expected a whole number from 50 to 10000");
	this->ExpectRefused(cValidConfig + "heartbeat_ms = 1\n", "from 50 to 10000");
	this->ExpectRefused(cValidConfig + "heartbeat_ms = 500\nsuspect_after_ms = 500\n", "expected more than heartbeat_ms");
	this->ExpectRefused(cValidConfig + "seeds = 3\n", "expected a list");
	this->ExpectRefused(cValidConfig + "seeds = [\"host:1\"]\n", "by numbers");
	this->ExpectRefused(cValidConfig + "operators_token_file = \"none\"\n", "operators_token_file");
	this->ExpectRefused("name = \"e\"\n", "missing key 'availability_zone'");
	this->ExpectRefused("name = 3\n", "expected text in quotes");
	std::string open = cValidConfig;
	open.replace(open.find("127.0.0.1:2"), 11, "10.0.0.1:2");
	this->ExpectRefused(open, "loopback only");
	std::string same = cValidConfig;
	same.replace(same.find("127.0.0.1:2"), 11, "127.0.0.1:1");
	this->ExpectRefused(same, "listeners of their own");
	std::ofstream(this->directory + "/short") << "short";
	std::string weak = cValidConfig;
	weak.replace(weak.find("\"key\""), 5, "\"short\"");
	this->ExpectRefused(weak, "at least 16 bytes");
}

TEST(ErrorTable, NamesAreUnique)
{
	std::set<std::string_view> names;
	for (size_t i = 0; i < static_cast<size_t>(EError::Count); ++i)
	{
		const ErrorAnswer &row = AnswerOf(static_cast<EError>(i));
		EXPECT_TRUE(names.insert(row.name).second) << row.name;
		EXPECT_EQ(ErrorOf(row.name), static_cast<EError>(i));
		// An error that asks the caller to retry must state that nothing ran
		EXPECT_TRUE(!row.retryable || row.outcome == EOutcome::NotRun) << row.name;
	}
}

} // namespace
