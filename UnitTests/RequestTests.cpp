// Admission, queues, retries, request ids, slot shares and claims, each under the failures that it is meant for.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Request/ClaimTable.h>
#include <Loomreach/Request/Dispatcher.h>
#include <Loomreach/Request/IdWindow.h>
#include <Loomreach/Request/SlotShare.h>
#include <UnitTests/TestFleet.h>

#include <numeric>

#include <rapidcheck/gtest.h>

using namespace Loomreach;

namespace
{

/// A dispatcher for one service that runs on `inHosts` hosts.
class DispatcherTest : public testing::Test
{
protected:
	explicit DispatcherTest(int inHosts = 2) : dispatcher("zone-0")
	{
		std::vector<SettingsNode> nodes = TestFleet::OnePool(0, inHosts);
		nodes[1].stated[ESetting::QueueLimit] = {3, {}};
		nodes[1].stated[ESetting::Priority] = {500, {}};
		this->fleet.Accept(ApplySettings{0, nodes, "me"});
		for (int i = 0; i < inHosts; ++i)
		{
			const std::string name = "h" + std::to_string(i);
			this->fleet.AddHealthy(name, "/pool", "rack-" + std::to_string(i));
			this->fleet.Accept(PlaceReplica{{"/pool/job", static_cast<uint32>(i)}, name, 0});
		}
		this->Update();
	}

	void Update(const std::set<std::string> &inLeaving = {})
	{
		this->dispatcher.Update(this->fleet.state, inLeaving, this->now, this->decisions);
	}

	/// Adds a request. The decisions that follow at once are left in `decisions`.
	RequestId Arrive(bool inRepeatable = false, int64 inPriority = 500, Millis inTime = 10'000)
	{
		this->decisions.clear();
		const RequestId id = ++this->last;
		this->dispatcher.Arrive({id, "/pool/job", inPriority, this->now + inTime, inRepeatable}, this->now, this->decisions);
		return id;
	}

	void End(RequestId inRequest, EAttempt inResult, bool inRelayed = false)
	{
		this->decisions.clear();
		this->dispatcher.Ended(inRequest, inResult, inRelayed, this->now, this->decisions);
	}

	/// Fills all slots of all hosts.
	void Fill()
	{
		while (true)
		{
			const RequestId id = this->Arrive();
			if (this->decisions.empty())
			{
				this->dispatcher.Abandon(id);
				return;
			}
			this->running.push_back(id);
		}
	}

	const Decision &Only() const
	{
		EXPECT_EQ(this->decisions.size(), 1U);
		return this->decisions.at(0);
	}

	TestFleet fleet;
	Dispatcher dispatcher;
	Millis now = 1000;
	RequestId last = 0;
	std::vector<RequestId> running;
	std::vector<Decision> decisions;
};

TEST_F(DispatcherTest, NeverExceedsItsShareOfSlots)
{
	this->Fill();
	EXPECT_EQ(this->running.size(), 16U);
	for (const auto &[name, endpoint] : this->dispatcher.Endpoints().All())
		EXPECT_EQ(endpoint.in_flight, 8U);
}

TEST_F(DispatcherTest, QueueIsBoundedAndEvictsTheLowestPriority)
{
	this->Fill();
	std::vector<RequestId> low;
	low.reserve(3);
	for (int i = 0; i < 3; ++i)
		low.push_back(this->Arrive(false, 100));
	this->Arrive(false, 100);
	EXPECT_EQ(this->Only().error, EError::QueueFull);
	EXPECT_GE(this->Only().retry_after_s, 1U);
	this->Arrive(false, 500);
	EXPECT_EQ(this->Only().error, EError::PushedOut);
	EXPECT_EQ(this->Only().request, low.back());
	// A slot that becomes free goes to the request of the highest priority
	const RequestId high = this->last;
	this->End(this->running.front(), EAttempt::Answered);
	ASSERT_EQ(this->decisions.size(), 2U);
	EXPECT_EQ(this->decisions[1].kind, EDecision::Start);
	EXPECT_EQ(this->decisions[1].request, high);
}

TEST_F(DispatcherTest, WaitsEndAtTheDeadlineAtOnce)
{
	this->Fill();
	const RequestId waiting = this->Arrive(false, 500, 200);
	EXPECT_TRUE(this->decisions.empty());
	this->now += 200;
	this->dispatcher.Tick(this->now, this->decisions);
	EXPECT_EQ(this->Only().request, waiting);
	EXPECT_EQ(this->Only().error, EError::DeadlineUnmet);
}

TEST_F(DispatcherTest, WhatMayHaveRunIsSentAgainOnlyIfRepeatable)
{
	const RequestId once = this->Arrive(false);
	this->End(once, EAttempt::Broke);
	EXPECT_EQ(this->Only().kind, EDecision::Refuse);
	EXPECT_EQ(AnswerOf(this->Only().error).outcome, EOutcome::Unknown);
	const RequestId again = this->Arrive(true);
	const std::string first_host = this->Only().host;
	this->End(again, EAttempt::Broke);
	EXPECT_EQ(this->Only().kind, EDecision::Start);
	EXPECT_NE(this->Only().host, first_host);
	// After that, no answer may say that the request did not run
	this->End(again, EAttempt::Refused);
	for (int i = 0; i < 20 && !this->decisions.empty() && this->decisions[0].kind == EDecision::Start; ++i)
		this->End(again, EAttempt::Refused);
	ASSERT_FALSE(this->decisions.empty());
	EXPECT_EQ(AnswerOf(this->decisions[0].error).outcome, EOutcome::Unknown);
}

TEST_F(DispatcherTest, WhatCertainlyDidNotRunIsRetriedElsewhere)
{
	const RequestId once = this->Arrive(false);
	const std::string first_host = this->Only().host;
	this->End(once, EAttempt::Refused);
	EXPECT_EQ(this->Only().kind, EDecision::Start);
	EXPECT_NE(this->Only().host, first_host);
	this->End(once, EAttempt::Refused);
	// Both endpoints refuse: the request ends as certainly not run, or waits for its deadline
	for (const Decision &decision : this->decisions)
		EXPECT_TRUE(decision.kind != EDecision::Refuse || AnswerOf(decision.error).outcome == EOutcome::NotRun);
}

TEST_F(DispatcherTest, RetriesStayWithinTheirBudget)
{
	uint64 starts = 0;
	constexpr int cRequests = 400;
	for (int i = 0; i < cRequests; ++i)
	{
		const RequestId id = this->Arrive(true);
		while (!this->decisions.empty() && this->decisions[0].kind == EDecision::Start)
		{
			++starts;
			this->End(id, EAttempt::Broke);
		}
		this->now += 40'000;
	}
	EXPECT_LE(starts, cRequests + cRequests / 10 + 4);
}

TEST_F(DispatcherTest, LeavingEndpointsGetNoNewWork)
{
	this->fleet.Step("h0", EHostStep::Drain);
	this->Update();
	for (int i = 0; i < 8; ++i)
	{
		this->Arrive();
		EXPECT_EQ(this->Only().host, "h1");
	}
	this->Update({"h1"});
	this->Arrive();
	EXPECT_EQ(this->Only().error, EError::NoEndpoint);
	// An endpoint's own announcement counts before the log contains it
	this->Update();
	this->dispatcher.Endpoints().RecordLeaving("h1", this->now);
	this->Arrive();
	EXPECT_TRUE(this->decisions.empty());
}

TEST_F(DispatcherTest, EjectsFailingEndpointsAndReadmitsThemOnProbation)
{
	std::string bad;
	for (int i = 0; i < 12; ++i)
	{
		const RequestId id = this->Arrive();
		bad = bad.empty() ? this->Only().host : bad;
		this->End(id, this->Only().host == bad ? EAttempt::Broke : EAttempt::Answered);
	}
	const RequestId id = this->Arrive();
	EXPECT_NE(this->Only().host, bad);
	this->now += 1001;
	// On probation: one request at a time
	std::vector<std::string> hosts;
	for (int i = 0; i < 4; ++i)
	{
		this->Arrive();
		hosts.push_back(this->Only().host);
	}
	EXPECT_EQ(std::count(hosts.begin(), hosts.end(), bad), 1);
	this->End(id, EAttempt::Answered);
}

TEST_F(DispatcherTest, SendsToAnEndpointEvenIfAllHaveFailed)
{
	for (int i = 0; i < 12; ++i)
	{
		const RequestId id = this->Arrive();
		if (!this->decisions.empty() && this->decisions[0].kind == EDecision::Start)
			this->End(id, EAttempt::Broke);
	}
	this->Arrive();
	EXPECT_EQ(this->Only().kind, EDecision::Start);
}

/// Two services of different priority on the same worker.
TEST(DispatcherPriority, PaymentWinsButBulkKeepsItsShare)
{
	TestFleet fleet;
	std::vector<SettingsNode> nodes = {{"/pool", ENodeKind::Pool, {}}};
	nodes.push_back({"/pool/pay", ENodeKind::Job, {{ESetting::Priority, {900, {}}}, {ESetting::QueueLimit, {1000, {}}}}});
	nodes.push_back({"/pool/bulk",
					 ENodeKind::Job,
					 {{ESetting::Priority, {50, {}}}, {ESetting::QueueShare, {10, {}}}, {ESetting::QueueLimit, {1000, {}}}}});
	fleet.Accept(ApplySettings{0, nodes, "me"});
	fleet.AddHealthy("h0");
	fleet.Accept(PlaceReplica{{"/pool/pay", 0}, "h0", 0});
	fleet.Accept(PlaceReplica{{"/pool/bulk", 0}, "h0", 0});
	Dispatcher dispatcher("zone-0");
	std::vector<Decision> decisions;
	dispatcher.Update(fleet.state, {}, 0, decisions);
	std::map<RequestId, bool> is_pay;
	for (RequestId id = 1; id <= 800; ++id)
	{
		is_pay[id] = id % 2 == 0;
		dispatcher.Arrive({id, is_pay[id] ? "/pool/pay" : "/pool/bulk", is_pay[id] ? 900 : 50, 1'000'000, false}, 1, decisions);
	}
	int pay = 0;
	int bulk = 0;
	std::deque<RequestId> started;
	for (int i = 0; i < 200; ++i)
	{
		for (const Decision &decision : decisions)
			if (decision.kind == EDecision::Start)
			{
				started.push_back(decision.request);
				++(is_pay[decision.request] ? pay : bulk);
			}
		decisions.clear();
		dispatcher.Ended(started.front(), EAttempt::Answered, false, 1, decisions);
		started.pop_front();
	}
	EXPECT_NEAR(static_cast<double>(bulk) / (pay + bulk), 0.1, 0.03);
}

RC_GTEST_PROP(DispatcherProperty, EveryRequestEndsOnceAndOnceIsOnce, ())
{
	SetInvariantsAbort(true);
	TestFleet fleet;
	fleet.Accept(ApplySettings{0, TestFleet::OnePool(0, 3), "me"});
	for (int i = 0; i < 3; ++i)
	{
		fleet.AddHealthy("h" + std::to_string(i), "/pool", "rack-" + std::to_string(i));
		fleet.Accept(PlaceReplica{{"/pool/job", static_cast<uint32>(i)}, "h" + std::to_string(i), 0});
	}
	Dispatcher dispatcher("zone-0");
	std::vector<Decision> decisions;
	dispatcher.Update(fleet.state, {}, 0, decisions);
	std::map<RequestId, bool> repeatable;
	std::map<RequestId, int> may_have_run;
	std::set<RequestId> in_flight;
	std::set<RequestId> ended;
	Millis now = 0;
	const int steps = *rc::gen::inRange(0, 200);
	for (int i = 0; i < steps; ++i)
	{
		now += *rc::gen::inRange(0, 300);
		const int action = *rc::gen::inRange(0, 10);
		if (action < 5)
		{
			const RequestId id = repeatable.size() + 1;
			repeatable[id] = *rc::gen::arbitrary<bool>();
			dispatcher.Arrive({id, "/pool/job", *rc::gen::inRange<int64>(0, 500), now + *rc::gen::inRange(1, 3000), repeatable[id]}, now,
							  decisions);
		}
		else if (action < 9 && !in_flight.empty())
		{
			const RequestId id = *in_flight.begin();
			in_flight.erase(id);
			const auto result = static_cast<EAttempt>(*rc::gen::inRange(0, 5));
			if (result == EAttempt::Broke || result == EAttempt::TimedOut || result == EAttempt::Answered)
				++may_have_run[id];
			dispatcher.Ended(id, result, false, now, decisions);
		}
		else
			dispatcher.Tick(now, decisions);
		for (const Decision &decision : decisions)
		{
			RC_ASSERT(ended.count(decision.request) == 0);
			if (decision.kind == EDecision::Start)
			{
				RC_ASSERT(repeatable[decision.request] || may_have_run[decision.request] == 0);
				RC_ASSERT(in_flight.insert(decision.request).second);
				continue;
			}
			ended.insert(decision.request);
			if (decision.kind == EDecision::Refuse && AnswerOf(decision.error).outcome == EOutcome::NotRun)
				RC_ASSERT(may_have_run[decision.request] == 0);
		}
		decisions.clear();
	}
	RC_ASSERT(dispatcher.Open() == repeatable.size() - ended.size());
}

TEST(IdWindow, AnIdBeginsOnce)
{
	IdWindow window;
	const uint64 id = window.Issue();
	EXPECT_EQ(window.BeginIssued(id + 1).use, EIdUse::Forgotten);
	EXPECT_EQ(window.BeginIssued(id).use, EIdUse::MayRun);
	EXPECT_EQ(window.BeginIssued(id).use, EIdUse::Begun);
	window.NotRun(IdWindow::IssuedKey(id));
	EXPECT_EQ(window.BeginIssued(id).use, EIdUse::MayRun);
	window.Ran(IdWindow::IssuedKey(id), {200, "text/plain", "once"});
	EXPECT_EQ(window.BeginIssued(id).answer->body, "once");
}

TEST(IdWindow, AForgottenIdNeverRunsAgain)
{
	IdWindow window;
	const uint64 first = window.Issue();
	window.BeginIssued(first);
	window.Ran(IdWindow::IssuedKey(first), {200, "", "x"});
	for (size_t i = 0; i < IdWindow::cMaxIds; ++i)
		window.BeginIssued(window.Issue());
	EXPECT_EQ(window.BeginIssued(first).use, EIdUse::Forgotten);
	IdWindow full;
	const std::string large(IdWindow::cMaxOneAnswer, 'x');
	std::vector<uint64> ids;
	for (size_t i = 0; i < IdWindow::cMaxAnswerBytes / IdWindow::cMaxOneAnswer + 1; ++i)
	{
		ids.push_back(full.Issue());
		full.BeginIssued(ids.back());
		full.Ran(IdWindow::IssuedKey(ids.back()), {200, "", large});
	}
	// The oldest answer was dropped, and its id kept
	EXPECT_EQ(full.BeginIssued(ids.front()).use, EIdUse::Begun);
	EXPECT_EQ(full.BeginIssued(ids.back()).use, EIdUse::Answered);
}

template <SharePolicy P>
uint32 SumOfLimits(uint32 inSlots, const std::vector<uint32> &inDemands)
{
	uint32 sum = 0;
	for (uint32 self = 0; self < inDemands.size(); ++self)
		sum += P::Limit({inSlots, self, inDemands});
	return sum;
}

RC_GTEST_PROP(SlotShare, SharesAddUpUnderPressure, ())
{
	const std::vector<uint32> demands = *rc::gen::container<std::vector<uint32>>(6, rc::gen::inRange<uint32>(0, 40));
	RC_ASSERT(SumOfLimits<FixedSlotShare>(8, demands) == 8);
	const uint64 total = std::accumulate(demands.begin(), demands.end(), uint64(0));
	// The sum may exceed the slots only by the one that each member without a share may borrow
	if (total > 8)
		RC_ASSERT(SumOfLimits<DemandSlotShare>(8, demands) <= 8 + 6);
	for (uint32 self = 0; self < demands.size(); ++self)
		if (total <= 8)
			RC_ASSERT(DemandSlotShare::Limit({8, self, demands}) >= demands[self]);
}

TEST(ClaimTable, AMemberRefusesClaimsItMayNotAnswer)
{
	TestFleet fleet;
	const Member self{"a", 1, "r", "z1", {}, {}};
	const Member other{"b", 2, "r", "z2", {}, {}};
	fleet.Accept(ChangeView{0, {self}, true});
	ClaimTable table("a", 1);
	table.Update(fleet.state);
	uint64 holder = 0;
	const uint32 range = ClaimRangeOf({}, "id");
	EXPECT_EQ(table.Answer("id", range, 7, 1, false, 0, holder), EClaim::NotReady);
	EXPECT_EQ(table.Answer("id", range, 7, 1, true, 0, holder), EClaim::Granted);
	EXPECT_EQ(table.Answer("id", range, 8, 1, true, 0, holder), EClaim::Taken);
	EXPECT_EQ(holder, 7U);
	fleet.Accept(ChangeView{1, {self, other}, false});
	table.Update(fleet.state);
	// A claim made under the old view could be missing from what was handed over
	EXPECT_EQ(table.Answer("late", range, 7, 1, true, 0, holder), EClaim::OldView);
	EXPECT_EQ(table.Answer("late", range, 7, 3, true, 0, holder), EClaim::NotReady);
	EXPECT_FALSE(table.HandOver(range, 3).has_value());
	// A process that restarted under the same name has none of its predecessor's claims
	ClaimTable restarted("a", 9);
	restarted.Update(fleet.state);
	EXPECT_EQ(restarted.Answer("id", range, 8, 2, true, 0, holder), EClaim::NotReady);
	EXPECT_FALSE(restarted.HandOver(range, 2).has_value());
	EXPECT_TRUE(restarted.MissingRanges().empty());
}

/// Members with their claim tables over one accepted state. Messages are lost and delayed by not being sent.
RC_GTEST_PROP(ClaimProperty, AnIdIsBoundToOneOwnerAcrossViews, ())
{
	SetInvariantsAbort(true);
	TestFleet fleet;
	std::map<std::string, std::unique_ptr<ClaimTable>> tables;
	std::map<std::string, FleetState> states; ///< The state up to which each member has read the log.
	uint64 incarnations = 0;
	std::map<std::string, Member> members;
	const auto start = [&](const std::string &inName)
	{
		members[inName] = {inName, ++incarnations, "r", "z" + inName.substr(1), {}, {}};
		tables[inName] = std::make_unique<ClaimTable>(inName, incarnations);
		states[inName] = FleetState();
	};
	const auto propose_view = [&](const std::vector<Member> &inMembers) {
		fleet.Apply(ChangeView{fleet.state.view.number, inMembers, false});
	};
	start("m0");
	fleet.Accept(ChangeView{0, {members["m0"]}, true});
	const uint64 resets = fleet.state.view.resets;
	std::map<std::string, uint64> owner_of; ///< Claims that were completed.
	Millis now = 0;
	const int steps = *rc::gen::inRange(0, 600);
	for (int i = 0; i < steps; ++i)
	{
		++now;
		const std::string name = "m" + std::to_string(*rc::gen::inRange(0, 5));
		switch (*rc::gen::inRange(0, 7))
		{
		case 0: // Joins, or restarts without its claims
		{
			start(name);
			std::vector<Member> next;
			for (const auto &[other, member] : fleet.state.view.members)
				if (other != name)
					next.push_back(member);
			next.push_back(members[name]);
			propose_view(next);
			break;
		}
		case 1: // Leaves
		{
			std::vector<Member> next;
			for (const auto &[other, member] : fleet.state.view.members)
				if (other != name)
					next.push_back(member);
			if (!next.empty())
				propose_view(next);
			break;
		}
		case 2:
		case 3: // Reads the log
			if (tables.count(name) != 0)
			{
				states[name] = fleet.state;
				tables[name]->Update(fleet.state);
			}
			break;
		case 4: // Takes over the ranges that it lacks, each from one holder
			if (tables.count(name) != 0)
				for (const auto &[range, holder] : tables[name]->MissingRanges())
				{
					if (tables.count(holder) == 0)
						continue;
					const std::optional<std::vector<Claim>> list = tables[holder]->HandOver(range, tables[name]->ViewNumber());
					if (!list.has_value())
						continue;
					tables[name]->ImportClaims(range, *list, now);
					fleet.Apply(TakeOver{tables[name]->ViewNumber(), name, {range}});
				}
			break;
		default: // Claims an id by asking each member of the group in turn; a request may be lost at any member
		{
			if (tables.count(name) == 0 || states[name].view.members.count(name) == 0)
				break;
			const std::string id = "id-" + std::to_string(*rc::gen::inRange(0, 4));
			const uint32 range = ClaimRangeOf({}, id);
			const uint64 claimer = members[name].incarnation;
			bool complete = true;
			for (const std::string &member : ClaimGroupOf(states[name].view, range))
			{
				uint64 holder = 0;
				const bool lost = *rc::gen::inRange(0, 6) == 0;
				const bool granted =
					!lost && tables[member]->Answer(id, range, claimer, states[name].view.number, true, now, holder) == EClaim::Granted;
				complete = complete && granted;
				if (!complete)
					break;
			}
			if (complete && fleet.state.view.resets == resets)
			{
				auto [owner, is_new] = owner_of.emplace(id, claimer);
				RC_ASSERT(is_new || owner->second == claimer);
			}
			break;
		}
		}
	}
}

} // namespace
